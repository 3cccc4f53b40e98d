// Package hostapi calls the platform that runs the workers: its lagging list
// of live and leaving hosts, and the drains, reboots and tasks of hosts.
package hostapi
