// Package dispatch carries out what schedule decides: for the length of a term
// it stores changes, gives orders to workers and polls them, and feeds back what they say.
package dispatch
