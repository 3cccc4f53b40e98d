package revision_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/key"
	"lycheehook.example/lycheehook/revision"
	"lycheehook.example/lycheehook/standin"
	"lycheehook.example/lycheehook/store"
)

// seeds is the number of random runs of TestRevisionsNeverRevert. For a long run, use
// go test ./revision -run RevisionsNeverRevert -args -seeds 500.
var seeds = flag.Int("seeds", 12, "random runs of TestRevisionsNeverRevert")

// chaos runs a group of entry hosts under random faults and keeps checking the revisions they hold.
type chaos struct {
	*group
	t      *testing.T
	random *rand.Rand
	// newest is the newest revision seen on each process, and content the team limit seen in each revision.
	newest  map[*revision.Repository]uint64
	content map[uint64]int64
	// refused holds the edits known to be rejected, and accepted the edits reported as accepted.
	refused  map[int64]bool
	accepted map[int64]bool
	// revokedAt is when the revocation of each key was accepted, and issued the keys not revoked yet.
	revokedAt map[key.ID]time.Time
	issued    []key.ID
	edits     int64
	served    int
	// mu guards the fields that concurrent edits write.
	mu sync.Mutex
}

// TestRevisionsNeverRevert checks under random faults that no entry host returns to an older revision, that a revision number has
// the same content everywhere, that a refused edit never comes into force, and that a revoked key is served nowhere for longer
// than FreshFor.
func TestRevisionsNeverRevert(t *testing.T) {
	served := 0
	for seed := range uint64(*seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &chaos{
					group: newGroup(t, 4), t: t, random: rand.New(rand.NewPCG(seed, 6)), newest: map[*revision.Repository]uint64{},
					content: map[uint64]int64{}, refused: map[int64]bool{}, accepted: map[int64]bool{}, revokedAt: map[key.ID]time.Time{},
				}
				c.hosts["e1"].put(t, 1)
				for range 60 {
					c.randomStep()
					for range 5 {
						time.Sleep(100 * time.Millisecond)
						c.checkInvariants()
					}
				}
				c.clearFaults()
				c.checkConvergence()
				served += c.served
			})
		})
	}
	if served == 0 {
		t.Error("no key was ever served, so the test checked nothing")
	}
}

func (c *chaos) randomHost() *host {
	names := []fleet.EntryName{"e1", "e2", "e3", "e4"}
	return c.hosts[names[c.random.IntN(len(names))]]
}

func (c *chaos) randomStep() {
	h := c.randomHost()
	faults := []standin.Fault{
		standin.FaultNone, standin.FaultNone, standin.FaultNone, standin.FaultDown, standin.FaultAnswerLost, standin.FaultWriteLate,
		standin.FaultReadLate, standin.FaultWatchSilent, standin.FaultSilent,
	}
	switch c.random.IntN(14) {
	case 0, 1, 2:
		c.store.SetClientFault(string(h.name), faults[c.random.IntN(len(faults))])
	case 3:
		c.network.Cut(h.name, c.randomHost().name, c.random.IntN(2) == 0)
	case 4:
		c.network.SetFault(h.name, c.randomHost().name, standin.PathFault{
			AnswerLost: c.random.IntN(4) == 0, Doubled: c.random.IntN(3) == 0,
			RequestDelay: time.Duration(c.random.IntN(1500)) * time.Millisecond, AnswerDelay: time.Duration(c.random.IntN(1500)) * time.Millisecond,
		})
	case 5:
		if c.random.IntN(4) == 0 {
			name := h.name
			c.crash(name)
			c.start(name)
		}
	case 6:
		if c.random.IntN(3) == 0 {
			c.clearFaults()
		}
	case 7, 8:
		go c.edit(h)
	case 9:
		go c.issue(h)
	case 10, 11:
		go c.revoke(h)
	case 12, 13:
		c.isolate(h)
	}
}

// isolate cuts a host off from the store and from every peer, so that it receives no updates.
func (c *chaos) isolate(h *host) {
	c.store.SetClientFault(string(h.name), standin.FaultDown)
	for other := range c.hosts {
		c.network.Cut(h.name, other, true)
	}
}

func (c *chaos) clearFaults() {
	for name, h := range c.hosts {
		c.store.SetClientFault(string(name), standin.FaultNone)
		for other := range c.hosts {
			c.network.Cut(h.name, other, false)
		}
	}
}

// edit sets the limit of a team to a number that no other edit uses.
func (c *chaos) edit(h *host) {
	c.mu.Lock()
	c.edits++
	n := c.edits + 1
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(c.ctx, 8*time.Second)
	defer cancel()
	_, err := h.repo.Apply(ctx, func(cur revision.Revision) (revision.Revision, error) { return cur.WithLists(lists(n)), nil })
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
		c.accepted[n] = true
	case !errors.Is(err, store.ErrOutcomeUnknown) && ctx.Err() == nil:
		c.refused[n] = true
	}
}

func (c *chaos) issue(h *host) {
	k, _ := key.Issue("post", time.Now())
	ctx, cancel := context.WithTimeout(c.ctx, 8*time.Second)
	defer cancel()
	_, err := h.repo.Apply(ctx, func(cur revision.Revision) (revision.Revision, error) { return cur.WithKeys(cur.Keys.With(k)), nil })
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.issued = append(c.issued, k.ID)
	}
}

func (c *chaos) revoke(h *host) {
	c.mu.Lock()
	if len(c.issued) == 0 {
		c.mu.Unlock()
		return
	}
	id := c.issued[0]
	c.issued = c.issued[1:]
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(c.ctx, 8*time.Second)
	defer cancel()
	if h.revokeKey(ctx, id) == nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.revokedAt[id] = time.Now()
	}
}

func (c *chaos) checkInvariants() {
	synctest.Wait()
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hosts {
		cur := h.repo.Current()
		if cur.Number < c.newest[h.repo] {
			c.t.Fatalf("%s went back from revision %d to %d", h.name, c.newest[h.repo], cur.Number)
		}
		c.newest[h.repo] = cur.Number
		if cur.Number == 0 {
			continue
		}
		limit := cur.Lists.Customers[0].Teams[0].UpperLimit.Slots
		if had, ok := c.content[cur.Number]; ok && had != limit {
			c.t.Fatalf("%s: revision %d has limit %d, elsewhere it has %d", h.name, cur.Number, limit, had)
		}
		c.content[cur.Number] = limit
		if c.refused[limit] {
			c.t.Fatalf("%s: revision %d has the refused edit %d", h.name, cur.Number, limit)
		}
		for id, at := range c.revokedAt {
			if now.Sub(at) > revision.DefaultFreshFor && h.serves(id) {
				c.t.Fatalf("%s serves key %s %v after it was revoked", h.name, id, now.Sub(at))
			}
		}
		for _, id := range c.issued {
			if h.serves(id) {
				c.served++
			}
		}
	}
}

// checkConvergence checks after the faults have ended that every entry host has the newest revision and that the history has every accepted edit.
func (c *chaos) checkConvergence() {
	time.Sleep(30 * time.Second)
	c.checkInvariants()
	newest := uint64(0)
	for _, h := range c.hosts {
		newest = max(newest, h.repo.Current().Number)
	}
	for _, h := range c.hosts {
		if !h.repo.Fresh(time.Now()) || h.repo.Current().Number != newest {
			c.t.Errorf("%s: fresh %v, revision %d, newest %d", h.name, h.repo.Fresh(time.Now()), h.repo.Current().Number, newest)
		}
	}
	seen := map[int64]bool{}
	h := c.hosts["e1"]
	for _, e := range h.repo.History() {
		r, err := h.repo.At(c.t.Context(), e.Number)
		if err != nil {
			c.t.Errorf("revision %d of the history: %v", e.Number, err)
			continue
		}
		seen[r.Lists.Customers[0].Teams[0].UpperLimit.Slots] = true
	}
	if len(h.repo.History()) == 64 {
		return
	}
	for n := range c.accepted {
		if !seen[n] {
			c.t.Errorf("accepted edit %d is in no revision", n)
		}
	}
}
