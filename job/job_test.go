package job_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/hostapi"
	"lycheehook.example/lycheehook/job"
	"lycheehook.example/lycheehook/move"
	"lycheehook.example/lycheehook/record"
	"lycheehook.example/lycheehook/standin"
)

const (
	workers  = 6
	taskTime = 50 * time.Second
	stepTime = 10 * time.Second
)

var workerSize = fleet.Resources{Cores: 16_000, Memory: 32 << 10}

// testCluster is a store, a platform with workers, and controllers that share them.
type testCluster struct {
	store       *standin.Store
	platform    *standin.Platform
	hosts       map[fleet.HostName]record.Versioned[move.Record]
	controllers []*job.Controller
}

// withFaults returns a client that calls change before each call, to inject a fault.
func withFaults(c *hostapi.Client, change func()) *hostapi.Client {
	return &hostapi.Client{
		StartTask: func(ctx context.Context, s hostapi.TaskStart) error { change(); return c.StartTask(ctx, s) },
		RenewTasks: func(ctx context.Context, h fleet.HostName, t []hostapi.TaskCall) ([]fleet.JobID, error) {
			change()
			return c.RenewTasks(ctx, h, t)
		},
		Task: func(ctx context.Context, q hostapi.TaskCall) (hostapi.TaskStatus, error) {
			change()
			return c.Task(ctx, q)
		},
		Tasks: func(ctx context.Context, h fleet.HostName) ([]hostapi.TaskStatus, error) {
			change()
			return c.Tasks(ctx, h)
		},
		Checkpoint: func(ctx context.Context, q hostapi.TaskCall) error { change(); return c.Checkpoint(ctx, q) },
		StopTasks: func(ctx context.Context, h fleet.HostName, t []hostapi.TaskCall) error {
			change()
			return c.StopTasks(ctx, h, t)
		},
	}
}

func newTestCluster(controllers int, s *faultInjector, opts ...job.Option) *testCluster {
	change := noFault
	if s != nil {
		change = s.change
	}
	tc := &testCluster{store: standin.NewStore(), platform: standin.NewPlatform()}
	tc.platform.SetTaskTime(taskTime)
	tc.hosts = map[fleet.HostName]record.Versioned[move.Record]{}
	for i := range workers {
		h := fleet.Host{Name: fleet.HostName(fmt.Sprint("w", i)), Pool: "p", State: fleet.HostLive, Capacity: workerSize}
		tc.platform.PutHost(h)
		tc.hosts[h.Name] = record.Versioned[move.Record]{Value: move.Record{Host: h}, Revision: 1}
	}
	tables := fleet.Tables{Queues: fleet.NewTable(func(q fleet.Queue) fleet.QueueName { return q.Name }, fleet.Queue{Name: "q", Pool: "p"})}
	client := withFaults(tc.platform.Client(), func() { change(tc.platform) })
	if s != nil {
		client = s.delayed(client)
	}
	for range controllers {
		tc.controllers = append(tc.controllers, job.New(tc.store.Client(), client,
			func() fleet.Tables { return tables }, func() map[fleet.HostName]record.Versioned[move.Record] { return tc.hosts },
			append(opts, job.WithRetention(24*time.Hour))...))
	}

	return tc
}

func noFault(*standin.Platform) {}

func newJob(i int, idempotent bool) fleet.Job {
	return fleet.Job{
		ID: fleet.JobID(fmt.Sprintf("j%03d", i)), Queue: "q", Size: fleet.Resources{Cores: 4_000, Memory: 1 << 10}, Idempotent: idempotent,
	}
}

func (tc *testCluster) steps(ctx context.Context, t *testing.T, n int) {
	t.Helper()
	for range n {
		if _, err := tc.controllers[0].Step(ctx, time.Now()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(stepTime)
	}
}

func (tc *testCluster) state(t *testing.T, id fleet.JobID) fleet.JobState {
	t.Helper()
	e, _, err := tc.controllers[0].Find(t.Context(), id)
	if err != nil {
		t.Fatal(err)
	}

	return e.State
}

// faultInjector selects faults at random; it is safe for concurrent use.
type faultInjector struct {
	mu      sync.Mutex
	rng     *rand.Rand
	stopped bool
	faults  []standin.Fault
}

func newFaultInjector(seed uint64) *faultInjector {
	return &faultInjector{
		rng:    rand.New(rand.NewPCG(seed, 9)),
		faults: []standin.Fault{standin.FaultNone, standin.FaultNone, standin.FaultDown, standin.FaultAnswerLost},
	}
}

func (s *faultInjector) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.rng.IntN(n)
}

func (s *faultInjector) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
}

func (s *faultInjector) change(p *standin.Platform) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		p.SetFault(standin.FaultNone)
		return
	}
	p.SetFault(s.faults[s.rng.IntN(len(s.faults))])
}

// delayed returns a client in which some start requests arrive after their caller got ErrOutcomeUnknown.
func (s *faultInjector) delayed(c *hostapi.Client) *hostapi.Client {
	late := *c
	late.StartTask = func(ctx context.Context, q hostapi.TaskStart) error {
		if s.intN(3) > 0 {
			return c.StartTask(ctx, q)
		}
		wait := time.Duration(s.intN(int(4 * stepTime)))
		go func() {
			time.Sleep(wait)
			_ = c.StartTask(context.WithoutCancel(ctx), q)
		}()

		return hostapi.ErrOutcomeUnknown
	}

	return &late
}

// TestNeverTwice guards against a second start of a job that isn't idempotent and against jobs that never end. Three
// controllers run concurrently while the store, the platform and workers fail and start requests are delayed.
func TestNeverTwice(t *testing.T) {
	const jobs = 40
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := newFaultInjector(seed)
				tc := newTestCluster(3, s)
				tc.platform.SetDelay(50 * time.Millisecond)
				tc.store.SetDelay(50 * time.Millisecond)
				for i := range jobs {
					if err := tc.controllers[0].Submit(t.Context(), newJob(i, i%2 == 0)); err != nil {
						t.Fatal(err)
					}
				}
				tc.runWithFaults(t.Context(), s)
				tc.steps(t.Context(), t, 60)
				for i := range jobs {
					j := newJob(i, i%2 == 0)
					if n := tc.platform.Starts(j.ID); !j.Idempotent && n > 1 {
						t.Errorf("%s is not idempotent and was started %d times", j.ID, n)
					}
					if st := tc.state(t, j.ID); st != fleet.JobDone && (j.Idempotent || st != fleet.JobOutcomeUnknown) {
						t.Errorf("%s ends as %s", j.ID, st)
					}
				}
			})
		})
	}
}

// runWithFaults runs all controllers concurrently and injects faults, then removes the faults and waits for the controllers.
func (tc *testCluster) runWithFaults(ctx context.Context, s *faultInjector) {
	var wg sync.WaitGroup
	for _, c := range tc.controllers {
		wg.Go(func() {
			for range 60 {
				_, _ = c.Step(ctx, time.Now())
				time.Sleep(time.Duration(s.intN(int(stepTime))))
			}
		})
	}
	for range 60 {
		tc.store.SetFault(s.faults[s.intN(len(s.faults))])
		tc.platform.SetCrashed(fleet.HostName(fmt.Sprint("w", s.intN(workers))), s.intN(4) == 0)
		time.Sleep(stepTime / 2)
	}
	s.end()
	tc.store.SetFault(standin.FaultNone)
	for i := range workers {
		tc.platform.SetCrashed(fleet.HostName(fmt.Sprint("w", i)), false)
	}
	wg.Wait()
}

// TestLateStart guards against a double start by a controller that is paused between its write and its call to the worker,
// and resumes after another controller has placed the job again.
func TestLateStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(2, nil)
		if err := tc.controllers[0].Submit(t.Context(), newJob(1, false)); err != nil {
			t.Fatal(err)
		}
		tc.platform.SetFault(standin.FaultDown)
		tc.steps(t.Context(), t, 1)
		tc.platform.SetFault(standin.FaultNone)
		e, _, _ := tc.controllers[0].Find(t.Context(), "j001")
		if e.State != fleet.JobStarting {
			t.Fatalf("state %s, want Starting", e.State)
		}
		// The other controller learns from the worker that the job was never started, and places it on another host.
		gone := tc.hosts[e.Host]
		gone.Value.State = fleet.HostDraining
		tc.hosts[e.Host] = gone
		if _, err := tc.controllers[1].Step(t.Context(), time.Now()); err != nil {
			t.Fatal(err)
		}
		late := hostapi.TaskStart{Job: e.ID, Host: e.Host, Token: e.Token, HostFence: e.HostFence, LeaseTTL: fleet.Duration(time.Minute)}
		if err := tc.platform.Client().StartTask(t.Context(), late); err == nil {
			t.Error("the delayed start was accepted")
		}
		tc.steps(t.Context(), t, 10)
		if n, s := tc.platform.Starts(e.ID), tc.state(t, e.ID); n != 1 || s != fleet.JobDone {
			t.Errorf("started %d times and ends as %s", n, s)
		}
	})
}

func TestNeverRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(1, nil)
		j := newJob(1, true)
		j.Size.Cores = workerSize.Cores + 1
		if err := tc.controllers[0].Submit(t.Context(), j); err != nil {
			t.Fatal(err)
		}
		if tc.steps(t.Context(), t, 1); tc.state(t, j.ID) != fleet.JobNeverRuns {
			t.Errorf("state %s after one step, want NeverRuns", tc.state(t, j.ID))
		}
	})
}

// TestBatches guards against a number of writes that grows with the number of jobs: submissions, placements and cancellations
// cost at most one write per shard.
func TestBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(1, nil)
		jobs, ids := make([]fleet.Job, 300), make([]fleet.JobID, 300)
		for i := range jobs {
			jobs[i] = newJob(i, true)
			ids[i] = jobs[i].ID
		}
		operations := []struct {
			name string
			do   func() error
		}{
			{"submit", func() error { return tc.controllers[0].Submit(t.Context(), jobs...) }},
			{"step", func() error { _, err := tc.controllers[0].Step(t.Context(), time.Now()); return err }},
			{"cancel", func() error { return tc.controllers[0].Cancel(t.Context(), ids...) }},
			{"step after cancel", func() error { _, err := tc.controllers[0].Step(t.Context(), time.Now()); return err }},
		}
		for _, a := range operations {
			before := tc.store.Calls()["CompareAndSwap"]
			if err := a.do(); err != nil {
				t.Fatal(a.name, err)
			}
			if n := tc.store.Calls()["CompareAndSwap"] - before; n > job.Shards {
				t.Errorf("%s of %d jobs made %d writes, want at most %d", a.name, len(jobs), n, job.Shards)
			}
		}
		tc.steps(t.Context(), t, 2)
		for _, id := range ids {
			if s := tc.state(t, id); s != fleet.JobCancelled {
				t.Fatalf("%s ends as %s, want Cancelled", id, s)
			}
		}
	})
}

func TestQuiesce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(1, nil)
		if err := tc.controllers[0].Submit(t.Context(), newJob(1, true), newJob(2, false)); err != nil {
			t.Fatal(err)
		}
		tc.steps(t.Context(), t, 2)
		for _, id := range []fleet.JobID{"j001", "j002"} {
			e, _, _ := tc.controllers[0].Find(t.Context(), id)
			tc.controllers[0].Quiesce(t.Context(), move.Wait{Host: e.Host, Reason: move.WaitTasks})
		}
		tc.steps(t.Context(), t, 12)
		if n := tc.platform.CutOff(); n != 0 {
			t.Errorf("%d tasks were interrupted", n)
		}
		for _, id := range []fleet.JobID{"j001", "j002"} {
			if s := tc.state(t, id); s != fleet.JobDone {
				t.Errorf("%s ends as %s", id, s)
			}
		}
		if n := tc.platform.Starts("j002"); n != 1 {
			t.Errorf("the job that is not idempotent was started %d times", n)
		}
	})
}

func TestTeamLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(1, nil, job.WithRoom(func(fleet.TeamName) (fleet.Resources, bool) {
			return fleet.Resources{Cores: 3 * 4_000, Memory: 64 << 10}, true
		}))
		jobs := make([]fleet.Job, 20)
		for i := range jobs {
			jobs[i] = newJob(i, true)
			jobs[i].Team = "t"
		}
		if err := tc.controllers[0].Submit(t.Context(), jobs...); err != nil {
			t.Fatal(err)
		}
		for range 60 {
			tc.steps(t.Context(), t, 1)
			running := 0
			for _, j := range jobs {
				if s := tc.state(t, j.ID); s == fleet.JobStarting || s == fleet.JobRunning {
					running++
				}
			}
			if running > 3 {
				t.Fatalf("%d jobs of the team are running, limit 3", running)
			}
		}
		for _, j := range jobs {
			if s := tc.state(t, j.ID); s != fleet.JobDone {
				t.Errorf("%s ends as %s", j.ID, s)
			}
		}
	})
}
