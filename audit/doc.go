// Package audit keeps a trail of changes in the platform's store: who changed
// what, when, on which revision, and with which result.
//
// Entries are buffered and written in batches into segments, records of
// bounded size that all entry hosts append to by compare-and-swap. The oldest
// segments are deleted when there are more than the trail keeps.
package audit
