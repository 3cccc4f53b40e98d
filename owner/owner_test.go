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
	"lycheehook.example/lycheehook/store"
)

// contender is a process that competes for terms and records the last one.
type contender struct {
	session *Session
	mu      sync.Mutex
	term    *Term
	// lag is how late the passes of the process begin, in nanoseconds.
	lag atomic.Int64
	// ahead is the lead of the uptime over the Go runtime's clock, which doesn't include time in suspend.
	ahead atomic.Int64
}

func (c *contender) valid() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.term != nil && c.term.Valid()
}

func startContender(ctx context.Context, s *standin.Store, host fleet.EntryName, process string) *contender {
	return startContenderOn(ctx, s, ledger.Host{Name: host, PeerAddress: "at-" + string(host)}, process)
}

func startContenderOn(ctx context.Context, s *standin.Store, host ledger.Host, process string) *contender {
	return startContenderWith(ctx, s.Client(), host, process)
}

func startContenderWith(
	ctx context.Context, client *store.Client, host ledger.Host, process string, options ...ledger.FollowerOption,
) *contender {
	c := &contender{}
	l := log.New(io.Discard)
	began := time.Now()
	uptime := func() time.Duration { return time.Since(began) + time.Duration(c.ahead.Load()) + time.Second }
	c.session = NewSession(client, host, l, WithUptime(uptime))
	f := ledger.NewFollower(client, l, options...)
	go f.Run(ctx)
	go c.session.Run(ctx)
	go NewCandidate(client, c.session, f, process, l).Run(ctx, func(ctx context.Context, t *Term) {
		c.mu.Lock()
		c.term = t
		c.mu.Unlock()
		for !t.Ended() && ctx.Err() == nil {
			t.Pass(time.Duration(c.lag.Load()))
			time.Sleep(10 * time.Millisecond)
		}
	})

	return c
}

// At most one process has a valid term at any time, also when the owner dies, the store is down or its answers are lost.
func TestOneOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var contenders []*contender
		var kill []context.CancelFunc
		for _, name := range []fleet.EntryName{"a", "b", "c"} {
			ctx, cancel := context.WithCancel(ctx)
			contenders, kill = append(contenders, startContender(ctx, s, name, "p-"+string(name))), append(kill, cancel)
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
			for _, c := range contenders {
				if c.valid() {
					valid++
				}
			}
			had += valid
			if valid > 1 {
				t.Fatalf("%d owners at step %d", valid, i)
			}
		}
		if had < 50 {
			t.Errorf("had an owner in only %d of 300 steps", had)
		}
		cancel()
		synctest.Wait()
		time.Sleep(5 * time.Second)
	})
}

// When the owner dies, a host with more cores succeeds it. On large sites, eight entry hosts have four times the cores of
// the others.
func TestStrongerHostSucceeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		ctx, cancel := context.WithCancel(t.Context())
		first, kill := context.WithCancel(ctx)
		startContenderOn(first, s, ledger.Host{Name: "a", PeerAddress: "a", Cores: 0.8}, "p-a")
		time.Sleep(time.Second)
		for _, name := range []fleet.EntryName{"b", "c", "d", "e"} {
			startContenderOn(ctx, s, ledger.Host{Name: name, PeerAddress: string(name), Cores: 0.192}, "p-"+string(name))
		}
		strong := startContenderOn(ctx, s, ledger.Host{Name: "f", PeerAddress: "f", Cores: 0.8}, "p-f")
		time.Sleep(2 * time.Second)
		kill()
		time.Sleep(2*leaseTime + 400*time.Millisecond)
		if !strong.valid() {
			t.Error("a weak host became the owner although a strong one is available")
		}
		cancel()
		synctest.Wait()
		time.Sleep(5 * time.Second)
	})
}

// Accepted jobs did not start for the rest of the day: after a restart of all hosts a weak one became the owner, since the
// strong ones could not bid before they had read the whole ledger.
func TestStrongerHostSucceedsAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		ctx, cancel := context.WithCancel(t.Context())
		strong := startContenderWith(
			ctx, withLongLedger(s.Client(), 1500*time.Millisecond), ledger.Host{Name: "f", PeerAddress: "f", Cores: 0.8}, "p-f",
		)
		time.Sleep(30 * time.Millisecond)
		for _, name := range []fleet.EntryName{"a", "b", "c", "d"} {
			startContenderWith(
				ctx, s.Client(), ledger.Host{Name: name, PeerAddress: string(name), Cores: 0.192}, "p-"+string(name),
				ledger.WithPatience(func() time.Duration { return 5 * time.Second }),
			)
		}
		time.Sleep(leaseTime)
		if !strong.valid() {
			t.Error("a weak host became the owner although a strong one started at the same time")
		}
		cancel()
		synctest.Wait()
		time.Sleep(10 * time.Second)
	})
}

// A strong host that holds a lease and never bids keeps the workers without an owner for a bounded time only.
func TestStrongerHostThatNeverBids(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		ctx, cancel := context.WithCancel(t.Context())
		go NewSession(s.Client(), ledger.Host{Name: "f", PeerAddress: "f", Cores: 0.8}, log.New(io.Discard)).Run(ctx)
		time.Sleep(30 * time.Millisecond)
		weak := startContenderOn(ctx, s, ledger.Host{Name: "a", PeerAddress: "a", Cores: 0.192}, "p-a")
		time.Sleep(deferLimit + time.Second)
		if !weak.valid() {
			t.Error("there is no owner although a host bids")
		}
		cancel()
		synctest.Wait()
		time.Sleep(5 * time.Second)
	})
}

// withLongLedger returns a client that takes some time to read the whole ledger.
func withLongLedger(c *store.Client, took time.Duration) *store.Client {
	slow := *c
	slow.List = func(ctx context.Context, prefix string) (store.Listing, error) {
		if prefix == ledger.Prefix {
			time.Sleep(took)
		}

		return c.List(ctx, prefix)
	}

	return &slow
}

// Accepted jobs did not start for the rest of the day: a weak owner kept its term although strong hosts were back.
func TestWeakOwnerHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		ctx, cancel := context.WithCancel(t.Context())
		weak := startContenderOn(ctx, s, ledger.Host{Name: "a", PeerAddress: "a", Cores: 0.192}, "p-a")
		time.Sleep(time.Second)
		if !weak.valid() {
			t.Error("the only host is not the owner")
		}
		strong := startContenderOn(ctx, s, ledger.Host{Name: "f", PeerAddress: "f", Cores: 0.8}, "p-f")
		for range 80 {
			time.Sleep(100 * time.Millisecond)
			if weak.valid() && strong.valid() {
				t.Fatal("two owners at a time")
			}
		}
		if !strong.valid() {
			t.Error("a weak host remains the owner although a strong one has been there for eight seconds")
		}
		cancel()
		synctest.Wait()
		time.Sleep(5 * time.Second)
	})
}

// An owner whose passes begin late for seconds, such as a host that has turned slow, kept the workers beside hosts that are
// well.
func TestLateOwnerHandsOver(t *testing.T) {
	tests := []struct {
		name string
		// cores are those of the host beside the owner, which has one; zero means that there is none.
		cores float64
		// from is when the owner turns slow, after the start of its term.
		from time.Duration
		want bool
	}{
		{"as strong", 1, 40 * time.Second, true},
		{"nearly as strong", 0.7, 40 * time.Second, true},
		{"too weak", 0.6, 40 * time.Second, false},
		{"alone", 0, 40 * time.Second, false},
		{"in the first seconds of a term", 1, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := standin.NewStore()
				ctx, cancel := context.WithCancel(t.Context())
				first := startContenderOn(ctx, s, ledger.Host{Name: "a", PeerAddress: "a", Cores: 1}, "p-a")
				time.Sleep(time.Second)
				if tt.cores > 0 {
					startContenderOn(ctx, s, ledger.Host{Name: "b", PeerAddress: "b", Cores: tt.cores}, "p-b")
				}
				time.Sleep(tt.from)
				first.lag.Store(int64(time.Second))
				time.Sleep(lateLimit + time.Second)
				if got := !first.valid(); got != tt.want {
					t.Errorf("handed over: %v, want %v", got, tt.want)
				}
				cancel()
				synctest.Wait()
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// Where every host is too weak for the work, the workers change hands no more often than once in minLateTerm.
func TestHandoverAmongLateHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		ctx, cancel := context.WithCancel(t.Context())
		var list []*contender
		for _, name := range []string{"a", "b", "c"} {
			c := startContenderOn(ctx, s, ledger.Host{Name: fleet.EntryName(name), PeerAddress: name, Cores: 1}, "p-"+name)
			c.lag.Store(int64(time.Second))
			list = append(list, c)
		}
		const step = 100 * time.Millisecond
		began := map[*Term]time.Time{}
		var last time.Time
		for end := time.Now().Add(5 * time.Minute); time.Now().Before(end); time.Sleep(step) {
			for _, c := range list {
				c.mu.Lock()
				if t := c.term; t != nil && began[t].IsZero() {
					began[t] = time.Now()
				}
				c.mu.Unlock()
			}
			if now := began[newest(began)]; now != last {
				if !last.IsZero() && now.Sub(last) < minLateTerm-step {
					t.Errorf("a term ended after %s", now.Sub(last))
				}
				last = now
			}
		}
		if len(began) < 2 {
			t.Errorf("%d terms, want several", len(began))
		}
		cancel()
		synctest.Wait()
		time.Sleep(5 * time.Second)
	})
}

// newest returns the term that began last.
func newest(began map[*Term]time.Time) *Term {
	var n *Term
	for t, at := range began {
		if n == nil || at.After(began[n]) {
			n = t
		}
	}

	return n
}

// A term that its process has given up, and whose record could not be removed at once, kept every host from owning the workers
// for as long as the process lived.
func TestGivenUpTermIsRemoved(t *testing.T) {
	for _, fault := range []standin.Fault{standin.FaultDown, standin.FaultSilent, standin.FaultAnswerLost} {
		t.Run(string(fault), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := standin.NewStore()
				ctx, cancel := context.WithCancel(t.Context())
				client := withReadTimeout(s.Client(), 3*time.Second)
				l := log.New(io.Discard)
				session := NewSession(client, ledger.Host{Name: "a", PeerAddress: "a"}, l, WithUptime(steadyUptime()))
				f := ledger.NewFollower(client, l)
				go f.Run(ctx)
				go session.Run(ctx)
				var terms atomic.Int64
				go NewCandidate(client, session, f, "p-a", l).Run(ctx, func(ctx context.Context, _ *Term) {
					if terms.Add(1) > 1 {
						<-ctx.Done()
						return
					}
					time.Sleep(time.Second)
					s.SetFault(fault)
					// The store is well again before the lease of the process ends.
					time.AfterFunc(leaseTime/2, func() { s.SetFault(standin.FaultNone) })
				})
				time.Sleep(10 * time.Second)
				if n := terms.Load(); n != 2 {
					t.Errorf("%d terms in ten seconds, want 2", n)
				}
				cancel()
				synctest.Wait()
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// withReadTimeout returns a client whose reads end in time, as those of the platform's client do.
func withReadTimeout(c *store.Client, timeout time.Duration) *store.Client {
	bounded := *c
	bounded.Watch = func(ctx context.Context, prefix string, after uint64, wait time.Duration) (store.Events, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()

		return c.Watch(ctx, prefix, after, wait)
	}
	bounded.List = func(ctx context.Context, prefix string) (store.Listing, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()

		return c.List(ctx, prefix)
	}

	return &bounded
}

// steadyUptime returns a clock for leases that starts above zero.
func steadyUptime() func() time.Duration {
	began := time.Now()

	return func() time.Duration { return time.Since(began) + time.Second }
}

// An owner that stronger hosts don't relieve keeps the workers, but for one try in handoverInterval.
func TestHandoverThatFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		ctx, cancel := context.WithCancel(t.Context())
		go NewSession(s.Client(), ledger.Host{Name: "f", PeerAddress: "f", Cores: 0.8}, log.New(io.Discard)).Run(ctx)
		weak := startContenderOn(ctx, s, ledger.Host{Name: "a", PeerAddress: "a", Cores: 0.192}, "p-a")
		without := 0
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			if !weak.valid() {
				without++
			}
		}
		if limit := int(2 * (deferLimit + leaseTime) / (100 * time.Millisecond)); without > limit {
			t.Errorf("no owner in %d of 600 steps, want at most %d", without, limit)
		}
		cancel()
		synctest.Wait()
		time.Sleep(5 * time.Second)
	})
}

// A term expires during a suspend, although the Go runtime's clock stops.
func TestSuspendedOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		ctx, cancel := context.WithCancel(t.Context())
		c := startContender(ctx, s, "a", "p-a")
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

// A process that restarts on the owner's host becomes the owner before the lease of its predecessor expires.
func TestRestartedOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		first, kill := context.WithCancel(t.Context())
		startContender(first, s, "a", "p-1")
		time.Sleep(time.Second)
		kill()
		time.Sleep(100 * time.Millisecond)

		ctx, cancel := context.WithCancel(t.Context())
		c := startContender(ctx, s, "a", "p-2")
		time.Sleep(leaseTime / 2)
		if !c.valid() {
			t.Error("the restarted process did not become the owner within half a lease")
		}
		cancel()
		time.Sleep(5 * time.Second)
	})
}
