// Package explore checks a small model of a protocol in every state that it can
// reach: breadth-first search over states, each expanded once by its key.
//
// A model supplies the initial state, every step from a state, a canonical key
// and the invariant. The steps should call the transition functions of the real
// protocol, so that what is checked is what runs.
package explore
