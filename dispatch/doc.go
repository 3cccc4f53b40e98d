// Package dispatch carries out what schedule decides: for the length of a term
// it stores changes, orders and looks at workers, and feeds back what they say.
package dispatch
