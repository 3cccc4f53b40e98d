package ledger

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/store"
	"lycheehook.example/lycheehook/work"
)

// Owner is the record of the process that owns the workers.
type Owner struct {
	Host fleet.EntryName `cbor:"1,keyasint"`
	// Process identifies one run of the host's process.
	Process string `cbor:"2,keyasint"`
	// PeerAddress distinguishes a host from a replacement with the same name.
	PeerAddress string `cbor:"3,keyasint"`
}

// Host is the record of an entry host.
type Host struct {
	Name fleet.EntryName `cbor:"1,keyasint"`
	Zone fleet.ZoneName  `cbor:"2,keyasint"`
	// PeerAddress is the address for connections from other entry hosts.
	PeerAddress string `cbor:"3,keyasint"`
	// Cores is the CPU share of the host in cores, and LinkMegabits the bandwidth of its link in Mbit/s; zero means unknown.
	Cores        float64 `cbor:"4,keyasint,omitempty"`
	LinkMegabits float64 `cbor:"5,keyasint,omitempty"`
	// MemoryMegabytes is the memory of the host's process; zero means unknown.
	MemoryMegabytes int64 `cbor:"6,keyasint,omitempty"`
}

// Replica is an in-memory copy of the ledger. Its methods are safe for concurrent use unless they say otherwise.
type Replica struct {
	mu      sync.Mutex
	entries map[fleet.JobID]*Entry
	// orphans holds changes to jobs whose records have not been read yet.
	orphans map[fleet.JobID][]Change
	hosts   map[fleet.EntryName]Host
	// hostRevs holds the store revision of each host's record.
	hostRevs map[fleet.EntryName]uint64
	owner    Owner
	ownerRev uint64
	// first is the number of the oldest batch in the store, next that of the next batch to apply.
	first, next uint64
	// outOfOrder holds batches that arrived before one of their predecessors.
	outOfOrder map[uint64]Batch
	// damaged has the errors of the batches that can't be decoded.
	damaged map[uint64]error
	// maintained holds the hosts that had their maintenance, by wave.
	maintained map[int64][]fleet.HostName
	// orders holds the last announced order to each host.
	orders     map[fleet.HostName]announcement
	newestTerm termSpan
	// hostsOnly is set if only the owner and the entry hosts were read.
	hostsOnly bool
	// readErrors has an error for each record that was skipped during the initial read.
	readErrors []error
	// previous is the replica before this one during the initial read, from which jobs are taken that have not changed; nil if there is
	// none.
	previous *Replica
	usage    usage
}

// NewReplica returns an empty replica.
func NewReplica() *Replica {
	return &Replica{
		entries: map[fleet.JobID]*Entry{}, orphans: map[fleet.JobID][]Change{}, hosts: map[fleet.EntryName]Host{},
		hostRevs: map[fleet.EntryName]uint64{}, outOfOrder: map[uint64]Batch{}, damaged: map[uint64]error{}, maintained: map[int64][]fleet.HostName{}, orders: map[fleet.HostName]announcement{},
		usage: usage{byWorkspace: map[fleet.WorkspaceName]int64{}},
	}
}

// Read reads the whole ledger; it also returns the store revision after which to watch for changes.
func Read(ctx context.Context, c *store.Client) (*Replica, uint64, error) {
	b, at, err := readAll(ctx, c, nil)
	if err != nil {
		return nil, 0, err
	}

	return b, at, nil
}

// readAll is Read, but it returns what could be read of a damaged log with ErrDamaged. Jobs that have not changed share the memory of
// those in the previous replica, if it is not nil.
func readAll(ctx context.Context, c *store.Client, previous *Replica) (*Replica, uint64, error) {
	l, err := c.List(ctx, Prefix)
	if err != nil {
		return nil, 0, err
	}
	// Keys sort as host, job, log, owner, so each job precedes its changes.
	slices.SortFunc(l.Records, func(x, y store.Record) int { return strings.Compare(x.Key, y.Key) })
	first, next := logRange(l.Records)
	b := apply(l.Records, first, next, previous)
	err = b.gap()
	if from, ok := reproducedFrom(l.Records, b.next+1); ok && errors.Is(err, ErrDamaged) {
		b = apply(l.Records, first, from, previous)
		err = b.gap()
	}

	return b, l.Revision, err
}

// apply returns a replica with sorted records, and with the changes of the log from batch next on.
func apply(records []store.Record, first, next uint64, previous *Replica) *Replica {
	b := NewReplica()
	b.first, b.next, b.previous = first, next, previous
	defer func() { b.previous = nil }()
	for _, r := range records {
		if err := b.ApplyEvent(store.Event{Record: r}); err != nil {
			b.readErrors = append(b.readErrors, err)
		}
	}

	return b
}

// Gap returns why the replica does not have all changes up to the last batch that it knows: ErrDamaged, or ErrGap if batches are
// missing, which a list in several pages and changes that were learned of early may cause for a moment.
func (b *Replica) Gap() error {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.gap()
}

// Damaged returns the number of the batch that can't be decoded and keeps the log from being followed, if there is one.
func (b *Replica) Damaged() (uint64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.next, b.damaged[b.next] != nil
}

// gap is Gap for callers that have exclusive use of the replica.
func (b *Replica) gap() error {
	if err := b.damaged[b.next]; err != nil {
		return merry.Prependf(ErrDamaged, "no batch from %d on is applied: %v", b.next, err)
	}
	if len(b.outOfOrder) > 0 {
		return merry.Prependf(ErrGap, "after batch %d", b.next)
	}

	return nil
}

// ReadHosts reads only the owner and the entry hosts.
func ReadHosts(ctx context.Context, c *store.Client) (*Replica, error) {
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
	b := NewReplica()
	b.hostsOnly = true
	for _, r := range l.Records {
		if err := b.ApplyEvent(store.Event{Record: r}); err != nil {
			b.readErrors = append(b.readErrors, err)
		}
	}

	return b, nil
}

// adoptHosts replaces the owner and the entry hosts by those of another replica.
func (b *Replica) adoptHosts(from *Replica) {
	from.mu.Lock()
	owner, revision, hosts, hostRevs := from.owner, from.ownerRev, maps.Clone(from.hosts), maps.Clone(from.hostRevs)
	from.mu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.owner, b.ownerRev, b.hosts, b.hostRevs = owner, revision, hosts, hostRevs
}

// HasJobs reports whether the replica includes jobs and the log, not only the owner and the entry hosts.
func (b *Replica) HasJobs() bool {
	return !b.hostsOnly
}

// Clone returns a deep copy for exclusive use, or ErrGap or ErrDamaged if changes of the log are not applied.
func (b *Replica) Clone() (*Replica, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.hostsOnly {
		return nil, merry.Prependf(ErrGap, "after batch %d", b.next)
	}
	if err := b.gap(); err != nil {
		return nil, err
	}
	c := NewReplica()
	c.hosts, c.owner, c.ownerRev, c.first, c.next, c.newestTerm = maps.Clone(b.hosts), b.owner, b.ownerRev, b.first, b.next, b.newestTerm
	c.hostRevs, c.orders = maps.Clone(b.hostRevs), maps.Clone(b.orders)
	for id, e := range b.entries {
		c.entries[id] = e.Clone()
		c.usage.add(e.Job)
	}
	for id, changes := range b.orphans {
		c.orphans[id] = slices.Clone(changes)
	}
	for wave, hosts := range b.maintained {
		c.maintained[wave] = slices.Clone(hosts)
	}

	return c, nil
}

// ApplyEvent applies one store event. It skips a record that can't be decoded and returns ErrMalformed.
func (b *Replica) ApplyEvent(ev store.Event) error {
	b.mu.Lock()
	defer b.mu.Unlock()

	key := ev.Record.Key
	switch {
	case key == OwnerKey:
		return b.applyOwner(ev)
	case strings.HasPrefix(key, JobPrefix):
		return b.applyJob(ev)
	case strings.HasPrefix(key, LogPrefix):
		return b.applyBatch(ev)
	case strings.HasPrefix(key, HostPrefix):
		return b.applyHost(ev)
	default:
		return nil
	}
}

func (b *Replica) applyOwner(ev store.Event) error {
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

func (b *Replica) applyHost(ev store.Event) error {
	name := fleet.EntryName(strings.TrimPrefix(ev.Record.Key, HostPrefix))
	if ev.Deleted {
		delete(b.hosts, name)
		delete(b.hostRevs, name)
		return nil
	}
	h, err := Decode[Host](ev.Record.Key, ev.Record.Value)
	if err == nil {
		b.hosts[name], b.hostRevs[name] = h, ev.Record.Revision
	}

	return err
}

func (b *Replica) applyJob(ev store.Event) error {
	id := fleet.JobID(strings.TrimPrefix(ev.Record.Key, JobPrefix))
	known, ok := b.entries[id]
	switch {
	case ev.Deleted && ok:
		b.usage.remove(known.Job)
		delete(b.entries, id)
		return nil
	case ev.Deleted, ok && ev.Record.Revision <= known.Revision:
		return nil
	}
	j, err := b.decodeJob(id, ev.Record)
	if err != nil {
		return err
	}
	b.usage.add(j)
	if ok {
		b.usage.remove(known.Job)
		known.Job, known.Revision = j, ev.Record.Revision

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

// decodeJob returns the job of a record, from the previous replica if it is the same there.
func (b *Replica) decodeJob(id fleet.JobID, r store.Record) (work.Job, error) {
	if b.previous != nil {
		if j, revision, ok := b.previous.Job(id); ok && revision == r.Revision {
			return j, nil
		}
	}

	return Decode[work.Job](r.Key, r.Value)
}

// applyBatch applies batches in the order of their numbers, each once.
func (b *Replica) applyBatch(ev store.Event) error {
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
		b.damaged[n] = err
		return err
	}
	delete(b.damaged, n)
	b.outOfOrder[n] = batch
	for {
		batch, ok := b.outOfOrder[b.next]
		if !ok {
			return nil
		}
		delete(b.outOfOrder, b.next)
		b.next++
		b.newestTerm.extend(batch)
		for _, c := range batch.Changes {
			b.applyChange(c, batch)
		}
	}
}

func (b *Replica) applyChange(c Change, from Batch) {
	switch c.Kind {
	case Maintained:
		b.maintained[int64(c.Life)] = append(b.maintained[int64(c.Life)], fleet.HostName(c.Worker))
		return
	case Compacted:
		return
	case HostOrdered:
		b.orders[fleet.HostName(c.Worker)] = newAnnouncement(c, from)
		return
	}
	if e, ok := b.entries[c.Attempt.Job]; ok {
		e.Apply(c)
		return
	}
	b.orphans[c.Attempt.Job] = append(b.orphans[c.Attempt.Job], c)
}
