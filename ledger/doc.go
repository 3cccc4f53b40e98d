// Package ledger keeps what must last of jobs in the store: a record for each
// job that was accepted, and a log of what became of its tasks. The log is
// written only by the owner of the workers and read by every entry host.
package ledger
