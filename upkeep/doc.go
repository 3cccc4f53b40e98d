// Package upkeep is the control path over hosts: it steps moves, waves and jobs
// together on one entry host, over the part of the fleet that it takes care of.
package upkeep
