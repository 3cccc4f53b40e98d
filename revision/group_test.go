package revision_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/key"
	"lycheehook.example/lycheehook/member"
	"lycheehook.example/lycheehook/peer"
	"lycheehook.example/lycheehook/plan"
	"lycheehook.example/lycheehook/revision"
	"lycheehook.example/lycheehook/standin"
	"lycheehook.example/lycheehook/store"
)

// group is a set of entry hosts that share an in-memory store and network.
type group struct {
	tb      testing.TB
	ctx     context.Context
	store   *standin.Store
	network *standin.Network
	hosts   map[fleet.EntryName]*host
	started int
	limit   time.Duration
}

// host is an entry host reduced to the components that keep its revision.
type host struct {
	name     fleet.EntryName
	repo     *revision.Repository
	registry *member.Registry
	mesh     *peer.Mesh
	stop     context.CancelFunc
	wg       sync.WaitGroup
}

func newGroup(t *testing.T, n int) *group {
	t.Helper()
	return newGroupWithLimit(t, n, 5*time.Minute)
}

func newGroupWithLimit(t *testing.T, n int, limit time.Duration) *group {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	g := &group{tb: t, ctx: ctx, store: standin.NewStore(), network: standin.NewNetwork(), hosts: map[fleet.EntryName]*host{}, limit: limit}
	t.Cleanup(func() {
		cancel()
		for _, h := range g.hosts {
			h.wg.Wait()
		}
		// Wait for pending requests and delayed writes to finish.
		time.Sleep(15 * time.Second)
	})
	for i := range n {
		g.start(fleet.EntryName(fmt.Sprintf("e%d", i+1)))
	}
	time.Sleep(5 * time.Second)

	return g
}

// start runs an entry host whose seeds are the addresses of the others.
func (g *group) start(name fleet.EntryName) {
	g.startWith(name, g.store.ClientFor(string(name)))
}

// startWith runs an entry host that uses the given store client.
func (g *group) startWith(name fleet.EntryName, client *store.Client) {
	ctx, cancel := context.WithCancel(g.ctx)
	g.started++
	h := &host{name: name, stop: cancel}
	h.mesh = g.network.Mesh(ctx, name, peer.Incarnation(fmt.Sprint(g.started)))
	seeds := make([]netip.AddrPort, 0, len(g.hosts))
	for _, other := range g.hosts {
		seeds = append(seeds, other.mesh.Self().Address)
	}
	h.registry = member.New(client, h.mesh, "zone-a", "region-1", member.WithSeeds(seeds...))
	h.repo = revision.New(client, revision.WithPeers(h.mesh, h.registry), revision.WithOutageLimit(g.limit))
	h.wg.Go(func() { h.mesh.Run(ctx) })
	h.wg.Go(func() { h.registry.Run(ctx) })
	h.wg.Go(func() { h.repo.Follow(ctx) })
	g.hosts[name] = h
}

// crash stops an entry host without giving up its seat.
func (g *group) crash(name fleet.EntryName) {
	h := g.hosts[name]
	delete(g.hosts, name)
	h.stop()
	h.wg.Wait()
}

// replace stops an entry host after it gives up its seat, and starts another process with its name.
func (g *group) replace(name fleet.EntryName) {
	h := g.hosts[name]
	ctx, cancel := context.WithTimeout(g.ctx, 10*time.Second)
	defer cancel()
	_ = h.repo.Leave(ctx)
	g.crash(name)

	g.start(name)
}

func (g *group) fresh() int {
	n := 0
	for _, h := range g.hosts {
		if h.repo.Fresh(time.Now()) {
			n++
		}
	}

	return n
}

func lists(slots int64) plan.Lists {
	return plan.Lists{
		CustomersList: plan.CustomersList{Customers: []fleet.Customer{{Name: "nairobi", Plan: "ledger", Teams: []fleet.Team{
			{Name: "post", Share: 1, UpperLimit: fleet.Resources{Slots: slots}},
			{Name: "read", Share: 1, UpperLimit: fleet.Resources{Slots: 1}},
		}}}},
		PlansList: plan.PlansList{Plans: []fleet.Plan{{Name: "ledger"}}, Pools: []fleet.Pool{{Name: "a"}}},
	}
}

func (h *host) put(t *testing.T, slots int64) revision.Revision {
	t.Helper()
	r, err := h.repo.Put(t.Context(), "ann", h.repo.Current().Number, lists(slots))
	if err != nil {
		t.Fatalf("%s: %v", h.name, err)
	}

	return r
}

// issueKey issues a key to the team and returns its ID.
func (h *host) issueKey(t *testing.T) key.ID {
	t.Helper()
	k, _ := key.Issue("post", time.Now())
	_, err := h.repo.Apply(t.Context(), func(cur revision.Revision) (revision.Revision, error) {
		return cur.WithKeys(cur.Keys.With(k)), nil
	})
	if err != nil {
		t.Fatalf("%s: %v", h.name, err)
	}

	return k.ID
}

func (h *host) revokeKey(ctx context.Context, id key.ID) error {
	_, err := h.repo.Apply(ctx, func(cur revision.Revision) (revision.Revision, error) {
		return cur.WithKeys(cur.Keys.Without(id)), nil
	})

	return err
}

// serves reports whether the entry host would accept work for the key.
func (h *host) serves(id key.ID) bool {
	return h.repo.Fresh(time.Now()) && h.repo.Current().Keys.Has(id)
}
