// Package revision keeps the configuration in force: one monotonic sequence of
// revisions over the operators' lists and the teams' keys, in the platform's store.
package revision
