// Package standin serves small stand-ins for the platform and for endpoints on
// loopback, with switches for the faults that lycheehook has to survive.
//
// They are fakes for tests and for the dev command, not a model of a cluster.
package standin
