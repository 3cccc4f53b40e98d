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

// TestGateProperty drives the gate with random work, cancellations, edits and capacity, and checks after every step
// that no limit is exceeded, that nothing startable waits, and at the end that each request got exactly one result
// and that everything was given back.
func TestGateProperty(t *testing.T) {
	for seed := range uint64(150) {
		synctest.Test(t, func(t *testing.T) { gateProperty(t, seed) })
	}
}

func gateProperty(t *testing.T, seed uint64) {
	t.Helper()
	r := rand.New(rand.NewPCG(seed, 3))
	n := 1 + r.IntN(8)
	g := newRig(n)
	teams := []fleet.TeamName{"a", "b", "c"}
	running := map[fleet.TeamName]int64{}
	waiting := map[int]admission.Request{}
	owner := map[int]fleet.TeamName{}
	grants := map[int]admission.Grant{}
	cancels := map[int]context.CancelFunc{}
	// results come over one channel, so that the model changes in this goroutine only.
	type result struct {
		id    int
		grant admission.Grant
		err   error
	}
	results := make(chan result, 1000)
	asked, told := 0, 0
	total := func() int64 { return running["a"] + running["b"] + running["c"] }
	collect := func() {
		synctest.Wait()
		for len(results) > 0 {
			res := <-results
			told++
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
	sizes, entered := map[int]int64{}, map[int]time.Time{}
	check := func(step int) {
		if total() > int64(n) || running["a"] > 4 || running["b"] > 4 || running["c"] > 4 || running["a"]+running["b"] > 6 {
			t.Fatalf("seed %d step %d: %v run on %d slots", seed, step, running, n)
		}
		// While slots are kept for a large request that waited for long, a smaller one may have to wait.
		for id, req := range waiting {
			if req.Size.Slots > 1 && time.Since(entered[id]) >= 2*time.Second {
				return
			}
		}
		for id, req := range waiting {
			o, s := owner[id], req.Size.Slots
			roomOfCustomer := o == "c" || running["a"]+running["b"]+s <= 6
			if total()+s <= int64(n) && running[o]+s <= 4 && roomOfCustomer {
				t.Fatalf("seed %d step %d: %s waits for %d slots while %v run on %d", seed, step, o, s, running, n)
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
			id, team := asked, teams[r.IntN(3)]
			asked++
			req := admission.Request{
				Secret: g.secrets[team], Queue: []fleet.QueueName{"work", "urgent"}[r.IntN(2)],
				Size: slots(1 + int64(r.IntN(min(n, 3)))), Idempotent: r.IntN(2) == 0,
			}
			ctx, cancel := context.WithCancel(t.Context())
			if r.IntN(3) == 0 {
				ctx, cancel = context.WithTimeout(ctx, time.Duration(r.IntN(2000))*time.Millisecond)
			}
			owner[id], waiting[id], cancels[id], sizes[id] = team, req, cancel, req.Size.Slots
			entered[id] = time.Now()
			go func() {
				grant, err := g.Admit(ctx, req)
				results <- result{id, grant, err}
			}()
		case 3:
			for id := range asked {
				if _, ok := grants[id]; ok && r.IntN(2) == 0 {
					release(id)
					break
				}
			}
		case 4:
			// A cancellation and a release in the same instant race for the same slot.
			if asked > 0 {
				go cancels[r.IntN(asked)]()
			}
			for id := range asked {
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
		for id := range asked {
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
	if told != asked || g.Waiting("pool") != 0 {
		t.Errorf("seed %d: %d asked, %d told, %d wait", seed, asked, told, g.Waiting("pool"))
	}
	got := g.fill(t, "c", min(n, 4))
	if len(got) != min(n, 4) || len(g.Report("e").Teams) == 0 {
		t.Errorf("seed %d: not everything was given back", seed)
	}
}
