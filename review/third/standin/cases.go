package main

import (
	"fmt"
	"time"
)

var cases = map[string]func(w *World){"11": crashed, "12": lateStart, "13": lateUpkeep, "14": underestimated}

const jobID = "5c0e7a21d94b36f8"

// deploy starts runners of one service, their machines and the managers.
func deploy(w *World, runners, managers int) {
	deployWithSpares(w, runners, 0, managers)
}

// deployWithSpares is deploy with further machines in the spare pool.
func deployWithSpares(w *World, runners, spares, managers int) {
	services := []map[string]any{service("svc-a", false)}
	if spares > 0 {
		services = append(services, service("svc-spare", true))
	}
	w.Configure(3, services, []map[string]any{route("r-a", "/qa/", "svc-a", 4)}, []map[string]any{tenant("t-one", "key-one", 0)})
	cloud := NewCloud(w)
	for i := range runners + spares {
		r := NewRunner(w, i, "svc-a")
		if i >= runners {
			r.service = "svc-spare"
		}
		w.runners = append(w.runners, r)
		cloud.Add(r)
		r.Start()
	}
	for range managers {
		w.AddManager(w.storeAddr)
	}
	w.AwaitReady()
	w.Await("there is an owner of the runners", 10*time.Second, func() bool { return w.Owner() != nil })
	time.Sleep(time.Second)
}

// at returns the runner that has a run of a task now.
func at(w *World, task string) (*Runner, time.Duration) {
	for _, s := range w.Runs(task) {
		if s.to.IsZero() {
			for _, r := range w.runners {
				if r.id == s.runner {
					return r, time.Since(s.from)
				}
			}
		}
	}

	return nil, 0
}

// crashed: two of 14 runners crash, one after the other, and the job that each of them ran is given up.
func crashed(w *World) {
	deploy(w, 14, 3)
	for _, r := range w.runners {
		r.workTime = func(string, int) (time.Duration, string) { return 4 * time.Second, "done" }
	}
	task := jobID + ".0.0.0"
	status, _ := w.Call(w.managers[0], "POST", "/qa/"+jobID, map[string]any{
		"spec": "report", "phases": []map[string]any{{"count": 1, "cpu": 1000, "memMb": 256, "estimateMs": 4000}},
	}, 3*time.Second)
	if status != 200 {
		w.Log("the case can't run: the job was not accepted")
		w.Finish(2)
	}
	for n := 1; w.trouble && n <= 2; n++ {
		w.Await(fmt.Sprintf("run %d of the task has worked for a second", n), 15*time.Second, func() bool {
			r, age := at(w, task)
			return r != nil && age >= time.Second
		})
		r, _ := at(w, task)
		r.Crash()
		w.cloud.SetState(r, "down")
		time.AfterFunc(5*time.Second, func() {
			w.cloud.SetState(r, "up")
			r.Start()
		})
	}
	state := ""
	w.Until(40*time.Second, func() bool {
		time.Sleep(500 * time.Millisecond)
		state = w.State(w.managers[1], "/qa/"+jobID)
		return state != "queued" && state != "in_progress" && state != ""
	})
	failed := 0
	for _, s := range w.Runs(task) {
		if s.how == "failed" {
			failed++
		}
	}
	w.Log("the job is shown as %q; %d runs of its task have ended failed, 4 are allowed", state, failed)
	if state == "failed" && failed < 4 {
		w.Break("LOST: the job is shown as failed, and %d of its runs have ended failed", failed)
	}
	if state != "failed" && state != "completed" {
		w.Break("LOST: the job is shown as %q 40 s after the last crash", state)
	}
}
