package dispatch

import (
	"context"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/owner"
	"lycheehook.example/lycheehook/schedule"
	"lycheehook.example/lycheehook/standin"
	"lycheehook.example/lycheehook/store"
	"lycheehook.example/lycheehook/work"
)

// gauges has what a dispatcher tells its watch.
type gauges struct {
	mu        sync.Mutex
	unstarted map[schedule.WaitReason]int
	passes    int
	lag       time.Duration
	lines     []schedule.Decision
}

func (g *gauges) watch() Watch {
	return Watch{
		Unstarted: func(jobs map[schedule.WaitReason]int) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.unstarted = maps.Clone(jobs)
			maps.DeleteFunc(g.unstarted, func(_ schedule.WaitReason, n int) bool { return n == 0 })
		},
		Pass: func(time.Duration) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.passes++
		},
		Lag: func(lag time.Duration) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.lag = lag
		},
	}
}

func (g *gauges) observe(d schedule.Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if d.Kind == schedule.DecidedUnstarted {
		g.lines = append(g.lines, d)
	}
}

// reasons returns the reasons of the lines on a job, in order.
func (g *gauges) reasons(id fleet.JobID) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []string
	for _, d := range g.lines {
		if d.Attempt.Job == id {
			list = append(list, d.Reason)
		}
	}

	return list
}

func (g *gauges) check(t *testing.T, what string, want map[schedule.WaitReason]int) {
	t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	if diff := cmp.Diff(want, g.unstarted); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

func putJob(t *testing.T, s *standin.Store, id fleet.JobID) {
	t.Helper()
	value, err := ledger.Encode(work.Job{ID: id, Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1}}, Submitted: time.Now()})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Client().Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: ledger.JobKey(id), Value: value}}}); err != nil {
		t.Fatal(err)
	}
}

// Accepted jobs waited without a trace: the owner counts the ready ones that don't start, and those in the ledger that its
// scheduler does not have, which it then takes up. Nothing is counted after the end of the term.
func TestUnstartedJobsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore()
		ctx, cancel := context.WithCancel(t.Context())
		g := &gauges{}
		var follower *ledger.Follower
		runCandidate(ctx, s.Client(), ledger.Host{Name: "a", PeerAddress: "a"}, func(ctx context.Context, d *Dispatcher, tm *owner.Term) {
			d.watch, d.observe, follower = g.watch(), g.observe, d.follower
			d.Serve(ctx, tm)
		})
		time.Sleep(2 * time.Second)
		putJob(t, s, "known")
		time.Sleep(6 * time.Second)
		g.check(t, "unstarted jobs without a configuration", map[schedule.WaitReason]int{schedule.NoConfiguration: 1})

		follower.OnJob(nil)
		putJob(t, s, "lost")
		time.Sleep(12 * time.Second)
		g.check(t, "unstarted jobs once the lost one is taken up", map[schedule.WaitReason]int{schedule.NoConfiguration: 2})
		if diff := cmp.Diff([]string{"UnknownToOwner", "NoConfiguration"}, g.reasons("lost")); diff != "" {
			t.Errorf("lines on the lost job (-want +got):\n%s", diff)
		}
		if g.passes == 0 {
			t.Error("no pass was measured")
		}

		cancel()
		synctest.Wait()
		g.check(t, "unstarted jobs after the term", nil)
		time.Sleep(10 * time.Second)
	})
}

// The lag of a pass is the time by which it begins later than at the latest due, and is zero after the term.
func TestPassLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &gauges{}
		tm := &term{Dispatcher: &Dispatcher{watch: g.watch()}}
		const late = 700 * time.Millisecond
		for _, tt := range []struct{ wait, want time.Duration }{
			{0, 0}, {minPassPause, 0}, {minPassPause + tickInterval, 0}, {minPassPause + tickInterval + late, late},
		} {
			time.Sleep(tt.wait)
			tm.measurePass(time.Now())
			if g.lag != tt.want {
				t.Errorf("after %s: lag %s, want %s", tt.wait, g.lag, tt.want)
			}
		}
		tm.endWatch()
		if g.lag != 0 {
			t.Errorf("after the term: lag %s", g.lag)
		}
	})
}
