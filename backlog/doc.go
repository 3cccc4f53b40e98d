// Package backlog tells entry hosts how long jobs that arrive now would wait in a pool, and decides which of them to refuse at once.
//
// The owner makes a Digest from the steps that wait. It is carried by the responses to notices with the time since it was made, since
// the clocks of hosts differ. A Holder keeps the newest; one older than MaxAge, or of another term than the one the host knows,
// decides nothing. Decide refuses a job only if twice as much room as expected would still not let it end within three times its
// target.
//
// Nothing here does I/O, and time is given by the caller.
package backlog
