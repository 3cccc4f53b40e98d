package main

import (
	"net/http"
	"sync/atomic"
	"time"
)

// lateStart: the start of a task gets no answer, its runner crashes and restarts, and the start is carried out late, by the runner's next
// life.
func lateStart(w *World) {
	deploy(w, 7, 3)
	for _, r := range w.runners {
		r.workTime = func(string, int) (time.Duration, string) { return 12 * time.Second, "done" }
	}
	task := jobID + ".0.0.0"
	type order struct {
		r        *Runner
		path, id string
		body     []byte
		at       time.Time
	}
	late := make(chan order, 1)
	var taken atomic.Bool
	w.onOrder = func(r *Runner, rw http.ResponseWriter, q *http.Request, body []byte) bool {
		if !w.trouble || q.URL.Path != "/api/run-start" || !taken.CompareAndSwap(false, true) {
			return false
		}
		w.Log("DISRUPTION runner %s: a start gets no answer: %s", r.id, body)
		late <- order{r, q.URL.Path, q.Header.Get("Lycheehook-Expect-Instance"), body, time.Now()}
		<-q.Context().Done()

		return true
	}
	status, _ := w.Call(w.managers[0], "POST", "/qa/"+jobID, map[string]any{
		"spec": "report", "phases": []map[string]any{{"count": 1, "cpu": 1000, "memMb": 256, "estimateMs": 12000}},
	}, 3*time.Second)
	if status != 200 {
		w.Finish(2)
	}
	if w.trouble {
		o := <-late
		time.Sleep(200 * time.Millisecond)
		o.r.Crash()
		w.cloud.SetState(o.r, "down")
		time.Sleep(time.Until(o.at.Add(7500 * time.Millisecond)))
		// A runner writes about every heartbeatMs, so that the first heartbeat of its next life may take a second.
		o.r.silent = time.Second
		o.r.Start()
		w.cloud.SetState(o.r, "up")
		time.Sleep(500 * time.Millisecond)
		w.Log("runner %s carries out the start %.1f s after it came", o.r.id, time.Since(o.at).Seconds())
		o.r.Carry(nil, o.path, o.id, o.body)
	}
	w.Until(30*time.Second, func() bool {
		time.Sleep(500 * time.Millisecond)
		return w.State(w.managers[1], "/qa/"+jobID) == "completed"
	})
	runs := w.Runs(task)
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			if b.from.Before(a.to) || a.to.IsZero() {
				w.Break("TWICE: run %d on %s and run %d on %s of %s at the same time", a.attempt, a.runner, b.attempt, b.runner, task)
			}
		}
	}
}
