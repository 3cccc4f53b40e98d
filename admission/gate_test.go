package admission_test

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/admission"
	"lycheehook.example/lycheehook/endpoint"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/key"
	"lycheehook.example/lycheehook/plan"
	"lycheehook.example/lycheehook/refusal"
	"lycheehook.example/lycheehook/revision"
	"lycheehook.example/lycheehook/store"
)

// rig is a gate over one pool of one endpoint, with the configuration in the test's hands.
type rig struct {
	*admission.Gate
	set     *endpoint.Set
	rev     atomic.Pointer[revision.Revision]
	fresh   atomic.Bool
	secrets map[fleet.TeamName]string
	ids     map[fleet.TeamName]key.ID
}

func slots(n int64) fleet.Resources { return fleet.Resources{Slots: n} }

// lists has two customers of one plan; a and b belong to one of them. The plan allows a customer six slots.
func lists() plan.Lists {
	team := func(n fleet.TeamName, limit int64) fleet.Team {
		return fleet.Team{Name: n, Share: 1, UpperLimit: slots(limit)}
	}
	wait := fleet.Duration(10 * time.Second)

	return plan.Lists{
		CustomersList: plan.CustomersList{Customers: []fleet.Customer{
			{Name: "first", Plan: "p", Teams: []fleet.Team{team("a", 4), team("b", 4)}},
			{Name: "second", Plan: "p", Teams: []fleet.Team{team("c", 4)}},
		}},
		PlansList: plan.PlansList{
			Plans: []fleet.Plan{{Name: "p", Queues: []fleet.QueueName{"work", "urgent"}, UpperLimit: slots(6)}},
			Queues: []fleet.Queue{
				{Name: "work", Pool: "pool", MaxLength: 20, MaxWait: wait},
				{Name: "urgent", Pool: "pool", Urgent: true, MaxLength: 20, MaxWait: wait},
				{Name: "other", Pool: "pool", MaxLength: 20, MaxWait: wait},
				{Name: "open", Pool: "pool", Open: true, MaxLength: 2, MaxWait: wait},
			},
			Pools: []fleet.Pool{{Name: "pool"}},
		},
	}
}

func newRig(n int) *rig {
	r := &rig{set: endpoint.NewSet(), secrets: map[fleet.TeamName]string{}, ids: map[fleet.TeamName]key.ID{}}
	ring := key.NewRing()
	for _, t := range []fleet.TeamName{"a", "b", "c"} {
		k, secret := key.Give(t, time.Now())
		ring = ring.With(k)
		r.secrets[t], r.ids[t] = secret, k.ID
	}
	rev := revision.Revision{Number: 1}.WithLists(lists()).WithKeys(ring)
	r.rev.Store(&rev)
	r.fresh.Store(true)
	r.Gate = admission.New(revision.New(&store.Client{}), r.set)
	r.Current = r.rev.Load
	r.Fresh = func(time.Time) bool { return r.fresh.Load() }
	r.AcquireLimit = admission.NewLimits(r.Current).Acquire
	r.set.Replace([]fleet.Endpoint{{Name: "e", Pool: "pool", Slots: n, Connections: 64, Address: netip.MustParseAddrPort("127.0.0.1:1")}})

	return r
}

// revise puts another revision in force.
func (r *rig) revise(f func(revision.Revision) revision.Revision) {
	next := f(*r.rev.Load())
	next.Number++
	r.rev.Store(&next)
	r.Wake()
}

func (r *rig) withdraw(t fleet.TeamName) {
	r.revise(func(v revision.Revision) revision.Revision { return v.WithKeys(v.Keys.Without(r.ids[t])) })
}

func (r *rig) edit(f func(*plan.Lists)) {
	r.revise(func(v revision.Revision) revision.Revision {
		l := lists()
		f(&l)

		return v.WithLists(l)
	})
}

func (r *rig) work(t fleet.TeamName) admission.Request {
	return admission.Request{Secret: r.secrets[t], Queue: "work", Size: slots(1)}
}

// fill takes n slots for a team.
func (r *rig) fill(t *testing.T, team fleet.TeamName, n int) []admission.Grant {
	t.Helper()
	var all []admission.Grant
	for range n {
		g, err := r.Admit(t.Context(), r.work(team))
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, g)
	}

	return all
}

// TestAdmit says for each case what the caller of one request is told, and after how long.
func TestAdmit(t *testing.T) {
	const now = time.Duration(0)
	type scene struct {
		*testing.T
		*rig
		req    admission.Request
		ctx    context.Context
		cancel context.CancelFunc
	}
	// while runs f one second after the request came.
	while := func(f func(*scene)) func(*scene) {
		return func(s *scene) {
			s.fill(s.T, "a", 2)
			time.AfterFunc(time.Second, func() { f(s) })
		}
	}
	for _, c := range []struct {
		name  string
		do    func(*scene)
		want  refusal.Code
		after time.Duration
	}{
		{"a free slot", func(*scene) {}, "", now},
		{"no key", func(s *scene) { s.req.Secret = "" }, refusal.KeyMissing, now},
		{"a malformed key", func(s *scene) { s.req.Secret = "x" }, refusal.KeyUnknown, now},
		{"a withdrawn key that was used before", func(s *scene) { s.fill(s.T, "a", 1)[0].Release(); s.withdraw("a") }, refusal.KeyUnknown, now},
		{"an open queue without a key", func(s *scene) { s.req = admission.Request{Queue: "open", Size: slots(1)} }, "", now},
		{"an open queue while not fresh", func(s *scene) { s.fresh.Store(false); s.req = admission.Request{Queue: "open", Size: slots(1)} }, "", now},
		{"a key that its plan does not let into the open queue", func(s *scene) { s.req.Queue = "open" }, refusal.PlanForbids, now},
		{"not fresh", func(s *scene) { s.fresh.Store(false) }, refusal.NotFresh, now},
		{"no such queue", func(s *scene) { s.req.Queue = "none" }, refusal.QueueUnknown, now},
		{"a queue outside the plan", func(s *scene) { s.req.Queue = "other" }, refusal.PlanForbids, now},
		{"larger than any endpoint", func(s *scene) { s.req.Size = slots(3) }, refusal.NeverRuns, now},
		{"a resource that the team may have none of", func(s *scene) { s.req.Size.Accelerators = 1 }, refusal.NeverRuns, now},
		{"no slot asked", func(s *scene) { s.req.Size = slots(0) }, refusal.RequestInvalid, now},
		{"a negative size", func(s *scene) { s.req.Size.Cores = -1 }, refusal.RequestInvalid, now},
		{"already cancelled", func(s *scene) { s.cancel() }, refusal.Cancelled, now},
		{"stopping", func(s *scene) { s.Stop() }, refusal.Stopping, now},
		{"a slot comes free", func(s *scene) { g := s.fill(s.T, "a", 2); time.AfterFunc(time.Second, g[0].Release) }, "", time.Second},
		{"cancelled while waiting", while(func(s *scene) { s.cancel() }), refusal.Cancelled, time.Second},
		{"the deadline passes while waiting", func(s *scene) {
			s.fill(s.T, "a", 2)
			s.ctx, s.cancel = context.WithTimeout(s.ctx, 3*time.Second)
		}, refusal.DeadlinePassed, 3 * time.Second},
		{"the queue's longest wait passes", func(s *scene) { s.fill(s.T, "a", 2) }, refusal.WaitTooLong, 10 * time.Second},
		{"stopped while waiting", while(func(s *scene) { s.Stop() }), refusal.Stopping, time.Second},
		{"the key is withdrawn while waiting", while(func(s *scene) { s.withdraw("a") }), refusal.KeyUnknown, time.Second},
		{"another key is withdrawn while waiting", func(s *scene) {
			g := s.fill(s.T, "a", 2)
			time.AfterFunc(time.Second, func() { s.withdraw("b"); g[0].Release() })
		}, "", time.Second},
		{"freshness is lost while waiting", func(s *scene) {
			g := s.fill(s.T, "a", 2)
			time.AfterFunc(time.Second, func() { s.fresh.Store(false); g[0].Release() })
		}, refusal.NotFresh, time.Second},
		{"the queue is removed while waiting", while(func(s *scene) {
			s.edit(func(l *plan.Lists) { l.Queues = l.Queues[1:] })
		}), refusal.QueueUnknown, time.Second},
		{"the queue moves to another pool while waiting", while(func(s *scene) {
			s.edit(func(l *plan.Lists) { l.Queues[0].Pool = "elsewhere" })
		}), refusal.QueueUnknown, time.Second},
		{"the team is removed while waiting", while(func(s *scene) {
			s.edit(func(l *plan.Lists) { l.Customers[0].Teams = l.Customers[0].Teams[1:] })
		}), refusal.KeyUnknown, time.Second},
		{"the plan loses the queue while waiting", while(func(s *scene) {
			s.edit(func(l *plan.Lists) { l.Plans[0].Queues = nil })
		}), refusal.PlanForbids, time.Second},
		{"the limit falls below the size while waiting", while(func(s *scene) {
			s.edit(func(l *plan.Lists) { l.Customers[0].Teams[0].UpperLimit = slots(0) })
		}), refusal.NeverRuns, time.Second},
		{"an endpoint joins while waiting", while(func(s *scene) {
			all := s.set.Endpoints()
			s.set.Replace(append(all, fleet.Endpoint{Name: "f", Pool: "pool", Slots: 1, Address: netip.MustParseAddrPort("127.0.0.1:2")}))
		}), "", time.Second},
		{"the only endpoint leaves", func(s *scene) {
			all := s.set.Endpoints()
			s.set.Replace([]fleet.Endpoint{all[0].WithLeaving(true)})
		}, refusal.WaitTooLong, 10 * time.Second},
		{"no start before the deadline is likely", func(s *scene) {
			for range 20 {
				g := s.fill(s.T, "a", 1)
				time.Sleep(2 * time.Second)
				g[0].Done()
			}
			s.fill(s.T, "a", 2)
			s.ctx, s.cancel = context.WithTimeout(s.ctx, time.Second/2)
		}, refusal.WaitTooLong, now},
		{"its team's upper limit is full", func(s *scene) {
			s.set.Replace([]fleet.Endpoint{{Name: "e", Pool: "pool", Slots: 8}})
			s.fill(s.T, "a", 4)
		}, refusal.WaitTooLong, 10 * time.Second},
		{"its customer's upper limit is full", func(s *scene) {
			s.set.Replace([]fleet.Endpoint{{Name: "e", Pool: "pool", Slots: 8}})
			s.fill(s.T, "b", 4)
			s.fill(s.T, "a", 2)
		}, refusal.WaitTooLong, 10 * time.Second},
		{"another customer's limit is full", func(s *scene) {
			s.set.Replace([]fleet.Endpoint{{Name: "e", Pool: "pool", Slots: 8}})
			s.fill(s.T, "c", 4)
			go func() { _, _ = s.Admit(s.Context(), s.work("c")) }()
			synctest.Wait()
		}, "", now},
		{"work of unknown outcome keeps its slot until its end", func(s *scene) {
			for _, g := range s.fill(s.T, "a", 2) {
				g.Hold(time.Now().Add(4 * time.Second))
			}
		}, "", 4 * time.Second},
		{"a grant is released twice", func(s *scene) {
			s.set.Replace([]fleet.Endpoint{{Name: "e", Pool: "pool", Slots: 8}})
			g := s.fill(s.T, "a", 4)
			g[0].Release()
			g[0].Release()
			s.fill(s.T, "a", 1)
		}, refusal.WaitTooLong, 10 * time.Second},
		{"only idempotent work may try the endpoint", func(s *scene) {
			acquire := s.AcquireSlot
			s.AcquireSlot = func(a endpoint.Ask) (endpoint.Slot, bool) {
				if !a.Idempotent {
					return endpoint.Slot{}, false
				}

				return acquire(a)
			}
			go func() { _, _ = s.Admit(s.ctx, s.work("a")) }()
			synctest.Wait()
			s.req.Idempotent = true
		}, "", now},
		{"capacity that came unannounced goes to who waits", func(s *scene) {
			allowed := int64(1)
			s.set.Allowed = func(fleet.Endpoint) int64 { return allowed }
			s.fill(s.T, "a", 1)
			go func() { _, _ = s.Admit(s.Context(), s.work("b")) }()
			synctest.Wait()
			allowed = 2
		}, refusal.WaitTooLong, 10 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scene{T: t, rig: newRig(2)}
				s.ctx, s.cancel = context.WithCancel(t.Context())
				s.req = s.work("a")
				c.do(s)
				defer s.cancel()
				began := time.Now()
				_, err := s.Admit(s.ctx, s.req)
				var notRun *refusal.NotRunError
				switch {
				case c.want == "" && err != nil, c.want != "" && !errors.As(err, &notRun):
					t.Errorf("told %v, want %q", err, c.want)
				case c.want != "" && notRun.Code != c.want:
					t.Errorf("told %v, want %s", err, c.want)
				}
				if d := cmp.Diff(c.after, time.Since(began)); d != "" {
					t.Errorf("told after (-want +got):\n%s", d)
				}
				s.cancel()
				synctest.Wait()
			})
		})
	}
}

func TestRecheck(t *testing.T) {
	r := newRig(2)
	g, err := r.Admit(t.Context(), r.work("a"))
	if err != nil {
		t.Fatal(err)
	}
	if err := g.Recheck(); err != nil {
		t.Errorf("a permit that stands: %v", err)
	}
	r.withdraw("a")
	if err := g.Recheck(); !errors.Is(err, refusal.Refuse(refusal.KeyUnknown, "")) {
		t.Errorf("told %v after the key was withdrawn", err)
	}
}

// TestRetryAfter checks that the time to come back is what the estimate says is missing.
func TestRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(2)
		for range 20 {
			g := r.fill(t, "a", 1)
			time.Sleep(2 * time.Second)
			g[0].Done()
		}
		r.fill(t, "a", 2)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second/2)
		defer cancel()
		_, err := r.Admit(ctx, r.work("a"))
		var notRun *refusal.NotRunError
		// Two slots that are free once in two seconds give the next one in a second, half a second too late.
		if !errors.As(err, &notRun) || notRun.RetryAfter != time.Second/2 {
			t.Errorf("told %v, to come back after %v", err, notRun.RetryAfter)
		}
	})
}

// TestGrantAtDeadline checks that a slot granted in the very instant of the deadline is not lost.
func TestGrantAtDeadline(t *testing.T) {
	for range 50 {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(1)
			g := r.fill(t, "a", 1)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			time.AfterFunc(time.Second, g[0].Release)
			if grant, err := r.Admit(ctx, r.work("a")); err == nil {
				grant.Release()
			}
			synctest.Wait()
			now := time.Now()
			r.fill(t, "a", 1)
			if time.Now() != now {
				t.Error("the slot was free only later")
			}
		})
	}
}

// TestLargeRequest checks that a request for several slots starts although requests for one slot never stop coming,
// that those go on meanwhile, and that the slots kept for it come back when it is cancelled.
func TestLargeRequest(t *testing.T) {
	for name, patience := range map[string]time.Duration{"granted": 9 * time.Second, "cancelled": 2100 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(4)
				stream, stop := context.WithCancel(t.Context())
				var small atomic.Int64
				for i := range 6 {
					go func() {
						// Unequal times keep the slots from coming free together.
						for n := 0; stream.Err() == nil; n++ {
							g, err := r.Admit(stream, r.work("c"))
							if err != nil {
								continue
							}
							small.Add(1)
							time.Sleep(time.Duration(700+i*130) * time.Millisecond)
							g.Release()
						}
					}()
				}
				time.Sleep(time.Second)
				ctx, cancel := context.WithTimeout(t.Context(), patience)
				defer cancel()
				req := r.work("a")
				req.Size = slots(3)
				g, err := r.Admit(ctx, req)
				if granted := err == nil; granted != (name == "granted") {
					t.Errorf("told %v", err)
				}
				if err == nil {
					g.Release()
				}
				before := small.Load()
				time.Sleep(10 * time.Second)
				if got := small.Load() - before; got < 30 {
					t.Errorf("only %d requests for one slot started within 10 s afterwards", got)
				}
				stop()
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// TestAgain checks that a repeat beside an attempt that may still run counts against the upper limit, and that both
// slots come back.
func TestAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(8)
		all := r.fill(t, "a", 3)
		other, ok := r.set.Acquire(endpoint.Ask{Pool: "pool"})
		if !ok || !all[0].Again(other, time.Now().Add(time.Second)) {
			t.Fatal("no room for a repeat below the upper limit")
		}
		if all[1].Again(endpoint.Slot{}, time.Now()) {
			t.Error("a repeat went beyond the upper limit")
		}
		began := time.Now()
		r.fill(t, "a", 1)
		if got := time.Since(began); got != time.Second {
			t.Errorf("the repeat counted for %v, want until its end", got)
		}
		if got := r.set.Slots("pool"); got != 8 {
			t.Errorf("%d slots", got)
		}
	})
}
