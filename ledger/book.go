package ledger

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/store"
	"lycheehook.example/lycheehook/work"
)

// Owner is the record of who owns the workers.
type Owner struct {
	Host fleet.EntryName `cbor:"1,keyasint"`
	// Process tells two lives of a host's process apart.
	Process string `cbor:"2,keyasint"`
	// PeerAddress tells a host from one that replaced it under its name.
	PeerAddress string `cbor:"3,keyasint"`
}

// Host is the record of an entry host.
type Host struct {
	Name fleet.EntryName `cbor:"1,keyasint"`
	Zone fleet.ZoneName  `cbor:"2,keyasint"`
	// PeerAddress is where other entry hosts reach it.
	PeerAddress string `cbor:"3,keyasint"`
	// Cores is the part of a core that it has, LinkMegabits what its link carries in a second; zero means unknown.
	Cores        float64 `cbor:"4,keyasint,omitempty"`
	LinkMegabits float64 `cbor:"5,keyasint,omitempty"`
}

// Book is a copy of the ledger that follows the store's changes; its methods may be called by any goroutine.
type Book struct {
	mu       sync.Mutex
	entries  map[fleet.JobID]*Entry
	orphans  map[fleet.JobID][]Change
	hosts    map[fleet.EntryName]Host
	owner    Owner
	ownerRev uint64
	// first is the number of the oldest batch that was kept when the book was read, next that of the next one.
	first, next uint64
	early       map[uint64]Batch
	// maintained has the hosts that had their maintenance, by wave.
	maintained map[int64][]fleet.HostName
	// ordered has the last order to each host.
	ordered map[fleet.HostName]announced
	newest  span
	// hostsOnly says that the book has neither jobs nor log.
	hostsOnly bool
	// faults names the records that were passed over when the book was read.
	faults []error
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{
		entries: map[fleet.JobID]*Entry{}, orphans: map[fleet.JobID][]Change{}, hosts: map[fleet.EntryName]Host{}, early: map[uint64]Batch{},
		maintained: map[int64][]fleet.HostName{}, ordered: map[fleet.HostName]announced{},
	}
}

// Read returns the book as it stands in the store, and the store revision from which changes are to be followed.
func Read(ctx context.Context, c *store.Client) (*Book, uint64, error) {
	l, err := c.List(ctx, Prefix)
	if err != nil {
		return nil, 0, err
	}
	b := NewBook()
	// Keys sort as host, job, log, owner, so every job is there before the changes to it.
	slices.SortFunc(l.Records, func(x, y store.Record) int { return strings.Compare(x.Key, y.Key) })
	first := true
	for _, r := range l.Records {
		if first && strings.HasPrefix(r.Key, LogPrefix) {
			if n, err := batchNumber(r.Key); err == nil {
				b.first, b.next = n, n
				first = false
			}
		}
		if err := b.Follow(store.Event{Record: r}); err != nil {
			b.faults = append(b.faults, err)
		}
	}
	if len(b.early) > 0 {
		// The list is not a snapshot: batches between its pages were removed meanwhile.
		return nil, 0, merry.Prependf(ErrGap, "after batch %d", b.next)
	}

	return b, l.Revision, nil
}

// ReadHosts returns a book that has only the owner and the entry hosts.
func ReadHosts(ctx context.Context, c *store.Client) (*Book, error) {
	l, err := c.List(ctx, HostPrefix)
	if err != nil {
		return nil, err
	}
	o, err := c.Get(ctx, OwnerKey)
	switch {
	case err == nil:
		l.Records = append(l.Records, o)
	case !errors.Is(err, store.ErrNotFound):
		return nil, err
	}
	b := NewBook()
	b.hostsOnly = true
	for _, r := range l.Records {
		if err := b.Follow(store.Event{Record: r}); err != nil {
			b.faults = append(b.faults, err)
		}
	}

	return b, nil
}

// HasJobs reports whether the book has jobs and log, and not only the owner and the entry hosts.
func (b *Book) HasJobs() bool {
	return !b.hostsOnly
}

// Clone returns a copy for a user of its own; an error of kind ErrGap says that batches of the log are missing.
func (b *Book) Clone() (*Book, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.hostsOnly || len(b.early) > 0 {
		return nil, merry.Prependf(ErrGap, "after batch %d", b.next)
	}
	c := NewBook()
	c.hosts, c.owner, c.ownerRev, c.first, c.next, c.newest = maps.Clone(b.hosts), b.owner, b.ownerRev, b.first, b.next, b.newest
	c.ordered = maps.Clone(b.ordered)
	for id, e := range b.entries {
		c.entries[id] = e.Clone()
	}
	for id, changes := range b.orphans {
		c.orphans[id] = slices.Clone(changes)
	}
	for wave, hosts := range b.maintained {
		c.maintained[wave] = slices.Clone(hosts)
	}

	return c, nil
}

// Follow carries over one change of the store; its error is of kind ErrMalformed and names a record that was passed over.
func (b *Book) Follow(ev store.Event) error {
	b.mu.Lock()
	defer b.mu.Unlock()

	key := ev.Record.Key
	switch {
	case key == OwnerKey:
		return b.followOwner(ev)
	case strings.HasPrefix(key, JobPrefix):
		return b.followJob(ev)
	case strings.HasPrefix(key, LogPrefix):
		return b.followLog(ev)
	case strings.HasPrefix(key, HostPrefix):
		return b.followHost(ev)
	default:
		return nil
	}
}

func (b *Book) followOwner(ev store.Event) error {
	if ev.Deleted {
		b.owner, b.ownerRev = Owner{}, 0
		return nil
	}
	o, err := Decode[Owner](ev.Record.Key, ev.Record.Value)
	if err == nil {
		b.owner, b.ownerRev = o, ev.Record.Revision
	}

	return err
}

func (b *Book) followHost(ev store.Event) error {
	name := fleet.EntryName(strings.TrimPrefix(ev.Record.Key, HostPrefix))
	if ev.Deleted {
		delete(b.hosts, name)
		return nil
	}
	h, err := Decode[Host](ev.Record.Key, ev.Record.Value)
	if err == nil {
		b.hosts[name] = h
	}

	return err
}

func (b *Book) followJob(ev store.Event) error {
	id := fleet.JobID(strings.TrimPrefix(ev.Record.Key, JobPrefix))
	if ev.Deleted {
		delete(b.entries, id)
		return nil
	}
	j, err := Decode[work.Job](ev.Record.Key, ev.Record.Value)
	if err != nil {
		return err
	}
	if e, ok := b.entries[id]; ok {
		if ev.Record.Revision > e.Revision {
			e.Job, e.Revision = j, ev.Record.Revision
		}

		return nil
	}
	e := NewEntry(j, ev.Record.Revision)
	b.entries[id] = e
	for _, c := range b.orphans[id] {
		e.Apply(c)
	}
	delete(b.orphans, id)

	return nil
}

// followLog applies batches in the order of their numbers, each once.
func (b *Book) followLog(ev store.Event) error {
	n, err := batchNumber(ev.Record.Key)
	if ev.Deleted && err == nil {
		b.first = max(b.first, min(n+1, b.next))
		return nil
	}
	if err != nil || n < b.next {
		return err
	}
	batch, err := DecodeBatch(ev.Record.Key, ev.Record.Value)
	if err != nil {
		return err
	}
	b.early[n] = batch
	for {
		batch, ok := b.early[b.next]
		if !ok {
			return nil
		}
		delete(b.early, b.next)
		b.next++
		b.newest.pass(batch)
		for _, c := range batch.Changes {
			b.apply(c, batch)
		}
	}
}

func (b *Book) apply(c Change, from Batch) {
	switch c.Kind {
	case Maintained:
		b.maintained[int64(c.Life)] = append(b.maintained[int64(c.Life)], fleet.HostName(c.Worker))
		return
	case HostOrdered:
		b.ordered[fleet.HostName(c.Worker)] = announced{by: from.Owner, term: from.Term, uptime: from.Uptime}
		return
	}
	if e, ok := b.entries[c.Attempt.Job]; ok {
		e.Apply(c)
		return
	}
	b.orphans[c.Attempt.Job] = append(b.orphans[c.Attempt.Job], c)
}

// Status returns a job's state, and whether the book has it.
func (b *Book) Status(id fleet.JobID) (State, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.entries[id]
	if !ok {
		return Queued, false
	}

	return e.State(), true
}

// Job returns a job with the store revision of its record, and whether the book has it.
func (b *Book) Job(id fleet.JobID) (work.Job, uint64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.entries[id]
	if !ok {
		return work.Job{}, 0, false
	}

	return e.Job, e.Revision, true
}

// Pending returns how many jobs of a queue are accepted and have no task that started.
func (b *Book) Pending(q fleet.QueueName) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, e := range b.entries {
		if e.Job.Queue == q && e.State() == Queued {
			n++
		}
	}

	return n
}

// Hosts returns the entry hosts, by name.
func (b *Book) Hosts() []Host {
	b.mu.Lock()
	defer b.mu.Unlock()
	hosts := make([]Host, 0, len(b.hosts))
	for _, h := range b.hosts {
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(x, y Host) int { return strings.Compare(string(x.Name), string(y.Name)) })

	return hosts
}

// Owner returns who owns the workers, with the store revision of the record; zero means nobody.
func (b *Book) Owner() (Owner, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.owner, b.ownerRev
}

// Batches returns the numbers of the log's first batch that is kept and of the next one.
func (b *Book) Batches() (first, next uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.first, b.next
}

// Faults returns an error for each record that was passed over when the book was read.
func (b *Book) Faults() []error {
	return b.faults
}

// Maintained returns the hosts that had their maintenance, by wave; the caller must be the only user of the book.
func (b *Book) Maintained() map[int64][]fleet.HostName {
	return b.maintained
}

// HostOrder is an order to a host that was announced.
type HostOrder struct {
	By fleet.EntryName
	// Age is how long ago it was announced at least, by the steady clocks of the owners since.
	Age time.Duration
}

// announced is when an order to a host was announced, by the steady clock of a term.
type announced struct {
	by     fleet.EntryName
	term   uint64
	uptime time.Duration
}

// span is what was logged in the newest term, by its steady clock.
type span struct {
	term        uint64
	first, last time.Duration
}

// pass takes in the time of a batch.
func (s *span) pass(b Batch) {
	if b.Term != s.term {
		*s = span{term: b.Term, first: b.Uptime}
	}
	s.last = max(s.last, b.Uptime)
}

// Ordered returns the last order to each host; the caller must be the only user of the book.
func (b *Book) Ordered() map[fleet.HostName]HostOrder {
	orders := make(map[fleet.HostName]HostOrder, len(b.ordered))
	for name, o := range b.ordered {
		age := b.newest.last - o.uptime
		if o.term != b.newest.term {
			age = b.newest.last - b.newest.first
		}
		orders[name] = HostOrder{By: o.by, Age: age}
	}

	return orders
}

// Entries returns the jobs; the caller must be the only user of the book.
func (b *Book) Entries() map[fleet.JobID]*Entry {
	return b.entries
}
