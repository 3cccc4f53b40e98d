package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// lateStart is a start that gets no answer and is carried out late.
type lateStart struct {
	runner   *Runner
	body     []byte
	sent     time.Time
	instance string
}

// lateAfterRestart: a start gets no answer; the task runs again and is done, which is acknowledged. The runner of the first start loses power
// for a moment, and the start is carried out by its next life.
func lateAfterRestart(w *World) {
	const (
		workTime = 700 * time.Millisecond
		// darkAfter is when the runner goes dark after the start was sent, upAfter when it is up again, and lateAfter when the start is carried out.
		darkAfter = 2500 * time.Millisecond
		upAfter   = 2800 * time.Millisecond
		lateAfter = 2950 * time.Millisecond
		// silent is how long after the start of the next life its first entry is written.
		silent = 500 * time.Millisecond
	)
	deploy(w, 8, 3)
	for _, r := range w.runners {
		r.workTime = func(string, int) (time.Duration, string) { return workTime, "done" }
		r.silent = silent
	}
	id := fmt.Sprintf("aa%014x", 1)
	task := id + ".0.0.0"
	held := holdFirstStart(w, task)
	status, _ := w.Call(w.managers[0], "POST", "/qa/"+id, map[string]any{"spec": "report", "phases": []map[string]any{{"count": 1, "cpu": 1000, "memMb": 256, "estimateMs": 700}}}, 3*time.Second)
	if status != 200 {
		w.Log("the case can't run: the job was not accepted")
		w.Finish(2)
	}
	w.Await("the end of the task is acknowledged", 4*time.Second, func() bool { return !acknowledgedAt(w, task).IsZero() })
	w.State(w.managers[1], "/qa/"+id)
	if w.trouble {
		l := held()
		if time.Since(l.sent) > darkAfter {
			w.Log("the case can't run: the task was done too late")
			w.Finish(2)
		}
		time.Sleep(time.Until(l.sent.Add(darkAfter)))
		l.runner.Darken()
		time.Sleep(time.Until(l.sent.Add(upAfter)))
		l.runner.Revive()
		time.Sleep(time.Until(l.sent.Add(lateAfter)))
		w.Log("DISRUPTION the first start of %s is carried out at %s, %v after it was sent", task, l.runner.id, time.Since(l.sent).Round(time.Millisecond))
		l.runner.Carry(nil, "/api/run-start", l.instance, l.body)
	}
	time.Sleep(3 * time.Second)
	acked := acknowledgedAt(w, task)
	for _, s := range w.Runs(task) {
		if s.from.After(acked) {
			w.Break("TWICE: run %d of %s began at %s %v after an end \"done\" of the task was acknowledged", s.attempt, task, s.runner, s.from.Sub(acked).Round(time.Millisecond))
		}
	}
}

// holdFirstStart leaves the first start of a task without an answer and carries out nothing; the returned function returns that start. Without
// trouble it does nothing.
func holdFirstStart(w *World, task string) func() lateStart {
	var mu sync.Mutex
	var held lateStart
	w.onOrder = func(r *Runner, _ http.ResponseWriter, q *http.Request, body []byte) bool {
		var o order
		if !w.trouble || q.URL.Path != "/api/run-start" || json.Unmarshal(body, &o) != nil || o.Task != task {
			return false
		}
		mu.Lock()
		first := held.runner == nil
		if first {
			held = lateStart{r, body, time.Now(), q.Header.Get("Lycheehook-Expect-Instance")}
		}
		mu.Unlock()
		if !first {
			return false
		}
		w.Log("DISRUPTION the start of %s run %d with token %d at %s gets no answer", task, o.Attempt, o.FencingToken, r.id)
		<-q.Context().Done()

		return true
	}

	return func() lateStart {
		mu.Lock()
		defer mu.Unlock()

		return held
	}
}

// acknowledgedAt returns when an end of a task that is done was acknowledged; zero if none was.
func acknowledgedAt(w *World, task string) time.Time {
	for _, s := range w.Runs(task) {
		if s.how == "done" && !s.acked.IsZero() {
			return s.acked
		}
	}

	return time.Time{}
}
