package intake

import (
	"context"
	"errors"
	"sync"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/store"
)

// lookupTimeout limits the look-up of an ID before a refusal.
const lookupTimeout = 200 * time.Millisecond

// maxUnsettled bounds the IDs that a host remembers because their writes may still land. Beyond that it can't tell of any ID that it has no
// record.
const maxUnsettled = 1 << 14

// lookupResult is what is known of an ID that a caller submits.
type lookupResult int

const (
	// lookupUnknown means that the ID may have a record, or may get one by a write of this host.
	lookupUnknown lookupResult = iota
	// lookupFound means that the ID has a record.
	lookupFound
	// lookupAbsent means that the ID has no record, and that no write of this host may still land.
	lookupAbsent
)

// lookUp asks the store whether an ID has a record. A refusal that promises that the job never runs needs lookupAbsent.
func (h *Handler) lookUp(ctx context.Context, id fleet.JobID) lookupResult {
	if !h.unsettled.isSettled(id) {
		return lookupUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	_, err := h.client.Get(ctx, ledger.JobKey(id))
	switch {
	case err == nil:
		return lookupFound
	case errors.Is(err, store.ErrNotFound) && h.unsettled.isSettled(id):
		return lookupAbsent
	default:
		return lookupUnknown
	}
}

// known reports whether the replica has the job.
func (h *Handler) known(id fleet.JobID) bool {
	b := h.follower.Replica()
	if b == nil {
		return false
	}
	_, _, known := b.Job(id)

	return known
}

// putJob stores a new job.
func (h *Handler) putJob(ctx context.Context, id fleet.JobID, value []byte) (*store.Record, error) {
	h.unsettled.begin(id)
	found, err := h.put(ctx, ledger.JobKey(id), value, 0)
	h.unsettled.end(id, err)

	return found, err
}

// unsettledWrites are the IDs whose writes by this host have begun and whose outcome is not known.
type unsettledWrites struct {
	mu sync.Mutex
	// count has the number of writes by ID.
	count map[fleet.JobID]int
}

func (u *unsettledWrites) begin(id fleet.JobID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.count[id]++
}

// end notes how a write ended. One with an unknown outcome stays unsettled for as long as the process lives.
func (u *unsettledWrites) end(id fleet.JobID, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if errors.Is(err, ErrOutcomeUnknown) {
		return
	}
	if u.count[id]--; u.count[id] <= 0 {
		delete(u.count, id)
	}
}

// isSettled reports whether no write of this host for an ID may still land.
func (u *unsettledWrites) isSettled(id fleet.JobID) bool {
	u.mu.Lock()
	defer u.mu.Unlock()

	return u.count[id] == 0 && len(u.count) < maxUnsettled
}
