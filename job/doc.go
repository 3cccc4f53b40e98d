// Package job stores jobs in sharded records and runs them on workers under
// leases. A job that isn't idempotent is started at most once.
package job
