// Package load is a load generator that sends requests to running entry hosts,
// measures latency and verifies every response.
//
// The load is open-loop: each request has an intended start that does not depend
// on earlier responses, and latency is measured from there. This avoids
// coordinated omission: a stall of the system doesn't reduce the load.
package load
