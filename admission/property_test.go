package admission_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"lycheehook.example/lycheehook/admission"
	"lycheehook.example/lycheehook/fleet"
)

// TestControllerProperty makes random requests, cancellations and releases. It checks after every step that no limit is
// exceeded and that no request waits that could start, and at the end that each request got exactly one result and
// that all slots and limits were released.
func TestControllerProperty(t *testing.T) {
	for seed := range uint64(150) {
		synctest.Test(t, func(t *testing.T) { controllerProperty(t, seed) })
	}
}

func controllerProperty(t *testing.T, seed uint64) {
	t.Helper()
	r := rand.New(rand.NewPCG(seed, 3))
	n := 1 + r.IntN(8)
	g := newFixture(n)
	teams := []fleet.TeamName{"a", "b", "c"}
	running := map[fleet.TeamName]int64{}
	waiting := map[int]admission.Request{}
	owner := map[int]fleet.TeamName{}
	grants := map[int]admission.Grant{}
	cancels := map[int]context.CancelFunc{}
	// Results are received from one channel, so that only this goroutine changes the model.
	type result struct {
		id    int
		grant admission.Grant
		err   error
	}
	results := make(chan result, 1000)
	requested, answered := 0, 0
	total := func() int64 { return running["a"] + running["b"] + running["c"] }
	collect := func() {
		synctest.Wait()
		for len(results) > 0 {
			res := <-results
			answered++
			req := waiting[res.id]
			delete(waiting, res.id)
			if res.err == nil {
				grants[res.id] = res.grant
				waiting[res.id] = req
				running[owner[res.id]] += req.Size.Slots
			}
		}
		for id := range grants {
			delete(waiting, id)
		}
	}
	sizes, enqueued := map[int]int64{}, map[int]time.Time{}
	check := func(step int) {
		if total() > int64(n) || running["a"] > 4 || running["b"] > 4 || running["c"] > 4 || running["a"]+running["b"] > 6 {
			t.Fatalf("seed %d step %d: running work %v exceeds a limit, with %d slots", seed, step, running, n)
		}
		// While slots are reserved for a large request, a smaller one may have to wait.
		for id, req := range waiting {
			if req.Size.Slots > 1 && time.Since(enqueued[id]) >= 2*time.Second {
				return
			}
		}
		for id, req := range waiting {
			o, s := owner[id], req.Size.Slots
			customerHasRoom := o == "c" || running["a"]+running["b"]+s <= 6
			if total()+s <= int64(n) && running[o]+s <= 4 && customerHasRoom {
				t.Fatalf("seed %d step %d: team %s waits for %d slots with running work %v on %d slots", seed, step, o, s, running, n)
			}
		}
	}
	release := func(id int) {
		running[owner[id]] -= sizes[id]
		grants[id].Release()
		delete(grants, id)
	}
	for step := range 150 {
		switch r.IntN(6) {
		case 0, 1, 2:
			id, team := requested, teams[r.IntN(3)]
			requested++
			req := admission.Request{
				Secret: g.secrets[team], Queue: []fleet.QueueName{"work", "urgent"}[r.IntN(2)],
				Size: slots(1 + int64(r.IntN(min(n, 3)))), Idempotent: r.IntN(2) == 0,
			}
			ctx, cancel := context.WithCancel(t.Context())
			if r.IntN(3) == 0 {
				ctx, cancel = context.WithTimeout(ctx, time.Duration(r.IntN(2000))*time.Millisecond)
			}
			owner[id], waiting[id], cancels[id], sizes[id] = team, req, cancel, req.Size.Slots
			enqueued[id] = time.Now()
			go func() {
				grant, err := g.Admit(ctx, req)
				results <- result{id, grant, err}
			}()
		case 3:
			for id := range requested {
				if _, ok := grants[id]; ok && r.IntN(2) == 0 {
					release(id)
					break
				}
			}
		case 4:
			// A cancellation and a release at the same instant race for the same slot.
			if requested > 0 {
				go cancels[r.IntN(requested)]()
			}
			for id := range requested {
				if _, ok := grants[id]; ok {
					release(id)
					break
				}
			}
		case 5:
			time.Sleep(time.Duration(r.IntN(300)) * time.Millisecond)
		}
		collect()
		check(step)
	}
	for len(waiting)+len(grants) > 0 {
		for id := range requested {
			if _, ok := grants[id]; ok {
				release(id)
			}
		}
		time.Sleep(20 * time.Second)
		collect()
	}
	for _, cancel := range cancels {
		cancel()
	}
	if answered != requested || g.Waiting("pool") != 0 {
		t.Errorf("seed %d: %d requested, %d answered, %d waiting", seed, requested, answered, g.Waiting("pool"))
	}
	got := g.takeSlots(t, "c", min(n, 4))
	if len(got) != min(n, 4) || len(g.Report("e").Teams) == 0 {
		t.Errorf("seed %d: slots or limits were not released", seed)
	}
}
