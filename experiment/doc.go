// Package experiment runs set-ups of load and faults against a sample estate
// and writes one report with ratios within the run.
package experiment
