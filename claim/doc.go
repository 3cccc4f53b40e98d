// Package claim guarantees at-most-once execution of requests that are not
// idempotent, even if the caller repeats them through another entry host.
//
// A request ID is claimed in the store before the first byte is sent. Pending
// claims are written in batches, with one compare-and-swap per shard, so that
// the write rate stays nearly constant as the request rate grows. The outcome of
// a request is written along with later claims, and repeats are answered from it.
package claim
