// Package record reads and writes typed records, encoded as JSON, in the platform's
// store. Every write is conditional on the record's store revision.
package record
