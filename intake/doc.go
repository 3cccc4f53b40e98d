// Package intake takes jobs from callers: it finds the queue and the workspace
// of a request, stores jobs before it accepts them, and answers for any job of
// the ledger.
package intake
