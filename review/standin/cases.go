package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// newRunners returns n runners of the service whose tasks work for a time.
func newRunners(n int, work time.Duration) []*runner {
	var list []*runner
	for i := range n {
		list = append(list, &runner{
			id: fmt.Sprintf("i-%06x", 0xa10+i), machine: fmt.Sprintf("m-%06x", 0xa10+i), service: service, rack: fmt.Sprintf("r1-%d", i/4), cpu: 16000, work: work, stopTime: 100 * time.Millisecond,
		})
	}

	return list
}

// crashes plays pairs of crashes among eleven runners while small jobs come. The busiest runner goes dark for 1.2 s, and tasks whose
// starts it has not answered start on others. When it is back, one of those others goes dark for 1.2 s, so that one is down at a time.
// A job must not be shown as failed: no run ends as failed. To be well inside the rule, it counts only if no task of it has lost two
// runs with their runners.
func crashes(program, record string, trouble bool, keep string) ([]string, error) {
	const (
		taskTime = 640 * time.Millisecond
		length   = 60 * time.Second
		down     = 1200 * time.Millisecond
	)
	runners := newRunners(11, taskTime)
	s, err := newSystem(program, record, 3, runners, 3)
	if s != nil {
		defer s.close(keep)
	}
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	end := time.Now().Add(length)
	crash := func(r *runner) {
		r.goDark()
		time.Sleep(down)
		if err := r.replace(); err != nil {
			s.rec.logf("runner %s did not start: %v", r.id, err)
		}
	}
	if trouble {
		go func() {
			for time.Now().Before(end.Add(-5 * time.Second)) {
				crash(s.busiest())
				if r := s.startedAnew(); r != nil {
					crash(r)
				}
				time.Sleep(time.Second)
			}
		}()
	}
	var ids []string
	for time.Now().Before(end) {
		if id := s.submit(map[string]any{"count": 6, "cpu": 1000, "memMb": 256, "estimateMs": 640}); id != "" {
			ids = append(ids, id)
		}
		time.Sleep(60 * time.Millisecond)
	}
	time.Sleep(10 * time.Second)
	var breaches []string
	for _, id := range ids {
		if s.state(id) != "failed" {
			continue
		}
		if lost, failed := s.rec.lostRuns(id); lost < 2 && failed == 0 {
			breaches = append(breaches, fmt.Sprintf("job %s is shown as failed; no run of it has ended failed, and no task of it has lost more than %d runs", id, lost))
		}
	}

	return breaches, nil
}

// reborn plays demand that comes by turns: every two seconds 15 small jobs come within 0.6 s, and none in between. In each pause the
// process of the first runner, which is idle, is killed and starts again under the same id and at the same address 100 ms later, as
// by a supervisor. It does so 0 to 100 ms before the next jobs come.
func reborn(program, record string, trouble bool, keep string) ([]string, error) {
	const (
		taskTime = 200 * time.Millisecond
		downTime = 100 * time.Millisecond
		turns    = 15
		jobs     = 15
	)
	runners := newRunners(8, taskTime)
	s, err := newSystem(program, record, 3, runners, 4)
	if s != nil {
		defer s.close(keep)
	}
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	for range turns {
		time.Sleep(1200 * time.Millisecond)
		if trouble {
			runners[0].crash()
			time.Sleep(downTime)
			if err := runners[0].start(); err != nil {
				return nil, err
			}
			time.Sleep(rand.N(100 * time.Millisecond))
		}
		for range jobs {
			s.submit(map[string]any{"count": 1, "cpu": 880, "memMb": 256, "estimateMs": 200})
			time.Sleep(30 * time.Millisecond)
		}
	}
	time.Sleep(9 * time.Second)

	return s.rec.twice(), nil
}

// foreign submits jobs whose tasks work for three seconds. Twice, another writer puts an entry of a service that no configuration
// names in the place of a busy runner's. The runner goes on, and writes its own entry again with its next heartbeat.
func foreign(program, record string, trouble bool, keep string) ([]string, error) {
	const taskTime = 3 * time.Second
	runners := newRunners(8, taskTime)
	s, err := newSystem(program, record, 3, runners, 4)
	if s != nil {
		defer s.close(keep)
	}
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	for i := range 2 {
		for range 4 {
			if s.submit(map[string]any{"count": 2, "cpu": 880, "memMb": 256, "estimateMs": 3000}) == "" {
				return nil, fmt.Errorf("a job was not accepted")
			}
		}
		time.Sleep(time.Second)
		if trouble {
			busy := s.busiest()
			s.rec.logf("another writer writes servers/%s", busy.id)
			s.store.set("servers/"+busy.id, map[string]any{
				"service": "stock-sync", "address": busy.address, "zone": "z-a", "version": "v9", "state": "ready", "sequence": 1 + i,
				"capacity": map[string]int{"cpu": 1000, "memMb": 1024, "gpu": 0}, "labels": []string{"x", "y"}, "born": time.Now().UnixMilli(),
			})
		}
		time.Sleep(6 * time.Second)
	}
	time.Sleep(4 * time.Second)

	return s.rec.twice(), nil
}

// clock restarts an idle runner once, under the same id, 1.5 s after its first start; between the two starts the time of day of its
// machine jumps back by 2.4 s, so that the second life says that it was born before the first. Jobs come from two seconds later on.
func clock(program, record string, trouble bool, keep string) ([]string, error) {
	const (
		taskTime = 300 * time.Millisecond
		jump     = 2400 * time.Millisecond
		// finish is how long after the last job the states are asked for, and idle how long nothing of a job may run then.
		finish = 18 * time.Second
		idle   = 3 * time.Second
	)
	runners := newRunners(8, taskTime)
	s, err := newSystem(program, record, 3, runners, 4)
	if s != nil {
		defer s.close(keep)
	}
	if err != nil {
		return nil, err
	}
	r := runners[0]
	if trouble {
		time.Sleep(time.Until(r.born.Add(1500 * time.Millisecond)))
		s.rec.logf("the time of day of the machine of runner %s jumps back by %v", r.id, jump)
		r.clockError = -jump
		r.crash()
		time.Sleep(200 * time.Millisecond)
		if err := r.start(); err != nil {
			return nil, err
		}
	}
	time.Sleep(2 * time.Second)
	var ids []string
	for range 10 {
		id := s.submit(map[string]any{"count": 2, "cpu": 880, "memMb": 256, "estimateMs": 300})
		if id == "" {
			return nil, fmt.Errorf("a job was not accepted")
		}
		ids = append(ids, id)
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(finish)
	var breaches []string
	for _, id := range ids {
		state := s.state(id)
		if last, running := s.rec.lastRun(id); state != "completed" && !running && time.Since(last) > idle {
			breaches = append(breaches, fmt.Sprintf("job %s is %s %v after the last job came, and nothing of it runs since %.3f s", id, state, finish, s.rec.at(last)))
		}
	}

	return breaches, nil
}

// pending fills eleven of twelve runners with a long job. Then the twelfth, which is idle, is unhealthy for 6.5 s: it refuses all starts
// with 503. Six small jobs come, for which there is no other room. As long as none of their tasks has begun, each job must be counted
// as pending.
func pending(program, record string, trouble bool, keep string) ([]string, error) {
	const (
		// perRunner is how many tasks fill a runner.
		perRunner = 8
		jobs      = 6
		// known is how long after its acceptance a job must be counted: visible_ms and two seconds.
		known = 5 * time.Second
		// sick is how long the runner is unhealthy.
		sick = 6500 * time.Millisecond
	)
	runners := newRunners(12, time.Second)
	s, err := newSystem(program, record, 3, runners, 4)
	if s != nil {
		defer s.close(keep)
	}
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	phase := func(count int, estimate time.Duration) map[string]any {
		return map[string]any{"count": count, "cpu": 2000, "memMb": 256, "estimateMs": estimate.Milliseconds()}
	}
	if s.submitSpec("60000", phase(perRunner*(len(runners)-1), time.Minute)) == "" {
		return nil, fmt.Errorf("a job was not accepted")
	}
	time.Sleep(2 * time.Second)
	for _, r := range runners {
		r.mu.Lock()
		idle := len(r.runs) == 0
		r.unhealthy = trouble && idle
		r.mu.Unlock()
		if trouble && idle {
			s.rec.logf("runner %s becomes unhealthy", r.id)
			time.AfterFunc(sick, func() {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.unhealthy = false
				s.rec.logf("runner %s is healthy again", r.id)
			})
		}
	}
	accepted := map[string]time.Time{}
	for range jobs {
		id := s.submitSpec("30000", phase(1, 30*time.Second))
		if id == "" {
			return nil, fmt.Errorf("a job was not accepted")
		}
		accepted[id] = time.Now()
	}
	var breaches []string
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for _, m := range s.managers {
			asked := time.Now()
			n := s.pending(m)
			waiting := 0
			for id, at := range accepted {
				if last, running := s.rec.lastRun(id); asked.Sub(at) > known && !running && last.IsZero() {
					waiting++
				}
			}
			if n >= 0 && 2*n < waiting {
				breaches = append(breaches, fmt.Sprintf("%.3f s: %s tells %d pending jobs, and of %d that it accepted over 5 s ago no task has started", s.rec.at(asked), m.name, n, waiting))
			}
		}
	}

	return breaches, nil
}
