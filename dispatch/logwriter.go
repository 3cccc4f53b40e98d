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

// errTermOver says that another term has begun, so that nothing can be written in this one.
var errTermOver = merry.Sentinel("dispatch: another term has begun")

const (
	retryPause = 50 * time.Millisecond
	// The wait for the store's answer starts low, since an answer may be lost, and doubles with each try.
	minStoreWait = 120 * time.Millisecond
	maxStoreWait = 2 * time.Second
)

// logWriter appends batches to the ledger's log, one after the other.
type logWriter struct {
	client *store.Client
	host   ledger.Owner
	term   uint64
	// next is the batch to be written.
	next  uint64
	log   *log.Logger
	began time.Time
	// wait is how long the store gets to answer.
	wait time.Duration
	// stored is told of each batch that is stored.
	stored func(r store.Record)
}

func newLogWriter(c *store.Client, host ledger.Owner, term, next uint64, l *log.Logger, stored func(r store.Record)) *logWriter {
	return &logWriter{
		client: c, host: host, term: term, next: next, log: l, began: time.Now(), wait: minStoreWait, stored: stored,
	}
}

// append stores a batch. It tries until the outcome is known: the batch's key makes each try the same write.
func (w *logWriter) append(ctx context.Context, changes []ledger.Change) error {
	value, err := ledger.EncodeBatch(ledger.Batch{
		Number: w.next, Owner: w.host.Host, Term: w.term, At: time.Now(), Uptime: time.Since(w.began), Changes: changes,
	})
	if err != nil {
		return err
	}
	key := ledger.LogKey(w.next)
	for {
		asked := time.Now()
		err := w.try(ctx, key, value)
		switch {
		case err == nil:
			w.next++
			w.stored(store.Record{Key: key, Value: value})
			w.wait = max(minStoreWait, min(maxStoreWait, (w.wait+4*time.Since(asked))/2))

			return nil
		case errors.Is(err, errTermOver) || ctx.Err() != nil:
			return err
		}
		w.log.Warn("write of the log failed, trying again", "batch", w.next, "wait", w.wait, "error", err)
		w.wait = min(maxStoreWait, 2*w.wait)
		pause.For(ctx, retryPause)
	}
}

func (w *logWriter) try(ctx context.Context, key string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, w.wait)
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

			return merry.Prependf(errTermOver, "batch %s was written by another", key)
		}
	}

	return merry.Prepend(errTermOver, "the owner's record has changed")
}
