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

// Controller advances the record of the wave. Any number of controllers may work on the same store.
type Controller struct {
	store  *store.Client
	policy func() Policy
	hosts  func() Hosts
	owns   func() bool

	// onWrite is called for each record that this controller wrote; err is nil or of kind store.ErrOutcomeUnknown.
	onWrite func(from, to Record, err error)

	mu   sync.Mutex
	last Record
}

// New returns a controller. The hosts function returns the host records last read, and owns whether this entry host
// writes the record of the wave.
func New(s *store.Client, policy func() Policy, hosts func() Hosts, owns func() bool) *Controller {
	return &Controller{store: s, policy: policy, hosts: hosts, owns: owns, onWrite: func(Record, Record, error) {}}
}

// WithAudit sets the function that is called for each record that the controller wrote, with an err that is nil or of
// kind store.ErrOutcomeUnknown. It must be called before the first step.
func (c *Controller) WithAudit(f func(from, to Record, err error)) *Controller {
	c.onWrite = f
	return c
}

// Step reads the record and writes the next one if this entry host owns it. If the record can't be read, the controller
// proposes nothing until it can, because the wave may have been paused.
func (c *Controller) Step(ctx context.Context, now time.Time) error {
	v, err := record.Read[Record](ctx, c.store, Key)
	if err != nil {
		c.setRecord(Record{})
		return err
	}
	c.setRecord(v.Value)
	next := v.Value.Next(c.policy(), c.hosts(), now)
	if next == v.Value || !c.owns() {
		return nil
	}

	_, err = record.Write(ctx, c.store, Key, next, v.Revision)
	if err == nil || errors.Is(err, store.ErrOutcomeUnknown) {
		c.onWrite(v.Value, next, err)
	}
	if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrOutcomeUnknown) {
		// The next step reads the result of the write.
		return nil
	}

	return err
}

func (c *Controller) setRecord(r Record) {
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

// Propose returns the wave's proposals for the records that a move controller has just read.
func (c *Controller) Propose(v move.View, now time.Time) []move.Proposal {
	r := c.Record()
	if r.Number == 0 {
		return nil
	}
	props, _ := Decide(r, c.policy(), v.Hosts, now)

	return props
}

// Progress returns the progress of the wave and what it waits for.
func (c *Controller) Progress(now time.Time) Progress {
	_, p := Decide(c.Record(), c.policy(), c.hosts(), now)
	return p
}

// Pause stops the wave from starting drains, or resumes it if by is empty.
func (c *Controller) Pause(ctx context.Context, by string) error {
	_, err := record.Update(ctx, c.store, Key, func(r Record) (Record, bool, error) {
		next := r.Paused(by)
		return next, next != r && r.Number != 0, nil
	})

	return err
}

// StartNow ends the notice period of a planned wave.
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
