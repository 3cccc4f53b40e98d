// Package job keeps jobs in batched store records and runs them on workers under
// leases, so that a job that is not idempotent is never started twice.
package job
