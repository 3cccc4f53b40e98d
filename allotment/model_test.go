package allotment

import (
	"errors"
	"flag"
	"fmt"
	"testing"

	"lycheehook.example/lycheehook/explore"
	"lycheehook.example/lycheehook/fleet"
)

var deep = flag.Int("deep", 0, "search the model to this depth, in steps")

// errOverLimit is the broken promise that the model looks for.
var errOverLimit = errors.New("work was started above the limit")

// without names the mechanism that a run of the model leaves out.
type without string

const (
	withoutNothing     without = ""
	withoutWait        without = "wait before reclaim"
	withoutLicence     without = "licence check"
	withoutGapCheck    without = "gap check after a pause"
	withoutConfirm     without = "confirmation after a lapse"
	withoutAbsentCheck without = "reading of the member key before a reclaim"
	withoutPledge      without = "pledge before a write"
	withoutDoubt       without = "pledge kept in doubt"
	withoutFence       without = "revision as fence"
	withoutClosing     without = "closing until a lowered limit is in the record"
	withoutExcess      without = "no growth while in excess"
)

const modelLimit = "team"

func modelSlots(n int64) fleet.Resources {
	return fleet.Resources{Slots: n}
}

// modelWrite is a compare-and-swap on its way to the store.
type modelWrite struct {
	base    uint64
	next    Record
	reclaim bool
}

// modelHolder is one holder with what the world knows of it.
type modelHolder struct {
	standing standing
	view     view
	bounds   bounds
	// licensed is what its clock says, key whether the store has its member key.
	licensed, key bool
	paused, dead  bool
	// gap says that so much time passed without a licence that others may have reclaimed.
	gap bool
	// waited is what the others know: its key was absent for as long as the wait demands.
	waited bool
	// op is a planned write, before it is sent.
	op      modelWrite
	planned bool
}

// model is a state of the whole protocol.
type model struct {
	record   Record
	revision uint64
	holders  [3]modelHolder
	// delayed is a write whose answer was given up on and which may still arrive.
	delayed modelWrite
	// faults that are left.
	pauses, deaths, losses, lowers int
	broken                         bool
}

// modelRules has what the search varies.
type modelRules struct {
	out     without
	holders int
}

func (m *model) name(i int) fleet.Incarnation {
	return fleet.Incarnation(fmt.Sprintf("h%d", i))
}

func (m *model) limit() Limit {
	l, _ := m.record.Limits.Get(modelLimit)
	return l
}

func (m *model) running() int64 {
	var sum int64
	for _, h := range m.holders {
		sum += h.standing.used.Slots
	}

	return sum
}

// allowed is the newest bound once all that can act have it.
func (m *model) allowed(holders int) int64 {
	bound := int64(0)
	for _, h := range m.holders[:holders] {
		if !h.dead {
			bound = max(bound, h.bounds.upper[modelLimit].Slots)
		}
	}

	return bound
}

// at returns a copy of the state in which change was made to one holder.
func (m model) at(i int, change func(*modelHolder)) model {
	change(&m.holders[i])
	return m
}

// adopt lets holder i see the record as it is.
func (r modelRules) adopt(m model, i int) model {
	return m.at(i, func(h *modelHolder) {
		next, newer := h.view.withRecord(m.record, m.revision)
		if newer {
			h.view = next
			h.standing = h.standing.withLimit(m.limit(), m.name(i))
		}
		h.standing = h.standing.withClosed(r.closes(*h))
	})
}

func (r modelRules) closes(h modelHolder) bool {
	if r.out == withoutClosing {
		return h.view.unconfirmed
	}

	return h.view.closes(modelLimit, h.bounds)
}

// plan has holder i read the record and prepare a write that changes the limit.
func (r modelRules) plan(m model, i int, reclaim bool, change func(Limit, standing) (Limit, standing)) (model, bool) {
	m = r.adopt(m, i)
	h := &m.holders[i]
	record := h.view.record.WithLimits(h.bounds.revision, h.bounds.upper)
	l, _ := record.Limits.Get(modelLimit)
	l, next := change(l, h.standing)
	if r.out == withoutPledge {
		next.pledged = h.standing.pledged
	}
	record = record.WithLimit(modelLimit, l)
	if !h.view.unconfirmed && same(record, h.view.record) {
		return m, false
	}
	h.standing = next
	h.op = modelWrite{base: h.view.revision, next: record, reclaim: reclaim}
	h.planned = true

	return m, true
}

// land carries out a write in the store if the fence lets it.
func (r modelRules) land(m model, w modelWrite) (model, bool) {
	if w.base != m.revision && r.out != withoutFence {
		return m, false
	}
	m.record = w.next
	m.revision++

	return m, true
}

func (r modelRules) steps(m model) []explore.Step[model] {
	var out []explore.Step[model]
	add := func(next model, format string, args ...any) {
		out = append(out, explore.Step[model]{Label: fmt.Sprintf(format, args...), Next: next})
	}
	if m.broken {
		return nil
	}
	if m.delayed.base > 0 {
		next, _ := r.land(m, m.delayed)
		next.delayed = modelWrite{}
		add(next, "delayed write arrives")
	}
	for i := range r.holders {
		r.worldSteps(m, i, add)
		if h := m.holders[i]; !h.dead && !h.paused {
			r.workSteps(m, i, add)
			r.storeSteps(m, i, add)
		}
	}

	return out
}

type addStep func(next model, format string, args ...any)

// worldSteps are pauses, deaths, and the passing of time.
func (r modelRules) worldSteps(m model, i int, add addStep) {
	h := m.holders[i]
	if h.standing.used.Slots > 0 {
		add(m.at(i, func(h *modelHolder) { h.standing = h.standing.withEnd(modelSlots(1)) }), "work ends on %d", i)
	}
	if !h.dead && !h.paused && m.pauses > 0 {
		next := m.at(i, func(h *modelHolder) { h.paused = true })
		next.pauses--
		add(next, "%d pauses", i)
	}
	if !h.dead && m.deaths > 0 {
		next := m.at(i, func(h *modelHolder) { h.dead = true })
		next.deaths--
		add(next, "%d dies", i)
	}
	if h.paused && !h.dead {
		add(m.at(i, func(h *modelHolder) {
			h.paused = false
			h.licensed = (h.licensed && h.key) || (r.out == withoutLicence)
		}), "%d wakes", i)
	}
	if !h.dead && !h.paused && h.licensed && m.pauses > 0 {
		next := m.at(i, func(h *modelHolder) { h.licensed = false })
		next.pauses--
		add(next, "%d loses its licence", i)
	}
	if h.key && (h.dead || h.paused || !h.licensed) {
		add(m.at(i, func(h *modelHolder) { h.key = false }), "key of %d expires", i)
	}
	if !h.key && !h.waited {
		add(m.at(i, func(h *modelHolder) {
			h.waited, h.gap = true, true
			if r.out != withoutWait {
				h.standing.used = fleet.Resources{}
			}
		}), "wait for %d passes", i)
	}
	if h.key && h.waited {
		add(m.at(i, func(h *modelHolder) { h.waited = false }), "key of %d is seen again", i)
	}
	if !h.dead && !h.paused && !h.licensed {
		add(m.at(i, func(h *modelHolder) {
			h.key, h.licensed = true, true
			if h.gap && r.out != withoutGapCheck {
				h.view.unconfirmed = r.out != withoutConfirm
			}
			h.gap = false
			h.standing = h.standing.withClosed(r.closes(*h))
		}), "%d has its licence again", i)
	}
}

// workSteps are what a holder does without the store.
func (r modelRules) workSteps(m model, i int, add addStep) {
	h := m.holders[i]
	standing := h.standing
	if r.out == withoutExcess {
		standing.excess = fleet.Resources{}
	}
	if s, ok := standing.withStart(modelSlots(1)); ok && h.licensed {
		next := m.at(i, func(h *modelHolder) { h.standing = s })
		next.broken = next.running() > m.allowed(r.holders)
		add(next, "work starts on %d", i)
	}
	if h.bounds.revision == 1 && m.lowers > 0 {
		next := m.at(i, func(h *modelHolder) {
			h.bounds = bounds{revision: 2, upper: map[string]fleet.Resources{modelLimit: modelSlots(1)}}
			h.standing = h.standing.withClosed(r.closes(*h))
		})
		add(next, "%d has the lowered limit", i)
	}
}

// storeSteps are reads and writes, with every outcome that a write can have.
func (r modelRules) storeSteps(m model, i int, add addStep) {
	h := m.holders[i]
	if h.planned {
		r.sendSteps(m, i, add)
		return
	}
	if h.view.unconfirmed && !h.key {
		return
	}

	try := func(reclaim bool, label string, change func(Limit, standing) (Limit, standing)) {
		if next, ok := r.plan(m, i, reclaim, change); ok {
			add(next, "%d plans %s", i, label)
		}
	}
	self := m.name(i)
	try(false, "to take", func(l Limit, s standing) (Limit, standing) { return l.WithTake(self, modelSlots(1)), s })
	try(false, "to give", func(l Limit, s standing) (Limit, standing) {
		s, able := s.withPledge(modelSlots(1))
		return l.WithGive(self, able), s
	})
	for j := range r.holders {
		if j == i {
			continue
		}
		try(false, fmt.Sprintf("to move to %d", j), func(l Limit, s standing) (Limit, standing) {
			s, able := s.withPledge(modelSlots(1))
			return l.WithMove(self, m.name(j), able), s
		})
		if o := m.holders[j]; o.waited && (!o.key || r.out == withoutAbsentCheck) {
			try(true, fmt.Sprintf("to reclaim from %d", j), func(l Limit, s standing) (Limit, standing) {
				return l.WithoutHolder(m.name(j)), s
			})
		}
	}
}

// sendSteps are the outcomes of a planned write.
func (r modelRules) sendSteps(m model, i int, add addStep) {
	w := m.holders[i].op
	sent := m.at(i, func(h *modelHolder) { h.op, h.planned = modelWrite{}, false })
	landed, ok := r.land(sent, w)
	if ok {
		confirmed := landed.at(i, func(h *modelHolder) { h.view.unconfirmed = false })
		add(r.adopt(confirmed, i), "write of %d lands", i)
	} else {
		add(r.adopt(sent, i), "write of %d conflicts", i)
	}
	if m.losses == 0 {
		return
	}

	doubt := func(h *modelHolder) {
		h.view.doubt = true
		if r.out == withoutDoubt {
			h.standing = h.standing.withoutPledge()
		}
	}
	if ok {
		lost := landed.at(i, doubt)
		lost.losses--
		add(lost, "answer to %d is lost", i)
	}
	if sent.delayed.base == 0 {
		late := sent.at(i, doubt)
		late.delayed = w
		late.losses--
		add(late, "write of %d is delayed", i)
	}
}

// key tells states apart by all that can make a difference later.
func (r modelRules) key(m model) string {
	base := func(revision uint64) uint64 { return m.revision - revision }
	limit := func(rec Record) string {
		l, _ := rec.Limits.Get(modelLimit)
		k := fmt.Sprint(rec.Revision, l.Upper.Slots)
		for _, p := range l.Parts {
			k += fmt.Sprint(p.Holder, p.Amount.Slots)
		}
		return k
	}
	k := fmt.Sprint(limit(m.record), m.pauses, m.deaths, m.losses, m.broken)
	if m.delayed.base > 0 {
		k += fmt.Sprint("|", base(m.delayed.base), limit(m.delayed.next))
	}
	for _, h := range m.holders[:r.holders] {
		s := h.standing
		k += fmt.Sprint("|", s.used.Slots, s.part.Slots, s.pledged.Slots, s.excess.Slots, s.closed, base(h.view.revision), h.view.record.Revision,
			h.view.doubt, h.view.unconfirmed, h.bounds.revision, h.licensed, h.key, h.paused, h.dead, h.gap, h.waited)
		if h.planned {
			k += fmt.Sprint("!", base(h.op.base), limit(h.op.next), h.op.reclaim)
		}
	}

	return k
}

// run searches the model with the given faults.
func (r modelRules) run(faults model, depth int) (explore.Report, error) {
	upper := bounds{revision: 1, upper: map[string]fleet.Resources{modelLimit: modelSlots(2)}}
	m := faults
	m.record = Record{}.WithLimits(1, upper.upper)
	m.revision = 1
	for i := range r.holders {
		m.holders[i] = modelHolder{bounds: upper, licensed: true, key: true}
		m = r.adopt(m, i)
	}

	return explore.Model[model, string]{
		Initial: m, Steps: r.steps, Key: r.key,
		Check: func(m model) error {
			if m.broken {
				return errOverLimit
			}
			return nil
		},
	}.Run(depth)
}

// modelFaults has the faults that one search may use, by name.
var modelFaults = map[string]model{
	"none":    {},
	"pause":   {pauses: 1},
	"death":   {deaths: 1},
	"loss":    {losses: 1},
	"lowered": {lowers: 1},
	"all":     {pauses: 1, deaths: 1, losses: 1, lowers: 1},
}

func TestModelHolds(t *testing.T) {
	for _, c := range []struct {
		faults  string
		holders int
		depth   int
	}{
		{"none", 2, 60}, {"pause", 2, 10}, {"death", 2, 11}, {"loss", 2, 10}, {"lowered", 2, 10}, {"all", 2, 6},
		{"none", 3, 7}, {"pause", 3, 6}, {"death", 3, 7}, {"loss", 3, 6}, {"lowered", 3, 6}, {"all", 3, 4},
	} {
		depth := max(c.depth, *deep)
		report, err := modelRules{holders: c.holders}.run(modelFaults[c.faults], depth)
		if err != nil {
			t.Errorf("%d holders, fault %s: %v", c.holders, c.faults, err)
		}
		t.Logf("%d holders, fault %s: %+v", c.holders, c.faults, report)
	}
}

func TestModelNeedsEachMechanism(t *testing.T) {
	for _, c := range []struct {
		out    without
		faults string
		depth  int
	}{
		{withoutWait, "death", 14},
		{withoutLicence, "pause", 16},
		{withoutGapCheck, "pause", 16},
		{withoutConfirm, "pause", 16},
		{withoutAbsentCheck, "pause", 18},
		{withoutPledge, "none", 14},
		{withoutDoubt, "loss", 14},
		{withoutFence, "none", 14},
		{withoutClosing, "lowered", 14},
		{withoutExcess, "lowered", 14},
	} {
		t.Run(string(c.out), func(t *testing.T) {
			report, err := modelRules{out: c.out, holders: 2}.run(modelFaults[c.faults], c.depth)
			if !errors.Is(err, errOverLimit) {
				t.Errorf("not found in %+v: %v", report, err)
			}
		})
	}
}
