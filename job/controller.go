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
	// Shards is the number of store records over which jobs are partitioned.
	Shards = 16
	// maxShardJobs is the maximum number of jobs in one shard; it keeps the value well below store.MaxValueSize.
	maxShardJobs = 1500
	// defaultLease is the duration of a task's lease.
	defaultLease = time.Minute
	// expiryFactor is the number of lease durations without contact after which a worker is certain to have stopped its tasks.
	expiryFactor = 2
	// defaultRetention is how long an ended job is kept.
	defaultRetention = time.Hour
)

// ErrFull means that the job's shard is full and that the job was not accepted.
var ErrFull = merry.Sentinel("job: shard full")

// Controller schedules and monitors the jobs of the shards that it owns. Two controllers that both consider themselves the
// owner of a shard are safe: writes are conditional, so one of them gets a conflict.
type Controller struct {
	store     *store.Client
	platform  *hostapi.Client
	tables    func() fleet.Tables
	hosts     func() map[fleet.HostName]record.Versioned[move.Record]
	owns      func(shard int) bool
	quota     func(fleet.TeamName) (fleet.Resources, bool)
	policy    placement.Policy
	lease     time.Duration
	retention time.Duration

	mu     sync.Mutex
	health placement.Health
	sizes  placement.Sizes
	// unresponsiveSince is the time of the first failed call to each worker that hasn't responded since.
	unresponsiveSince map[fleet.HostName]time.Time
}

// Option configures a Controller.
type Option func(*Controller)

// WithOwner sets which shards the controller owns; the default is all.
func WithOwner(owns func(shard int) bool) Option { return func(c *Controller) { c.owns = owns } }

// WithLease sets the duration of task leases.
func WithLease(d time.Duration) Option { return func(c *Controller) { c.lease = d } }

// WithPolicy sets the placement policy.
func WithPolicy(p placement.Policy) Option { return func(c *Controller) { c.policy = p } }

// WithRoom sets the quota of each team for all owned shards together, which is the part of its upper limit allocated to this
// entry host; false means no limit.
func WithRoom(quota func(fleet.TeamName) (fleet.Resources, bool)) Option {
	return func(c *Controller) { c.quota = quota }
}

// WithRetention sets how long an ended job is kept.
func WithRetention(d time.Duration) Option { return func(c *Controller) { c.retention = d } }

// New returns a controller for the queues in tables. The function hosts returns the host records as last read by a move controller.
func New(
	s *store.Client, p *hostapi.Client, tables func() fleet.Tables,
	hosts func() map[fleet.HostName]record.Versioned[move.Record], opts ...Option,
) *Controller {
	c := &Controller{
		store: s, platform: p, tables: tables, hosts: hosts, owns: func(int) bool { return true },
		policy: placement.DefaultPolicy(), lease: defaultLease, retention: defaultRetention,
		quota:             func(fleet.TeamName) (fleet.Resources, bool) { return fleet.Resources{}, false },
		unresponsiveSince: map[fleet.HostName]time.Time{},
	}
	for _, opt := range opts {
		opt(c)
	}

	return c
}

// ShardOf returns the number of the shard that stores a job.
func ShardOf(id fleet.JobID) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))

	return int(h.Sum32() % Shards)
}

// Key returns the store key of a shard.
func Key(shard int) string { return Prefix + strconv.Itoa(shard) }

// Submit stores jobs with one write per shard and ignores those that are stored already. After an error, some of the jobs
// may be stored; submitting them again is safe.
func (c *Controller) Submit(ctx context.Context, jobs ...fleet.Job) error {
	return updateShards(ctx, c.store, jobs, func(j fleet.Job) fleet.JobID { return j.ID }, func(s Shard, j fleet.Job) (Shard, bool, error) {
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

// Cancel requests the cancellation of jobs, with one write per shard; unknown and ended jobs are ignored.
func (c *Controller) Cancel(ctx context.Context, ids ...fleet.JobID) error {
	return updateShards(ctx, c.store, ids, func(id fleet.JobID) fleet.JobID { return id }, func(s Shard, id fleet.JobID) (Shard, bool, error) {
		e, known := s.Jobs[id]
		if !known || e.Cancel || e.Over() {
			return s, false, nil
		}
		e.Cancel = true
		s.Jobs[id] = e

		return s, true, nil
	})
}

// Find reads a job from the store; the second result is false if it doesn't exist.
func (c *Controller) Find(ctx context.Context, id fleet.JobID) (Entry, bool, error) {
	v, err := record.Read[Shard](ctx, c.store, Key(ShardOf(id)))
	e, ok := v.Value.Jobs[id]

	return e, ok, err
}

// updateShards groups items by shard and applies them with one write per shard.
func updateShards[T any](
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
				next, itemChanged, err := apply(s, item)
				if err != nil {
					return s, false, err
				}
				s, changed = next, changed || itemChanged
			}

			return s, changed, nil
		})
		if err != nil {
			return err
		}
	}

	return nil
}
