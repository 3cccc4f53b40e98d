// Package explore is a model checker for small models of protocols: it checks an
// invariant in every reachable state, by breadth-first search.
//
// A model has an initial state, the transitions from a state, a canonical key of a
// state and the invariant. Transitions should call the functions of the real
// protocol, so that the checked code is the code that runs.
package explore
