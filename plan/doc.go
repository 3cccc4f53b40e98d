// Package plan holds the operators' two lists: the customers with the plans
// they were promised, and for each plan what it may use.
package plan
