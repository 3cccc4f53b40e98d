package wave

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/move"
	"lycheehook.example/lycheehook/record"
)

// State is the state of a wave.
type State string

// The states of a wave.
const (
	// Planned is the state before the start, in which operators can see the plan.
	Planned State = "Planned"
	Running State = "Running"
	Done    State = "Done"
)

// Record is the stored state of the wave. It doesn't list the hosts that are done, which follow from the host records.
type Record struct {
	Number int
	State  State
	// StartsAt is when the wave starts or started.
	StartsAt time.Time
	EndedAt  time.Time `json:",omitzero"`
	// PausedBy names who paused the wave; it is empty if the wave is not paused.
	PausedBy string `json:",omitempty"`
}

// Policy is the operators' policy of waves.
type Policy fleet.Maintenance

const week = 7 * 24 * time.Hour

// DefaultPolicy returns a policy of one wave every six weeks with a day's notice, with a tail by move.StableWeights.
func DefaultPolicy() Policy {
	p := Policy{
		Period: fleet.Duration(6 * week), Notice: fleet.Duration(24 * time.Hour),
		SettleFor: fleet.Duration(15 * time.Minute), MaxLost: 2, ReturnLimit: fleet.Duration(move.DefaultReturnLimit),
	}

	return p.WithWeights(move.StableWeights())
}

// maxTail is the tail, in hosts, if only roll-out time matters.
const maxTail = 3

// WithWeights returns the policy with a tail by the weight of roll-out time relative to that of shortages.
func (p Policy) WithWeights(w move.Weights) Policy {
	w = w.WithDefaults()
	p.Tail = int(math.Round(maxTail * w.RollOut / (w.RollOut + w.Shortage)))

	return p
}

// NewPolicy returns the policy in the operators' lists, with the default for each field that is not set.
func NewPolicy(m fleet.Maintenance) Policy {
	d := DefaultPolicy()

	return Policy{
		Period:      cmp.Or(m.Period, d.Period),
		Notice:      cmp.Or(m.Notice, d.Notice),
		SettleFor:   cmp.Or(m.SettleFor, d.SettleFor),
		MaxLost:     cmp.Or(m.MaxLost, d.MaxLost),
		Tail:        cmp.Or(m.Tail, d.Tail),
		ReturnLimit: cmp.Or(m.ReturnLimit, d.ReturnLimit),
	}
}

// Hosts is the host records that a wave works on.
type Hosts = map[fleet.HostName]record.Versioned[move.Record]

// Next returns the record that follows r at now: it plans, starts and ends waves. It is idempotent for the same now.
func (r Record) Next(p Policy, hosts Hosts, now time.Time) Record {
	switch {
	case r.Number == 0:
		return Record{Number: 1, State: Planned, StartsAt: now.Add(p.Notice.Std())}
	case r.State == Planned && !now.Before(r.StartsAt) && r.PausedBy == "":
		r.State, r.StartsAt = Running, now
	case r.State == Running && len(hosts) > 0 && r.countRemaining(hosts) == 0:
		r.State, r.EndedAt = Done, now
	case r.State != Planned && !now.Before(r.StartsAt.Add(p.Period.Std()-p.Notice.Std())):
		return Record{Number: r.Number + 1, State: Planned, StartsAt: now.Add(p.Notice.Std()), PausedBy: r.PausedBy}
	}

	return r
}

// Paused returns the record as paused by someone, or as resumed if by is empty.
func (r Record) Paused(by string) Record {
	r.PausedBy = by
	return r
}

// Due reports whether the host still needs maintenance in this wave.
func (r Record) Due(h move.Record) bool {
	return h.LastMaintained.Before(r.StartsAt)
}

func (r Record) countRemaining(hosts Hosts) int {
	n := 0
	for _, v := range hosts {
		if r.Due(v.Value) || v.Value.Intent != nil && v.Value.Intent.Reboot {
			n++
		}
	}

	return n
}

// Rack is the hosts of one rack in a plan, sorted by name.
type Rack struct {
	Name  fleet.RackName
	Hosts []fleet.HostName
}

// Stage is one availability zone of a plan, with its racks in the order of their maintenance.
type Stage struct {
	Zone  fleet.ZoneName
	Racks []Rack
}

// Plan returns the hosts in the order of their maintenance.
func Plan(hosts Hosts) []Stage {
	var stages []Stage
	for _, h := range sortedHosts(hosts) {
		if n := len(stages); n == 0 || stages[n-1].Zone != h.Zone {
			stages = append(stages, Stage{Zone: h.Zone})
		}
		s := &stages[len(stages)-1]
		if n := len(s.Racks); n == 0 || s.Racks[n-1].Name != h.Rack {
			s.Racks = append(s.Racks, Rack{Name: h.Rack})
		}
		rack := &s.Racks[len(s.Racks)-1]
		rack.Hosts = append(rack.Hosts, h.Name)
	}

	return stages
}

func sortedHosts(hosts Hosts) []move.Record {
	all := make([]move.Record, 0, len(hosts))
	for _, v := range hosts {
		all = append(all, v.Value)
	}
	slices.SortFunc(all, func(a, b move.Record) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.Name, b.Name))
	})

	return all
}
