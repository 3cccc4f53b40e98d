package queue_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/queue"
	"lycheehook.example/lycheehook/refusal"
	"lycheehook.example/lycheehook/share"
)

// bench is a pool with a ledger of three teams of weight 1, 1 and 2 and a few free slots.
type bench struct {
	pool     *queue.Pool
	ledger   *share.Ledger
	accounts map[string]*share.Account
	items    map[string]*queue.Item
	free     int64
	total    int64
	blocked  map[string]bool
	started  []string
	shed     []string
}

func newBench(free int64) *bench {
	b := &bench{
		pool: queue.New(), ledger: share.New(), accounts: map[string]*share.Account{}, items: map[string]*queue.Item{},
		free: free, total: 8, blocked: map[string]bool{},
	}
	for name, w := range map[string]int64{"a": 1, "b": 1, "c": 2} {
		b.accounts[name] = b.ledger.Open(fleet.Team{Name: fleet.TeamName(name), Share: w}, simStart)
	}

	return b
}

// add puts work named name of a team into a queue whose maximal length is 4; names that begin with u are urgent.
func (b *bench) add(name, team string, slots int64) {
	it := &queue.Item{
		Account: b.accounts[team], Queue: "work", Urgent: name[0] == 'u', Size: fleet.Resources{Slots: slots}, Value: name,
	}
	b.items[name] = it
	shed, err := b.pool.Add(it, fleet.Queue{Name: "work", MaxLength: 4}, 1)
	switch {
	case errors.Is(err, refusal.Refuse(refusal.QueueFull, "")):
		b.shed = append(b.shed, name)
		return
	case shed != nil:
		b.shed = append(b.shed, shed.Value.(string))
		b.ledger.Unwait(shed.Account, shed.Size)
	}
	b.ledger.Wait(it.Account, it.Size)
}

func (b *bench) cancel(name string) { b.pool.Remove(b.items[name]) }

func (b *bench) dispatch() {
	b.ledger.Refresh(fleet.Resources{Slots: b.total}, nil, simStart)
	for b.pool.Next(b.ledger, b.try) {
	}
}

func (b *bench) try(it *queue.Item) queue.Verdict {
	switch {
	case b.free == 0:
		return queue.PoolFull
	case b.blocked[string(it.Account.Team)]:
		return queue.TeamBlocked
	case it.Size.Slots > b.free:
		return queue.Unfit
	}
	b.free -= it.Size.Slots
	b.ledger.Unwait(it.Account, it.Size)
	b.ledger.Start(it.Account, it.Size, simStart)
	b.started = append(b.started, it.Value.(string))

	return queue.Taken
}

func TestPoolNext(t *testing.T) {
	for _, c := range []struct {
		name          string
		free          int64
		work          func(*bench)
		started, shed []string
		left          int
	}{
		{"first come in one team", 2, func(b *bench) { b.add("1", "a", 1); b.add("2", "a", 1); b.add("3", "a", 1) }, []string{"1", "2"}, nil, 1},
		{"a large one does not block a small one", 2, func(b *bench) { b.add("big", "a", 4); b.add("small", "a", 1) }, []string{"small"}, nil, 1},
		{"a large one does not block another team", 2, func(b *bench) { b.add("big", "a", 4); b.add("small", "b", 1) }, []string{"small"}, nil, 1},
		{"a team at its limit blocks no other", 1, func(b *bench) { b.blocked["a"] = true; b.add("1", "a", 1); b.add("2", "b", 1) }, []string{"2"}, nil, 1},
		{"urgent goes ahead within its team", 1, func(b *bench) { b.add("1", "a", 1); b.add("u", "a", 1) }, []string{"u"}, nil, 1},
		{"urgent goes ahead of another team's", 1, func(b *bench) { b.add("1", "c", 1); b.add("u", "a", 1) }, []string{"u"}, nil, 1},
		{"urgent of a team above its share waits", 1, func(b *bench) {
			b.ledger.Start(b.accounts["a"], fleet.Resources{Slots: 7}, simStart)
			b.add("u", "a", 1)
			b.add("1", "b", 1)
			b.add("2", "b", 1)
		}, []string{"1"}, nil, 2},
		{"twice the weight gets twice the slots", 3, func(b *bench) {
			b.total = 3
			b.add("1", "a", 1)
			b.add("2", "c", 1)
			b.add("3", "c", 1)
			b.add("4", "a", 1)
		}, []string{"2", "1", "3"}, nil, 1},
		{"a cancelled one never starts", 3, func(b *bench) { b.add("1", "a", 1); b.add("2", "a", 1); b.cancel("1"); b.cancel("1") }, []string{"2"}, nil, 0},
		{"a full queue sheds its own newcomer", 0, func(b *bench) {
			for i := range 5 {
				b.add(fmt.Sprint(i), "a", 1)
			}
		}, nil, []string{"4"}, 4},
		{"a full queue makes room for a team with less", 0, func(b *bench) {
			for i := range 4 {
				b.add(fmt.Sprint(i), "a", 1)
			}
			b.add("5", "b", 1)
			b.add("6", "b", 1)
			b.add("7", "b", 1)
		}, nil, []string{"3", "2", "7"}, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(c.free)
			c.work(b)
			b.dispatch()
			if d := cmp.Diff(c.started, b.started); d != "" {
				t.Errorf("started (-want +got):\n%s", d)
			}
			if d := cmp.Diff(c.shed, b.shed); d != "" {
				t.Errorf("shed (-want +got):\n%s", d)
			}
			if b.pool.Len() != c.left {
				t.Errorf("%d left, want %d", b.pool.Len(), c.left)
			}
		})
	}
}

// TestPoolProperty checks over random work that nothing is lost or taken twice, that the lines keep their order
// and bound, and that no slot stays free while something fits.
func TestPoolProperty(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		b := newBench(int64(r.IntN(8)))
		added, gone := 0, map[string]bool{}
		for range 200 {
			switch r.IntN(4) {
			case 0, 1:
				name := fmt.Sprint("w", added)
				added++
				b.add(name, string("abc"[r.IntN(3)]), 1+int64(r.IntN(4)))
			case 2:
				name := fmt.Sprint("w", r.IntN(added+1))
				if it := b.items[name]; it != nil && it.Waiting() {
					b.cancel(name)
					b.ledger.Unwait(it.Account, it.Size)
					gone[name] = true
				}
			case 3:
				b.free = min(b.free+int64(r.IntN(3)), 8)
			}
			b.dispatch()
			b.pool.All(func(it *queue.Item) bool {
				if it.Size.Slots <= b.free {
					t.Errorf("seed %d: %v waits while %d slots are free", seed, it.Value, b.free)
				}

				return true
			})
		}
		for _, name := range append(b.started, b.shed...) {
			if gone[name] {
				t.Errorf("seed %d: %s left the lines twice", seed, name)
			}
			gone[name] = true
		}
		if len(gone)+b.pool.Len() != added || b.pool.Len() > 4 {
			t.Errorf("seed %d: %d added, %d gone, %d wait", seed, added, len(gone), b.pool.Len())
		}
	}
}

func TestEstimate(t *testing.T) {
	var e queue.Estimate
	if got := e.Wait(100, 1); got != 0 {
		t.Errorf("an estimate without observations is %v", got)
	}
	for range 16 {
		e = e.With(100 * time.Millisecond)
	}
	if got, want := e.Wait(15, 4), 400*time.Millisecond; got != want {
		t.Errorf("wait is %v, want %v", got, want)
	}
}

func BenchmarkNext(b *testing.B) {
	for _, teams := range []int{6, 43} {
		b.Run(fmt.Sprint("teams-", teams), func(b *testing.B) {
			pool, ledger := queue.New(), share.New()
			q := fleet.Queue{Name: "work", MaxLength: 1 << 20}
			size := fleet.Resources{Slots: 1}
			for i := range teams {
				a := ledger.Open(fleet.Team{Name: teamName(i), Share: 1}, simStart)
				for range 10 {
					_, _ = pool.Add(&queue.Item{Account: a, Queue: "work", Size: size}, q, 1)
				}
			}
			ledger.Refresh(fleet.Resources{Slots: 80}, nil, simStart)
			b.ReportAllocs()
			for b.Loop() {
				pool.Next(ledger, func(it *queue.Item) queue.Verdict {
					ledger.Start(it.Account, it.Size, simStart)
					ledger.End(it.Account, it.Size, simStart)
					a := *it
					_, _ = pool.Add(&a, q, 1)

					return queue.Taken
				})
			}
		})
	}
}

// BenchmarkRemove shows that a cancellation costs the same at any length.
func BenchmarkRemove(b *testing.B) {
	for _, length := range []int{100, 10_000, 1_000_000} {
		b.Run(fmt.Sprint("length-", length), func(b *testing.B) {
			pool, ledger := queue.New(), share.New()
			q := fleet.Queue{Name: "work", MaxLength: 1 << 30}
			a := ledger.Open(fleet.Team{Name: "a", Share: 1}, simStart)
			items := make([]queue.Item, length)
			for i := range items {
				items[i] = queue.Item{Account: a, Queue: "work", Size: fleet.Resources{Slots: 1}}
				_, _ = pool.Add(&items[i], q, 1)
			}
			at := 0
			for b.Loop() {
				at = (at + 7919) % length
				pool.Remove(&items[at])
				_, _ = pool.Add(&items[at], q, 1)
			}
		})
	}
}
