// Package store is the one place that knows the platform's key-value service:
// compare-and-swap, leases and watches, with the outages and lost answers that
// come with them.
package store
