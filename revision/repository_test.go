package revision_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/plan"
	"lycheehook.example/lycheehook/revision"
	"lycheehook.example/lycheehook/standin"
	"lycheehook.example/lycheehook/store"
)

func TestEditReachesAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 7)
		h := g.hosts["e3"]
		r := h.put(t, 5)
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancel()
		if missing := h.repo.AwaitInForce(ctx, r.Number); len(missing) > 0 {
			t.Fatalf("not in force on %v", missing)
		}
		for _, other := range g.hosts {
			if diff := plan.Diff(lists(5), other.repo.Current().Lists); len(diff) > 0 || other.repo.Current().Number != r.Number {
				t.Errorf("%s has revision %d, differences %v", other.name, other.repo.Current().Number, diff)
			}
		}
		if got := g.fresh(); got != 7 {
			t.Errorf("%d fresh hosts, want 7", got)
		}
	})
}

func TestUnchangedListsCreateNoRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 1)
		h := g.hosts["e1"]
		first := h.put(t, 5)
		again := lists(5)
		teams := again.Customers[0].Teams
		teams[0], teams[1] = teams[1], teams[0]
		second, err := h.repo.Put(t.Context(), "ann", first.Number, again)
		if err != nil || second.Number != first.Number || len(h.repo.History()) != 1 {
			t.Errorf("revision %d after %d, %v, history %v", second.Number, first.Number, err, h.repo.History())
		}
	})
}

// TestConcurrentEdits makes two edits of the same base through different entry hosts.
func TestConcurrentEdits(t *testing.T) {
	edit := func(f func(*plan.Lists)) plan.Lists {
		l := lists(5)
		f(&l)
		return l
	}
	limit := func(team int, slots int64) plan.Lists {
		return edit(func(l *plan.Lists) { l.Customers[0].Teams[team].UpperLimit.Slots = slots })
	}
	dropPool := edit(func(l *plan.Lists) { l.Pools = nil })
	useQueue := edit(func(l *plan.Lists) { l.Queues = []fleet.Queue{{Name: "q", Pool: "a", MaxLength: 1}} })
	for _, c := range []struct {
		name          string
		first, second plan.Lists
		want          error
		text          string
	}{
		{"different entries", limit(0, 7), limit(1, 2), nil, ""},
		{"same entry", limit(0, 7), limit(0, 8), revision.ErrStale, `Customers[nairobi].Teams[post]`},
		{"same change", limit(0, 7), limit(0, 7), nil, ""},
		{"merged lists are invalid", dropPool, useQueue, plan.ErrInvalid, `pool "a" does not exist`},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, 2)
				base := g.hosts["e1"].put(t, 5).Number
				if _, err := g.hosts["e1"].repo.Put(t.Context(), "ann", base, c.first); err != nil {
					t.Fatal(err)
				}
				r, err := g.hosts["e2"].repo.Put(t.Context(), "ben", base, c.second)
				if !errors.Is(err, c.want) {
					t.Fatalf("%v, want %v", err, c.want)
				}
				if c.want != nil {
					if !contains(err.Error(), c.text) {
						t.Errorf("error %q does not contain %q", err, c.text)
					}
					return
				}
				for _, ch := range append(plan.Diff(lists(5), c.first), plan.Diff(lists(5), c.second)...) {
					if !contains(fmt.Sprint(plan.Diff(lists(5), r.Lists)), ch.String()) {
						t.Errorf("change %s was lost", ch)
					}
				}
			})
		})
	}
}

func contains(text, part string) bool {
	for i := range text {
		if len(text)-i >= len(part) && text[i:i+len(part)] == part {
			return true
		}
	}

	return part == ""
}

func TestRestoreKeepsKeysRevoked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 1)
		h := g.hosts["e1"]
		old := h.put(t, 5)
		id := h.issueKey(t)
		h.put(t, 6)
		if err := h.revokeKey(t.Context(), id); err != nil {
			t.Fatal(err)
		}
		r, err := h.repo.Restore(t.Context(), "ben", old.Number)
		if err != nil {
			t.Fatal(err)
		}
		if diff := plan.Diff(lists(5), r.Lists); len(diff) > 0 || r.Number != old.Number+4 || r.Keys.Has(id) {
			t.Errorf("revision %d, key back: %v, differences %v", r.Number, r.Keys.Has(id), diff)
		}
		authors := make([]string, 0, len(h.repo.History()))
		for _, e := range h.repo.History() {
			authors = append(authors, fmt.Sprint(e.Number, e.By))
		}
		if diff := cmp.Diff([]string{"5ben", "4", "3ann", "2", "1ann"}, authors); diff != "" {
			t.Errorf("history (-want +got):\n%s", diff)
		}
		if _, err := h.repo.Restore(t.Context(), "ben", 77); !errors.Is(err, revision.ErrNoSuchRevision) {
			t.Errorf("restore of a nonexistent revision: %v", err)
		}
	})
}

// TestStoreFaultsDuringEdit edits during store faults and compares the result returned to the writer with what came into force.
func TestStoreFaultsDuringEdit(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault standin.Fault
		// lifted is when the fault ends; zero means after the edit returns.
		lifted time.Duration
		want   error
	}{
		{"none", standin.FaultNone, 0, nil},
		{"down", standin.FaultDown, 0, store.ErrUnavailable},
		{"all answers lost", standin.FaultAnswerLost, 0, nil},
		{"answers lost for a while", standin.FaultAnswerLost, time.Second, nil},
		{"writes take effect late", standin.FaultWriteLate, 0, nil},
		{"writes take effect late for a while", standin.FaultWriteLate, time.Second, nil},
		{"reads are late", standin.FaultReadLate, 0, nil},
		{"watches are silent", standin.FaultWatchSilent, 0, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, 3)
				h := g.hosts["e2"]
				h.put(t, 5)
				time.Sleep(5 * time.Second)
				g.store.SetClientFault("e2", c.fault)
				if c.lifted > 0 {
					time.AfterFunc(c.lifted, func() { g.store.SetClientFault("e2", standin.FaultNone) })
				}
				ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
				defer cancel()
				r, err := h.repo.Put(ctx, "ann", h.repo.Current().Number, lists(6))
				if !errors.Is(err, c.want) {
					t.Errorf("%v, want %v", err, c.want)
				}
				g.store.SetClientFault("e2", standin.FaultNone)
				time.Sleep(15 * time.Second)
				for _, other := range g.hosts {
					cur := other.repo.Current()
					if accepted := len(plan.Diff(cur.Lists, lists(6))) == 0; accepted != (err == nil) {
						t.Errorf("%s: edit in force: %v, but Put returned %v", other.name, accepted, err)
					}
					if err == nil && cur.Number != r.Number {
						t.Errorf("%s: revision %d, want %d", other.name, cur.Number, r.Number)
					}
				}
				if got := g.fresh(); got != 3 {
					t.Errorf("%d fresh hosts at the end, want 3", got)
				}
			})
		})
	}
}

// TestStoreOutage checks how many entry hosts keep serving during a store outage.
func TestStoreOutage(t *testing.T) {
	for _, c := range []struct {
		name string
		// during runs once the store is down for every entry host.
		during func(*testing.T, *group)
		wait   time.Duration
		fresh  int
	}{
		{"a minute", func(*testing.T, *group) {}, time.Minute, 3},
		{"just under the limit", func(*testing.T, *group) {}, 5*time.Minute - 15*time.Second, 3},
		{"beyond the limit", func(*testing.T, *group) {}, 6 * time.Minute, 0},
		{"one crashes", func(_ *testing.T, g *group) { g.crash("e1") }, time.Minute, 0},
		{"one is replaced in good order", func(_ *testing.T, g *group) { g.replace("e1") }, time.Minute, 3},
		{"all are replaced one after another", func(_ *testing.T, g *group) {
			for _, name := range []fleet.EntryName{"e1", "e2", "e3"} {
				g.replace(name)
				time.Sleep(time.Minute)
			}
		}, time.Minute, 3},
		{"an empty one starts", func(_ *testing.T, g *group) { g.start("e4") }, time.Minute, 4},
		{"one is cut off from the others", func(_ *testing.T, g *group) {
			g.network.Cut("e1", "e2", true)
			g.network.Cut("e1", "e3", true)
		}, time.Minute, 0},
		{"one path is cut", func(_ *testing.T, g *group) { g.network.Cut("e1", "e2", true) }, time.Minute, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, 3)
				g.hosts["e1"].put(t, 5)
				id := g.hosts["e2"].issueKey(t)
				time.Sleep(5 * time.Second)
				g.store.SetFault(standin.FaultDown)
				for _, h := range g.hosts {
					g.store.SetClientFault(string(h.name), standin.FaultDown)
				}
				time.Sleep(5 * time.Second)
				c.during(t, g)
				time.Sleep(c.wait)
				serving := 0
				for _, h := range g.hosts {
					if h.serves(id) {
						serving++
					}
				}
				if serving != c.fresh {
					t.Errorf("%d serve, want %d", serving, c.fresh)
				}

				// Once the store is back, edits are accepted again and reach every entry host.
				g.store.SetFault(standin.FaultNone)
				for _, h := range g.hosts {
					g.store.SetClientFault(string(h.name), standin.FaultNone)
				}
				for i := range 4 {
					for j := range i {
						g.network.Cut(fleet.EntryName(fmt.Sprint("e", i)), fleet.EntryName(fmt.Sprint("e", j)), false)
					}
				}
				time.Sleep(15 * time.Second)
				if err := g.hosts["e3"].revokeKey(t.Context(), id); err != nil {
					t.Fatal(err)
				}
				time.Sleep(4 * time.Second)
				for _, h := range g.hosts {
					if h.serves(id) || !h.repo.Fresh(time.Now()) {
						t.Errorf("%s: fresh %v, serves the revoked key %v", h.name, h.repo.Fresh(time.Now()), h.serves(id))
					}
				}
			})
		})
	}
}

// TestAllReplacedAtOnce replaces all entry hosts at the same moment. The new ones must serve the revision that was in force. If
// the old ones crashed, edits must be refused until an operator takes over or the outage limit passes.
func TestAllReplacedAtOnce(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(*group)
		// blocked says whether edits are refused until unblock is called.
		blocked bool
		unblock func(*testing.T, *group)
	}{
		{"in good order", func(g *group) {
			for _, h := range g.hosts {
				_ = h.repo.Leave(g.ctx)
			}
		}, false, nil},
		{"crash, operator takes over", func(*group) {}, true, func(t *testing.T, g *group) {
			t.Helper()
			if err := g.hosts["e1"].repo.TakeOver(t.Context()); err != nil {
				t.Error(err)
			}
		}},
		{"crash, limit passes", func(*group) {}, true, func(*testing.T, *group) { time.Sleep(5*time.Minute + 10*time.Second) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, 3)
				g.hosts["e1"].put(t, 5)
				id := g.hosts["e1"].issueKey(t)
				time.Sleep(5 * time.Second)
				c.end(g)
				names := []fleet.EntryName{"e1", "e2", "e3"}
				for _, name := range names {
					g.crash(name)
				}
				for _, name := range names {
					g.start(name)
				}
				time.Sleep(5 * time.Second)
				for _, h := range g.hosts {
					if !h.serves(id) {
						t.Errorf("%s does not serve", h.name)
					}
				}
				err := g.hosts["e2"].revokeKey(t.Context(), id)
				if blocked := errors.Is(err, revision.ErrNotSeated); blocked != c.blocked || (err != nil) != c.blocked {
					t.Fatalf("edit: %v", err)
				}
				if c.unblock == nil {
					return
				}
				c.unblock(t, g)
				time.Sleep(5 * time.Second)
				if err := g.hosts["e2"].revokeKey(t.Context(), id); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// TestRollingReplacement replaces one entry host each minute while edits continue through the others.
func TestRollingReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 4)
		for i := range 4 {
			name := fleet.EntryName(fmt.Sprint("e", i%4+1))
			if i%2 == 0 {
				g.replace(name)
			} else {
				g.crash(name)
				g.start(name)
			}
			time.Sleep(55 * time.Second)
			editor := g.hosts[fleet.EntryName(fmt.Sprint("e", (i+1)%4+1))]
			number := editor.put(t, int64(i+1)).Number
			ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
			if missing := editor.repo.AwaitInForce(ctx, number); len(missing) > 0 {
				t.Errorf("minute %d: not in force on %v", i, missing)
			}
			cancel()
			time.Sleep(5 * time.Second)
			if got := g.fresh(); got != 4 {
				t.Errorf("minute %d: %d fresh hosts, want 4", i, got)
			}
		}
	})
}
