package move_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/hostapi"
	"lycheehook.example/lycheehook/move"
	"lycheehook.example/lycheehook/standin"
	"lycheehook.example/lycheehook/store"
)

const (
	poolSize = 6
	tickTime = 10 * time.Second
)

// bench is a small fleet on stand-ins with a few controllers over it.
type bench struct {
	store       *standin.Store
	platform    *standin.Platform
	config      move.Config
	controllers []*move.Controller
	crashed     map[fleet.HostName]bool
}

func hostName(i int) fleet.HostName { return fleet.HostName(fmt.Sprintf("w%02d", i)) }

func newBench(controllers int, propose func(move.View, time.Time) []move.Proposal, opts ...move.Option) *bench {
	b := &bench{store: standin.NewStore(), platform: standin.NewPlatform(), crashed: map[fleet.HostName]bool{}}
	for i := range 2 * poolSize {
		pool := fleet.PoolName("a")
		if i >= poolSize {
			pool = "b"
		}
		b.platform.PutHost(fleet.Host{Name: hostName(i), Pool: pool, Zone: fleet.ZoneName(fmt.Sprintf("z%d", i%4)), Rack: "r"})
	}
	b.config = poolsAB(fleet.Budget{Name: "pool-a", Pools: []fleet.PoolName{"a"}, MaxUnavailable: 2}, fleet.Budget{Name: "all", MaxUnavailable: 3})
	config := func() (move.Config, bool) { return b.config, true }
	for range controllers {
		all := append([]move.Option{move.WithProposals(propose)}, opts...)
		b.controllers = append(b.controllers, move.New(b.store.Client(), b.platform.Client(), config, all...))
	}

	return b
}

// planned counts the hosts that are out of service and not by a crash.
func (b *bench) planned() int {
	n := 0
	for _, h := range b.platform.OutOfService() {
		if !b.crashed[h] {
			n++
		}
	}

	return n
}

// swapAll asks every host of pool a to move to b, with a reboot, and those that started in b to move to a.
func swapAll(v move.View, _ time.Time) []move.Proposal {
	var all []move.Proposal
	for i := range 2 * poolSize {
		to := fleet.PoolName("b")
		if i >= poolSize {
			to = "a"
		}
		if h := v.Hosts[hostName(i)].Value; h.Pool != "" && h.Pool != to {
			all = append(all, move.Proposal{Host: h.Name, To: to, Reboot: i%2 == 0})
		}
	}

	return all
}

// unfinished returns what keeps the bench from rest, or nothing.
func (b *bench) unfinished(ctx context.Context) string {
	b.store.SetFault(standin.FaultNone)
	if _, err := b.controllers[0].Step(ctx, time.Now()); err != nil {
		return err.Error()
	}
	v := b.controllers[0].View()
	for i := range 2 * poolSize {
		want := fleet.PoolName("b")
		if i >= poolSize {
			want = "a"
		}
		if r := v.Hosts[hostName(i)].Value; r.Pool != want || r.State != fleet.HostLive || r.Intent != nil {
			return fmt.Sprintf("%s is %s in %s, wanted in %s", hostName(i), r.State, r.Pool, want)
		}
	}
	for name, bud := range v.Budgets {
		if n := bud.Value.Out(); n != 0 {
			return fmt.Sprintf("budget %s keeps %d units", name, n)
		}
	}
	if out := b.platform.OutOfService(); len(out) > 0 {
		return fmt.Sprintf("%v out of service", out)
	}

	return ""
}

// TestRandomFaults lets three controllers swap two pools while stores and platforms fail and hosts crash.
func TestRandomFaults(t *testing.T) {
	faults := []standin.Fault{standin.FaultNone, standin.FaultNone, standin.FaultDown, standin.FaultAnswerLost}
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, 5))
				b := newBench(3, swapAll)
				for range 300 {
					b.store.SetFault(faults[rng.IntN(len(faults))])
					b.platform.SetFault(faults[rng.IntN(len(faults))])
					b.crash(rng)
					stepCut(t.Context(), b.controllers[rng.IntN(3)], rng)
					if n := b.planned(); n > 3 {
						t.Fatalf("%d planned outages at once, want at most 3", n)
					}
					time.Sleep(tickTime)
				}
				b.platform.SetFault(standin.FaultNone)
				b.heal()
				for range 600 {
					if b.unfinished(t.Context()) == "" {
						return
					}
					time.Sleep(tickTime)
				}
				t.Error(b.unfinished(t.Context()))
			})
		})
	}
}

// stepCut steps a controller, which at random stops in the middle of the step.
func stepCut(ctx context.Context, c *move.Controller, rng *rand.Rand) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if rng.IntN(2) == 0 {
		cancel()
	}
	_, _ = c.Step(ctx, time.Now())
}

func (b *bench) crash(rng *rand.Rand) {
	h := hostName(rng.IntN(2 * poolSize))
	if rng.IntN(20) == 0 && len(b.crashed) < 2 {
		b.crashed[h] = true
		b.platform.SetCrashed(h, true)
	}
	for name := range b.crashed {
		if rng.IntN(20) == 0 {
			b.platform.SetCrashed(name, false)
		}
	}
}

func (b *bench) heal() {
	for name := range b.crashed {
		b.platform.SetCrashed(name, false)
	}
}

// TestStaleReader holds that a host takes no task for a pool that it has left.
func TestStaleReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(1, swapAll)
		old := map[fleet.HostName]uint64{}
		for range 400 {
			_, _ = b.controllers[0].Step(t.Context(), time.Now())
			for name, v := range b.controllers[0].View().Hosts {
				if _, seen := old[name]; !seen {
					old[name] = v.Revision
				}
			}
			time.Sleep(tickTime)
		}
		if s := b.unfinished(t.Context()); s != "" {
			t.Fatal(s)
		}
		for name, revision := range old {
			err := b.platform.Client().StartTask(t.Context(), hostapi.TaskStart{Job: "j", Host: name, Token: 1, HostFence: revision})
			if !errors.Is(err, hostapi.ErrFenced) {
				t.Errorf("%s took a task under the record of its old pool: %v", name, err)
			}
		}
	})
}

func rebootFirst(v move.View, _ time.Time) []move.Proposal {
	if h := v.Hosts[hostName(0)].Value; h.Name != "" && h.LastMaintained.IsZero() {
		return []move.Proposal{{Host: h.Name, Reboot: true}}
	}

	return nil
}

func (b *bench) steps(ctx context.Context, n int) move.Report {
	var rep move.Report
	for range n {
		rep, _ = b.controllers[0].Step(ctx, time.Now())
		time.Sleep(tickTime)
	}

	return rep
}

// held returns how many units of pool a's budget are held.
func (b *bench) held() int {
	return b.controllers[0].View().Budgets["pool-a"].Value.Out()
}

func TestHostThatDoesNotReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(1, rebootFirst)
		b.steps(t.Context(), 1)
		b.platform.SetNeverReturns(hostName(0), true)
		rep := b.steps(t.Context(), 400)
		if len(rep.Waits) != 1 || rep.Waits[0].Reason != move.WaitNotReturned || b.held() != 1 {
			t.Errorf("waits %v with %d units held, want NotReturned and one unit", rep.Waits, b.held())
		}
		b.platform.RemoveHost(hostName(0))
		if err := b.controllers[0].Remove(t.Context(), hostName(0)); err != nil {
			t.Fatal(err)
		}
		if b.steps(t.Context(), 2); b.held() != 0 {
			t.Errorf("%d units held after the host was removed", b.held())
		}
		if err := b.controllers[0].Remove(t.Context(), hostName(1)); !errors.Is(err, move.ErrInService) {
			t.Errorf("removal of a host that is up: %v", err)
		}
	})
}

func TestTasksAreNotCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var asked int
		b := newBench(1, rebootFirst, move.WithQuiesce(func(context.Context, move.Wait) { asked++ }), move.WithDrainLimit(time.Hour))
		b.steps(t.Context(), 1)
		start := hostapi.TaskStart{Job: "j", Host: hostName(0), Token: 1, HostFence: 1 << 40, LeaseTTL: fleet.Duration(24 * time.Hour)}
		if err := b.platform.Client().StartTask(t.Context(), start); err != nil {
			// The first step may have drained the host already; the task then never started.
			t.Fatal(err)
		}
		rep := b.steps(t.Context(), 10)
		if len(rep.Waits) != 1 || rep.Waits[0].Reason != move.WaitTasks || asked == 0 || b.platform.Boots(hostName(0)) != 0 {
			t.Errorf("waits %v, quiesce asked %d times, %d reboots", rep.Waits, asked, b.platform.Boots(hostName(0)))
		}
		b.platform.FinishTask(hostName(0), "j", hostapi.TaskDone)
		b.steps(t.Context(), 100)
		if n := b.platform.Boots(hostName(0)); n != 1 || b.platform.CutOff() != 0 || b.held() != 0 {
			t.Errorf("%d reboots, %d tasks cut off, %d units held", n, b.platform.CutOff(), b.held())
		}
	})
}

func TestStoreDown(t *testing.T) {
	b := newBench(1, rebootFirst)
	b.steps(t.Context(), 0)
	b.store.SetFault(standin.FaultDown)
	if _, err := b.controllers[0].Step(t.Context(), time.Now()); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("error %v, want ErrUnavailable", err)
	}
	if out := b.platform.OutOfService(); len(out) != 0 {
		t.Errorf("%v went out of service while the store was down", out)
	}
}

// TestRequestsAreNotCutOff lets a request arrive at a draining host from a reader of a lagging list.
func TestRequestsAreNotCutOff(t *testing.T) {
	const lag, service = 5 * time.Second, time.Minute
	synctest.Test(t, func(t *testing.T) {
		b := newBench(1, rebootFirst)
		running := 0
		b.platform.SetBusy(hostName(0), func() int { return running })
		b.platform.PutEndpoint(fleet.Endpoint{Name: "e", Host: hostName(0)})
		step := func() { _, _ = b.controllers[0].Step(t.Context(), time.Now()) }
		for len(b.platform.OutOfService()) == 0 {
			step()
		}
		inv, err := b.platform.Client().Inventory(t.Context())
		if err != nil || !inv.Endpoints[0].Leaving {
			t.Errorf("endpoints %v, %v, want the drained host's to be leaving", inv.Endpoints, err)
		}
		step()
		time.Sleep(lag)
		step()
		running++
		for range int(service / tickTime) {
			if n := b.platform.Boots(hostName(0)); n != 0 {
				t.Fatal("rebooted while a request was in progress")
			}
			time.Sleep(tickTime)
			step()
		}
		running--
		if b.steps(t.Context(), 100); b.platform.Boots(hostName(0)) != 1 || b.held() != 0 {
			t.Errorf("%d reboots, %d units held", b.platform.Boots(hostName(0)), b.held())
		}
	})
}
