package dispatch

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/pause"
	"lycheehook.example/lycheehook/store"
)

// errTermEnded is returned for writes after another term has begun.
var errTermEnded = merry.Sentinel("dispatch: another term has begun")

// errNotWritten is returned if the store takes no batch although it renews the lease of the term.
var errNotWritten = merry.Sentinel("dispatch: can't write the log")

const (
	retryPause = 50 * time.Millisecond
	// The timeout of a write starts low, since answers may be lost, and doubles after each failure.
	minWriteTimeout = 120 * time.Millisecond
	maxWriteTimeout = 2 * time.Second
	// maxAppendTime limits the time for one batch while the lease of the term is valid; another host may be able to write it.
	maxAppendTime = 12 * time.Second
)

// logWriter appends batches to the ledger's log, one at a time.
type logWriter struct {
	client *store.Client
	owner  ledger.Owner
	term   uint64
	// next is the number of the next batch.
	next  uint64
	log   *log.Logger
	began time.Time
	// timeout limits the next write.
	timeout time.Duration
	// onStored is called for each stored batch.
	onStored func(r store.Record)
	// valid reports whether the lease of the term is valid now. While it is not, the store may be down for all hosts.
	valid func() bool
}

func newLogWriter(c *store.Client, owner ledger.Owner, term, next uint64, l *log.Logger, onStored func(r store.Record)) *logWriter {
	return &logWriter{
		client: c, owner: owner, term: term, next: next, log: l, began: time.Now(), timeout: minWriteTimeout, onStored: onStored,
		valid: func() bool { return true },
	}
}

// append stores a batch. It retries until the outcome is known, which is safe because each try writes the same key, but not for
// longer than maxAppendTime while the lease is valid.
func (w *logWriter) append(ctx context.Context, changes []ledger.Change) error {
	value, err := ledger.EncodeBatch(ledger.Batch{
		Number: w.next, Owner: w.owner.Host, Term: w.term, At: time.Now(), Uptime: time.Since(w.began), Changes: changes,
	})
	if err != nil {
		return err
	}
	key := ledger.LogKey(w.next)
	validSince := time.Now()
	for {
		started := time.Now()
		err := w.tryWrite(ctx, key, value)
		switch {
		case err == nil:
			w.next++
			w.onStored(store.Record{Key: key, Value: value})
			w.timeout = max(minWriteTimeout, min(maxWriteTimeout, (w.timeout+4*time.Since(started))/2))

			return nil
		case errors.Is(err, errTermEnded) || ctx.Err() != nil:
			return err
		case !w.valid():
			validSince = time.Now()
		case time.Since(validSince) >= maxAppendTime:
			return merry.Prepend(errNotWritten, err.Error())
		}
		w.log.Warn("can't write to the log; retrying", "batch", w.next, "wait", w.timeout, "error", err)
		w.timeout = min(maxWriteTimeout, 2*w.timeout)
		pause.For(ctx, retryPause)
	}
}

func (w *logWriter) tryWrite(ctx context.Context, key string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	_, err := w.client.Commit(ctx, store.Txn{
		Expect: []store.Expectation{{Key: ledger.OwnerKey, Revision: w.term}, {Key: key}},
		Puts:   []store.Put{{Key: key, Value: value}},
	})
	var c *store.ConflictError
	if !errors.As(err, &c) {
		return err
	}
	for _, r := range c.Records {
		if r.Key == key {
			if bytes.Equal(r.Value, value) {
				return nil
			}

			return merry.Prependf(errTermEnded, "batch %s was written by another", key)
		}
	}

	return merry.Prepend(errTermEnded, "the owner's record has changed")
}
