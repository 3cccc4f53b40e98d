package relay

import (
	"context"
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

// attempt is the end of a call by a way.
type attempt struct {
	way
	resp platform.Response
	err  error
}

// reading is a read that is sent by one way after another until the store answers: by the next one as soon as an attempt fails
// or is overdue. The earlier attempts go on beside it, since a slow answer is better than none.
type reading struct {
	route   *Route
	req     platform.Request
	ways    []way
	pending int
	ended   chan attempt
	// deadline is until when the direct connection is tried again; it counts from the first call by the last way.
	deadline time.Time
}

// read makes a call that has no effect.
func (r *Route) read(ctx context.Context, req platform.Request) (platform.Response, error) {
	rd := &reading{route: r, req: req, ways: r.ways(ctx), ended: make(chan attempt)}
	attempts, cancel := context.WithCancelCause(ctx)
	defer cancel(errOvertaken)
	overdue := time.NewTimer(req.HedgeDelay)
	defer overdue.Stop()
	if req.HedgeDelay <= 0 {
		overdue.Stop()
	}

	for rd.sendNext(attempts); ; {
		select {
		case <-ctx.Done():
			return platform.Response{}, merry.Wrap(platform.ErrNoAnswer, merry.WithCause(ctx.Err()))
		case a := <-rd.ended:
			rd.pending--
			if answered(a.resp, a.err) {
				r.setLastPeer(a.peer)
				return a.resp, nil
			}
			if !rd.sendNext(attempts) && rd.pending == 0 {
				return a.resp, a.err
			}
		case <-overdue.C:
			switch {
			case rd.sendNext(attempts):
				overdue.Reset(req.HedgeDelay)
			case time.Now().Before(rd.deadline):
				rd.send(attempts, way{})
				overdue.Reset(repeatDelay)
			default:
				return platform.Response{}, merry.Wrap(platform.ErrNoAnswer, merry.WithCause(context.DeadlineExceeded))
			}
		}
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

func (rd *reading) send(ctx context.Context, w way) {
	rd.pending++
	go func() {
		a := attempt{way: w}
		if w.peer == "" {
			a.resp, a.err = rd.route.exchangeDirect(ctx, rd.req)
		} else {
			a.resp, a.err = rd.route.viaPeer(w.peer)(ctx, rd.req)
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
