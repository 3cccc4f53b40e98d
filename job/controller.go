package job

import (
	"context"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/hostapi"
	"lycheehook.example/lycheehook/move"
	"lycheehook.example/lycheehook/placement"
	"lycheehook.example/lycheehook/record"
	"lycheehook.example/lycheehook/store"
)

const (
	// Shards is the number of store records that jobs are spread over.
	Shards = 16
	// maxShardJobs bounds the jobs of one shard, so that its value stays well below store.MaxValueSize.
	maxShardJobs = 1500
	// defaultLease is how long a task runs on without a renewal.
	defaultLease = time.Minute
	// surelyLapsed is the number of lease times without contact after which a worker has ended a task by itself.
	surelyLapsed = 2
	// defaultRetention is how long an ended job can be asked about.
	defaultRetention = time.Hour
)

// ErrFull says that a shard has no room for another job, so the job was not taken.
var ErrFull = merry.Sentinel("job: shard full")

// Controller places and follows the jobs of the shards that it owns; a wrong guess of ownership costs a conflict.
type Controller struct {
	store     *store.Client
	platform  *hostapi.Client
	tables    func() fleet.Tables
	hosts     func() map[fleet.HostName]record.Versioned[move.Record]
	owns      func(shard int) bool
	room      func(fleet.TeamName) (fleet.Resources, bool)
	policy    placement.Policy
	lease     time.Duration
	retention time.Duration

	mu     sync.Mutex
	health placement.Health
	sizes  placement.Sizes
	// silent has the time since when a worker has not answered.
	silent map[fleet.HostName]time.Time
}

// Option configures a Controller.
type Option func(*Controller)

// WithOwner sets which shards the controller takes care of; without it, all.
func WithOwner(owns func(shard int) bool) Option { return func(c *Controller) { c.owns = owns } }

// WithLease sets how long a task runs on without a renewal.
func WithLease(d time.Duration) Option { return func(c *Controller) { c.lease = d } }

// WithPolicy sets the policy of placement.
func WithPolicy(p placement.Policy) Option { return func(c *Controller) { c.policy = p } }

// WithRoom sets how much each team may have running in the owned shards together, which is the part of its upper limit
// that this entry host holds; false means no limit.
func WithRoom(room func(fleet.TeamName) (fleet.Resources, bool)) Option {
	return func(c *Controller) { c.room = room }
}

// WithRetention sets how long an ended job can be asked about.
func WithRetention(d time.Duration) Option { return func(c *Controller) { c.retention = d } }

// New returns a controller over the queues in tables and the host records that a move controller last read.
func New(
	s *store.Client, p *hostapi.Client, tables func() fleet.Tables,
	hosts func() map[fleet.HostName]record.Versioned[move.Record], opts ...Option,
) *Controller {
	c := &Controller{
		store: s, platform: p, tables: tables, hosts: hosts, owns: func(int) bool { return true },
		policy: placement.DefaultPolicy(), lease: defaultLease, retention: defaultRetention,
		room:   func(fleet.TeamName) (fleet.Resources, bool) { return fleet.Resources{}, false },
		silent: map[fleet.HostName]time.Time{},
	}
	for _, opt := range opts {
		opt(c)
	}

	return c
}

// ShardOf returns the shard of a job.
func ShardOf(id fleet.JobID) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))

	return int(h.Sum32() % Shards)
}

// Key returns the store key of a shard.
func Key(shard int) string { return Prefix + strconv.Itoa(shard) }

// Submit records jobs, many in one write per shard; a job that is recorded already stays as it is. After an error some
// of the jobs may be recorded, and submitting them again is safe.
func (c *Controller) Submit(ctx context.Context, jobs ...fleet.Job) error {
	return change(ctx, c.store, jobs, func(j fleet.Job) fleet.JobID { return j.ID }, func(s Shard, j fleet.Job) (Shard, bool, error) {
		if _, known := s.Jobs[j.ID]; known {
			return s, false, nil
		}
		if len(s.Jobs) >= maxShardJobs {
			return s, false, merry.Prepend(ErrFull, string(j.ID))
		}
		j.State = fleet.JobWaiting
		s.Jobs[j.ID] = Entry{Job: j}

		return s, true, nil
	})
}

// Cancel asks for jobs to be stopped, many in one write per shard; unknown and ended jobs are passed over.
func (c *Controller) Cancel(ctx context.Context, ids ...fleet.JobID) error {
	return change(ctx, c.store, ids, func(id fleet.JobID) fleet.JobID { return id }, func(s Shard, id fleet.JobID) (Shard, bool, error) {
		e, known := s.Jobs[id]
		if !known || e.Cancel || e.Over() {
			return s, false, nil
		}
		e.Cancel = true
		s.Jobs[id] = e

		return s, true, nil
	})
}

// Find returns a job as last written; the second result is false if it is not known.
func (c *Controller) Find(ctx context.Context, id fleet.JobID) (Entry, bool, error) {
	v, err := record.Read[Shard](ctx, c.store, Key(ShardOf(id)))
	e, ok := v.Value.Jobs[id]

	return e, ok, err
}

// change groups items by shard and applies all of a shard in one write.
func change[T any](
	ctx context.Context, c *store.Client, items []T, id func(T) fleet.JobID, apply func(Shard, T) (Shard, bool, error),
) error {
	groups := map[int][]T{}
	for _, item := range items {
		shard := ShardOf(id(item))
		groups[shard] = append(groups[shard], item)
	}
	for _, shard := range slices.Sorted(maps.Keys(groups)) {
		_, err := record.Update(ctx, c, Key(shard), func(s Shard) (Shard, bool, error) {
			if s.Jobs == nil {
				s.Jobs = map[fleet.JobID]Entry{}
			}
			changed := false
			for _, item := range groups[shard] {
				next, did, err := apply(s, item)
				if err != nil {
					return s, false, err
				}
				s, changed = next, changed || did
			}

			return s, changed, nil
		})
		if err != nil {
			return err
		}
	}

	return nil
}
