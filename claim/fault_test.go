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

// faultCases list for each fault the codes that the attempts of a caller get, in order.
var faultCases = []struct {
	name string
	run  func(cl *cluster, id string) []refusal.Code
	want []refusal.Code
}{
	{"first attempt", func(cl *cluster, id string) []refusal.Code {
		return []refusal.Code{cl.attemptCode("a", id, 0)}
	}, []refusal.Code{""}},
	{"repeat through the same entry host", func(cl *cluster, id string) []refusal.Code {
		return []refusal.Code{cl.attemptCode("a", id, 0), cl.attemptCode("a", id, 0)}
	}, []refusal.Code{"", ""}},
	{"repeat through another entry host after the outcome was written", func(cl *cluster, id string) []refusal.Code {
		first := cl.attemptCode("a", id, 0)
		time.Sleep(2 * time.Second)
		return []refusal.Code{first, cl.attemptCode("b", id, 0)}
	}, []refusal.Code{"", ""}},
	{"repeat while it runs", func(cl *cluster, id string) []refusal.Code {
		go cl.attemptCode("a", id, 10*time.Second)
		time.Sleep(time.Second)
		return []refusal.Code{cl.attemptCode("a", id, 0), cl.attemptCode("b", id, 0)}
	}, []refusal.Code{refusal.InProgress, refusal.InProgress}},
	{"repeat after the owner died", func(cl *cluster, id string) []refusal.Code {
		go cl.attemptCode("a", id, 10*time.Second)
		time.Sleep(time.Second)
		cl.restart("a")
		return []refusal.Code{cl.attemptCode("b", id, 0), cl.attemptCode("a", id, 0)}
	}, []refusal.Code{refusal.OutcomeUnknown, refusal.OutcomeUnknown}},
	{"store is down", func(cl *cluster, id string) []refusal.Code {
		cl.store.SetFault(standin.FaultDown)
		first := cl.attemptCode("a", id, 0)
		cl.store.SetFault(standin.FaultNone)
		return []refusal.Code{first, cl.attemptCode("b", id, 0)}
	}, []refusal.Code{refusal.StoreUnavailable, ""}},
	{"store is silent", func(cl *cluster, id string) []refusal.Code {
		cl.store.SetFault(standin.FaultSilent)
		first := cl.attemptCode("a", id, 0)
		cl.store.SetFault(standin.FaultNone)
		return []refusal.Code{first, cl.attemptCode("b", id, 0)}
	}, []refusal.Code{refusal.StoreUnavailable, ""}},
	{"store goes down after the answer to the claim was lost", func(cl *cluster, id string) []refusal.Code {
		cl.processes["a"].set(func(p *process) { p.loseAnswers = true })
		go func() {
			time.Sleep(time.Millisecond)
			cl.processes["a"].set(func(p *process) { p.loseAnswers, p.storeDown = false, true })
		}()
		first := cl.attemptCode("a", id, 0)
		second := cl.attemptCode("b", id, 0)
		cl.processes["a"].set(func(p *process) { p.storeDown = false })
		time.Sleep(3 * time.Second)
		return []refusal.Code{first, second, cl.attemptCode("b", id, 0)}
	}, []refusal.Code{refusal.StoreUnavailable, refusal.InProgress, ""}},
	{"response of the store is lost", func(cl *cluster, id string) []refusal.Code {
		cl.processes["a"].set(func(p *process) { p.loseAnswers = true })
		return []refusal.Code{cl.attemptCode("a", id, 0), cl.attemptCode("a", id, 0)}
	}, []refusal.Code{"", ""}},
	{"claim takes effect after it was abandoned", func(cl *cluster, id string) []refusal.Code {
		cl.processes["a"].set(func(p *process) { p.delayWrites = true })
		first := cl.attemptCode("a", id, 0)
		cl.processes["a"].set(func(p *process) { p.delayWrites = false })
		time.Sleep(5 * time.Second)
		return []refusal.Code{first, cl.attemptCode("b", id, 0)}
	}, []refusal.Code{refusal.StoreUnavailable, ""}},
	{"caller goes away before the claim is written", func(cl *cluster, id string) []refusal.Code {
		cl.store.SetDelay(500 * time.Millisecond)
		ctx, cancel := context.WithTimeout(cl.ctx, 700*time.Millisecond)
		defer cancel()
		err := cl.attempt(ctx, "a", id, 0)
		cl.store.SetDelay(0)
		time.Sleep(4 * time.Second)
		return []refusal.Code{codeOf(err), cl.attemptCode("b", id, 0)}
	}, []refusal.Code{refusal.Cancelled, ""}},
	{"same ID with another body", func(cl *cluster, id string) []refusal.Code {
		first := cl.attemptCode("a", id, 0)
		time.Sleep(2 * time.Second)
		_, err := cl.processes["b"].registry.Claim(cl.ctx, team, id, sha256.Sum256([]byte("other")))
		return []refusal.Code{first, codeOf(err)}
	}, []refusal.Code{"", refusal.RequestInvalid}},
	{"same ID from another team", func(cl *cluster, id string) []refusal.Code {
		first := cl.attemptCode("a", id, 0)
		_, err := cl.processes["a"].registry.Claim(cl.ctx, "other", id, bodyDigest(id))
		return []refusal.Code{first, codeOf(err)}
	}, []refusal.Code{"", refusal.RequestInvalid}},
	{"repeat just before the ID expires, and after", func(cl *cluster, id string) []refusal.Code {
		first := cl.attemptCode("a", id, 0)
		time.Sleep(cl.timing.Retention - time.Minute)
		second := cl.attemptCode("b", id, 0)
		time.Sleep(2 * time.Minute)
		return []refusal.Code{first, second, cl.attemptCode("b", id, 0)}
	}, []refusal.Code{"", "", refusal.RequestExpired}},
	{"not an ID that carries a time", func(cl *cluster, _ string) []refusal.Code {
		return []refusal.Code{
			cl.attemptCode("a", "", 0), cl.attemptCode("a", "x", 0), cl.attemptCode("a", "2b1c2f3e-7d46-4b5f-9d9e-000000000001", 0),
			cl.attemptCode("a", "ffffffff-ffff-7fff-bfff-ffffffffffff", 0),
		}
	}, []refusal.Code{refusal.RequestInvalid, refusal.RequestInvalid, refusal.RequestInvalid, refusal.RequestInvalid}},
	{"claim was sealed away before the repeat", func(cl *cluster, id string) []refusal.Code {
		first := cl.attemptCode("a", id, 0)
		cl.attemptMany("a", 4000)
		cl.restart("a")
		cl.restart("b")
		return []refusal.Code{first, cl.attemptCode("b", id, 0), cl.attemptCode("a", id, 0)}
	}, []refusal.Code{"", "", ""}},
	{"answers are lost while segments are sealed", func(cl *cluster, id string) []refusal.Code {
		first := cl.attemptCode("a", id, 0)
		cl.set(func(p *process) { p.loseAnswers = true })
		cl.attemptMany("a", 2000)
		cl.attemptMany("b", 2000)
		cl.set(func(p *process) { p.loseAnswers = false })
		return []refusal.Code{first, cl.attemptCode("b", id, 0)}
	}, []refusal.Code{"", ""}},
}

func (cl *cluster) attemptCode(name, id string, runTime time.Duration) refusal.Code {
	err := cl.attempt(cl.ctx, name, id, runTime)

	return codeOf(err)
}

// attemptMany makes n concurrent attempts with new IDs through one entry host.
func (cl *cluster) attemptMany(name string, n int) {
	done := make(chan refusal.Code)
	for range n {
		go func() { done <- cl.attemptCode(name, newID(), 0) }()
	}
	for range n {
		<-done
	}
	time.Sleep(3 * time.Second)
}

func TestRepeatAnswers(t *testing.T) {
	for _, c := range faultCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 1, "a", "b")
				defer cl.stop()
				got := c.run(cl, newID())
				if diff := cmp.Diff(c.want, got); diff != "" {
					t.Error(diff)
				}
				if cl.violation != nil {
					t.Error(cl.violation)
				}
			})
		})
	}
}

// TestAtMostOnce makes random attempts and repeats through three entry hosts with random faults, and checks that no
// request is executed twice and that all hosts work once the faults end.
func TestAtMostOnce(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, seed, "a", "b", "c")
				defer cl.stop()
				cl.timing.SealThreshold = 2 << 10
				for _, name := range []string{"a", "b", "c"} {
					cl.restart(name)
				}
				cl.runRandomFaults(30 * time.Second)
				cl.set(func(p *process) { p.loseAnswers, p.delayWrites, p.storeDown = false, false, false })
				cl.store.SetFault(standin.FaultNone)
				cl.store.SetDelay(0)
				time.Sleep(10 * time.Second)
				for _, name := range []string{"a", "b", "c"} {
					if got := cl.attemptCode(name, newID(), 0); got != "" {
						t.Errorf("attempt through %s after the faults: code %s", name, got)
					}
				}
				if cl.violation != nil {
					t.Error(cl.violation)
				}
			})
		})
	}
}

// runRandomFaults makes random attempts for the given time, and changes the fault in effect every 300 ms.
func (cl *cluster) runRandomFaults(length time.Duration) {
	names := []string{"a", "b", "c"}
	var ids []string
	for i, end := 0, time.Now().Add(length); time.Now().Before(end); i++ {
		if i%30 == 0 {
			cl.injectFault(names[cl.rng.IntN(3)])
		}
		if len(ids) < 20 || cl.rng.IntN(3) == 0 {
			ids = append(ids, newID())
		}
		id := ids[max(0, len(ids)-1-cl.rng.IntN(40))]
		runTime := time.Duration(cl.rng.Int64N(int64(2 * time.Second)))
		timeout := time.Duration(cl.rng.Int64N(int64(4 * time.Second)))
		name := names[cl.rng.IntN(3)]
		go func() {
			ctx, cancel := context.WithTimeout(cl.ctx, timeout)
			defer cancel()
			_ = cl.attempt(ctx, name, id, runTime)
		}()
		time.Sleep(10 * time.Millisecond)
	}
}

func (cl *cluster) injectFault(name string) {
	cl.set(func(p *process) { p.loseAnswers, p.delayWrites = false, false })
	cl.store.SetFault(standin.FaultNone)
	p := cl.processes[name]
	p.set(func(p *process) { p.storeDown = false })
	switch cl.rng.IntN(8) {
	case 0:
		cl.restart(name)
	case 1:
		p.set(func(p *process) { p.loseAnswers = true })
	case 2:
		p.set(func(p *process) { p.delayWrites = true })
	case 3:
		p.set(func(p *process) { p.storeDown = true })
	case 4:
		cl.store.SetFault(standin.FaultAnswerLost)
	case 5:
		cl.store.SetFault(standin.FaultDown)
	case 6:
		cl.store.SetDelay(time.Duration(cl.rng.Int64N(int64(300 * time.Millisecond))))
	default:
		cl.set(func(p *process) { p.delayWrites = true })
	}
}
