// Package balance plans how many hosts each pool should have, from the work
// that runs, waits and arrives, and which hosts move between pools for that.
// It does no I/O and reads no clock.
package balance
