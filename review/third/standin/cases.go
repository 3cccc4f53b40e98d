package main

import "time"

var cases = map[string]func(w *World){"11": lateAfterRestart, "12": manyTasks, "13": manyOccurrences, "14": underestimated, "15": besideGang}

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
	tenants := []map[string]any{tenant("t-one", "key-one", 0), tenant("t-two", "key-two", 0)}
	w.Configure(3, services, []map[string]any{route("r-a", "/qa/", "svc-a", 4)}, tenants)
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
