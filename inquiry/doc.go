// Package inquiry queries the owner of the workers for the states of jobs. The
// owner knows them before the other entry hosts receive them from their watches
// of the store.
package inquiry
