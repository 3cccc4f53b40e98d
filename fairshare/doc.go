// Package fairshare decides in which order the waiting steps of a pool are placed, so that workspaces share the pool by weight
// (Ghodsi et al., Dominant Resource Fairness, NSDI 2011) and work that can still be on time goes first.
//
// A Table holds what each workspace's runs reserve in each pool, and a decaying mean of it. While a pool has room for all that
// waits, the mean has no effect. Under shortage, the order divides what waits into the steps that can all be on time and the rest.
// The workspaces with the most use for their weight, over the last seconds and in this plan, give up what is too much.
//
// The package does no I/O and reads no clock.
package fairshare
