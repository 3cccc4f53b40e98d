package main

import (
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// memoryMb is the memory of an entry host, by its settings.
const memoryMb = 284

// resident returns the resident memory of a process in megabytes.
func resident(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, pages int
	_, _ = fmt.Sscan(string(data), &size, &pages)

	return pages * os.Getpagesize() >> 20
}

// limitMemory ends processes that take more memory than their machine has, as the platform does, and starts them again after a short
// delay. The returned function tells how often that was done.
func limitMemory(w *World) func() int64 {
	var ends atomic.Int64
	for _, m := range w.managers {
		go func() {
			for range time.Tick(20 * time.Millisecond) {
				m.mu.Lock()
				process, done := m.cmd.Process, m.done
				m.mu.Unlock()
				n := resident(process.Pid)
				if n <= memoryMb || w.finishing.Load() {
					continue
				}
				w.Log("manager %s takes %d MB of %d and is ended", m.name, n, memoryMb)
				_ = process.Signal(syscall.SIGKILL)
				<-done
				ends.Add(1)
				time.Sleep(500 * time.Millisecond)
				if !w.finishing.Load() {
					m.Start()
				}
			}
		}()
	}

	return ends.Load
}

// manyTasks: a job of many small tasks, which find room at once, ends the process that owns the runners again and again. Small jobs of
// another tenant are accepted meanwhile and do not run.
func manyTasks(w *World) {
	const (
		steps, tasks = 4, 10000
		longTime     = 30 * time.Second
		finish       = 14 * time.Second
	)
	deploy(w, 8, 3)
	for _, r := range w.runners {
		r.workTime = func(task string, _ int) (time.Duration, string) {
			if strings.HasPrefix(task, "aa") {
				return longTime, "done"
			}
			return 500 * time.Millisecond, "done"
		}
	}
	w.quiet = "aa"
	ends := limitMemory(w)
	submit := func(id, key string, phases []map[string]any) bool {
		for try := range 10 {
			if status, _ := w.CallKey(w.managers[try%3], "POST", "/qa/"+id, key, map[string]any{"spec": "part", "phases": phases}, 3*time.Second); status == 200 {
				return true
			}
			time.Sleep(300 * time.Millisecond)
		}

		return false
	}
	if w.trouble {
		var phases []map[string]any
		for range steps {
			phases = append(phases, map[string]any{"count": tasks, "cpu": 1, "memMb": 1, "estimateMs": longTime.Milliseconds()})
		}
		if !submit(fmt.Sprintf("aa%014x", 1), "key-one", phases) {
			w.Log("the case can't run: the job was not accepted")
			w.Finish(2)
		}
		w.Log("DISRUPTION a job of %d steps of %d tasks of 1 cpu and 1 MB is accepted", steps, tasks)
	}
	var small []string
	for i := range 4 {
		time.Sleep(4 * time.Second)
		id := fmt.Sprintf("bb%014x", i)
		if submit(id, "key-two", []map[string]any{{"count": 2, "cpu": 500, "memMb": 128, "estimateMs": 500}}) {
			small = append(small, id)
		}
	}
	w.Log("the traffic has ended")
	time.Sleep(finish)
	w.judgeWaiting(small, "key-two")
	w.Log("processes were ended %d times for their memory", ends())
}
