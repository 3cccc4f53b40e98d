// Package trace generates synthetic traces of demand and host failures from a
// seed, so that planners can be compared on identical input.
package trace
