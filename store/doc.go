// Package store defines the calls of a key-value store with compare-and-swap,
// transactions, leases and watches, and the errors by which outages and lost
// responses show. A Reflector follows the records under a prefix and knows how
// old its copy is. The package also has a client of the key-value service under
// /v1/kv.
package store
