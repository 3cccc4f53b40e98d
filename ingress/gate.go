package ingress

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Reason is why a request or a connection was refused or closed.
type Reason string

// The reasons.
const (
	// ReasonBodyShed and ReasonHeaderShed mean that the budget was used up while a body or a header arrived.
	ReasonBodyShed   Reason = "BodyShed"
	ReasonHeaderShed Reason = "HeaderShed"
	// ReasonBodySlow means that a body arrived too slowly or not before the caller's deadline.
	ReasonBodySlow Reason = "BodySlow"
	// ReasonHeaderTooLarge means that a header was larger than the limit.
	ReasonHeaderTooLarge Reason = "HeaderTooLarge"
	// ReasonEvicted means that a connection was closed for a new one, ReasonConnections that a new one was closed because each of
	// the others is in use.
	ReasonEvicted     Reason = "Evicted"
	ReasonConnections Reason = "Connections"
	// ReasonBusy means that almost all connections of the listener are being served.
	ReasonBusy Reason = "Busy"
	// ReasonStream means that the stream between hosts that was silent for the longest time was closed for a new one.
	ReasonStream Reason = "Stream"
	// ReasonHeaderSlow means that a header did not arrive before its timeout.
	ReasonHeaderSlow Reason = "HeaderSlow"
	// ReasonCut means that this process closed a connection from which it had received a request, or a part of one, without any answer.
	ReasonCut Reason = "Cut"
)

// Reasons returns all reasons.
func Reasons() []Reason {
	return []Reason{
		ReasonBodyShed, ReasonHeaderShed, ReasonBodySlow, ReasonHeaderTooLarge, ReasonEvicted, ReasonConnections, ReasonBusy, ReasonStream,
		ReasonHeaderSlow, ReasonCut,
	}
}

// DefaultHeaderBytes is the default limit of a header.
const DefaultHeaderBytes = 16 << 10

const (
	// headerTimeout limits the time from the first byte of a request to the end of its header.
	headerTimeout = 3 * time.Second
	idleTimeout   = time.Minute
)

// Gate is the limits that the listeners of a process share.
type Gate struct {
	// requests is the base of the contexts of all requests; stop ends it.
	requests    context.Context
	stop        context.CancelCauseFunc
	budget      *Budget
	headerBytes int
	observe     func(Reason)
	streams     *streams
	// ownTimes is set when the handler bounds the times of bodies and responses itself.
	ownTimes bool
}

// Option changes a new gate.
type Option func(*Gate)

// WithHeaderBytes sets the limit of a header; the server allows 4 KiB more.
func WithHeaderBytes(n int) Option {
	return func(g *Gate) { g.headerBytes = n }
}

// WithStreams sets the limit of streams between hosts; zero means no limit.
func WithStreams(n int) Option {
	return func(g *Gate) { g.streams.limit = n }
}

// WithOwnTimes leaves the times for bodies and responses to the handler, which may pass a body on while it arrives and calls Commit
// before it does. A response to a body that is neither read nor committed closes its connection.
func WithOwnTimes() Option {
	return func(g *Gate) { g.ownTimes = true }
}

// WithObserver makes the gate call f for each request or connection that it refuses or closes.
func WithObserver(f func(Reason)) Option {
	return func(g *Gate) { g.observe = f }
}

// NewGate returns a gate whose requests are charged to the budget.
func NewGate(b *Budget, options ...Option) *Gate {
	g := &Gate{budget: b, headerBytes: DefaultHeaderBytes, observe: func(Reason) {}, streams: newStreams()}
	g.requests, g.stop = context.WithCancelCause(context.Background())
	for _, o := range options {
		o(g)
	}

	return g
}

// Listen returns a listener that keeps at most limit connections open; zero means no limit.
func (g *Gate) Listen(l net.Listener, limit int) *Listener {
	return &Listener{Listener: l, gate: g, limit: limit, evicting: map[*conn]struct{}{}}
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// Server returns a server for listeners of the gate. Requests for which isStream reports true are long-lived streams between
// hosts, of which only the number is limited; nil means that there are none.
func (g *Gate) Server(h http.Handler, isStream func(r *http.Request) bool) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: g.headerBytes}
	g.Guard(s, isStream)

	return s
}

// Guard wraps the handler of a server for listeners of the gate, which may have TLS around them.
func (g *Gate) Guard(s *http.Server, isStream func(r *http.Request) bool) {
	s.Handler = g.handler(s.Handler, isStream)
	s.BaseContext = func(net.Listener) context.Context { return g.requests }
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, innermost(c))
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if own, ok := innermost(c).(*conn); ok {
			own.setState(state)
		}
	}
}

// innermost returns the connection under TLS.
func innermost(c net.Conn) net.Conn {
	if t, ok := c.(interface{ NetConn() net.Conn }); ok {
		return t.NetConn()
	}

	return c
}

func (g *Gate) handler(h http.Handler, isStream func(r *http.Request) bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		defer c.end()
		// The deadline of the response before this one no longer applies. An error means that the connection is closed.
		_ = c.SetWriteDeadline(time.Time{})
		header := headerBytes(r.Header)
		// No handler uses trailers, and names that are only announced take many times their text.
		r.Trailer = nil
		if isStream != nil && isStream(r) {
			c.begin(phaseStream, header).release()
			for range g.streams.add(c) {
				g.observe(ReasonStream)
			}
			defer g.streams.remove(c)
			h.ServeHTTP(w, r)

			return
		}
		rw := &responseWriter{ResponseWriter: w, conn: c, length: r.ContentLength}
		if r.Body == http.NoBody {
			if !c.begin(phaseServing, header).settle() {
				rw.refuse(ReasonHeaderShed)
				return
			}
			if c.listener.isBusy() {
				rw.refuse(ReasonBusy)
				return
			}
		} else {
			m := c.begin(phaseReceiving, header)
			rw.body = &body{ReadCloser: r.Body, request: r, conn: c, meter: m, began: time.Now()}
			r = r.WithContext(context.WithValue(r.Context(), bodyKey{}, rw.body))
			r.Body = rw.body
		}
		h.ServeHTTP(rw, r)
		rw.prepare(nil)
	})
}
