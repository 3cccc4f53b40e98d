// Package fleet holds the entities that lycheehook decides about, as immutable
// values in immutable tables, and runs systems over those tables once per tick.
//
// A system is a function of the tables and the current time. It returns new
// tables and a list of typed actions; it does no I/O. Whoever runs the tick
// carries the actions out and feeds what happened back into the tables, so
// every decision can be tested without sockets.
package fleet
