// Package capacity measures how the cost of each role grows with the size of
// the fleet and extrapolates the cost at a target size by linear regression.
package capacity
