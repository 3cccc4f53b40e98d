// Package budget keeps availability budgets as records that name the hosts out
// of service, so that two controllers can't spend the same unit.
package budget
