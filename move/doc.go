// Package move carries hosts between pools, through drains and reboots, by one
// record per host from which whoever takes over can finish or undo each step.
package move
