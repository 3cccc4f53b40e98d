package owner

import (
	"sync/atomic"

	"lycheehook.example/lycheehook/store"
)

// Term is a period in which this process owns the workers.
type Term struct {
	// Revision is the store revision at which the term began; it is the fencing token of all writes and orders.
	Revision uint64
	lease    store.LeaseID
	seat     *Seat
	// over is set when the process gives up the term, whose lease it keeps.
	over atomic.Bool
}

// Valid reports whether the process still owns the workers and the lease of the term is valid now.
func (t *Term) Valid() bool {
	id, valid := t.seat.Lease()

	return valid && id == t.lease && !t.over.Load()
}

// Ended reports whether the term has ended; unlike Valid, it stays false while renewals of the lease fail.
func (t *Term) Ended() bool {
	id, _ := t.seat.Lease()

	return id != t.lease || t.over.Load()
}
