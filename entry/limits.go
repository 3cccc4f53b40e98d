package entry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/allotment"
	"lycheehook.example/lycheehook/claim"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/member"
	"lycheehook.example/lycheehook/pause"
	"lycheehook.example/lycheehook/peer"
	"lycheehook.example/lycheehook/revision"
	"lycheehook.example/lycheehook/settings"
	"lycheehook.example/lycheehook/store"
)

const (
	// kindParts is the kind of a request to a peer for parts of limits.
	kindParts peer.Kind = "Allotment/Parts"
	// revisionPollInterval is the time between two checks for a newer configuration.
	revisionPollInterval = 100 * time.Millisecond
	// memberPollInterval is the time between two reads of the members from the store.
	memberPollInterval = time.Second
	memberListTimeout  = time.Second
)

// limits counts running work against the upper limits and endpoint slots that all entry hosts share.
type limits struct {
	holder    *allotment.Holder
	revisions *revision.Repository
	cluster   *cluster
	store     *store.Client
	log       *log.Logger

	timing allotment.Timing
	// seatedSince is the time from which this process has had a seat without a break; nil while it has none.
	seatedSince atomic.Pointer[time.Time]
	membership  atomic.Pointer[allotment.Membership]
	// teams maps each team to the keys of its limits under the configuration in force.
	teams atomic.Pointer[map[fleet.TeamName]limitKeys]
	// slots holds the slots last passed to the holder for each pool; only the goroutine of followInventory uses it.
	slots map[fleet.PoolName]map[string]fleet.Resources
}

// limitKeys holds the keys of the limits that a team's work counts against.
type limitKeys struct {
	team, customer allotment.Key
}

// newLimits returns limits whose holder uses the configuration, the members and the peers.
func newLimits(s settings.Settings, c *store.Client, cl *cluster, b *revision.Repository, l *log.Logger) *limits {
	timing := allotment.DefaultTiming()
	timing.LeaseTTL = member.DefaultLeaseTTL
	timing.FreshFor = member.DefaultFreshFor
	timing.MaxRequestTime = s.WithDefaults().MaxRequestTime.Std()

	lm := &limits{
		holder: allotment.New(c, cl.mesh.Self().Incarnation, allotment.WithTiming(timing)),
		timing: timing, revisions: b, cluster: cl, store: c, log: l, slots: map[fleet.PoolName]map[string]fleet.Resources{},
	}
	lm.membership.Store(&allotment.Membership{})
	lm.teams.Store(&map[fleet.TeamName]limitKeys{})
	lm.holder.LeaseValid = lm.licensed
	lm.holder.Members = func() allotment.Membership { return *lm.membership.Load() }
	lm.holder.Absent = lm.absent
	lm.holder.KnownBy = lm.knownToPeers
	lm.holder.Ask = lm.ask
	peer.Handle(cl.mesh, kindParts, func(ctx context.Context, _ peer.Peer, req allotment.Request) (allotment.Answer, error) {
		return lm.holder.Handle(ctx, req), nil
	})

	return lm
}

// licensed reports whether no other process can have reclaimed this process's parts: its lease is certain to be valid,
// or no process that could see the lease lapse reaches the store.
func (l *limits) licensed(now time.Time) bool {
	return l.cluster.leaseHolds(now) || l.revisions.Licensed(now) && l.revisions.StoreLost(now)
}

// absent reads the members from the store and reports whether none has incarnation i.
func (l *limits) absent(ctx context.Context, i fleet.Incarnation) (bool, error) {
	members, err := member.List(ctx, l.store)
	if err != nil {
		return false, err
	}
	for _, m := range members {
		if m.Peer.Incarnation == i {
			return false, nil
		}
	}

	return true, nil
}

// knownToPeers reports whether no entry host can still be serving on the confirmation of a group of seats that lacks
// this process. An entry host that serves without the store needs the confirmation of every seat in the head record
// that it holds, and the process that wrote the head with this process's seat stopped giving its own. Work that was
// admitted before then ends within the time after which a part may be reclaimed.
func (l *limits) knownToPeers(fleet.Incarnation) bool {
	since := l.seatedSince.Load()
	return since != nil && time.Since(*since) >= l.timing.ReclaimAfter()
}

// updateSeatedSince sets seatedSince when this process gets a seat and clears it when the seat is lost.
func (l *limits) updateSeatedSince(now time.Time) {
	switch seated := l.revisions.Seated(); {
	case !seated:
		l.seatedSince.Store(nil)
	case l.seatedSince.Load() == nil:
		l.seatedSince.Store(&now)
	}
}

// claimCacheShare is the part of the memory that decoded records of request IDs may take.
const claimCacheShare = 16

// newClaims returns the registry of request IDs of this process.
func newClaims(s settings.Settings, c *store.Client, l *limits) *claim.Registry {
	timing := claim.DefaultTiming()
	timing.MaxRequestTime = s.WithDefaults().MaxRequestTime.Std()
	options := []claim.Option{claim.WithTiming(timing)}
	if s.MemoryMegabytes > 0 {
		options = append(options, claim.WithCacheBytes(int(s.MemoryMegabytes<<20/claimCacheShare)))
	}
	b := claim.New(c, l.holder.Self(), options...)
	b.Alive = func(owner fleet.Incarnation) bool { return slices.Contains(l.membership.Load().Live, owner) }

	return b
}

// ask sends a request for parts to a peer.
func (l *limits) ask(ctx context.Context, to fleet.Incarnation, req allotment.Request) (allotment.Answer, error) {
	for _, p := range l.cluster.mesh.Peers() {
		if p.Incarnation == to {
			return peer.Call[allotment.Answer](ctx, l.cluster.mesh, p.Name, kindParts, req)
		}
	}

	return allotment.Answer{}, peer.ErrUnknownPeer
}

// run keeps the limits and the members up to date until ctx ends.
func (l *limits) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { l.followMembers(ctx) })
	wg.Go(func() { l.followRevisions(ctx) })
	l.holder.Run(ctx)
	wg.Wait()
}

func (l *limits) followMembers(ctx context.Context) {
	for ctx.Err() == nil {
		asked := time.Now()
		l.updateSeatedSince(asked)
		call, cancel := context.WithTimeout(ctx, memberListTimeout)
		members, err := member.List(call, l.store)
		cancel()
		if err == nil {
			m := allotment.Membership{Confirmed: asked}
			for _, one := range members {
				m.Live = append(m.Live, one.Peer.Incarnation)
			}
			l.membership.Store(&m)
		}
		pause.For(ctx, memberPollInterval)
	}
}

// followRevisions applies the upper limits of each new revision until ctx ends.
func (l *limits) followRevisions(ctx context.Context) {
	seen := uint64(0)
	for ctx.Err() == nil {
		if cur := l.revisions.Current(); cur.Number > seen {
			seen = cur.Number
			l.applyLimits(cur)
		}
		pause.For(ctx, revisionPollInterval)
	}
}

func (l *limits) applyLimits(r *revision.Revision) {
	upper, teams := upperLimits(r.Tables)
	l.teams.Store(&teams)
	l.holder.SetLimits(allotment.Limits, r.Number, upper)
}

// upperLimits returns the upper limit of each team and each customer, and the keys of the limits that apply to each team.
func upperLimits(t fleet.Tables) (map[string]fleet.Resources, map[fleet.TeamName]limitKeys) {
	upper, teams := map[string]fleet.Resources{}, map[fleet.TeamName]limitKeys{}
	for name, c := range t.Customers.All() {
		p, _ := t.Plans.Get(c.Plan)
		upper["customer/"+string(name)] = p.UpperLimit
	}
	for name, team := range t.Teams.All() {
		upper["team/"+string(name)] = team.UpperLimit
		teams[name] = limitKeys{
			team:     allotment.Key{Set: allotment.Limits, Name: "team/" + string(name)},
			customer: allotment.Key{Set: allotment.Limits, Name: "customer/" + string(team.Customer)},
		}
	}

	return upper, teams
}

// acquire counts work against the limits of its team and its customer; the returned function releases it.
func (l *limits) acquire(t fleet.Team, size fleet.Resources) (func(), error) {
	if t.Name == "" {
		return func() {}, nil
	}

	keys := (*l.teams.Load())[t.Name]
	team, err := l.holder.Acquire(keys.team, size)
	if err != nil {
		return nil, err
	}
	customer, err := l.holder.Acquire(keys.customer, size)
	if err != nil {
		team.Release()
		return nil, err
	}

	return func() {
		customer.Release()
		team.Release()
	}, nil
}

// setSlots passes the slots of the endpoints to the holder, which divides them among the entry hosts. The revision tells
// which entry host has the newer view of the endpoints.
func (l *limits) setSlots(endpoints []fleet.Endpoint, revision uint64) {
	if revision == 0 {
		// The host records were not read yet, so this view can't be ordered against those of other entry hosts.
		return
	}

	pools := map[fleet.PoolName]map[string]fleet.Resources{}
	for _, e := range endpoints {
		if pools[e.Pool] == nil {
			pools[e.Pool] = map[string]fleet.Resources{}
		}
		pools[e.Pool][string(e.Name)] = fleet.Resources{Slots: int64(e.Slots)}
	}
	for pool := range l.slots {
		if pools[pool] == nil {
			pools[pool] = map[string]fleet.Resources{}
		}
	}

	for pool, upper := range pools {
		if known, ok := l.slots[pool]; !ok || !maps.Equal(known, upper) {
			l.holder.SetLimits(allotment.Slots(pool), revision, upper)
			l.slots[pool] = upper
		}
	}
}

// takeSlots acquires slots of an endpoint from this entry host's part; the returned function releases them.
func (l *limits) takeSlots(e fleet.Endpoint, n int64) (func(), bool) {
	hold, err := l.holder.Acquire(slotsKey(e), fleet.Resources{Slots: n})
	if err != nil {
		return nil, false
	}

	return hold.Release, true
}

// expectedSlots returns this entry host's part of an endpoint's slots.
func (l *limits) expectedSlots(e fleet.Endpoint) int64 {
	return l.holder.Allocation(slotsKey(e)).Slots
}

func slotsKey(e fleet.Endpoint) allotment.Key {
	return allotment.Key{Set: allotment.Slots(e.Pool), Name: string(e.Name)}
}
