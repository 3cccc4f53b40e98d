package store

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
)

// MaxValueSize is the largest value that the service accepts, in bytes.
const MaxValueSize = 1 << 20

// Sentinel errors of the store.
var (
	// ErrNotFound means that the service responded and has no such key.
	ErrNotFound = merry.Sentinel("store: key not found")
	// ErrConflict means that a key's revision was not the expected one, so nothing was written.
	ErrConflict = merry.Sentinel("store: revision conflict")
	// ErrUnavailable means that the service certainly did not carry out the call.
	ErrUnavailable = merry.Sentinel("store: unavailable")
	// ErrOutcomeUnknown means that a write may or may not have taken effect.
	ErrOutcomeUnknown = merry.Sentinel("store: outcome unknown")
	// ErrLeaseLapsed means that the lease named in the call has expired, so nothing was written.
	ErrLeaseLapsed = merry.Sentinel("store: lease lapsed")
	// ErrTooLarge means that a value exceeds MaxValueSize.
	ErrTooLarge = merry.Sentinel("store: value too large")
	// ErrCompacted means that a watch asked for events older than those that the service keeps.
	ErrCompacted = merry.Sentinel("store: revision compacted")
)

// ReadError returns the error of a read, with ErrUnavailable in place of ErrOutcomeUnknown: a read has no effect whose outcome could be
// unknown.
func ReadError(err error) error {
	if errors.Is(err, ErrOutcomeUnknown) {
		return merry.Prepend(ErrUnavailable, err.Error())
	}

	return err
}

// LeaseID identifies a lease; zero means none.
type LeaseID uint64

// Lease bounds the life of the keys bound to it: the service deletes them once TTL passes without a renewal.
type Lease struct {
	ID  LeaseID
	TTL time.Duration
}

// Record is a key with its value and the store revision of its last write.
type Record struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Write sets Key to Value if the key's revision still is Base; a Base of zero means that the key must not exist.
type Write struct {
	Key   string
	Value []byte
	Base  uint64
	// Lease binds the key to a lease; zero keeps it until it is deleted.
	Lease LeaseID
	// Delete removes the key instead of writing a value.
	Delete bool
}

// Expectation is a condition of a transaction: the key's revision must be Revision, where zero means that the key must not exist.
type Expectation struct {
	Key      string
	Revision uint64
}

// Put sets a key to a value, without a condition of its own.
type Put struct {
	Key   string
	Value []byte
	// Lease binds the key to a lease; zero keeps it until it is deleted.
	Lease LeaseID
}

// MaxTxnEntries bounds the expectations, puts and removals of a transaction together.
const MaxTxnEntries = 32

// Txn is a set of writes that takes effect as a whole if every expectation holds, and not at all otherwise.
type Txn struct {
	Expect  []Expectation
	Puts    []Put
	Removes []string
}

// ConflictError is an ErrConflict with the current records of those expected keys that exist.
type ConflictError struct {
	Records []Record
}

// Error implements error.
func (e *ConflictError) Error() string {
	return ErrConflict.Error()
}

// Is reports whether target is ErrConflict.
func (e *ConflictError) Is(target error) bool {
	return target == ErrConflict
}

// Event is a change of one key.
type Event struct {
	Record  Record
	Deleted bool
}

// Events are the changes under a prefix up to and including Revision, in order.
type Events struct {
	Events   []Event
	Revision uint64
}

// Newest returns the last record that the events write at key, and whether there is one.
func (e Events) Newest(key string) (r Record, found bool) {
	for _, ev := range e.Events {
		if ev.Record.Key == key && !ev.Deleted {
			r, found = ev.Record, true
		}
	}

	return r, found
}

// Listing is every record under a prefix as of Revision.
type Listing struct {
	Records  []Record
	Revision uint64
}

// Client is the set of calls to the platform's key-value store; tests and wrapping layers replace its fields.
type Client struct {
	// Get returns the record at key, from the latest state.
	Get func(ctx context.Context, key string) (Record, error)
	// Newer returns the record at key if it was written after a revision, and the revision up to which that was looked up. It carries no
	// value that is not newer. If the service does not keep the changes any more, the error is ErrCompacted.
	Newer func(ctx context.Context, key string, after uint64) (r Record, found bool, at uint64, err error)
	// List returns every record under prefix, from the latest state.
	List func(ctx context.Context, prefix string) (Listing, error)
	// CompareAndSwap carries out w and returns the new store revision.
	CompareAndSwap func(ctx context.Context, w Write) (uint64, error)
	// Commit carries out a transaction and returns the new store revision; a failed expectation gives a ConflictError.
	Commit func(ctx context.Context, t Txn) (uint64, error)
	// Watch returns the changes under prefix after a revision; if there are none yet, it waits for the first up to wait.
	Watch func(ctx context.Context, prefix string, after uint64, wait time.Duration) (Events, error)
	// Grant creates a lease.
	Grant func(ctx context.Context, ttl time.Duration) (Lease, error)
	// KeepAlive renews a lease for its whole TTL.
	KeepAlive func(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes the keys bound to it.
	Revoke func(ctx context.Context, id LeaseID) error
}
