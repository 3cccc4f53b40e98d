package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

// lateUpkeep: the call for the upkeep of a machine gets no answer and is carried out late. Meanwhile the process that gave it is
// stopped in an ordered way, and the next owner has another machine of the wave maintained.
func lateUpkeep(w *World) {
	const maxCount = 1
	deploy(w, 8, 3)
	for _, r := range w.runners {
		r.workTime = func(string, int) (time.Duration, string) { return 2500 * time.Millisecond, "done" }
	}
	var begun atomic.Int32
	w.cloud.onUpkeep = func(m *machine, wave int64, down int) {
		begun.Add(1)
		if down >= maxCount {
			w.Break("LIMIT: an upkeep of wave %d begins on %s while %d machines are down for theirs, and %d may be", wave, m.name, down, maxCount)
		}
	}
	late := make(chan func(), 1)
	var taken atomic.Bool
	w.cloud.onCall = func(rw http.ResponseWriter, r *http.Request, body []byte) bool {
		if !w.trouble || r.URL.Path != "/api/machine-upkeep" || !taken.CompareAndSwap(false, true) {
			return false
		}
		holder, token, at := r.Header.Get("Lycheehook-Duty-Holder"), r.Header.Get("Lycheehook-Fencing-Token"), time.Now()
		w.Log("DISRUPTION cloud: %s by %s with token %s gets no answer: %s", r.URL.Path, holder, token, body)
		late <- func() {
			w.Log("cloud: the call of %s is carried out %.1f s after it came", holder, time.Since(at).Seconds())
			w.cloud.Carry(nil, "/api/machine-upkeep", holder, token, body)
		}
		<-r.Context().Done()

		return true
	}
	stop := steady(w, "r1-0")
	w.store.Put("op/wave/1", map[string]any{"cohort": 1, "machines": []string{"m-000", "m-004"}, "durationS": 40, "maxCount": maxCount})
	w.Log("operator: wave 1 is requested")
	if w.trouble {
		var carry func()
		w.Await("an upkeep is ordered", 30*time.Second, func() bool {
			select {
			case carry = <-late:
				return true
			default:
				return false
			}
		})
		came := time.Now()
		w.Owner().Signal(syscall.SIGTERM)
		// It is carried out between 2 and 12 s after it came.
		w.Until(11*time.Second, func() bool { return time.Since(came) > 2*time.Second && begun.Load() > 0 })
		time.Sleep(300 * time.Millisecond)
		carry()
	}
	w.Until(45*time.Second, func() bool { return begun.Load() >= 2 })
	time.Sleep(3 * time.Second)
	state, _ := w.store.Get("status/wave/1")
	w.Log("status/wave/1 is %s; %d upkeeps have begun", state, begun.Load())
	close(stop)
}

// steady submits jobs of four tasks, one for each runner of a rack, one after the other.
func steady(w *World, rack string) chan struct{} {
	stop := make(chan struct{})
	go func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(400 * time.Millisecond):
			}
			id := fmt.Sprintf("%016x", 0x77aa000000000000+n)
			for _, m := range w.managers {
				if m.Ended() {
					continue
				}
				status, _ := w.Call(m, "POST", "/qa/"+id, map[string]any{
					"spec": "part", "phases": []map[string]any{{"count": 4, "cpu": 500, "memMb": 256, "estimateMs": 2500, "requirements": rack, "antiAffinity": 1}},
				}, 3*time.Second)
				if status == 200 {
					break
				}
			}
		}
	}()

	return stop
}
