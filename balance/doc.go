// Package balance decides how many hosts each pool should have, from the work
// that runs, waits and arrives, and which idle hosts move for it. It does no
// I/O and has no clock of its own.
package balance
