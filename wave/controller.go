package wave

import (
	"context"
	"errors"
	"sync"
	"time"

	"lycheehook.example/lycheehook/move"
	"lycheehook.example/lycheehook/record"
	"lycheehook.example/lycheehook/store"
)

// Key is the store key of the wave's record.
const Key = "wave/current"

// Controller keeps the wave's record going; any number of them may work on the same store.
type Controller struct {
	store  *store.Client
	policy func() Policy
	hosts  func() Hosts
	owns   func() bool

	// changed is told of each record that this controller wrote; err is nil or of kind store.ErrOutcomeUnknown.
	changed func(from, to Record, err error)

	mu   sync.Mutex
	last Record
}

// New returns a controller; hosts returns the host records last read, and owns whether this entry host writes the record.
func New(s *store.Client, policy func() Policy, hosts func() Hosts, owns func() bool) *Controller {
	return &Controller{store: s, policy: policy, hosts: hosts, owns: owns, changed: func(Record, Record, error) {}}
}

// WithAudit makes the controller tell f of each record that it wrote, before its first step; err is nil or of kind
// store.ErrOutcomeUnknown.
func (c *Controller) WithAudit(f func(from, to Record, err error)) *Controller {
	c.changed = f
	return c
}

// Step reads the record and writes the next one if this entry host owns it. After an error the controller proposes
// nothing until it has read the record again, because someone may have paused the wave.
func (c *Controller) Step(ctx context.Context, now time.Time) error {
	v, err := record.Read[Record](ctx, c.store, Key)
	if err != nil {
		c.keep(Record{})
		return err
	}
	c.keep(v.Value)
	next := v.Value.Next(c.policy(), c.hosts(), now)
	if next == v.Value || !c.owns() {
		return nil
	}

	_, err = record.Write(ctx, c.store, Key, next, v.Revision)
	if err == nil || errors.Is(err, store.ErrOutcomeUnknown) {
		c.changed(v.Value, next, err)
	}
	if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrOutcomeUnknown) {
		// The next step reads what became of it.
		return nil
	}

	return err
}

func (c *Controller) keep(r Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = r
}

// Record returns the record as last read; its number is zero if it could not be read.
func (c *Controller) Record() Record {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.last
}

// Propose returns the wave's proposals over what a move controller has just read.
func (c *Controller) Propose(v move.View, now time.Time) []move.Proposal {
	r := c.Record()
	if r.Number == 0 {
		return nil
	}
	props, _ := Decide(r, c.policy(), v.Hosts, now)

	return props
}

// Progress returns how far the wave has come and what it waits for.
func (c *Controller) Progress(now time.Time) Progress {
	_, p := Decide(c.Record(), c.policy(), c.hosts(), now)
	return p
}

// Pause stops the wave from starting drains, or lets it go on if by is empty.
func (c *Controller) Pause(ctx context.Context, by string) error {
	_, err := record.Update(ctx, c.store, Key, func(r Record) (Record, bool, error) {
		next := r.Paused(by)
		return next, next != r && r.Number != 0, nil
	})

	return err
}

// StartNow ends the notice of a planned wave.
func (c *Controller) StartNow(ctx context.Context, now time.Time) error {
	_, err := record.Update(ctx, c.store, Key, func(r Record) (Record, bool, error) {
		if r.State != Planned || !now.Before(r.StartsAt) {
			return r, false, nil
		}
		r.StartsAt = now

		return r, true, nil
	})

	return err
}
