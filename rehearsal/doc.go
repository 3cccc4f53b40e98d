// Package rehearsal simulates load patterns against the scheduler and the
// balancer in virtual time, with modelled workers and a modelled cloud, so that
// policies can be compared over many seeds without a network.
//
// Each simulation, called a play, reports the work that met its objective and the
// cost of the hosts, beside the cost of an offline planner that knows all jobs.
package rehearsal
