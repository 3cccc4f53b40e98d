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

// The exploration runs the real decisions of two controllers over every interleaving of their actions, reboots and
// losses. One controller acts on what it has just read. The other may be paused anywhere: it reads host and budget
// records at different moments, and does each action late, from an old view, or never.

const (
	hostCount   = 2
	budgetCount = 3
)

var (
	hostNames   = [hostCount]fleet.HostName{"h0", "h1"}
	budgetNames = [budgetCount]fleet.BudgetName{"pool-a", "pool-b", "zone"}
)

// platHost is the platform's truth about a host; done has the kinds and intents that took effect.
type platHost struct {
	draining, down, crashed bool
	fence                   uint64
	intent, pending, booted hostapi.IntentID
	done                    string
}

// reader is what one controller last read; zero revisions mean not read.
type reader struct {
	hosts     [hostCount]record.Versioned[move.Record]
	sights    [hostCount]platHost
	budgets   [budgetCount]record.Versioned[budget.Record]
	hostsAt   uint64
	budgetsAt uint64
}

type world struct {
	hosts   [hostCount]record.Versioned[move.Record]
	budgets [budgetCount]record.Versioned[budget.Record]
	plat    [hostCount]platHost
	paused  reader
	rev     uint64
	crashes int
}

// without names the mechanism that an exploration leaves out.
type without struct {
	hostSwap, budgetSwap, platformFence, readOrder bool
}

type exploration struct {
	without without
	config  move.Config
	hosts   int
	crashes int
	maxRev  uint64
	limit   int

	states   int
	complete bool
}

func (e *exploration) start() world {
	w := world{rev: 1}
	for i := range e.hosts {
		w.hosts[i] = record.Versioned[move.Record]{Revision: 1, Value: move.Record{Host: fleet.Host{
			Name: hostNames[i], Pool: "a", Zone: "z", State: fleet.HostLive,
		}}}
	}

	return w
}

func (e *exploration) input(r reader) move.Input {
	in := move.Input{
		Config: e.config, Sights: map[fleet.HostName]move.Sight{}, Now: time.Unix(0, 0),
		Owner: move.Owner{Pool: func(fleet.PoolName) bool { return true }, Budget: func(fleet.BudgetName) bool { return true }},
		View: move.View{
			Hosts:   map[fleet.HostName]record.Versioned[move.Record]{},
			Budgets: map[fleet.BudgetName]record.Versioned[budget.Record]{}, HostsAt: r.hostsAt,
		},
	}
	if e.without.readOrder {
		in.View.HostsAt = 1 << 62
	}
	for i := range e.hosts {
		name, s := hostNames[i], r.sights[i]
		in.View.Hosts[name] = r.hosts[i]
		in.Sights[name] = move.Sight{Asked: true, Lost: s.crashed, Status: hostapi.HostStatus{
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

// fresh returns what a controller that reads w now knows.
func fresh(w world) reader {
	return reader{hosts: w.hosts, sights: w.plat, budgets: w.budgets, hostsAt: w.rev, budgetsAt: w.rev}
}

// successors returns every world that is one step away from w.
func (e *exploration) successors(w world) []world {
	var next []world
	act := func(r reader) {
		for _, a := range move.Decide(e.input(r)).Actions {
			if n, ok := e.perform(w, a); ok {
				next = append(next, n)
			}
		}
	}
	act(fresh(w))
	if w.paused.hosts != w.hosts || w.paused.sights != w.plat {
		n := w
		n.paused.hosts, n.paused.sights, n.paused.hostsAt = w.hosts, w.plat, w.rev
		next = append(next, n)
	}
	if !sameBudgets(w.paused.budgets, w.budgets) {
		n := w
		n.paused.budgets, n.paused.budgetsAt = w.budgets, w.rev
		next = append(next, n)
	}
	if w.paused.hostsAt != 0 && (w.paused.hostsAt != w.rev || w.paused.budgetsAt != w.rev) {
		act(w.paused)
	}

	return append(next, e.events(w)...)
}

func sameBudgets(a, b [budgetCount]record.Versioned[budget.Record]) bool {
	for i := range a {
		if a[i].Revision != b[i].Revision {
			return false
		}
	}

	return true
}

func (e *exploration) events(w world) []world {
	var next []world
	for i := range e.hosts {
		if w.plat[i].down {
			n := w
			n.plat[i].down, n.plat[i].booted = false, w.plat[i].pending
			next = append(next, n)
		}
		if w.plat[i].crashed {
			n := w
			n.plat[i].crashed = false
			next = append(next, n)
		} else if w.crashes < e.crashes {
			n := w
			n.plat[i].crashed = true
			n.crashes++
			next = append(next, n)
		}
	}

	return next
}

// perform carries an action out; it reports false if nothing changed.
func (e *exploration) perform(w world, a fleet.Action) (world, bool) {
	switch a := a.(type) {
	case move.WriteHost:
		i := slices.Index(hostNames[:], a.Record.Name)
		if w.hosts[i].Revision != a.Base && !e.without.hostSwap {
			return w, false
		}
		w.rev++
		w.hosts[i] = record.Versioned[move.Record]{Value: a.Record, Revision: w.rev}
	case move.WriteBudget:
		i := slices.Index(budgetNames[:], a.Record.Name)
		if w.budgets[i].Revision != a.Base && !e.without.budgetSwap {
			return w, false
		}
		w.rev++
		w.budgets[i] = record.Versioned[budget.Record]{Value: a.Record, Revision: w.rev}
	case move.CallHost:
		i := slices.Index(hostNames[:], a.Call.Host)
		p, ok := w.plat[i].call(a, e.without.platformFence)
		w.plat[i] = p

		return w, ok
	}

	return w, true
}

func (p platHost) call(a move.CallHost, noFence bool) (platHost, bool) {
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

// check returns what is broken in w, or nothing.
func (e *exploration) check(w world) string {
	for i := range e.hosts {
		r := w.hosts[i].Value
		out := w.plat[i].draining || w.plat[i].down
		for b, limit := range budgetNames {
			cfg, ok := e.config.Budgets.Get(limit)
			if !ok {
				continue
			}
			joined := r.Intent != nil && r.Intent.From != r.Pool && !cfg.Covers(r.WithPool(r.Intent.From))
			// A loss takes effect before anyone can record it.
			lost := r.State == fleet.HostLost || r.Intent != nil && r.Intent.Phase == move.Returning && r.Intent.From == r.Intent.To
			if _, held := w.budgets[b].Value.Hold(r.Name); out && cfg.Covers(r.Host) && !joined && !lost && !held {
				return fmt.Sprintf("%s is out of service without a unit of %s", r.Name, limit)
			}
		}
		seen := w.paused.hosts[i]
		pool, usable := seen.Value.Usable()
		accepted := seen.Revision >= w.plat[i].fence && !out && !w.plat[i].crashed
		if seen.Revision != 0 && usable && accepted && pool != r.Pool {
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
			r := w.hosts[i].Value
			if !cfg.Covers(r.Host) {
				continue
			}
			switch {
			case w.plat[i].crashed || r.Intent == nil && r.Out():
				unplanned++
			case w.plat[i].draining || w.plat[i].down:
				planned++
			}
		}
		if planned > cfg.MaxUnavailable || e.crashes == 0 && w.budgets[b].Value.Out() > cfg.MaxUnavailable {
			return fmt.Sprintf("%s: %d planned outages of %d allowed (%d unplanned)", name, planned, cfg.MaxUnavailable, unplanned)
		}
	}

	return ""
}

// settle lets one controller go on alone from w, with fresh reads, and returns what it leaves unfinished.
func (e *exploration) settle(w world) string {
	for range 80 {
		for i := range e.hosts {
			if w.plat[i].down {
				w.plat[i].down, w.plat[i].booted = false, w.plat[i].pending
			}
			w.plat[i].crashed = false
		}
		actions := move.Decide(e.input(fresh(w))).Actions
		if len(actions) == 0 {
			break
		}
		for _, a := range actions {
			w, _ = e.perform(w, a)
		}
	}
	for i := range e.hosts {
		if r := w.hosts[i].Value; r.Pool != "b" || r.Out() || r.Intent != nil || w.plat[i].draining {
			return fmt.Sprintf("%s ends as %s in %s, draining %v", r.Name, r.State, r.Pool, w.plat[i].draining)
		}
	}
	for b, name := range budgetNames {
		if n := w.budgets[b].Value.Out(); n != 0 {
			return fmt.Sprintf("%s keeps %d units", name, n)
		}
	}

	return ""
}

// run explores until nothing new is reachable within maxRev writes, and returns the first fault found.
func (e *exploration) run() string {
	seen, settled := map[uint64]bool{}, map[uint64]bool{}
	stack := []world{e.start()}
	for len(stack) > 0 && e.states < e.limit {
		w := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		e.states++
		if fault := e.check(w); fault != "" {
			return fault
		}
		if k := sharedKey(w); !settled[k] {
			settled[k] = true
			if fault := e.settle(w); fault != "" {
				return fault
			}
		}
		if w.rev >= e.maxRev {
			continue
		}
		for _, n := range e.successors(w) {
			if k := key(n); !seen[k] {
				seen[k] = true
				stack = append(stack, n)
			}
		}
	}
	e.complete = len(stack) == 0

	return ""
}

// sharedKey identifies what is common to all controllers.
func sharedKey(w world) uint64 {
	w.paused = reader{}
	return key(w)
}

func key(w world) uint64 {
	b := appendHosts(make([]byte, 0, 512), w.hosts, w.plat)
	b = appendBudgets(b, w.budgets)
	b = binary.AppendUvarint(b, w.rev)
	b = binary.AppendUvarint(b, uint64(w.crashes))
	b = appendHosts(b, w.paused.hosts, w.paused.sights)
	b = appendBudgets(b, w.paused.budgets)
	for _, r := range w.paused.budgets {
		b = fmt.Append(b, w.paused.hostsAt >= r.Revision)
	}

	return xxhash.Sum64(b)
}

func appendHosts(b []byte, hosts [hostCount]record.Versioned[move.Record], plat [hostCount]platHost) []byte {
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
