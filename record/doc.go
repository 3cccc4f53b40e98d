// Package record reads and writes typed records in the platform's store: JSON
// values whose store revision fences every write.
package record
