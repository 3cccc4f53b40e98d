package main

import (
	"fmt"
	"strings"
	"time"
)

// besideLasting: a job of lasting tasks, each of which takes almost a whole runner, waits until long tasks end. Small jobs that fit
// beside these do not start.
func besideLasting(w *World) {
	const (
		longTime  = 45 * time.Second
		smallTime = 500 * time.Millisecond
		finish    = 14 * time.Second
	)
	deployWithSpares(w, 6, 2, 3)
	for _, r := range w.runners {
		r.workTime = func(task string, _ int) (time.Duration, string) {
			switch {
			case strings.HasPrefix(task, "aa"):
				return longTime, "done"
			case strings.HasPrefix(task, "cc"):
				return 0, ""
			default:
				return smallTime, "done"
			}
		}
	}
	submit := func(id string, step map[string]any) {
		status, _ := w.Call(w.managers[0], "POST", "/qa/"+id, map[string]any{"spec": "report", "phases": []map[string]any{step}}, 3*time.Second)
		if status != 200 {
			w.Log("the case can't run: job %s was not accepted", id)
			w.Finish(2)
		}
	}
	submit(fmt.Sprintf("aa%014x", 1), map[string]any{"count": 6, "cpu": 1000, "memMb": 256, "estimateMs": longTime.Milliseconds(), "antiAffinity": 1})
	time.Sleep(3 * time.Second)
	if w.trouble {
		submit(fmt.Sprintf("cc%014x", 1), map[string]any{"count": 8, "cpu": 15500, "memMb": 256, "estimateMs": 700, "antiAffinity": 1, "longRunning": true, "missAllowed": 1})
		w.Log("a job of 8 lasting tasks of 15500 cpu is accepted")
		time.Sleep(8 * time.Second)
	}
	var small []string
	for i := range 4 {
		small = append(small, fmt.Sprintf("bb%014x", i))
		submit(small[i], map[string]any{"count": 2, "cpu": 1000, "memMb": 128, "estimateMs": smallTime.Milliseconds()})
		time.Sleep(500 * time.Millisecond)
	}
	w.Log("the traffic has ended")
	time.Sleep(finish)
	w.judgeWaiting(small, "key-one")
}
