// Package plan defines the operators' two lists, one of customers with their
// plans and teams, and one of plans with their limits, queues, pools and budgets,
// and checks, compares and merges them.
package plan
