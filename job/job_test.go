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

// yard is workers and a store with a few controllers over them.
type yard struct {
	store       *standin.Store
	platform    *standin.Platform
	hosts       map[fleet.HostName]record.Versioned[move.Record]
	controllers []*job.Controller
}

// flaky returns a client in which each call meets a fault that change chooses.
func flaky(c *hostapi.Client, change func()) *hostapi.Client {
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

func newYard(controllers int, s *storm, opts ...job.Option) *yard {
	change := calm
	if s != nil {
		change = s.change
	}
	y := &yard{store: standin.NewStore(), platform: standin.NewPlatform()}
	y.platform.SetTaskTime(taskTime)
	y.hosts = map[fleet.HostName]record.Versioned[move.Record]{}
	for i := range workers {
		h := fleet.Host{Name: fleet.HostName(fmt.Sprint("w", i)), Pool: "p", State: fleet.HostLive, Capacity: workerSize}
		y.platform.PutHost(h)
		y.hosts[h.Name] = record.Versioned[move.Record]{Value: move.Record{Host: h}, Revision: 1}
	}
	tables := fleet.Tables{Queues: fleet.NewTable(func(q fleet.Queue) fleet.QueueName { return q.Name }, fleet.Queue{Name: "q", Pool: "p"})}
	client := flaky(y.platform.Client(), func() { change(y.platform) })
	if s != nil {
		client = s.delayed(client)
	}
	for range controllers {
		y.controllers = append(y.controllers, job.New(y.store.Client(), client,
			func() fleet.Tables { return tables }, func() map[fleet.HostName]record.Versioned[move.Record] { return y.hosts },
			append(opts, job.WithRetention(24*time.Hour))...))
	}

	return y
}

func calm(*standin.Platform) {}

func newJob(i int, idempotent bool) fleet.Job {
	return fleet.Job{
		ID: fleet.JobID(fmt.Sprintf("j%03d", i)), Queue: "q", Size: fleet.Resources{Cores: 4_000, Memory: 1 << 10}, Idempotent: idempotent,
	}
}

func (y *yard) steps(ctx context.Context, t *testing.T, n int) {
	t.Helper()
	for range n {
		if _, err := y.controllers[0].Step(ctx, time.Now()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(stepTime)
	}
}

func (y *yard) state(t *testing.T, id fleet.JobID) fleet.JobState {
	t.Helper()
	e, _, err := y.controllers[0].Find(t.Context(), id)
	if err != nil {
		t.Fatal(err)
	}

	return e.State
}

// storm chooses faults at random; it is safe for use by many goroutines.
type storm struct {
	mu     sync.Mutex
	rng    *rand.Rand
	over   bool
	faults []standin.Fault
}

func newStorm(seed uint64) *storm {
	return &storm{
		rng:    rand.New(rand.NewPCG(seed, 9)),
		faults: []standin.Fault{standin.FaultNone, standin.FaultNone, standin.FaultDown, standin.FaultAnswerLost},
	}
}

func (s *storm) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.rng.IntN(n)
}

func (s *storm) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.over = true
}

func (s *storm) change(p *standin.Platform) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		p.SetFault(standin.FaultNone)
		return
	}
	p.SetFault(s.faults[s.rng.IntN(len(s.faults))])
}

// delayed lets a start arrive long after its caller gave it up.
func (s *storm) delayed(c *hostapi.Client) *hostapi.Client {
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

// TestNeverTwice lets three controllers run jobs at once while stores, platforms and workers fail and calls arrive
// late, and holds that a job that is not idempotent starts at most once, and that every job ends.
func TestNeverTwice(t *testing.T) {
	const jobs = 40
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := newStorm(seed)
				y := newYard(3, s)
				y.platform.SetDelay(50 * time.Millisecond)
				y.store.SetDelay(50 * time.Millisecond)
				for i := range jobs {
					if err := y.controllers[0].Submit(t.Context(), newJob(i, i%2 == 0)); err != nil {
						t.Fatal(err)
					}
				}
				y.weather(t.Context(), s)
				y.steps(t.Context(), t, 60)
				for i := range jobs {
					j := newJob(i, i%2 == 0)
					if n := y.platform.Starts(j.ID); !j.Idempotent && n > 1 {
						t.Errorf("%s is not idempotent and was started %d times", j.ID, n)
					}
					if st := y.state(t, j.ID); st != fleet.JobDone && (j.Idempotent || st != fleet.JobOutcomeUnknown) {
						t.Errorf("%s ends as %s", j.ID, st)
					}
				}
			})
		})
	}
}

// weather runs every controller on its own until the storm is over.
func (y *yard) weather(ctx context.Context, s *storm) {
	var wg sync.WaitGroup
	for _, c := range y.controllers {
		wg.Go(func() {
			for range 60 {
				_, _ = c.Step(ctx, time.Now())
				time.Sleep(time.Duration(s.intN(int(stepTime))))
			}
		})
	}
	for range 60 {
		y.store.SetFault(s.faults[s.intN(len(s.faults))])
		y.platform.SetCrashed(fleet.HostName(fmt.Sprint("w", s.intN(workers))), s.intN(4) == 0)
		time.Sleep(stepTime / 2)
	}
	s.end()
	y.store.SetFault(standin.FaultNone)
	for i := range workers {
		y.platform.SetCrashed(fleet.HostName(fmt.Sprint("w", i)), false)
	}
	wg.Wait()
}

// TestLateStart lets a controller that was paused between its write and its call wake after another took over.
func TestLateStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := newYard(2, nil)
		if err := y.controllers[0].Submit(t.Context(), newJob(1, false)); err != nil {
			t.Fatal(err)
		}
		y.platform.SetFault(standin.FaultDown)
		y.steps(t.Context(), t, 1)
		y.platform.SetFault(standin.FaultNone)
		e, _, _ := y.controllers[0].Find(t.Context(), "j001")
		if e.State != fleet.JobStarting {
			t.Fatalf("state %s, want Starting", e.State)
		}
		// The other controller asks the worker, which proves that it never started the job, and places it elsewhere.
		gone := y.hosts[e.Host]
		gone.Value.State = fleet.HostDraining
		y.hosts[e.Host] = gone
		if _, err := y.controllers[1].Step(t.Context(), time.Now()); err != nil {
			t.Fatal(err)
		}
		late := hostapi.TaskStart{Job: e.ID, Host: e.Host, Token: e.Token, HostFence: e.HostFence, LeaseTTL: fleet.Duration(time.Minute)}
		if err := y.platform.Client().StartTask(t.Context(), late); err == nil {
			t.Error("the late start was taken")
		}
		y.steps(t.Context(), t, 10)
		if n, s := y.platform.Starts(e.ID), y.state(t, e.ID); n != 1 || s != fleet.JobDone {
			t.Errorf("started %d times and ends as %s", n, s)
		}
	})
}

func TestNeverRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := newYard(1, nil)
		j := newJob(1, true)
		j.Size.Cores = workerSize.Cores + 1
		if err := y.controllers[0].Submit(t.Context(), j); err != nil {
			t.Fatal(err)
		}
		if y.steps(t.Context(), t, 1); y.state(t, j.ID) != fleet.JobNeverRuns {
			t.Errorf("state %s after one step, want NeverRuns", y.state(t, j.ID))
		}
	})
}

// TestBatches holds that many submissions, placements and cancels cost at most one write for each shard.
func TestBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := newYard(1, nil)
		jobs, ids := make([]fleet.Job, 300), make([]fleet.JobID, 300)
		for i := range jobs {
			jobs[i] = newJob(i, true)
			ids[i] = jobs[i].ID
		}
		acts := []struct {
			name string
			do   func() error
		}{
			{"submit", func() error { return y.controllers[0].Submit(t.Context(), jobs...) }},
			{"step", func() error { _, err := y.controllers[0].Step(t.Context(), time.Now()); return err }},
			{"cancel", func() error { return y.controllers[0].Cancel(t.Context(), ids...) }},
			{"step after cancel", func() error { _, err := y.controllers[0].Step(t.Context(), time.Now()); return err }},
		}
		for _, a := range acts {
			before := y.store.Calls()["CompareAndSwap"]
			if err := a.do(); err != nil {
				t.Fatal(a.name, err)
			}
			if n := y.store.Calls()["CompareAndSwap"] - before; n > job.Shards {
				t.Errorf("%s of %d jobs made %d writes, want at most %d", a.name, len(jobs), n, job.Shards)
			}
		}
		y.steps(t.Context(), t, 2)
		for _, id := range ids {
			if s := y.state(t, id); s != fleet.JobCancelled {
				t.Fatalf("%s ends as %s, want Cancelled", id, s)
			}
		}
	})
}

func TestQuiesce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := newYard(1, nil)
		if err := y.controllers[0].Submit(t.Context(), newJob(1, true), newJob(2, false)); err != nil {
			t.Fatal(err)
		}
		y.steps(t.Context(), t, 2)
		for _, id := range []fleet.JobID{"j001", "j002"} {
			e, _, _ := y.controllers[0].Find(t.Context(), id)
			y.controllers[0].Quiesce(t.Context(), move.Wait{Host: e.Host, Reason: move.WaitTasks})
		}
		y.steps(t.Context(), t, 12)
		if n := y.platform.CutOff(); n != 0 {
			t.Errorf("%d tasks cut off", n)
		}
		for _, id := range []fleet.JobID{"j001", "j002"} {
			if s := y.state(t, id); s != fleet.JobDone {
				t.Errorf("%s ends as %s", id, s)
			}
		}
		if n := y.platform.Starts("j002"); n != 1 {
			t.Errorf("the job that is not idempotent was started %d times", n)
		}
	})
}

func TestTeamLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := newYard(1, nil, job.WithRoom(func(fleet.TeamName) (fleet.Resources, bool) {
			return fleet.Resources{Cores: 3 * 4_000, Memory: 64 << 10}, true
		}))
		jobs := make([]fleet.Job, 20)
		for i := range jobs {
			jobs[i] = newJob(i, true)
			jobs[i].Team = "t"
		}
		if err := y.controllers[0].Submit(t.Context(), jobs...); err != nil {
			t.Fatal(err)
		}
		for range 60 {
			y.steps(t.Context(), t, 1)
			running := 0
			for _, j := range jobs {
				if s := y.state(t, j.ID); s == fleet.JobStarting || s == fleet.JobRunning {
					running++
				}
			}
			if running > 3 {
				t.Fatalf("%d jobs of a team that may have three", running)
			}
		}
		for _, j := range jobs {
			if s := y.state(t, j.ID); s != fleet.JobDone {
				t.Errorf("%s ends as %s", j.ID, s)
			}
		}
	})
}
