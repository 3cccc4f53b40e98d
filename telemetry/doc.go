// Package telemetry provides metrics, a bounded log writer that never blocks, and
// the reconstruction of a job's history from the logs of several hosts.
package telemetry
