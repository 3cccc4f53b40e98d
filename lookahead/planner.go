package lookahead

import (
	"iter"
	"slices"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

const (
	// MaxReservations bounds the reservations of a pool. Each keeps some room idle until it is used.
	MaxReservations = 4
	// replanInterval is how long a reservation keeps its plan. It is about half of the shortest usual run, after which as much
	// room has changed hands as can make another worker the better one.
	replanInterval = 250 * time.Millisecond
	// moveMargin is how much sooner another worker must have room for a reservation to move there, since expected ends vary by
	// about as much from one plan to the next.
	moveMargin = 100 * time.Millisecond
)

// StepID identifies the step of a job that has reservations.
type StepID struct {
	Job fleet.JobID
	ledger.StepKey
}

// Class is the order in which steps are placed, as far as it lets one step displace the reservation of another; lower
// values go first.
type Class struct {
	Urgency, Priority int
}

// after reports whether steps of the class are placed after those of another.
func (c Class) after(o Class) bool {
	return c.Urgency > o.Urgency || c.Urgency == o.Urgency && c.Priority > o.Priority
}

// Request asks for room for tasks of a step that found none.
type Request struct {
	Step  StepID
	Class Class
	Need  fleet.Resources
	// Members is the number of tasks that must have room at one time: one, or all of a gang.
	Members int
	// SameRack gangs are slow when they span more than one rack.
	SameRack bool
	// Wanted is the number of reservations.
	Wanted int
}

// earliest returns the plan by which the workers have room first.
func (q Request) earliest(workers []Worker, now time.Time) (Plan, bool) {
	if q.SameRack {
		return EarliestOnRack(q.Need, q.Members, workers, now)
	}

	return Earliest(q.Need, q.Members, workers, now)
}

// Reservation keeps room for one task of a step, or for all tasks of a gang.
type Reservation struct {
	Plan
	Step  StepID
	class Class
	// planned is when the plan was last checked.
	planned time.Time
	reached bool
}

// Table is what a planner reads of the pool. Its functions are called only if a plan has to be made or checked.
type Table struct {
	// Usable reports whether tasks may be placed on a worker.
	Usable func(work.WorkerID) bool
	// Workers returns the workers that the step's tasks may run on.
	Workers func() []Worker
}

// EventKind is the kind of a change of a reservation.
type EventKind string

// The kinds of events.
const (
	// Made is a new reservation.
	Made EventKind = "Made"
	// Moved is a reservation that was planned anew on other workers.
	Moved EventKind = "Moved"
	// Used is a reservation whose task was placed in the room that was kept.
	Used EventKind = "Used"
	// Dropped is a reservation that is not needed any more, or that a more urgent one displaced.
	Dropped EventKind = "Dropped"
)

// Event is a change of a reservation.
type Event struct {
	Kind        EventKind
	Reservation Reservation
	Reason      string
}

// Planner keeps the reservations of one pool. It is not safe for concurrent use.
type Planner struct {
	list []*Reservation
	// refused has the steps for which there were workers but no plan, with the time.
	refused map[StepID]time.Time
	observe func(Event)
}

// New returns a planner without reservations that calls observe with each change.
func New(observe func(Event)) *Planner {
	return &Planner{refused: map[StepID]time.Time{}, observe: observe}
}

// Begin begins a placement, in which each reservation must be requested again to stay.
func (p *Planner) Begin(now time.Time) {
	for _, r := range p.list {
		r.reached = false
	}
	for k, at := range p.refused {
		if now.Sub(at) >= replanInterval {
			delete(p.refused, k)
		}
	}
}

// End ends a placement and drops the reservations that were not requested in it.
func (p *Planner) End() {
	p.list = slices.DeleteFunc(p.list, func(r *Reservation) bool {
		if !r.reached {
			p.observe(Event{Kind: Dropped, Reservation: *r, Reason: "placed elsewhere, or no longer waiting"})
		}

		return !r.reached
	})
}

// Reserve calls keep with each reservation that a step has from now on. A reservation keeps its workers unless others have room
// sooner, and new ones are made as far as the number of the pool permits.
func (p *Planner) Reserve(q Request, t Table, now time.Time, keep func(*Reservation)) {
	for _, r := range slices.Clone(p.list) {
		if r.Step == q.Step && !r.reached && q.Wanted > 0 && p.renew(r, q, t, now) {
			q.Wanted--
			keep(r)
		}
	}
	for q.Wanted > 0 && p.admits(q) {
		workers := t.Workers()
		plan, ok := q.earliest(workers, now)
		if !ok {
			if len(workers) > 0 {
				p.refused[q.Step] = now
			}

			return
		}
		r := &Reservation{Plan: plan, Step: q.Step, class: q.Class, planned: now, reached: true}
		p.list = append(p.list, r)
		p.observe(Event{Kind: Made, Reservation: *r})
		q.Wanted--
		keep(r)
	}
}

// admits reports whether a step may have one more reservation, for which it may displace one of a later class.
func (p *Planner) admits(q Request) bool {
	if _, refused := p.refused[q.Step]; refused {
		return false
	}
	if len(p.list) < MaxReservations {
		return true
	}
	last := slices.MaxFunc(p.list, func(a, b *Reservation) int {
		switch {
		case a.class.after(b.class):
			return 1
		case b.class.after(a.class):
			return -1
		default:
			return 0
		}
	})
	if last.reached || !last.class.after(q.Class) {
		return false
	}
	p.drop(last, "displaced by a more urgent one")

	return true
}

// renew checks the plan of a reservation if that is due, and reports whether the reservation stays.
func (p *Planner) renew(r *Reservation, q Request, t Table, now time.Time) bool {
	r.reached, r.class = true, q.Class
	usable := !slices.ContainsFunc(r.Holds, func(h Hold) bool { return !t.Usable(h.Worker) })
	if usable && now.Sub(r.planned) < replanInterval {
		return true
	}
	workers := t.Workers()
	best, ok := q.earliest(workers, now)
	if !ok {
		if len(workers) > 0 {
			p.refused[q.Step] = now
		}
		p.drop(r, "no worker would have room")

		return false
	}
	r.planned = now
	if usable {
		own := slices.DeleteFunc(workers, func(w Worker) bool { return !r.holds(w.ID) })
		if same, ok := q.earliest(own, now); ok && !best.At.Before(same.At.Add(-moveMargin)) {
			r.Plan = same
			return true
		}
	}
	r.Plan = best
	reason := "others have room sooner"
	if !usable {
		reason = "worker no longer usable"
	}
	p.observe(Event{Kind: Moved, Reservation: *r, Reason: reason})

	return true
}

// drop removes a reservation.
func (p *Planner) drop(r *Reservation, reason string) {
	p.list = slices.DeleteFunc(p.list, func(o *Reservation) bool { return o == r })
	p.observe(Event{Kind: Dropped, Reservation: *r, Reason: reason})
}

// Placed notes that a task of a step, or its gang, was placed on a worker, and thereby uses the reservation there.
func (p *Planner) Placed(step StepID, id work.WorkerID) {
	i := slices.IndexFunc(p.list, func(r *Reservation) bool { return r.Step == step && r.holds(id) })
	if i < 0 {
		return
	}
	r := p.list[i]
	p.list = slices.Delete(p.list, i, i+1)
	p.observe(Event{Kind: Used, Reservation: *r})
}

// Steps yields the step of each reservation.
func (p *Planner) Steps() iter.Seq[StepID] {
	return func(yield func(StepID) bool) {
		for _, r := range p.list {
			if !yield(r.Step) {
				return
			}
		}
	}
}

// Len returns the number of reservations.
func (p *Planner) Len() int {
	return len(p.list)
}
