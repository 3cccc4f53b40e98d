// Package intake implements the HTTP API for callers: it routes a request to a
// queue and a workspace, stores jobs before it accepts them, and reports the
// state of any job in the ledger.
package intake
