package main

import (
	"fmt"
	"strings"
	"time"
)

// manyOccurrences: four jobs of a tenant repeat a thousand times each, and all but the first tasks of each occurrence wait for the tenant's
// limit. Small jobs of another tenant are accepted and do not run, although the runners are almost empty.
func manyOccurrences(w *World) {
	const (
		jobs, steps, repeats = 4, 300, 1000
		limit                = 1500
		workTime             = 300 * time.Millisecond
		finish               = 14 * time.Second
	)
	deploy(w, 8, 3)
	tenants := []map[string]any{tenant("t-one", "key-one", limit), tenant("t-two", "key-two", 0)}
	w.Configure(4, []map[string]any{service("svc-a", false)}, []map[string]any{route("r-a", "/qa/", "svc-a", 4)}, tenants)
	time.Sleep(3 * time.Second)
	for _, r := range w.runners {
		r.workTime = func(string, int) (time.Duration, string) { return workTime, "done" }
	}
	w.quiet = "aa"
	ends := limitMemory(w)
	submit := func(id, key string, job map[string]any) bool {
		for try := range 10 {
			if status, _ := w.CallKey(w.managers[try%3], "POST", "/qa/"+id, key, job, 3*time.Second); status == 200 {
				return true
			}
			time.Sleep(300 * time.Millisecond)
		}

		return false
	}
	phases := []map[string]any{{"count": 1, "cpu": 1, "memMb": 1, "estimateMs": workTime.Milliseconds()}}
	for range steps - 1 {
		phases = append(phases, map[string]any{"count": 1, "cpu": 1000, "memMb": 1, "estimateMs": workTime.Milliseconds(), "after": []int{0}})
	}
	count := 1
	if w.trouble {
		count = repeats
	}
	for i := range jobs {
		job := map[string]any{"spec": "report", "phases": phases, "repeatCount": count, "startAtMs": time.Now().UnixMilli(), "intervalMs": 1}
		if !submit(fmt.Sprintf("aa%014x", i), "key-one", job) {
			w.Log("the case can't run: the job was not accepted")
			w.Finish(2)
		}
	}
	w.Log("%d jobs of %d steps of one task, which repeat %d times, are accepted", jobs, steps, count)
	var small []string
	for i := range 10 {
		time.Sleep(4 * time.Second)
		w.tellSizes()
		id := fmt.Sprintf("bb%014x", i)
		if submit(id, "key-two", map[string]any{"spec": "part", "phases": []map[string]any{{"count": 2, "cpu": 500, "memMb": 128, "estimateMs": workTime.Milliseconds()}}}) {
			small = append(small, id)
		}
	}
	w.Log("the traffic has ended")
	time.Sleep(finish)
	w.judgeWaiting(small, "key-two")
	w.Log("processes were ended %d times for their memory", ends())
}

// tellSizes records how many tasks have begun so far, and the resident memory of each manager.
func (w *World) tellSizes() {
	var sizes []string
	for _, m := range w.managers {
		m.mu.Lock()
		sizes = append(sizes, fmt.Sprintf("%s has %d MB", m.name, resident(m.cmd.Process.Pid)))
		m.mu.Unlock()
	}
	w.mu.Lock()
	begun := len(w.runs)
	w.mu.Unlock()
	w.Log("%d tasks have begun; %s", begun, strings.Join(sizes, "; "))
}
