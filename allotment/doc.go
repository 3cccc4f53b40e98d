// Package allotment divides limits among entry hosts, so that each can admit work without a remote
// call while the sum over all entry hosts never exceeds a limit.
//
// A Record in the store holds a group of limits, each with the allocation of every holder.
// Allocations change by compare-and-swap only. A Holder admits work within its own allocations,
// acquires and releases allocations in batches, and transfers them between peers on demand. The
// allocation of a dead holder is reclaimed only once its work is guaranteed to have ended.
package allotment
