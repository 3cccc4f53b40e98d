// Package ledger keeps the durable state of jobs in the store: a record for
// each accepted job, and a log of changes to its tasks. Only the owner of the
// workers writes the log; every entry host reads it.
package ledger
