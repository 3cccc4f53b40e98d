// Package placement assigns jobs to workers. It reserves resources by the observed rather than the declared sizes of
// jobs, and quarantines workers on which most tasks fail.
package placement
