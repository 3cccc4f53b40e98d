// Package notice tells the owner of the workers of jobs as soon as they are
// stored, so that it need not wait for the store's watch, which may be silent.
package notice
