// Package capacity measures how the cost of each role grows with the size of
// the fleet and works out the cost at a target size from the slopes.
package capacity
