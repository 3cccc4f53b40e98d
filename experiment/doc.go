// Package experiment runs set-ups of load and faults against a sample estate and
// writes a report that compares them with the first.
package experiment
