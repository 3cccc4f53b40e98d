// Package audit records changes in an audit trail in the platform's store: who
// changed what, when, based on which revision, and with which result.
//
// Entries are buffered and written in batches into segments, records of
// bounded size that all entry hosts append to by compare-and-swap. The oldest
// segments are deleted when there are more than the trail retains.
package audit
