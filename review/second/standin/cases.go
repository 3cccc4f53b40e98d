package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

var errNoStart = errors.New("the task was not started")

// lateStart: a start gets no answer and is carried out late, on the runner's next life.
func lateStart(w *world) ([]string, error) {
	return w.playLateStart(func(r *runner) error {
		return w.restartAndDeliver(r, 7*time.Second, 7900*time.Millisecond, 8*time.Second)
	})
}

// lateStartTakeover: the same within 5 s of the start, after all managers were killed at once and one has taken over.
func lateStartTakeover(w *world) ([]string, error) {
	return w.playLateStart(func(r *runner) error {
		for _, m := range w.managers {
			m.kill()
		}
		time.Sleep(restartPause)
		if err := w.awaitReady(); err != nil {
			return err
		}

		return w.restartAndDeliver(r, 3900*time.Millisecond, 4600*time.Millisecond, 4700*time.Millisecond)
	})
}

// lostWithOwner: the managers are killed and the runner crashes while a start is on its way; the start is carried out late, on the
// runner's next life, while the task is at work elsewhere.
func lostWithOwner(w *world) ([]string, error) {
	const id = "00000000000000d1"
	const task = id + ".0.0.0"
	const (
		// killAfter, crashAfter, restartAt and deliverAt are times since the start was sent; the pages say 2 to 12 s for the last.
		killAfter  = 150 * time.Millisecond
		crashAfter = 200 * time.Millisecond
		restartAt  = 3 * time.Second
		deliverAt  = 3100 * time.Millisecond
	)
	if err := w.build(8, 3); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	if w.trouble {
		w.holdFirst(task)
	}
	if err := w.submit(id, job(1, 4000, 500)); err != nil {
		return nil, err
	}
	var at *runner
	if w.trouble {
		if !await(5*time.Second, func() bool { at = w.holder(); return at != nil }) {
			return nil, errNoStart
		}
		h := at.held[0]
		time.Sleep(time.Until(h.sent.Add(killAfter)))
		for _, m := range w.managers {
			m.kill()
		}
		if err := w.restartAndDeliver(at, crashAfter, restartAt, deliverAt); err != nil {
			return nil, err
		}
	}
	if !await(20*time.Second, func() bool { return w.state(id) == "completed" }) {
		return nil, errors.New("the job was not completed")
	}

	return w.twice(task), nil
}

// holdFirst holds up the first start of a task.
func (w *world) holdFirst(task string) {
	first := true
	var mu sync.Mutex
	for _, r := range w.runners {
		r.mu.Lock()
		r.holdStart = func(t string, _ int) bool {
			mu.Lock()
			defer mu.Unlock()
			hold := first && t == task
			first = first && !hold
			return hold
		}
		r.mu.Unlock()
	}
}

// holder returns the runner whose start is held up, or nil.
func (w *world) holder() *runner {
	for _, r := range w.runners {
		r.mu.Lock()
		holds := len(r.held) > 0
		r.mu.Unlock()
		if holds {
			return r
		}
	}

	return nil
}

// playLateStart holds up the first start of a task, waits until the task is done all the same, and lets disrupt make the start
// arrive at its runner.
func (w *world) playLateStart(disrupt func(r *runner) error) ([]string, error) {
	const id = "00000000000000b1"
	const task = id + ".0.0.0"
	if err := w.build(8, 3); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	if w.trouble {
		w.holdFirst(task)
	}
	if err := w.submit(id, job(1, 1000, 500)); err != nil {
		return nil, err
	}
	if !await(20*time.Second, func() bool {
		for _, u := range w.runsOf(task) {
			if u.how == "done" && !u.acked.IsZero() {
				return true
			}
		}
		return false
	}) {
		return nil, errNoStart
	}
	if r := w.holder(); r != nil {
		if err := disrupt(r); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second)

	return w.twice(task), nil
}

// restartAndDeliver lets a runner crash and start again, and lets the start that was held up arrive at its next life. The times are since the start was
// sent; the pages say 2 to 12 s for the second.
func (w *world) restartAndDeliver(r *runner, crashAt, restartAt, deliverAt time.Duration) error {
	h := r.held[0]
	time.Sleep(time.Until(h.sent.Add(crashAt)))
	r.crash()
	time.Sleep(time.Until(h.sent.Add(restartAt)))
	if err := r.start(); err != nil {
		return err
	}
	time.Sleep(time.Until(h.sent.Add(deliverAt)))
	w.note("the start that was held up for %.1f s is carried out: %s", time.Since(h.sent).Seconds(), r.deliver(h))

	return nil
}

// twice returns what breaks the rule TWICE.
func (w *world) twice(task string) []string {
	var faults []string
	runs := w.runsOf(task)
	for i, u := range runs {
		for _, v := range runs[i+1:] {
			switch {
			case u.how == "done" && !u.acked.IsZero() && v.began.After(u.ended):
				faults = append(faults, fmt.Sprintf(
					"TWICE: %s run %d ended done on %s, which is taken note of, and run %d starts on %s %.2f s later", task, u.attempt, u.runner, v.attempt,
					v.runner, v.began.Sub(u.ended).Seconds(),
				))
			case u.ended.IsZero() || v.began.Before(u.ended):
				faults = append(faults, fmt.Sprintf("TWICE: %s runs on %s and on %s at the same time", task, u.runner, v.runner))
			}
		}
	}

	return faults
}

// lateUpkeep: an order for an upkeep gets no answer and is carried out late, after another process has taken over.
func lateUpkeep(w *world) ([]string, error) {
	const (
		machines = 15
		// upkeeps of the machines are of the wave, 0.4 of all as in the pages; all of them but one have some work at first.
		upkeeps = 6
		busy    = upkeeps - 1
	)
	// deliverAt is how long the order is on its way; the pages say 2 to 12 s.
	const deliverAt = 7 * time.Second
	if err := w.build(machines, 3); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	if err := w.submit("00000000000000a1", map[string]any{
		"spec":   "work=500",
		"phases": []any{map[string]any{"count": busy, "cpu": 9000, "memMb": 64, "estimateMs": 500, "antiAffinity": 1}},
	}); err != nil {
		return nil, err
	}
	if !await(5*time.Second, func() bool { w.mu.Lock(); defer w.mu.Unlock(); return len(w.runs) == busy }) {
		return nil, errNoStart
	}
	if w.trouble {
		first := true
		w.cloud.holdOrder = func(o machineOrder) bool {
			hold := first && o.path == "/api/machine-upkeep"
			first = first && !hold
			return hold
		}
	}
	v := &wave{Cohort: 1, DurationS: 60, MaxCount: 1}
	idle := ""
	for _, r := range w.runners {
		if w.hasRun(r) {
			v.Machines = append(v.Machines, r.machine)
		} else {
			idle = r.machine
		}
	}
	v.Machines = append(v.Machines, idle)
	w.cloud.mu.Lock()
	w.wave = v
	w.cloud.mu.Unlock()
	w.store.put("op/wave/1", v)
	w.note("op/wave/1: %v, %d at once", v.Machines, v.MaxCount)
	if w.trouble {
		if err := w.takeOverAndDeliver(deliverAt); err != nil {
			return nil, err
		}
	}
	await(50*time.Second, func() bool {
		w.cloud.mu.Lock()
		defer w.cloud.mu.Unlock()
		for _, name := range v.Machines {
			if m := w.cloud.byName[name]; !m.done[1] || m.state != "up" {
				return false
			}
		}
		return true
	})
	time.Sleep(time.Second)
	w.note("status/wave/1: %s", w.store.value("status/wave/1"))
	w.cloud.mu.Lock()
	defer w.cloud.mu.Unlock()
	var faults []string
	for _, name := range w.cloud.tooMany {
		faults = append(faults, fmt.Sprintf("LIMIT: the upkeep of %s begins while maxCount machines of its wave (%d) are down for theirs", name, v.MaxCount))
	}

	return faults, nil
}

// takeOverAndDeliver kills the process whose order is held up, and lets the order arrive some time after it was sent.
func (w *world) takeOverAndDeliver(after time.Duration) error {
	var o machineOrder
	if !await(15*time.Second, func() bool {
		w.cloud.mu.Lock()
		defer w.cloud.mu.Unlock()
		if len(w.cloud.held) > 0 {
			o = w.cloud.held[0]
		}
		return len(w.cloud.held) > 0
	}) {
		return errors.New("no upkeep was ordered")
	}
	for _, m := range w.managers {
		if m.name == o.holder {
			m.kill()
		}
	}
	time.Sleep(time.Until(o.sent.Add(after)))
	w.cloud.deliver(o)

	return nil
}

// hasRun reports whether a runner has begun a run.
func (w *world) hasRun(r *runner) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, u := range w.runs {
		if u.runner == r.id {
			return true
		}
	}

	return false
}
