// Package owner elects the process that owns the workers and may send them
// orders. A process holds a lease in the store and competes for the Owner
// record, which is bound to the lease. At most one process is the owner at a
// time, for a term that is identified by the store revision at which it began.
package owner
