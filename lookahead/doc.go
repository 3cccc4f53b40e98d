// Package lookahead plans reservations for tasks that find no room in a pool
// although they would fit on its workers, and for gangs, which need room for all
// members at one time.
//
// A reservation holds room on the workers that will have it first. Other tasks may
// use that room if they don't delay the reservation: they fit beside it, or they
// end before it is due (EASY backfill). The package is pure: callers pass the
// workers, their runs with the expected ends, and the time.
package lookahead
