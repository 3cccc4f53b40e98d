package ingress

import (
	"context"
	"errors"
	"io"
)

// bodyKey is the key of the body in the context of a request.
type bodyKey struct{}

// SetAccount tells the gate whom the request of ctx belongs to, before its body is read. When memory is short, a request of the account that
// takes most is given up first.
func SetAccount(ctx context.Context, account string) {
	if b, ok := ctx.Value(bodyKey{}).(*body); ok {
		b.meter.setAccount(account)
	}
}

// OnShed makes the gate call cancel, which must not block, if it gives up the request of ctx or closes its connection for a new one.
// It is for requests that wait while their body has not arrived.
func OnShed(ctx context.Context, cancel func()) {
	b, ok := ctx.Value(bodyKey{}).(*body)
	if !ok {
		return
	}
	b.conn.setEvicted(cancel)
	b.meter.budget.mu.Lock()
	defer b.meter.budget.mu.Unlock()
	abort := b.meter.abort
	b.meter.abort = func() {
		abort()
		cancel()
	}
	if b.meter.shed {
		cancel()
	}
}

// Commit is called before the first byte of a body is passed on to where it may take effect. It reports whether the request of ctx
// has not been given up; from then on it never is, and what arrives is no longer charged.
func Commit(ctx context.Context) bool {
	b, ok := ctx.Value(bodyKey{}).(*body)
	if !ok {
		return true
	}
	if !b.meter.settle() {
		return false
	}
	b.committed.Store(true)
	b.conn.listener.enter(b.conn, phaseServing)

	return true
}

// IsShed reports whether the gate has given up the request of ctx.
func IsShed(ctx context.Context) bool {
	b, ok := ctx.Value(bodyKey{}).(*body)

	return ok && b.meter.isShed()
}

// prepareOwn prepares a response of a handler with its own times. The server doesn't read the rest of a body before it closes a
// connection.
func (w *responseWriter) prepareOwn() {
	if w.body != nil && !w.body.committed.Load() && !errors.Is(w.body.err, io.EOF) {
		w.Header().Set("Connection", "close")
	}
}
