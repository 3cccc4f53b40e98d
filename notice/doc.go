// Package notice sends newly stored job records to the owner of the workers,
// so that the owner need not wait for its watch of the store, which may be
// delayed or silent.
package notice
