package claim_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/refusal"
	"lycheehook.example/lycheehook/standin"
)

// faultCases tell what a caller hears that repeats a request, in order, after each fault.
var faultCases = []struct {
	name string
	run  func(d *desk, id string) []refusal.Code
	want []refusal.Code
}{
	{"first attempt", func(d *desk, id string) []refusal.Code {
		return []refusal.Code{d.say("a", id, 0)}
	}, []refusal.Code{""}},
	{"repeat through the same entry host", func(d *desk, id string) []refusal.Code {
		return []refusal.Code{d.say("a", id, 0), d.say("a", id, 0)}
	}, []refusal.Code{"", ""}},
	{"repeat through another entry host after the outcome was written", func(d *desk, id string) []refusal.Code {
		first := d.say("a", id, 0)
		time.Sleep(2 * time.Second)
		return []refusal.Code{first, d.say("b", id, 0)}
	}, []refusal.Code{"", ""}},
	{"repeat while it runs", func(d *desk, id string) []refusal.Code {
		go d.say("a", id, 10*time.Second)
		time.Sleep(time.Second)
		return []refusal.Code{d.say("a", id, 0), d.say("b", id, 0)}
	}, []refusal.Code{refusal.InProgress, refusal.InProgress}},
	{"repeat after the owner died", func(d *desk, id string) []refusal.Code {
		go d.say("a", id, 10*time.Second)
		time.Sleep(time.Second)
		d.kill("a")
		return []refusal.Code{d.say("b", id, 0), d.say("a", id, 0)}
	}, []refusal.Code{refusal.OutcomeUnknown, refusal.OutcomeUnknown}},
	{"store is down", func(d *desk, id string) []refusal.Code {
		d.store.SetFault(standin.FaultDown)
		first := d.say("a", id, 0)
		d.store.SetFault(standin.FaultNone)
		return []refusal.Code{first, d.say("b", id, 0)}
	}, []refusal.Code{refusal.StoreUnavailable, ""}},
	{"store is silent", func(d *desk, id string) []refusal.Code {
		d.store.SetFault(standin.FaultSilent)
		first := d.say("a", id, 0)
		d.store.SetFault(standin.FaultNone)
		return []refusal.Code{first, d.say("b", id, 0)}
	}, []refusal.Code{refusal.StoreUnavailable, ""}},
	{"store goes down after the answer to the claim was lost", func(d *desk, id string) []refusal.Code {
		d.books["a"].set(func(p *process) { p.lose = true })
		go func() {
			time.Sleep(time.Millisecond)
			d.books["a"].set(func(p *process) { p.lose, p.down = false, true })
		}()
		first := d.say("a", id, 0)
		d.books["a"].set(func(p *process) { p.down = false })
		second := d.say("b", id, 0)
		time.Sleep(3 * time.Second)
		return []refusal.Code{first, second, d.say("b", id, 0)}
	}, []refusal.Code{refusal.StoreUnavailable, refusal.InProgress, ""}},
	{"answer of the store is lost", func(d *desk, id string) []refusal.Code {
		d.books["a"].set(func(p *process) { p.lose = true })
		return []refusal.Code{d.say("a", id, 0), d.say("a", id, 0)}
	}, []refusal.Code{"", ""}},
	{"claim arrives after it was given up", func(d *desk, id string) []refusal.Code {
		d.books["a"].set(func(p *process) { p.late = true })
		first := d.say("a", id, 0)
		d.books["a"].set(func(p *process) { p.late = false })
		time.Sleep(5 * time.Second)
		return []refusal.Code{first, d.say("b", id, 0)}
	}, []refusal.Code{refusal.StoreUnavailable, ""}},
	{"caller goes away before the claim is written", func(d *desk, id string) []refusal.Code {
		d.store.SetDelay(500 * time.Millisecond)
		ctx, cancel := context.WithTimeout(d.ctx, 700*time.Millisecond)
		defer cancel()
		err := d.post(ctx, "a", id, 0)
		d.store.SetDelay(0)
		time.Sleep(4 * time.Second)
		return []refusal.Code{code(err), d.say("b", id, 0)}
	}, []refusal.Code{refusal.Cancelled, ""}},
	{"same ID with another body", func(d *desk, id string) []refusal.Code {
		first := d.say("a", id, 0)
		time.Sleep(2 * time.Second)
		_, err := d.books["b"].book.Claim(d.ctx, team, id, sha256.Sum256([]byte("other")))
		return []refusal.Code{first, code(err)}
	}, []refusal.Code{"", refusal.RequestInvalid}},
	{"same ID from another team", func(d *desk, id string) []refusal.Code {
		first := d.say("a", id, 0)
		_, err := d.books["a"].book.Claim(d.ctx, "other", id, body(id))
		return []refusal.Code{first, code(err)}
	}, []refusal.Code{"", refusal.RequestInvalid}},
	{"repeat just before the ID expires, and after", func(d *desk, id string) []refusal.Code {
		first := d.say("a", id, 0)
		time.Sleep(d.timing.Retention - time.Minute)
		second := d.say("b", id, 0)
		time.Sleep(2 * time.Minute)
		return []refusal.Code{first, second, d.say("b", id, 0)}
	}, []refusal.Code{"", "", refusal.RequestExpired}},
	{"not an ID that carries a time", func(d *desk, _ string) []refusal.Code {
		return []refusal.Code{
			d.say("a", "", 0), d.say("a", "x", 0), d.say("a", "2b1c2f3e-7d46-4b5f-9d9e-000000000001", 0),
			d.say("a", "ffffffff-ffff-7fff-bfff-ffffffffffff", 0),
		}
	}, []refusal.Code{refusal.RequestInvalid, refusal.RequestInvalid, refusal.RequestInvalid, refusal.RequestInvalid}},
	{"claim was sealed away before the repeat", func(d *desk, id string) []refusal.Code {
		first := d.say("a", id, 0)
		d.fill("a", 4000)
		d.kill("a")
		d.kill("b")
		return []refusal.Code{first, d.say("b", id, 0), d.say("a", id, 0)}
	}, []refusal.Code{"", "", ""}},
	{"answers are lost while segments are sealed", func(d *desk, id string) []refusal.Code {
		first := d.say("a", id, 0)
		d.set(func(p *process) { p.lose = true })
		d.fill("a", 2000)
		d.fill("b", 2000)
		d.set(func(p *process) { p.lose = false })
		return []refusal.Code{first, d.say("b", id, 0)}
	}, []refusal.Code{"", ""}},
}

func (d *desk) say(name, id string, runs time.Duration) refusal.Code {
	err := d.post(d.ctx, name, id, runs)

	return code(err)
}

// fill posts n other requests through one entry host at once.
func (d *desk) fill(name string, n int) {
	done := make(chan refusal.Code)
	for range n {
		go func() { done <- d.say(name, newID(), 0) }()
	}
	for range n {
		<-done
	}
	time.Sleep(3 * time.Second)
}

func TestWhatIsTold(t *testing.T) {
	for _, c := range faultCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDesk(t, 1, "a", "b")
				defer d.stop()
				got := c.run(d, newID())
				if diff := cmp.Diff(c.want, got); diff != "" {
					t.Error(diff)
				}
				if d.violated != nil {
					t.Error(d.violated)
				}
			})
		})
	}
}

// TestNothingRunsTwice repeats requests at random through three entry hosts while faults come and go.
func TestNothingRunsTwice(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDesk(t, seed, "a", "b", "c")
				defer d.stop()
				d.timing.SealSize = 2 << 10
				for _, name := range []string{"a", "b", "c"} {
					d.kill(name)
				}
				d.storm(30 * time.Second)
				d.set(func(p *process) { p.lose, p.late, p.down = false, false, false })
				d.store.SetFault(standin.FaultNone)
				d.store.SetDelay(0)
				time.Sleep(10 * time.Second)
				for _, name := range []string{"a", "b", "c"} {
					if got := d.say(name, newID(), 0); got != "" {
						t.Errorf("%s says %s after the faults", name, got)
					}
				}
				if d.violated != nil {
					t.Error(d.violated)
				}
			})
		})
	}
}

// storm posts and repeats for a time, with a fault or its end every 300 ms.
func (d *desk) storm(lasts time.Duration) {
	names := []string{"a", "b", "c"}
	var ids []string
	for i, end := 0, time.Now().Add(lasts); time.Now().Before(end); i++ {
		if i%30 == 0 {
			d.fault(names[d.rng.IntN(3)])
		}
		if len(ids) < 20 || d.rng.IntN(3) == 0 {
			ids = append(ids, newID())
		}
		id := ids[max(0, len(ids)-1-d.rng.IntN(40))]
		runs := time.Duration(d.rng.Int64N(int64(2 * time.Second)))
		patience := time.Duration(d.rng.Int64N(int64(4 * time.Second)))
		name := names[d.rng.IntN(3)]
		go func() {
			ctx, cancel := context.WithTimeout(d.ctx, patience)
			defer cancel()
			_ = d.post(ctx, name, id, runs)
		}()
		time.Sleep(10 * time.Millisecond)
	}
}

func (d *desk) fault(name string) {
	d.set(func(p *process) { p.lose, p.late = false, false })
	d.store.SetFault(standin.FaultNone)
	p := d.books[name]
	p.set(func(p *process) { p.down = false })
	switch d.rng.IntN(8) {
	case 0:
		d.kill(name)
	case 1:
		p.set(func(p *process) { p.lose = true })
	case 2:
		p.set(func(p *process) { p.late = true })
	case 3:
		p.set(func(p *process) { p.down = true })
	case 4:
		d.store.SetFault(standin.FaultAnswerLost)
	case 5:
		d.store.SetFault(standin.FaultDown)
	case 6:
		d.store.SetDelay(time.Duration(d.rng.Int64N(int64(300 * time.Millisecond))))
	default:
		d.set(func(p *process) { p.late = true })
	}
}
