// Package owner keeps a process's lease in the store, and with it the right to
// order the workers: one process at a time owns them, for a term that is named
// by the store revision at which it began.
package owner
