// Package schedule assigns the tasks of jobs to workers and tracks the state
// of each run. It does no I/O and reads no clock: its methods take events with
// the current time and return changes for the ledger and orders for workers.
package schedule
