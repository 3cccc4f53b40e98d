package dispatch

import (
	"time"

	"lycheehook.example/lycheehook/schedule"
	"lycheehook.example/lycheehook/work"
)

// Option configures a Dispatcher.
type Option func(*Dispatcher)

// WithReport sets a function that is called periodically with the numbers of open jobs and of current runs, and with zeros
// at the end of a term.
func WithReport(f func(jobs, runs int)) Option {
	return func(d *Dispatcher) { d.report = f }
}

// WithAdvice sets the function that asks which workers may run the steps of advised queues.
func WithAdvice(a work.Advise) Option {
	return func(d *Dispatcher) { d.advise = a }
}

// WithKeep sets how long jobs in a final state are kept.
func WithKeep(retention time.Duration) Option {
	return func(d *Dispatcher) { d.retention = retention }
}

// WithHosts enables orders to hosts.
func WithHosts(h Hosts) Option {
	return func(d *Dispatcher) { d.hosts = h }
}

// WithObserver sets a function that is called for each scheduling decision.
func WithObserver(f schedule.Observer) Option {
	return func(d *Dispatcher) { d.observe = f }
}

// WithConfigCheck sets a function that begins to read the configuration again; it is called for each job that was accepted under
// a newer one.
func WithConfigCheck(f func()) Option {
	return func(d *Dispatcher) { d.checkConfig = f }
}
