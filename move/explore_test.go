package move_test

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lycheehook.example/lycheehook/budget"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/hostapi"
	"lycheehook.example/lycheehook/move"
	"lycheehook.example/lycheehook/record"
)

// The exploration runs the decisions of two controllers over every interleaving of their actions with reboots and
// losses. One controller acts on what it has just read. The other may be paused at any point: it reads host and budget
// records at different times, and performs each action late, from an old view, or never.

const (
	hostCount   = 2
	budgetCount = 3
)

var (
	hostNames   = [hostCount]fleet.HostName{"h0", "h1"}
	budgetNames = [budgetCount]fleet.BudgetName{"pool-a", "pool-b", "zone"}
)

// platformHost is the platform's state of a host; done has the kinds and intents of the calls that took effect.
type platformHost struct {
	draining, down, crashed bool
	fence                   uint64
	intent, pending, booted hostapi.IntentID
	done                    string
}

// reader is what one controller last read; a zero revision means that the record was not read.
type reader struct {
	hosts     [hostCount]record.Versioned[move.Record]
	observed  [hostCount]platformHost
	budgets   [budgetCount]record.Versioned[budget.Record]
	hostsAt   uint64
	budgetsAt uint64
}

type state struct {
	hosts    [hostCount]record.Versioned[move.Record]
	budgets  [budgetCount]record.Versioned[budget.Record]
	platform [hostCount]platformHost
	paused   reader
	rev      uint64
	crashes  int
}

// mechanisms names the mechanisms that an exploration disables.
type mechanisms struct {
	hostSwap, budgetSwap, platformFence, readOrder bool
}

type exploration struct {
	disabled mechanisms
	config   move.Config
	hosts    int
	crashes  int
	maxRev   uint64
	limit    int

	states   int
	complete bool
}

func (e *exploration) start() state {
	st := state{rev: 1}
	for i := range e.hosts {
		st.hosts[i] = record.Versioned[move.Record]{Revision: 1, Value: move.Record{Host: fleet.Host{
			Name: hostNames[i], Pool: "a", Zone: "z", State: fleet.HostLive,
		}}}
	}

	return st
}

func (e *exploration) input(r reader) move.Input {
	in := move.Input{
		Config: e.config, Observations: map[fleet.HostName]move.Observation{}, Now: time.Unix(0, 0),
		Owner: move.Owner{Pool: func(fleet.PoolName) bool { return true }, Budget: func(fleet.BudgetName) bool { return true }},
		View: move.View{
			Hosts:   map[fleet.HostName]record.Versioned[move.Record]{},
			Budgets: map[fleet.BudgetName]record.Versioned[budget.Record]{}, HostsAt: r.hostsAt,
		},
	}
	if e.disabled.readOrder {
		in.View.HostsAt = 1 << 62
	}
	for i := range e.hosts {
		name, s := hostNames[i], r.observed[i]
		in.View.Hosts[name] = r.hosts[i]
		in.Observations[name] = move.Observation{Asked: true, Lost: s.crashed, Status: hostapi.HostStatus{
			Host: name, Up: !s.down && !s.crashed, Draining: s.draining, Rebooted: s.booted, Intent: s.intent,
		}}
		if r.hosts[i].Value.Pool == "a" {
			in.Proposals = append(in.Proposals, move.Proposal{Host: name, To: "b", Reboot: i == 0})
		}
	}
	for i, name := range budgetNames {
		if r.budgets[i].Revision != 0 {
			in.View.Budgets[name] = r.budgets[i]
		}
	}

	return in
}

// readNow returns what a controller knows that reads everything in st now.
func readNow(st state) reader {
	return reader{hosts: st.hosts, observed: st.platform, budgets: st.budgets, hostsAt: st.rev, budgetsAt: st.rev}
}

// successors returns every state that is one step away from st.
func (e *exploration) successors(st state) []state {
	var next []state
	act := func(r reader) {
		for _, a := range move.Decide(e.input(r)).Actions {
			if n, ok := e.apply(st, a); ok {
				next = append(next, n)
			}
		}
	}
	act(readNow(st))
	if st.paused.hosts != st.hosts || st.paused.observed != st.platform {
		n := st
		n.paused.hosts, n.paused.observed, n.paused.hostsAt = st.hosts, st.platform, st.rev
		next = append(next, n)
	}
	if !sameBudgets(st.paused.budgets, st.budgets) {
		n := st
		n.paused.budgets, n.paused.budgetsAt = st.budgets, st.rev
		next = append(next, n)
	}
	if st.paused.hostsAt != 0 && (st.paused.hostsAt != st.rev || st.paused.budgetsAt != st.rev) {
		act(st.paused)
	}

	return append(next, e.events(st)...)
}

func sameBudgets(a, b [budgetCount]record.Versioned[budget.Record]) bool {
	for i := range a {
		if a[i].Revision != b[i].Revision {
			return false
		}
	}

	return true
}

func (e *exploration) events(st state) []state {
	var next []state
	for i := range e.hosts {
		if st.platform[i].down {
			n := st
			n.platform[i].down, n.platform[i].booted = false, st.platform[i].pending
			next = append(next, n)
		}
		if st.platform[i].crashed {
			n := st
			n.platform[i].crashed = false
			next = append(next, n)
		} else if st.crashes < e.crashes {
			n := st
			n.platform[i].crashed = true
			n.crashes++
			next = append(next, n)
		}
	}

	return next
}

// apply returns the state after an action, and whether the action changed it.
func (e *exploration) apply(st state, a fleet.Action) (state, bool) {
	switch a := a.(type) {
	case move.WriteHost:
		i := slices.Index(hostNames[:], a.Record.Name)
		if st.hosts[i].Revision != a.Base && !e.disabled.hostSwap {
			return st, false
		}
		st.rev++
		st.hosts[i] = record.Versioned[move.Record]{Value: a.Record, Revision: st.rev}
	case move.WriteBudget:
		i := slices.Index(budgetNames[:], a.Record.Name)
		if st.budgets[i].Revision != a.Base && !e.disabled.budgetSwap {
			return st, false
		}
		st.rev++
		st.budgets[i] = record.Versioned[budget.Record]{Value: a.Record, Revision: st.rev}
	case move.CallHost:
		i := slices.Index(hostNames[:], a.Call.Host)
		p, ok := st.platform[i].call(a, e.disabled.platformFence)
		st.platform[i] = p

		return st, ok
	}

	return st, true
}

func (p platformHost) call(a move.CallHost, noFence bool) (platformHost, bool) {
	mark := fmt.Sprint(a.Kind, a.Call.Intent, ";")
	if !noFence && (a.Call.Fence < p.fence || contains(p.done, mark)) || p.down || p.crashed {
		return p, false
	}
	switch a.Kind {
	case move.CallDrain:
		p.draining = true
	case move.CallCancelDrain:
		p.draining = false
	case move.CallReboot:
		if !p.draining {
			return p, false
		}
		p.down, p.pending = true, a.Call.Intent
	}
	p.fence, p.intent = max(p.fence, a.Call.Fence), a.Call.Intent
	if !contains(p.done, mark) {
		p.done += mark
	}

	return p, true
}

func contains(s, part string) bool {
	for i := 0; i+len(part) <= len(s); i++ {
		if s[i:i+len(part)] == part {
			return true
		}
	}

	return false
}

// check returns the first violation in st, or an empty string.
func (e *exploration) check(st state) string {
	for i := range e.hosts {
		r := st.hosts[i].Value
		out := st.platform[i].draining || st.platform[i].down
		for b, limit := range budgetNames {
			cfg, ok := e.config.Budgets.Get(limit)
			if !ok {
				continue
			}
			joined := r.Intent != nil && r.Intent.From != r.Pool && !cfg.Covers(r.WithPool(r.Intent.From))
			// A loss takes effect before any controller can record it.
			lost := r.State == fleet.HostLost || r.Intent != nil && r.Intent.Phase == move.Returning && r.Intent.From == r.Intent.To
			if _, held := st.budgets[b].Value.Hold(r.Name); out && cfg.Covers(r.Host) && !joined && !lost && !held {
				return fmt.Sprintf("%s is out of service without a unit of %s", r.Name, limit)
			}
		}
		stale := st.paused.hosts[i]
		pool, usable := stale.Value.UsablePool()
		accepted := stale.Revision >= st.platform[i].fence && !out && !st.platform[i].crashed
		if stale.Revision != 0 && usable && accepted && pool != r.Pool {
			return fmt.Sprintf("%s takes work for %s and belongs to %s", r.Name, pool, r.Pool)
		}
	}
	for b, name := range budgetNames {
		cfg, ok := e.config.Budgets.Get(name)
		if !ok {
			continue
		}
		planned, unplanned := 0, 0
		for i := range e.hosts {
			r := st.hosts[i].Value
			if !cfg.Covers(r.Host) {
				continue
			}
			switch {
			case st.platform[i].crashed || r.Intent == nil && r.OutOfService():
				unplanned++
			case st.platform[i].draining || st.platform[i].down:
				planned++
			}
		}
		if planned > cfg.MaxUnavailable || e.crashes == 0 && st.budgets[b].Value.Held() > cfg.MaxUnavailable {
			return fmt.Sprintf("%s: %d planned outages of %d allowed (%d unplanned)", name, planned, cfg.MaxUnavailable, unplanned)
		}
	}

	return ""
}

// runAlone runs one controller from st with current reads until it is idle, and returns what it leaves unfinished.
func (e *exploration) runAlone(st state) string {
	for range 80 {
		for i := range e.hosts {
			if st.platform[i].down {
				st.platform[i].down, st.platform[i].booted = false, st.platform[i].pending
			}
			st.platform[i].crashed = false
		}
		actions := move.Decide(e.input(readNow(st))).Actions
		if len(actions) == 0 {
			break
		}
		for _, a := range actions {
			st, _ = e.apply(st, a)
		}
	}
	for i := range e.hosts {
		if r := st.hosts[i].Value; r.Pool != "b" || r.OutOfService() || r.Intent != nil || st.platform[i].draining {
			return fmt.Sprintf("%s ends as %s in %s, draining %v", r.Name, r.State, r.Pool, st.platform[i].draining)
		}
	}
	for b, name := range budgetNames {
		if n := st.budgets[b].Value.Held(); n != 0 {
			return fmt.Sprintf("%s keeps %d units", name, n)
		}
	}

	return ""
}

// search explores until no new state is reachable within maxRev writes, and returns the first violation.
func (e *exploration) search() string {
	seen, settled := map[uint64]bool{}, map[uint64]bool{}
	stack := []state{e.start()}
	for len(stack) > 0 && e.states < e.limit {
		st := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		e.states++
		if fault := e.check(st); fault != "" {
			return fault
		}
		if k := sharedKey(st); !settled[k] {
			settled[k] = true
			if fault := e.runAlone(st); fault != "" {
				return fault
			}
		}
		if st.rev >= e.maxRev {
			continue
		}
		for _, n := range e.successors(st) {
			if k := key(n); !seen[k] {
				seen[k] = true
				stack = append(stack, n)
			}
		}
	}
	e.complete = len(stack) == 0

	return ""
}

// sharedKey identifies a state without what the paused controller has read.
func sharedKey(st state) uint64 {
	st.paused = reader{}
	return key(st)
}

func key(st state) uint64 {
	b := appendHosts(make([]byte, 0, 512), st.hosts, st.platform)
	b = appendBudgets(b, st.budgets)
	b = binary.AppendUvarint(b, st.rev)
	b = binary.AppendUvarint(b, uint64(st.crashes))
	b = appendHosts(b, st.paused.hosts, st.paused.observed)
	b = appendBudgets(b, st.paused.budgets)
	for _, r := range st.paused.budgets {
		b = fmt.Append(b, st.paused.hostsAt >= r.Revision)
	}

	return xxhash.Sum64(b)
}

func appendHosts(b []byte, hosts [hostCount]record.Versioned[move.Record], plat [hostCount]platformHost) []byte {
	for i, r := range hosts {
		b = binary.AppendUvarint(b, r.Revision)
		b = append(b, r.Value.Pool+"/"...)
		b = append(b, r.Value.State...)
		if in := r.Value.Intent; in != nil {
			b = append(append(append(append(b, in.ID...), in.Phase...), in.To...), in.From...)
		}
		p := plat[i]
		b = fmt.Append(b, p.draining, p.down, p.crashed, p.fence, p.intent, p.pending, p.booted, p.done)
	}

	return b
}

func appendBudgets(b []byte, budgets [budgetCount]record.Versioned[budget.Record]) []byte {
	for _, r := range budgets {
		b = binary.AppendUvarint(b, r.Revision)
		for _, h := range r.Value.Holds {
			b = append(append(append(append(b, h.Host...), h.Reason...), h.Intent...), ' ')
		}
	}

	return b
}

func poolsAB(budgets ...fleet.Budget) move.Config {
	pool := func(p fleet.Pool) fleet.PoolName { return p.Name }
	name := func(b fleet.Budget) fleet.BudgetName { return b.Name }

	return move.Config{
		Revision: 1,
		Pools:    fleet.NewTable(pool, fleet.Pool{Name: "a"}, fleet.Pool{Name: "b"}),
		Budgets:  fleet.NewTable(name, append(budgets, fleet.Budget{Name: "pool-b", Pools: []fleet.PoolName{"b"}, MaxUnavailable: 9})...),
	}
}

var (
	poolBudget = fleet.Budget{Name: "pool-a", Pools: []fleet.PoolName{"a"}, MaxUnavailable: 1}
	zoneBudget = fleet.Budget{Name: "zone", MaxUnavailable: 1}
)
