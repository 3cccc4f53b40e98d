// Package runtimes keeps what is known of the run times of tasks: for each queue
// and step image, the distribution of the ratio of actual to declared run time.
//
// Old runs decay, and a distribution with few runs gives way to an assumed one
// around the declared estimate. The package is pure: callers pass the time.
package runtimes
