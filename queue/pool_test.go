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

// fixture is a pool and a ledger with three teams of weight 1, 1 and 2, and a number of free slots.
type fixture struct {
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

func newFixture(free int64) *fixture {
	f := &fixture{
		pool: queue.New(), ledger: share.New(), accounts: map[string]*share.Account{}, items: map[string]*queue.Item{},
		free: free, total: 8, blocked: map[string]bool{},
	}
	for name, w := range map[string]int64{"a": 1, "b": 1, "c": 2} {
		f.accounts[name] = f.ledger.Open(fleet.Team{Name: fleet.TeamName(name), Share: w}, simStart)
	}

	return f
}

// add adds an item to a queue with a maximum length of 4; an item whose name begins with u is urgent.
func (f *fixture) add(name, team string, slots int64) {
	it := &queue.Item{
		Account: f.accounts[team], Queue: "work", Urgent: name[0] == 'u', Size: fleet.Resources{Slots: slots}, Value: name,
	}
	f.items[name] = it
	shed, err := f.pool.Add(it, fleet.Queue{Name: "work", MaxLength: 4}, 1)
	switch {
	case errors.Is(err, refusal.Refuse(refusal.QueueFull, "")):
		f.shed = append(f.shed, name)
		return
	case shed != nil:
		f.shed = append(f.shed, shed.Value.(string))
		f.ledger.RemoveWaiting(shed.Account, shed.Size)
	}
	f.ledger.AddWaiting(it.Account, it.Size)
}

func (f *fixture) cancel(name string) { f.pool.Remove(f.items[name]) }

func (f *fixture) dispatch() {
	f.ledger.Refresh(fleet.Resources{Slots: f.total}, nil, simStart)
	for f.pool.Next(f.ledger, f.try) {
	}
}

func (f *fixture) try(it *queue.Item) queue.OfferResult {
	switch {
	case f.free == 0:
		return queue.PoolFull
	case f.blocked[string(it.Account.Team)]:
		return queue.TeamBlocked
	case it.Size.Slots > f.free:
		return queue.ItemBlocked
	}
	f.free -= it.Size.Slots
	f.ledger.RemoveWaiting(it.Account, it.Size)
	f.ledger.Start(it.Account, it.Size, simStart)
	f.started = append(f.started, it.Value.(string))

	return queue.Taken
}

func TestPoolNext(t *testing.T) {
	for _, c := range []struct {
		name          string
		free          int64
		work          func(*fixture)
		started, shed []string
		left          int
	}{
		{"first come in one team", 2, func(f *fixture) { f.add("1", "a", 1); f.add("2", "a", 1); f.add("3", "a", 1) }, []string{"1", "2"}, nil, 1},
		{"a large one does not block a small one", 2, func(f *fixture) { f.add("big", "a", 4); f.add("small", "a", 1) }, []string{"small"}, nil, 1},
		{"a large one does not block another team", 2, func(f *fixture) { f.add("big", "a", 4); f.add("small", "b", 1) }, []string{"small"}, nil, 1},
		{"a team at its limit blocks no other", 1, func(f *fixture) { f.blocked["a"] = true; f.add("1", "a", 1); f.add("2", "b", 1) }, []string{"2"}, nil, 1},
		{"urgent goes ahead within its team", 1, func(f *fixture) { f.add("1", "a", 1); f.add("u", "a", 1) }, []string{"u"}, nil, 1},
		{"urgent goes ahead of another team's", 1, func(f *fixture) { f.add("1", "c", 1); f.add("u", "a", 1) }, []string{"u"}, nil, 1},
		{"urgent of a team above its share waits", 1, func(f *fixture) {
			f.ledger.Start(f.accounts["a"], fleet.Resources{Slots: 7}, simStart)
			f.add("u", "a", 1)
			f.add("1", "b", 1)
			f.add("2", "b", 1)
		}, []string{"1"}, nil, 2},
		{"twice the weight gets twice the slots", 3, func(f *fixture) {
			f.total = 3
			f.add("1", "a", 1)
			f.add("2", "c", 1)
			f.add("3", "c", 1)
			f.add("4", "a", 1)
		}, []string{"2", "1", "3"}, nil, 1},
		{"a cancelled one never starts", 3, func(f *fixture) { f.add("1", "a", 1); f.add("2", "a", 1); f.cancel("1"); f.cancel("1") }, []string{"2"}, nil, 0},
		{"a full queue sheds its own newcomer", 0, func(f *fixture) {
			for i := range 5 {
				f.add(fmt.Sprint(i), "a", 1)
			}
		}, nil, []string{"4"}, 4},
		{"a full queue makes room for a team with less", 0, func(f *fixture) {
			for i := range 4 {
				f.add(fmt.Sprint(i), "a", 1)
			}
			f.add("5", "b", 1)
			f.add("6", "b", 1)
			f.add("7", "b", 1)
		}, nil, []string{"3", "2", "7"}, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(c.free)
			c.work(f)
			f.dispatch()
			if d := cmp.Diff(c.started, f.started); d != "" {
				t.Errorf("started (-want +got):\n%s", d)
			}
			if d := cmp.Diff(c.shed, f.shed); d != "" {
				t.Errorf("shed (-want +got):\n%s", d)
			}
			if f.pool.Len() != c.left {
				t.Errorf("%d left, want %d", f.pool.Len(), c.left)
			}
		})
	}
}

// TestPoolProperty checks with random items that none is lost or taken twice, that the queue keeps its maximum length,
// and that no slot stays free while an item fits.
func TestPoolProperty(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		f := newFixture(int64(r.IntN(8)))
		added, left := 0, map[string]bool{}
		for range 200 {
			switch r.IntN(4) {
			case 0, 1:
				name := fmt.Sprint("w", added)
				added++
				f.add(name, string("abc"[r.IntN(3)]), 1+int64(r.IntN(4)))
			case 2:
				name := fmt.Sprint("w", r.IntN(added+1))
				if it := f.items[name]; it != nil && it.Waiting() {
					f.cancel(name)
					f.ledger.RemoveWaiting(it.Account, it.Size)
					left[name] = true
				}
			case 3:
				f.free = min(f.free+int64(r.IntN(3)), 8)
			}
			f.dispatch()
			f.pool.All(func(it *queue.Item) bool {
				if it.Size.Slots <= f.free {
					t.Errorf("seed %d: %v waits while %d slots are free", seed, it.Value, f.free)
				}

				return true
			})
		}
		for _, name := range append(f.started, f.shed...) {
			if left[name] {
				t.Errorf("seed %d: %s left the pool twice", seed, name)
			}
			left[name] = true
		}
		if len(left)+f.pool.Len() != added || f.pool.Len() > 4 {
			t.Errorf("seed %d: %d added, %d left, %d waiting", seed, added, len(left), f.pool.Len())
		}
	}
}

func TestEstimate(t *testing.T) {
	var e queue.Estimate
	if got := e.Wait(100, 1); got != 0 {
		t.Errorf("wait is %v without observations, want 0", got)
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
				pool.Next(ledger, func(it *queue.Item) queue.OfferResult {
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

// BenchmarkRemove measures a cancellation at several lengths; its time should not depend on the length.
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
