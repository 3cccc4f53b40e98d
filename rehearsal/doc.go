// Package rehearsal plays load patterns to the scheduler and the balancer in
// virtual time, with modelled workers and a modelled cloud, so that decisions
// can be compared over many seeds without a network.
//
// Each play reports what callers got and what the hosts cost, beside what a
// planner that knows the whole future would have paid for the same work.
package rehearsal
