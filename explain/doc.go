// Package explain asks the owner of the workers where a job would go now, and
// why, without submitting it.
package explain
