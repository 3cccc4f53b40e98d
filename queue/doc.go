// Package queue keeps the work that waits on one entry host for one pool, in
// bounded lines per team, queue and size, so that no work blocks another that
// could run: taking one out and cancelling one cost the same at any length.
package queue
