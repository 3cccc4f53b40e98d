// Package share decides which team is next when more is asked than there is:
// weighted max-min fairness over the dominant resource, with a decaying memory
// of usage, over what this entry host and its peers have running.
package share
