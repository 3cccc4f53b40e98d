// Package schedule decides which task runs on which worker, and what is
// believed of each run. It does no I/O and has no clock of its own: events go
// in with their time, changes for the ledger and orders for workers come out.
package schedule
