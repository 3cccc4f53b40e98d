package main

import (
	"fmt"
	"strings"
	"time"
)

// underestimated: two jobs have a long task on each runner and take four times as long as estimated. Small jobs that come after them do not
// start, although each runner has most of its room free.
func underestimated(w *World) {
	const (
		longTime  = 40 * time.Second
		smallTime = 500 * time.Millisecond
		finish    = 14 * time.Second
	)
	deployWithSpares(w, 6, 2, 3)
	for _, r := range w.runners {
		r.workTime = func(task string, _ int) (time.Duration, string) {
			if strings.HasPrefix(task, "aa") {
				return longTime, "done"
			}
			return smallTime, "done"
		}
	}
	estimate := longTime.Milliseconds()
	if w.trouble {
		estimate /= 4
		w.Log("DISRUPTION the long tasks take 4 times as long as estimated")
	}
	submit := func(id string, step map[string]any) {
		status, _ := w.Call(w.managers[0], "POST", "/qa/"+id, map[string]any{"spec": "report", "phases": []map[string]any{step}}, 3*time.Second)
		if status != 200 {
			w.Log("the case can't run: job %s was not accepted", id)
			w.Finish(2)
		}
	}
	for i := range 2 {
		submit(fmt.Sprintf("aa%014x", i), map[string]any{"count": 6, "cpu": 1000, "memMb": 256, "estimateMs": estimate, "antiAffinity": 1})
	}
	time.Sleep(8 * time.Second)
	var small []string
	for i := range 4 {
		small = append(small, fmt.Sprintf("bb%014x", i))
		submit(small[i], map[string]any{"count": 2, "cpu": 500, "memMb": 128, "estimateMs": smallTime.Milliseconds()})
		time.Sleep(500 * time.Millisecond)
	}
	w.Log("the traffic has ended")
	time.Sleep(finish)
	w.judgeWaiting(small, "key-one")
}

// judgeWaiting judges whether jobs of two tasks have nothing running for 3.5 s although their turn has come.
func (w *World) judgeWaiting(jobs []string, key string) {
	waiting := map[string]bool{}
	for _, id := range jobs {
		waiting[id] = w.waits(id)
	}
	for range 7 {
		time.Sleep(500 * time.Millisecond)
		for _, id := range jobs {
			waiting[id] = waiting[id] && w.waits(id)
		}
	}
	for _, id := range jobs {
		status, state := w.CallKey(w.managers[1], "GET", "/qa/"+id, key, nil, 3*time.Second)
		if waiting[id] {
			w.Break("LOST: job %s is %d %s and has nothing running for 3.5 s, 14 s after the traffic; %s", id, status, state, w.usage())
		}
	}
}

// waits reports whether a job of one task in its only step has nothing running and is not done.
func (w *World) waits(id string) bool {
	for index := range 2 {
		done := false
		for _, s := range w.Runs(fmt.Sprintf("%s.0.0.%d", id, index)) {
			if s.to.IsZero() {
				return false
			}
			done = done || s.how == "done"
		}
		if !done {
			return true
		}
	}

	return false
}

// usage tells how many tasks each runner has at work.
func (w *World) usage() string {
	var text []string
	for _, r := range w.runners {
		r.mu.Lock()
		text = append(text, fmt.Sprintf("%s has %d tasks", r.id, len(r.active)))
		r.mu.Unlock()
	}

	return strings.Join(text, "; ")
}
