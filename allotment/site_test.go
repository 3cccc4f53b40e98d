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

// site is several entry hosts over one store, with a checker that knows all that runs.
type site struct {
	ctx    context.Context
	cancel context.CancelFunc
	store  *standin.Store
	timing allotment.Timing
	rng    *rand.Rand

	mu       sync.Mutex
	nodes    map[string]*node
	running  int64
	allowed  int64
	most     int64
	violated error
}

// node is one process of an entry host.
type node struct {
	site   *site
	name   string
	self   fleet.Incarnation
	holder *allotment.Holder
	cancel context.CancelFunc

	mu                       sync.Mutex
	paused                   chan struct{}
	dead, noStore, noPeers   bool
	loseAnswers, loseReplies bool
	// late lets writes arrive 3 s after their answer was given up on.
	late          bool
	lease         store.LeaseID
	licensedUntil time.Time
	members       allotment.Membership
	running       int64
}

func newSite(t *testing.T, limit int64) *site {
	t.Helper()
	timing := allotment.DefaultTiming()
	timing.MaxRequestTime = 10 * time.Second

	ctx, cancel := context.WithCancel(t.Context())

	return &site{
		ctx: ctx, cancel: cancel, store: standin.NewStore(), timing: timing, nodes: map[string]*node{},
		allowed: limit, rng: rand.New(rand.NewPCG(1, 1)),
	}
}

// stop ends all processes and waits for their work.
func (s *site) stop() {
	s.cancel()
	time.Sleep(s.timing.MaxRequestTime + time.Second)
}

// boot starts a process; one of the same name must be dead.
func (s *site) boot(name string, revision uint64, limit int64) {
	ctx, cancel := context.WithCancel(s.ctx)
	n := &node{site: s, name: name, self: fleet.NewIncarnation(fleet.EntryName(name)), cancel: cancel}
	n.holder = allotment.New(n.client(), n.self, allotment.WithTiming(s.timing))
	n.holder.Licensed = n.licensed
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
	n.holder.Knows = func(fleet.Incarnation) bool { return true }
	n.holder.SetLimits(allotment.Limits, revision, map[string]fleet.Resources{teamKey.Name: slots(limit)})

	s.mu.Lock()
	s.nodes[name] = n
	s.mu.Unlock()
	go n.heartbeat(ctx)
	go n.holder.Run(ctx)
}

// wait blocks while the process is paused, and for ever once it is dead; it is where a pause takes hold.
func (n *node) wait() {
	for {
		n.mu.Lock()
		paused, dead := n.paused, n.dead
		n.mu.Unlock()
		if dead {
			<-n.site.ctx.Done()
			return
		}
		if paused == nil {
			return
		}
		select {
		case <-paused:
		case <-n.site.ctx.Done():
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

// kill ends the process; its work goes on until it ends by itself.
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

// client is the store as this process reaches it.
func (n *node) client() *store.Client {
	c := *n.site.store.Client()
	enter := func() error {
		n.wait()
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.noStore {
			return store.ErrUnavailable
		}
		return nil
	}
	get, list, swap, grant, keep := c.Get, c.List, c.CompareAndSwap, c.Grant, c.KeepAlive
	c.Get = func(ctx context.Context, key string) (store.Record, error) {
		if err := enter(); err != nil {
			return store.Record{}, err
		}
		defer n.wait()
		return get(ctx, key)
	}
	c.List = func(ctx context.Context, prefix string) (store.Listing, error) {
		if err := enter(); err != nil {
			return store.Listing{}, err
		}
		defer n.wait()
		return list(ctx, prefix)
	}
	c.CompareAndSwap = func(ctx context.Context, w store.Write) (uint64, error) {
		if err := enter(); err != nil {
			return 0, err
		}
		defer n.wait()
		if n.isLate() {
			go func() {
				time.Sleep(3 * time.Second)
				_, _ = swap(n.site.ctx, w)
			}()
			return 0, store.ErrOutcomeUnknown
		}
		r, err := swap(ctx, w)
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.loseAnswers && err == nil {
			return 0, store.ErrOutcomeUnknown
		}
		return r, err
	}
	c.Grant = func(ctx context.Context, ttl time.Duration) (store.Lease, error) {
		if err := enter(); err != nil {
			return store.Lease{}, err
		}
		defer n.wait()
		return grant(ctx, ttl)
	}
	c.KeepAlive = func(ctx context.Context, id store.LeaseID) error {
		if err := enter(); err != nil {
			return err
		}
		defer n.wait()
		return keep(ctx, id)
	}

	return &c
}

func (n *node) licensed(time.Time) bool {
	n.wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Before(n.licensedUntil)
}

// heartbeat is the least that a member does: it renews its key and reads the others'.
func (n *node) heartbeat(ctx context.Context) {
	for ctx.Err() == nil {
		n.beat(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(500 * time.Millisecond):
		}
	}
}

func (n *node) beat(ctx context.Context) {
	c := n.client()
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	asked := time.Now()
	if n.renew(ctx, c) {
		n.set(func(n *node) { n.licensedUntil = asked.Add(n.site.timing.LeaseTTL) })
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
	// The key may be bound to another lease from here on, so the old one says nothing about it any more.
	n.lease = 0
	l, err := c.Grant(ctx, n.site.timing.LeaseTTL)
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

// ask delivers a request to a peer unless one of the two is cut off.
func (n *node) ask(ctx context.Context, to fleet.Incarnation, req allotment.Request) (allotment.Answer, error) {
	n.wait()
	n.site.mu.Lock()
	peer := n.site.nodes[string(to.Entry())]
	n.site.mu.Unlock()
	if peer == nil || peer.self != to || n.cutOff() || peer.cutOff() {
		<-ctx.Done()
		return allotment.Answer{}, ctx.Err()
	}

	time.Sleep(3 * time.Millisecond)
	peer.wait()
	a := peer.holder.Handle(ctx, req)
	n.wait()
	if peer.lost() {
		<-ctx.Done()
		return allotment.Answer{}, ctx.Err()
	}

	return a, nil
}

func (n *node) cutOff() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.noPeers || n.dead
}

func (n *node) isLate() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.late
}

func (n *node) lost() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.loseReplies
}

// try admits one piece of work if it may run; it runs on its own even if the process dies.
func (n *node) try(size int64, runs time.Duration) bool {
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

	n.site.began(n, size)
	go func() {
		time.Sleep(min(runs, time.Until(hold.Deadline())))
		n.site.ended(n, size)
		hold.Release()
	}()

	return true
}

func (s *site) began(n *node, size int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += size
	n.running += size
	s.most = max(s.most, s.running)
	if s.running > s.allowed && s.violated == nil {
		s.violated = fmt.Errorf("%s started %d at %s: %d run, %d allowed", n.self, size, time.Now().Format(time.StampMilli), s.running, s.allowed)
	}
}

func (s *site) ended(n *node, size int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running -= size
	n.running -= size
}

// load keeps asking on the named entry hosts for d, far beyond the limit.
func (s *site) load(d time.Duration, names ...string) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, name := range names {
			s.mu.Lock()
			n := s.nodes[name]
			runs := time.Duration(s.rng.Int64N(int64(2 * time.Second)))
			if s.rng.IntN(20) == 0 {
				runs = s.timing.MaxRequestTime
			}
			size := 1 + s.rng.Int64N(2)
			s.mu.Unlock()
			n.try(size, runs)
		}
	}
}

// fill has one entry host take all it can within d and returns what runs there at the end.
func (s *site) fill(name string, d time.Duration) int64 {
	n := s.nodes[name]
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for n.try(1, s.timing.MaxRequestTime) {
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()

	return n.running
}

// setLimit puts another limit in force on the named entry hosts; the checker holds all to it from then on.
func (s *site) setLimit(revision uint64, limit int64, names ...string) {
	for _, name := range names {
		upper := map[string]fleet.Resources{teamKey.Name: slots(limit)}
		if limit == 0 {
			upper = nil
		}
		s.nodes[name].holder.SetLimits(allotment.Limits, revision, upper)
	}
	s.mu.Lock()
	s.allowed = limit
	s.mu.Unlock()
}

// state describes the records and the holders, for a failed test.
func (s *site) state() string {
	l, _ := s.store.Client().List(s.ctx, allotment.Limits)
	var b strings.Builder
	for _, r := range l.Records {
		fmt.Fprintf(&b, "%s at %d: %s\n", r.Key, r.Revision, r.Value)
	}
	for _, n := range s.nodes {
		fmt.Fprintf(&b, "%s runs %d, room %v\n", n.self, n.running, n.holder.Room(teamKey))
	}

	return b.String()
}
