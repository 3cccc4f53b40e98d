// Package upkeep runs the controllers of moves, maintenance waves and jobs together on one entry host, for the part of
// the fleet that it owns.
package upkeep
