// Package fleet defines the entities that lycheehook manages, as immutable
// values in immutable tables, and runs systems over those tables once per tick.
//
// A system is a pure function of the tables and the current time. It returns
// new tables and a list of typed actions, and performs no I/O. The caller of
// Tick executes the actions and records their results in the tables, so every
// decision can be tested without sockets.
package fleet
