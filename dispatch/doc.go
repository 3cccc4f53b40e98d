// Package dispatch executes the decisions of package schedule during a term: it
// writes changes to the ledger, sends orders to workers and hosts, polls the
// workers, and passes their replies back to the scheduler.
package dispatch
