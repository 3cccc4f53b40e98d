// Package claim makes a request that is not idempotent run at most once, even
// when its caller repeats it through another entry host.
//
// A request ID is claimed in the store before the first byte is sent. Claims
// that wait are written together, one compare-and-swap for each shard, so the
// write rate stays nearly flat as requests grow. What became of a request is
// written with later claims and answers its repeats.
package claim
