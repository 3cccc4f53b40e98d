package main

import (
	"fmt"
	"strings"
	"time"
)

// besideGang: a gang waits for room that long tasks hold. A job that fits beside them into the room that is free does not start.
func besideGang(w *World) {
	const (
		longTime = 45 * time.Second
		finish   = 14 * time.Second
	)
	deploy(w, 4, 3)
	for _, r := range w.runners {
		r.workTime = func(task string, _ int) (time.Duration, string) {
			if strings.HasPrefix(task, "aa") {
				return longTime, "done"
			}
			return 10 * time.Second, "done"
		}
	}
	submit := func(id string, step map[string]any) {
		status, _ := w.Call(w.managers[0], "POST", "/qa/"+id, map[string]any{"spec": "report", "phases": []map[string]any{step}}, 3*time.Second)
		if status != 200 {
			w.Log("the case can't run: job %s was not accepted", id)
			w.Finish(2)
		}
	}
	submit(fmt.Sprintf("aa%014x", 1), map[string]any{"count": 4, "cpu": 7500, "memMb": 256, "estimateMs": longTime.Milliseconds(), "antiAffinity": 1})
	time.Sleep(3 * time.Second)
	if w.trouble {
		submit(fmt.Sprintf("cc%014x", 1), map[string]any{"count": 4, "cpu": 9000, "memMb": 256, "estimateMs": 30000, "gang": true})
		time.Sleep(time.Second)
	}
	id := fmt.Sprintf("bb%014x", 1)
	submit(id, map[string]any{"count": 1, "cpu": 8000, "memMb": 128, "estimateMs": 120000})
	w.Log("the traffic has ended")
	time.Sleep(finish)
	held := len(w.Runs(id+".0.0.0")) == 0
	time.Sleep(3500 * time.Millisecond)
	held = held && len(w.Runs(id+".0.0.0")) == 0
	state := w.State(w.managers[1], "/qa/"+id)
	if held {
		w.Break("LOST: job %s is %q, and its task of 8000 cpu has not started 17.5 s after the traffic; each of the 4 runners has 7500 of 16000 in use", id, state)
	}
}
