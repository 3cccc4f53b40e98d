// Package budget keeps availability budgets as records that name the unavailable hosts, so that
// two controllers can't spend the same unit.
package budget
