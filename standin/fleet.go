package standin

import (
	"context"
	"slices"
	"sync"
	"time"

	"lycheehook.example/lycheehook/work"
)

// Fleet is an in-memory fake of many workers, for tests in virtual time. It counts what a dispatcher must never do.
type Fleet struct {
	// callTime is the time of a call, taskTime that of a run, unless lasts reports that it goes on until it is stopped.
	callTime, taskTime time.Duration
	lasts              func(work.Attempt) bool

	mu      sync.Mutex
	workers map[work.WorkerID]*fleetWorker
	// running has the number of runs of each task, and twice counts the starts of tasks that ran already.
	running map[work.Task]int
	twice   int
	// unproven counts the starts under a token that the worker had seen in no poll.
	unproven int
}

type fleetWorker struct {
	life work.Life
	born time.Time
	// token is the highest token of a call, and polled that of a poll.
	token, polled uint64
	runs          map[work.Attempt]bool
	ends          []work.End
	lastEnd       uint64
	// ended is closed and replaced when a run ends.
	ended chan struct{}
}

// NewFleet returns a fleet without workers.
func NewFleet(callTime, taskTime time.Duration, lasts func(work.Attempt) bool) *Fleet {
	return &Fleet{callTime: callTime, taskTime: taskTime, lasts: lasts, workers: map[work.WorkerID]*fleetWorker{}, running: map[work.Task]int{}}
}

// Add adds a worker.
func (f *Fleet) Add(id work.WorkerID, life work.Life) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id] = &fleetWorker{life: life, born: time.Now().Add(-time.Minute), runs: map[work.Attempt]bool{}, ended: make(chan struct{})}
}

// Faults returns how often a task was started that ran already, and the number of starts under a token that the worker had seen in
// no poll.
func (f *Fleet) Faults() (twice, unproven int) {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.twice, f.unproven
}

// Workers returns the calls of a process to the workers. Once its context has ended, none is sent.
func (f *Fleet) Workers(ctx context.Context) work.Workers {
	return work.Workers{
		Start: func(r work.Registration, s work.Start) (work.Answer, error) { return f.start(ctx, r, s) },
		Stop:  func(r work.Registration, s work.Stop) (work.Answer, error) { return f.stop(ctx, r, s) },
		Poll:  func(r work.Registration, p work.Poll) (work.PollReply, error) { return f.poll(ctx, r, p) },
		Probe: func(r work.Registration, token uint64) (work.Answer, error) {
			reply, err := f.poll(ctx, r, work.Poll{Token: token})
			return reply.Answer, err
		},
	}
}

// enter begins a call under a token. It returns with f.mu held unless it returns an error.
func (f *Fleet) enter(ctx context.Context, r work.Registration, token uint64) (*fleetWorker, error) {
	if ctx.Err() != nil {
		return nil, work.ErrNotSent
	}
	time.Sleep(f.callTime)
	f.mu.Lock()
	w := f.workers[r.ID]
	if token < w.token {
		f.mu.Unlock()
		return nil, work.ErrFenced
	}
	w.token = token

	return w, nil
}

func (f *Fleet) start(ctx context.Context, r work.Registration, s work.Start) (work.Answer, error) {
	w, err := f.enter(ctx, r, s.Token)
	if err != nil {
		return work.Answer{}, err
	}
	defer f.mu.Unlock()
	if s.Token > w.polled {
		f.unproven++
	}
	w.runs[s.Attempt] = true
	if f.running[s.Attempt.Task]++; f.running[s.Attempt.Task] > 1 {
		f.twice++
	}
	if !f.lasts(s.Attempt) {
		time.AfterFunc(f.taskTime, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.end(w, s.Attempt, work.OutcomeDone)
		})
	}

	return w.answer(), nil
}

func (f *Fleet) stop(ctx context.Context, r work.Registration, s work.Stop) (work.Answer, error) {
	w, err := f.enter(ctx, r, s.Token)
	if err != nil {
		return work.Answer{}, err
	}
	defer f.mu.Unlock()
	f.end(w, s.Attempt, work.OutcomeStopped)

	return w.answer(), nil
}

func (f *Fleet) poll(ctx context.Context, r work.Registration, p work.Poll) (work.PollReply, error) {
	w, err := f.enter(ctx, r, p.Token)
	if err != nil {
		return work.PollReply{}, err
	}
	defer f.mu.Unlock()
	w.polled = p.Token
	w.ends = slices.DeleteFunc(w.ends, func(e work.End) bool { return e.Number <= p.Acked })
	if ended := w.ended; len(w.ends) == 0 && p.Wait > 0 {
		f.mu.Unlock()
		select {
		case <-ended:
		case <-time.After(p.Wait):
		}
		f.mu.Lock()
	}
	reply := work.PollReply{Answer: w.answer(), Ended: slices.Clone(w.ends)}
	for a := range w.runs {
		reply.Active = append(reply.Active, work.Activity{Attempt: a, Percent: 100})
	}

	return reply, nil
}

// end ends a run. f.mu must be held.
func (f *Fleet) end(w *fleetWorker, a work.Attempt, o work.Outcome) {
	if !w.runs[a] {
		return
	}
	delete(w.runs, a)
	f.running[a.Task]--
	w.lastEnd++
	w.ends = append(w.ends, work.End{Number: w.lastEnd, Attempt: a, Outcome: o})
	close(w.ended)
	w.ended = make(chan struct{})
}

func (w *fleetWorker) answer() work.Answer {
	return work.Answer{Life: w.life, Clock: time.Since(w.born)}
}
