// Package inquiry asks the owner of the workers for the states of jobs, which
// it knows before the store's watch has told the other entry hosts.
package inquiry
