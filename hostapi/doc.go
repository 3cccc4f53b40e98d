// Package hostapi is a client of the platform that runs the workers. It reads
// the eventually consistent inventory of hosts, and drains and reboots hosts and
// manages the tasks on them.
package hostapi
