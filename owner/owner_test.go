package owner

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/standin"
)

// contender is a process that seeks terms and notes when it holds a valid one.
type contender struct {
	seat *Seat
	mu   sync.Mutex
	term *Term
	// ahead is by how much the uptime is ahead of the runtime's clock, as after a suspension.
	ahead atomic.Int64
}

func (c *contender) valid() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.term != nil && c.term.Valid()
}

func contend(ctx context.Context, s *standin.Store, host fleet.EntryName, process string) *contender {
	return contendWith(ctx, s, ledger.Host{Name: host, PeerAddress: "at-" + string(host)}, process)
}

func contendWith(ctx context.Context, s *standin.Store, host ledger.Host, process string) *contender {
	c := &contender{}
	l := log.New(io.Discard)
	began := time.Now()
	uptime := func() time.Duration { return time.Since(began) + time.Duration(c.ahead.Load()) + time.Second }
	c.seat = NewSeat(s.Client(), host, l, WithUptime(uptime))
	f := ledger.NewFollower(s.Client(), l)
	go f.Run(ctx)
	go c.seat.Run(ctx)
	go NewCandidate(s.Client(), c.seat, f, process, l).Run(ctx, func(ctx context.Context, t *Term) {
		c.mu.Lock()
		c.term = t
		c.mu.Unlock()
		for !t.Over() && ctx.Err() == nil {
			time.Sleep(10 * time.Millisecond)
		}
	})

	return c
}

// At any moment one process at most has a valid term, through deaths of owners, outages and lost answers of the store.
func TestOneOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var all []*contender
		var kill []context.CancelFunc
		for _, name := range []fleet.EntryName{"a", "b", "c"} {
			ctx, cancel := context.WithCancel(ctx)
			all, kill = append(all, contend(ctx, s, name, "p-"+string(name))), append(kill, cancel)
		}
		faults := []standin.Fault{standin.FaultNone, standin.FaultDown, standin.FaultNone, standin.FaultAnswerLost, standin.FaultSilent}
		had := 0
		for i := range 300 {
			time.Sleep(100 * time.Millisecond)
			s.SetFault(faults[i/20%len(faults)])
			if i == 150 {
				kill[0]()
			}
			valid := 0
			for _, c := range all {
				if c.valid() {
					valid++
				}
			}
			had += valid
			if valid > 1 {
				t.Fatalf("%d owners after %d steps", valid, i)
			}
		}
		if had < 50 {
			t.Errorf("an owner in %d of 300 steps", had)
		}
		cancel()
		synctest.Wait()
		time.Sleep(5 * time.Second)
	})
}

// Grown sites: eight entry hosts have four times the processor time of the others. When the owner dies, one of them follows.
func TestStrongerHostOwns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		ctx, cancel := context.WithCancel(t.Context())
		first, kill := context.WithCancel(ctx)
		contendWith(first, s, ledger.Host{Name: "a", PeerAddress: "a", Cores: 0.8}, "p-a")
		time.Sleep(time.Second)
		for _, name := range []fleet.EntryName{"b", "c", "d", "e"} {
			contendWith(ctx, s, ledger.Host{Name: name, PeerAddress: string(name), Cores: 0.192}, "p-"+string(name))
		}
		strong := contendWith(ctx, s, ledger.Host{Name: "f", PeerAddress: "f", Cores: 0.8}, "p-f")
		time.Sleep(2 * time.Second)
		kill()
		time.Sleep(2*leaseTime + weakPause)
		if !strong.valid() {
			t.Error("a weak host owns the workers while a strong one is there")
		}
		cancel()
		synctest.Wait()
		time.Sleep(5 * time.Second)
	})
}

// A suspended owner's runtime clock stands still; its term is over all the same when the machine wakes.
func TestSuspendedOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		ctx, cancel := context.WithCancel(t.Context())
		c := contend(ctx, s, "a", "p-a")
		time.Sleep(time.Second)
		if !c.valid() {
			t.Error("no owner")
		}
		c.ahead.Store(int64(leaseTime))
		if c.valid() {
			t.Error("the term is valid after a suspension as long as the lease")
		}
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// A process that starts anew on the owner's host owns the workers before the lease of the earlier process ends.
func TestRestartedOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		first, kill := context.WithCancel(t.Context())
		contend(first, s, "a", "p-1")
		time.Sleep(time.Second)
		kill()
		time.Sleep(100 * time.Millisecond)

		ctx, cancel := context.WithCancel(t.Context())
		c := contend(ctx, s, "a", "p-2")
		time.Sleep(leaseTime / 2)
		if !c.valid() {
			t.Error("the restarted process waits for its predecessor's lease")
		}
		cancel()
		time.Sleep(5 * time.Second)
	})
}
