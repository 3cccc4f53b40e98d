// Package queue holds the work that waits on one entry host for one pool, in
// queues of bounded length. Each combination of team, queue and size has its own
// FIFO, so that an item that can't start doesn't block one that can. Starting and
// cancelling an item take the same time at any length.
package queue
