// Package telemetry has what tells operators afterwards why something
// happened: a log that never blocks and is bounded, and metrics.
package telemetry
