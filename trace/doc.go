// Package trace generates demand and host events from a seed, so that planners
// can be compared over the same hours.
package trace
