package relay

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/platform"
)

// repeatDelay is the time between direct attempts of an overdue read once all ways were tried.
const repeatDelay = 500 * time.Millisecond

// errOvertaken is the cause with which the other attempts of a read are cancelled once one was answered.
var errOvertaken = merry.Sentinel("relay: another attempt was answered")

// way is one way to the store: through a peer or, if that is empty, the direct connection.
type way struct {
	peer string
}

// attempt is a call by a way.
type attempt struct {
	way
	resp platform.Response
	err  error
	// progressAt is when more of the response last arrived, in Unix nanoseconds; zero before it begins.
	progressAt atomic.Int64
}

// reading is a read that is sent by one way after another until the store answers: by the next one as soon as an attempt fails
// or is overdue. The earlier attempts go on beside it, since a slow answer is better than none.
type reading struct {
	route *Route
	req   platform.Request
	ways  []way
	// pending has the attempts that have not ended.
	pending []*attempt
	// begun receives a value when a response begins or more of it arrives.
	begun chan struct{}
	ended chan *attempt
	// deadline is until when the direct connection is tried again; it counts from the first call by the last way.
	deadline time.Time
}

// read makes a call that has no effect.
func (r *Route) read(ctx context.Context, req platform.Request) (platform.Response, error) {
	rd := &reading{route: r, req: req, ways: append(r.bulkWays(req), r.ways(ctx)...), begun: make(chan struct{}, 1), ended: make(chan *attempt)}
	attempts, cancel := context.WithCancelCause(ctx)
	defer cancel(errOvertaken)
	late := newOverdue(req)
	defer late.timer.Stop()

	for rd.sendNext(attempts); ; {
		select {
		case <-ctx.Done():
			return platform.Response{}, merry.Wrap(platform.ErrNoAnswer, merry.WithCause(ctx.Err()))
		case <-rd.begun:
			late.reset(req.BodyStall())
		case a := <-rd.ended:
			rd.pending = slices.DeleteFunc(rd.pending, func(p *attempt) bool { return p == a })
			switch {
			case answered(a.resp, a.err):
				r.setLastPeer(a.peer)
				return a.resp, nil
			case rd.arriving():
			case rd.sendNext(attempts):
				late.reset(req.HedgeDelay)
			case len(rd.pending) == 0:
				return a.resp, a.err
			}
		case <-late.timer.C:
			delay := rd.retryStalled()
			switch {
			case rd.sendNext(attempts):
				late.reset(delay)
			case time.Now().Before(rd.deadline):
				rd.send(attempts, way{})
				late.reset(repeatDelay)
			default:
				return platform.Response{}, merry.Wrap(platform.ErrNoAnswer, merry.WithCause(context.DeadlineExceeded))
			}
		}
	}
}

// noteResponse is called when the response to an attempt begins or more of it arrives.
func (rd *reading) noteResponse() {
	if rd.req.OnResponse != nil {
		rd.req.OnResponse()
	}
	select {
	case rd.begun <- struct{}{}:
	default:
	}
}

// sendNext sends the read by the next way and reports whether there was one.
func (rd *reading) sendNext(ctx context.Context) bool {
	if len(rd.ways) == 0 {
		return false
	}
	rd.send(ctx, rd.ways[0])
	rd.ways = rd.ways[1:]
	rd.deadline = time.Now().Add(rd.req.Timeout)

	return true
}

// retryStalled makes the next attempt go by the way of a response that has stopped arriving, on a new connection, since those before may
// have gone silent. It returns when the attempt after that is due.
func (rd *reading) retryStalled() time.Duration {
	var stalled *attempt
	for _, a := range rd.pending {
		if at := a.progressAt.Load(); at > 0 && (stalled == nil || at > stalled.progressAt.Load()) {
			stalled = a
		}
	}
	if stalled == nil {
		return rd.req.HedgeDelay
	}
	if !rd.req.Fresh {
		rd.req.Fresh = true
		rd.ways = append([]way{stalled.way}, rd.ways...)
	}

	return min(rd.req.HedgeDelay, repeatDelay)
}

// arriving reports whether a response arrives, so that the read need not be sent again.
func (rd *reading) arriving() bool {
	return slices.ContainsFunc(rd.pending, func(a *attempt) bool {
		return time.Now().UnixNano()-a.progressAt.Load() < int64(rd.req.BodyStall())
	})
}

func (rd *reading) send(ctx context.Context, w way) {
	a := &attempt{way: w}
	rd.pending = append(rd.pending, a)
	req := rd.req
	req.OnResponse = func() {
		a.progressAt.Store(time.Now().UnixNano())
		rd.noteResponse()
	}
	go func() {
		if w.peer == "" {
			a.resp, a.err = rd.route.exchangeDirect(ctx, req)
		} else {
			a.resp, a.err = rd.route.viaPeer(w.peer)(ctx, req)
		}
		select {
		case rd.ended <- a:
		case <-ctx.Done():
		}
	}()
}

// ways returns the ways to try, in this order. The direct connection is tried again early, as the first attempt may have been
// on a connection that went silent.
func (r *Route) ways(ctx context.Context) []way {
	var ways []way
	if !r.failedOver(ctx) {
		ways = append(ways, way{})
	}
	for i, p := range r.peerOrder() {
		ways = append(ways, way{peer: p})
		if i == 0 {
			ways = append(ways, way{})
		}
	}
	if len(ways) == 0 {
		ways = append(ways, way{})
	}

	return ways
}

// overdue tells when a read is overdue.
type overdue struct {
	timer *time.Timer
	// never is set for reads that are sent again only after a failure.
	never bool
}

func newOverdue(req platform.Request) overdue {
	o := overdue{timer: time.NewTimer(req.HedgeDelay), never: req.HedgeDelay <= 0}
	if o.never {
		o.timer.Stop()
	}

	return o
}

func (o overdue) reset(d time.Duration) {
	if !o.never {
		o.timer.Reset(d)
	}
}
