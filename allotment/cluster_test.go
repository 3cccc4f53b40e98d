package allotment_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"lycheehook.example/lycheehook/allotment"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/standin"
	"lycheehook.example/lycheehook/store"
)

const memberPrefix = "member/"

var teamKey = allotment.Key{Set: allotment.Limits, Name: "team"}

func slots(n int64) fleet.Resources {
	return fleet.Resources{Slots: n}
}

// cluster is several entry hosts that share one store, with a checker that counts all running
// work.
type cluster struct {
	ctx    context.Context
	cancel context.CancelFunc
	store  *standin.Store
	timing allotment.Timing
	rng    *rand.Rand

	mu        sync.Mutex
	nodes     map[string]*node
	running   int64
	allowed   int64
	peak      int64
	violation error
}

// node is one process of an entry host.
type node struct {
	cluster *cluster
	name    string
	self    fleet.Incarnation
	holder  *allotment.Holder
	cancel  context.CancelFunc

	mu                                    sync.Mutex
	paused                                chan struct{}
	dead, noStore, noPeers                bool
	dropStoreResponses, dropPeerResponses bool
	// delayWrites makes writes reach the store 3 s after the client has given up on the response.
	delayWrites     bool
	lease           store.LeaseID
	leaseValidUntil time.Time
	members         allotment.Membership
	running         int64
}

func newCluster(t *testing.T, limit int64) *cluster {
	t.Helper()
	timing := allotment.DefaultTiming()
	timing.MaxRequestTime = 10 * time.Second

	ctx, cancel := context.WithCancel(t.Context())

	return &cluster{
		ctx: ctx, cancel: cancel, store: standin.NewStore(), timing: timing, nodes: map[string]*node{},
		allowed: limit, rng: rand.New(rand.NewPCG(1, 1)),
	}
}

// stop ends all processes and waits for their work.
func (c *cluster) stop() {
	c.cancel()
	time.Sleep(c.timing.MaxRequestTime + time.Second)
}

// startNode starts a process; a previous process of the same name must be dead.
func (c *cluster) startNode(name string, revision uint64, limit int64) {
	ctx, cancel := context.WithCancel(c.ctx)
	n := &node{cluster: c, name: name, self: fleet.NewIncarnation(fleet.EntryName(name)), cancel: cancel}
	n.holder = allotment.New(n.client(), n.self, allotment.WithTiming(c.timing))
	n.holder.LeaseValid = n.leaseValid
	n.holder.Members = func() allotment.Membership {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.members
	}
	n.holder.Absent = func(ctx context.Context, i fleet.Incarnation) (bool, error) {
		_, err := n.client().Get(ctx, memberPrefix+string(i))
		if err == nil {
			return false, nil
		}
		if strings.Contains(err.Error(), "not found") {
			return true, nil
		}
		return false, err
	}
	n.holder.Ask = n.ask
	n.holder.KnownBy = func(fleet.Incarnation) bool { return true }
	n.holder.SetLimits(allotment.Limits, revision, map[string]fleet.Resources{teamKey.Name: slots(limit)})

	c.mu.Lock()
	c.nodes[name] = n
	c.mu.Unlock()
	go n.runHeartbeat(ctx)
	go n.holder.Run(ctx)
}

// waitWhilePaused blocks while the process is paused, and until the end of the test once it is
// dead; every operation that a pause can interrupt calls it.
func (n *node) waitWhilePaused() {
	for {
		n.mu.Lock()
		paused, dead := n.paused, n.dead
		n.mu.Unlock()
		if dead {
			<-n.cluster.ctx.Done()
			return
		}
		if paused == nil {
			return
		}
		select {
		case <-paused:
		case <-n.cluster.ctx.Done():
			return
		}
	}
}

func (n *node) pause() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.paused = make(chan struct{})
}

func (n *node) resume() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.paused)
	n.paused = nil
}

// kill ends the process; its running work continues until it ends on its own.
func (n *node) kill() {
	n.mu.Lock()
	n.dead = true
	n.mu.Unlock()
	n.cancel()
}

func (n *node) set(change func(*node)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(n)
}

// client returns a store client that applies the faults of this process.
func (n *node) client() *store.Client {
	c := *n.cluster.store.Client()
	beforeCall := func() error {
		n.waitWhilePaused()
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.noStore {
			return store.ErrUnavailable
		}
		return nil
	}
	get, list, swap, grant, keep := c.Get, c.List, c.CompareAndSwap, c.Grant, c.KeepAlive
	c.Get = func(ctx context.Context, key string) (store.Record, error) {
		if err := beforeCall(); err != nil {
			return store.Record{}, err
		}
		defer n.waitWhilePaused()
		return get(ctx, key)
	}
	c.List = func(ctx context.Context, prefix string) (store.Listing, error) {
		if err := beforeCall(); err != nil {
			return store.Listing{}, err
		}
		defer n.waitWhilePaused()
		return list(ctx, prefix)
	}
	c.CompareAndSwap = func(ctx context.Context, w store.Write) (uint64, error) {
		if err := beforeCall(); err != nil {
			return 0, err
		}
		defer n.waitWhilePaused()
		if n.delaysWrites() {
			go func() {
				time.Sleep(3 * time.Second)
				_, _ = swap(n.cluster.ctx, w)
			}()
			return 0, store.ErrOutcomeUnknown
		}
		r, err := swap(ctx, w)
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.dropStoreResponses && err == nil {
			return 0, store.ErrOutcomeUnknown
		}
		return r, err
	}
	c.Grant = func(ctx context.Context, ttl time.Duration) (store.Lease, error) {
		if err := beforeCall(); err != nil {
			return store.Lease{}, err
		}
		defer n.waitWhilePaused()
		return grant(ctx, ttl)
	}
	c.KeepAlive = func(ctx context.Context, id store.LeaseID) error {
		if err := beforeCall(); err != nil {
			return err
		}
		defer n.waitWhilePaused()
		return keep(ctx, id)
	}

	return &c
}

func (n *node) leaseValid(time.Time) bool {
	n.waitWhilePaused()
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Before(n.leaseValidUntil)
}

// runHeartbeat does the minimum expected of a member: it renews its own key and reads the keys of
// the others.
func (n *node) runHeartbeat(ctx context.Context) {
	for ctx.Err() == nil {
		n.heartbeatOnce(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(500 * time.Millisecond):
		}
	}
}

func (n *node) heartbeatOnce(ctx context.Context) {
	c := n.client()
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	asked := time.Now()
	if n.renew(ctx, c) {
		n.set(func(n *node) { n.leaseValidUntil = asked.Add(n.cluster.timing.LeaseTTL) })
	}
	asked = time.Now()
	if l, err := c.List(ctx, memberPrefix); err == nil {
		m := allotment.Membership{Confirmed: asked}
		for _, r := range l.Records {
			m.Live = append(m.Live, fleet.Incarnation(strings.TrimPrefix(r.Key, memberPrefix)))
		}
		n.set(func(n *node) { n.members = m })
	}
}

func (n *node) renew(ctx context.Context, c *store.Client) bool {
	if n.lease != 0 && c.KeepAlive(ctx, n.lease) == nil {
		return true
	}
	// From here on the key may be attached to another lease, so the old lease no longer says
	// whether the key exists.
	n.lease = 0
	l, err := c.Grant(ctx, n.cluster.timing.LeaseTTL)
	if err != nil {
		return false
	}
	key := memberPrefix + string(n.self)
	r, _ := c.Get(ctx, key)
	if _, err := c.CompareAndSwap(ctx, store.Write{Key: key, Value: []byte("{}"), Base: r.Revision, Lease: l.ID}); err != nil {
		return false
	}
	n.lease = l.ID

	return true
}

// ask delivers a request to a peer unless one of the two is unreachable.
func (n *node) ask(ctx context.Context, to fleet.Incarnation, req allotment.Request) (allotment.Answer, error) {
	n.waitWhilePaused()
	n.cluster.mu.Lock()
	peer := n.cluster.nodes[string(to.Entry())]
	n.cluster.mu.Unlock()
	if peer == nil || peer.self != to || n.unreachable() || peer.unreachable() {
		<-ctx.Done()
		return allotment.Answer{}, ctx.Err()
	}

	time.Sleep(3 * time.Millisecond)
	peer.waitWhilePaused()
	a := peer.holder.Handle(ctx, req)
	n.waitWhilePaused()
	if peer.dropsPeerResponses() {
		<-ctx.Done()
		return allotment.Answer{}, ctx.Err()
	}

	return a, nil
}

func (n *node) unreachable() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.noPeers || n.dead
}

func (n *node) delaysWrites() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delayWrites
}

func (n *node) dropsPeerResponses() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dropPeerResponses
}

// tryWork starts one unit of work if it is admitted; the work continues even if the process dies.
func (n *node) tryWork(size int64, runs time.Duration) bool {
	n.mu.Lock()
	stopped := n.dead || n.paused != nil
	n.mu.Unlock()
	if stopped {
		return false
	}
	hold, err := n.holder.Acquire(teamKey, slots(size))
	if err != nil {
		return false
	}

	n.cluster.workStarted(n, size)
	go func() {
		time.Sleep(min(runs, time.Until(hold.Deadline())))
		n.cluster.workEnded(n, size)
		hold.Release()
	}()

	return true
}

func (c *cluster) workStarted(n *node, size int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running += size
	n.running += size
	c.peak = max(c.peak, c.running)
	if c.running > c.allowed && c.violation == nil {
		c.violation = fmt.Errorf("%s started %d at %s: %d run, %d allowed", n.self, size, time.Now().Format(time.StampMilli), c.running, c.allowed)
	}
}

func (c *cluster) workEnded(n *node, size int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running -= size
	n.running -= size
}

// load sends requests to the named entry hosts for d, far in excess of the limit.
func (c *cluster) load(d time.Duration, names ...string) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, name := range names {
			c.mu.Lock()
			n := c.nodes[name]
			runs := time.Duration(c.rng.Int64N(int64(2 * time.Second)))
			if c.rng.IntN(20) == 0 {
				runs = c.timing.MaxRequestTime
			}
			size := 1 + c.rng.Int64N(2)
			c.mu.Unlock()
			n.tryWork(size, runs)
		}
	}
}

// fill has one entry host acquire all it can within d and returns the amount that runs there at
// the end.
func (c *cluster) fill(name string, d time.Duration) int64 {
	n := c.nodes[name]
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for n.tryWork(1, c.timing.MaxRequestTime) {
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()

	return n.running
}

// setLimit applies another limit on the named entry hosts; the checker enforces it from then on.
func (c *cluster) setLimit(revision uint64, limit int64, names ...string) {
	for _, name := range names {
		upper := map[string]fleet.Resources{teamKey.Name: slots(limit)}
		if limit == 0 {
			upper = nil
		}
		c.nodes[name].holder.SetLimits(allotment.Limits, revision, upper)
	}
	c.mu.Lock()
	c.allowed = limit
	c.mu.Unlock()
}

// state describes the records and the holders, for the message of a failed test.
func (c *cluster) state() string {
	l, _ := c.store.Client().List(c.ctx, allotment.Limits)
	var b strings.Builder
	for _, r := range l.Records {
		fmt.Fprintf(&b, "%s at %d: %s\n", r.Key, r.Revision, r.Value)
	}
	for _, n := range c.nodes {
		fmt.Fprintf(&b, "%s runs %d, room %v\n", n.self, n.running, n.holder.Room(teamKey))
	}

	return b.String()
}
