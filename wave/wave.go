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
	// Planned is a wave whose plan operators can see before it starts.
	Planned State = "Planned"
	Running State = "Running"
	Done    State = "Done"
)

// Record is the state of the wave in the store; which hosts are done follows from the host records alone.
type Record struct {
	Number int
	State  State
	// StartsAt is when a planned wave starts, or when it started.
	StartsAt time.Time
	EndedAt  time.Time `json:",omitzero"`
	// PausedBy names who paused the wave; empty while it may go on.
	PausedBy string `json:",omitempty"`
}

// Policy is what operators set about waves.
type Policy fleet.Maintenance

const week = 7 * 24 * time.Hour

// DefaultPolicy returns one wave in six weeks with a day's notice, under the ledger's weights.
func DefaultPolicy() Policy {
	p := Policy{
		Period: fleet.Duration(6 * week), Notice: fleet.Duration(24 * time.Hour),
		SettleFor: fleet.Duration(15 * time.Minute), MaxLost: 2, ReturnLimit: fleet.Duration(move.DefaultReturnLimit),
	}

	return p.WithWeights(move.LedgerWeights())
}

// tailHosts is the tail of a wave to which only roll-out time matters, in hosts.
const tailHosts = 3

// WithWeights returns the policy with a tail by how much roll-out time matters against nearness to shares.
func (p Policy) WithWeights(w move.Weights) Policy {
	w = w.WithDefaults()
	p.Tail = int(math.Round(tailHosts * w.RollOut / (w.RollOut + w.Shortage)))

	return p
}

// PolicyOf returns what the operators' lists say, with the default in place of each field that they leave out.
func PolicyOf(m fleet.Maintenance) Policy {
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

// Hosts is the host records that a wave decides over.
type Hosts = map[fleet.HostName]record.Versioned[move.Record]

// Next returns the record that follows r: it plans, starts and ends waves; it is idempotent at one time.
func (r Record) Next(p Policy, hosts Hosts, now time.Time) Record {
	switch {
	case r.Number == 0:
		return Record{Number: 1, State: Planned, StartsAt: now.Add(p.Notice.Std())}
	case r.State == Planned && !now.Before(r.StartsAt) && r.PausedBy == "":
		r.State, r.StartsAt = Running, now
	case r.State == Running && len(hosts) > 0 && r.remaining(hosts) == 0:
		r.State, r.EndedAt = Done, now
	case r.State != Planned && !now.Before(r.StartsAt.Add(p.Period.Std()-p.Notice.Std())):
		return Record{Number: r.Number + 1, State: Planned, StartsAt: now.Add(p.Notice.Std()), PausedBy: r.PausedBy}
	}

	return r
}

// Paused returns the record as paused by someone; an empty name lets the wave go on.
func (r Record) Paused(by string) Record {
	r.PausedBy = by
	return r
}

// Due reports whether the wave still has to take the host through maintenance.
func (r Record) Due(h move.Record) bool {
	return h.LastMaintained.Before(r.StartsAt)
}

func (r Record) remaining(hosts Hosts) int {
	n := 0
	for _, v := range hosts {
		if r.Due(v.Value) || v.Value.Intent != nil && v.Value.Intent.Reboot {
			n++
		}
	}

	return n
}

// Rack is the hosts of one rack in a plan, in order of name.
type Rack struct {
	Name  fleet.RackName
	Hosts []fleet.HostName
}

// Stage is one availability zone of a plan, in the order in which racks are taken.
type Stage struct {
	Zone  fleet.ZoneName
	Racks []Rack
}

// Plan returns the hosts in the order in which the wave takes them.
func Plan(hosts Hosts) []Stage {
	var stages []Stage
	for _, h := range ordered(hosts) {
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

func ordered(hosts Hosts) []move.Record {
	all := make([]move.Record, 0, len(hosts))
	for _, v := range hosts {
		all = append(all, v.Value)
	}
	slices.SortFunc(all, func(a, b move.Record) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.Name, b.Name))
	})

	return all
}
