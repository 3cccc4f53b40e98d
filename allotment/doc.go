// Package allotment divides limits among entry hosts, so that work can be
// admitted without asking anyone and the sum over all entry hosts still never
// exceeds a limit.
//
// A Record in the store holds a group of limits, each with the part that every
// holder may use. Parts change by compare-and-swap only. A Holder admits work
// within its own parts, takes and gives parts in batches, and moves them from
// peer to peer on demand. The part of a holder that died returns only when its
// work has surely ended.
package allotment
