package allotment

import (
	"errors"
	"flag"
	"fmt"
	"slices"
	"testing"

	"lycheehook.example/lycheehook/explore"
	"lycheehook.example/lycheehook/fleet"
)

var deep = flag.Int("deep", 0, "search the model to this depth, in steps")

// errLimitExceeded is the violation that the model searches for.
var errLimitExceeded = errors.New("running work exceeds the limit")

// without names the mechanism that a run of the model disables.
type without string

const (
	withoutNothing       without = ""
	withoutWait          without = "wait before reclaim"
	withoutLeaseCheck    without = "lease check"
	withoutGapCheck      without = "lease gap check after a pause"
	withoutConfirm       without = "confirmation after a lease lapse"
	withoutAbsentCheck   without = "member key check before a reclaim"
	withoutEscrow        without = "escrow before a write"
	withoutUncertain     without = "escrow kept while uncertain"
	withoutRevisionCheck without = "revision check of a write"
	withoutSuspension    without = "suspension until a lowered limit is in the record"
	withoutExcess        without = "no growth while in excess"
	withoutEarlierBounds without = "earlier bounds"
)

const modelLimit = "team"

func modelSlots(n int64) fleet.Resources {
	return fleet.Resources{Slots: n}
}

// modelWrite is a compare-and-swap that has not reached the store yet.
type modelWrite struct {
	base    uint64
	next    Record
	reclaim bool
}

// modelHolder is one holder together with the state of its environment.
type modelHolder struct {
	state  allocationState
	view   view
	bounds bounds
	// leaseValid is the holder's own judgement by its clock; hasKey reports whether the store has
	// its member key.
	leaseValid, hasKey bool
	paused, dead       bool
	// leaseGap reports that enough time has passed without a valid lease for others to have
	// reclaimed its allocations.
	leaseGap bool
	// waitElapsed is what the other holders know: the key has been absent for as long as a reclaim
	// requires.
	waitElapsed bool
	// op is a planned write before it is sent.
	op      modelWrite
	planned bool
}

// model is a state of the whole protocol.
type model struct {
	record   Record
	revision uint64
	holders  [3]modelHolder
	// delayed is a write whose sender has given up on the response and which may still be applied.
	delayed modelWrite
	// pauses, deaths and losses are the numbers of faults that may still occur.
	pauses, deaths, losses int
	// limitByRevision is the limit in each revision, starting with the first.
	limitByRevision []int64
	violated        bool
}

// modelRules are the parameters of a search.
type modelRules struct {
	omitted without
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
		sum += h.state.used.Slots
	}

	return sum
}

// allowed returns the highest limit of all revisions between the oldest and the newest that a live
// holder has.
func (m *model) allowed(holders int) int64 {
	oldest, newest := uint64(len(m.limitByRevision)), uint64(0)
	for _, h := range m.holders[:holders] {
		if !h.dead {
			oldest, newest = min(oldest, h.bounds.revision), max(newest, h.bounds.revision)
		}
	}

	return slices.Max(m.limitByRevision[oldest-1 : newest])
}

// modelUpper returns the limits of a configuration.
func modelUpper(n int64) map[string]fleet.Resources {
	return map[string]fleet.Resources{modelLimit: modelSlots(n)}
}

// at returns a copy of the state in which change was applied to one holder.
func (m model) at(i int, change func(*modelHolder)) model {
	change(&m.holders[i])
	return m
}

// adopt has holder i read the current record.
func (r modelRules) adopt(m model, i int) model {
	return m.at(i, func(h *modelHolder) {
		next, newer := h.view.withRecord(m.record, m.revision)
		if newer {
			h.view = next
			h.state = h.state.withLimit(m.limit(), m.name(i))
		}
		h.state = h.state.withSuspended(r.suspends(*h))
	})
}

func (r modelRules) suspends(h modelHolder) bool {
	if r.omitted == withoutSuspension {
		return h.view.unconfirmed
	}

	if r.omitted == withoutEarlierBounds {
		l, _ := h.view.record.Limits.Get(modelLimit)
		return h.view.unconfirmed || !l.Upper.FitsIn(h.bounds.upper[modelLimit])
	}

	return h.view.suspends(modelLimit, h.bounds)
}

// plan has holder i read the record and prepare a write that changes the limit.
func (r modelRules) plan(m model, i int, reclaim bool, change func(Limit, allocationState) (Limit, allocationState)) (model, bool) {
	m = r.adopt(m, i)
	h := &m.holders[i]
	record := h.view.record.WithLimits(h.bounds.revision, h.bounds.upper)
	l, _ := record.Limits.Get(modelLimit)
	l, next := change(l, h.state)
	if r.omitted == withoutEscrow {
		next.escrowed = h.state.escrowed
	}
	record = record.WithLimit(modelLimit, l)
	if !h.view.unconfirmed && equalRecords(record, h.view.record) {
		return m, false
	}
	h.state = next
	h.op = modelWrite{base: h.view.revision, next: record, reclaim: reclaim}
	h.planned = true

	return m, true
}

// applyWrite applies a write to the store if the record still has the write's base revision.
func (r modelRules) applyWrite(m model, w modelWrite) (model, bool) {
	if w.base != m.revision && r.omitted != withoutRevisionCheck {
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
	if m.violated {
		return nil
	}
	if m.delayed.base > 0 {
		next, _ := r.applyWrite(m, m.delayed)
		next.delayed = modelWrite{}
		add(next, "delayed write reaches the store")
	}
	for i := range r.holders {
		r.environmentSteps(m, i, add)
		if h := m.holders[i]; !h.dead && !h.paused {
			r.localSteps(m, i, add)
			r.storeSteps(m, i, add)
		}
	}

	return out
}

type addStep func(next model, format string, args ...any)

// environmentSteps are pauses, deaths, and the passing of time.
func (r modelRules) environmentSteps(m model, i int, add addStep) {
	h := m.holders[i]
	if h.state.used.Slots > 0 {
		add(m.at(i, func(h *modelHolder) { h.state = h.state.withEnd(modelSlots(1)) }), "work ends on %d", i)
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
			h.leaseValid = (h.leaseValid && h.hasKey) || (r.omitted == withoutLeaseCheck)
		}), "%d resumes", i)
	}
	if !h.dead && !h.paused && h.leaseValid && m.pauses > 0 {
		next := m.at(i, func(h *modelHolder) { h.leaseValid = false })
		next.pauses--
		add(next, "%d loses its lease", i)
	}
	if h.hasKey && (h.dead || h.paused || !h.leaseValid) {
		add(m.at(i, func(h *modelHolder) { h.hasKey = false }), "key of %d expires", i)
	}
	if !h.hasKey && !h.waitElapsed {
		add(m.at(i, func(h *modelHolder) {
			h.waitElapsed, h.leaseGap = true, true
			if r.omitted != withoutWait {
				h.state.used = fleet.Resources{}
			}
		}), "reclaim wait for %d elapses", i)
	}
	if h.hasKey && h.waitElapsed {
		add(m.at(i, func(h *modelHolder) { h.waitElapsed = false }), "key of %d is seen again", i)
	}
	if !h.dead && !h.paused && !h.leaseValid {
		add(m.at(i, func(h *modelHolder) {
			h.hasKey, h.leaseValid = true, true
			if h.leaseGap && r.omitted != withoutGapCheck {
				h.view.unconfirmed = r.omitted != withoutConfirm
			}
			h.leaseGap = false
			h.state = h.state.withSuspended(r.suspends(*h))
		}), "%d has its lease again", i)
	}
}

// localSteps are what a holder does without the store.
func (r modelRules) localSteps(m model, i int, add addStep) {
	h := m.holders[i]
	state := h.state
	if r.omitted == withoutExcess {
		state.excess = fleet.Resources{}
	}
	if s, ok := state.withStart(modelSlots(1)); ok && h.leaseValid {
		next := m.at(i, func(h *modelHolder) { h.state = s })
		next.violated = next.running() > m.allowed(r.holders)
		add(next, "work starts on %d", i)
	}
	for r2 := h.bounds.revision + 1; r2 <= uint64(len(m.limitByRevision)); r2++ {
		next := m.at(i, func(h *modelHolder) {
			h.bounds = h.bounds.with(r2, modelUpper(m.limitByRevision[r2-1]))
			h.state = h.state.withSuspended(r.suspends(*h))
		})
		add(next, "%d has revision %d of the limit", i, r2)
	}
}

// storeSteps are reads and writes, with every possible outcome of a write.
func (r modelRules) storeSteps(m model, i int, add addStep) {
	h := m.holders[i]
	if h.planned {
		r.sendSteps(m, i, add)
		return
	}
	if h.view.unconfirmed && !h.hasKey {
		return
	}

	tryPlan := func(reclaim bool, label string, change func(Limit, allocationState) (Limit, allocationState)) {
		if next, ok := r.plan(m, i, reclaim, change); ok {
			add(next, "%d plans %s", i, label)
		}
	}
	self := m.name(i)
	tryPlan(false, "to acquire", func(l Limit, s allocationState) (Limit, allocationState) {
		return l.WithAcquired(self, modelSlots(1)), s
	})
	tryPlan(false, "to release", func(l Limit, s allocationState) (Limit, allocationState) {
		s, escrowed := s.withEscrow(modelSlots(1))
		return l.WithReleased(self, escrowed), s
	})
	for j := range r.holders {
		if j == i {
			continue
		}
		tryPlan(false, fmt.Sprintf("to transfer to %d", j), func(l Limit, s allocationState) (Limit, allocationState) {
			s, escrowed := s.withEscrow(modelSlots(1))
			return l.WithTransferred(self, m.name(j), escrowed), s
		})
		if o := m.holders[j]; o.waitElapsed && (!o.hasKey || r.omitted == withoutAbsentCheck) {
			tryPlan(true, fmt.Sprintf("to reclaim from %d", j), func(l Limit, s allocationState) (Limit, allocationState) {
				return l.WithoutHolder(m.name(j)), s
			})
		}
	}
}

// sendSteps are the outcomes of a planned write.
func (r modelRules) sendSteps(m model, i int, add addStep) {
	w := m.holders[i].op
	sent := m.at(i, func(h *modelHolder) { h.op, h.planned = modelWrite{}, false })
	applied, ok := r.applyWrite(sent, w)
	if ok {
		confirmed := applied.at(i, func(h *modelHolder) { h.view.unconfirmed = false })
		add(r.adopt(confirmed, i), "write of %d is applied", i)
	} else {
		add(r.adopt(sent, i), "write of %d conflicts", i)
	}
	if m.losses == 0 {
		return
	}

	uncertain := func(h *modelHolder) {
		h.view.uncertain = true
		if r.omitted == withoutUncertain {
			h.state = h.state.withoutEscrow()
		}
	}
	if ok {
		lost := applied.at(i, uncertain)
		lost.losses--
		add(lost, "response to %d is lost", i)
	}
	if sent.delayed.base == 0 {
		late := sent.at(i, uncertain)
		late.delayed = w
		late.losses--
		add(late, "write of %d is delayed", i)
	}
}

// key distinguishes states by everything that can affect later steps.
func (r modelRules) key(m model) string {
	base := func(revision uint64) uint64 { return m.revision - revision }
	limit := func(rec Record) string {
		l, _ := rec.Limits.Get(modelLimit)
		k := fmt.Sprint(rec.Revision, l.Upper.Slots)
		for _, a := range l.Allocations {
			k += fmt.Sprint(a.Holder, a.Amount.Slots)
		}
		return k
	}
	k := fmt.Sprint(limit(m.record), m.pauses, m.deaths, m.losses, m.violated)
	if m.delayed.base > 0 {
		k += fmt.Sprint("|", base(m.delayed.base), limit(m.delayed.next))
	}
	for _, h := range m.holders[:r.holders] {
		s := h.state
		k += fmt.Sprint("|", s.used.Slots, s.allocated.Slots, s.escrowed.Slots, s.excess.Slots, s.suspended, base(h.view.revision), h.view.record.Revision,
			h.view.uncertain, h.view.unconfirmed, h.bounds.revision, h.bounds.oldest(), h.leaseValid, h.hasKey, h.paused, h.dead, h.leaseGap, h.waitElapsed)
		if h.planned {
			k += fmt.Sprint("!", base(h.op.base), limit(h.op.next), h.op.reclaim)
		}
	}

	return k
}

// run searches the model with the given faults.
func (r modelRules) run(faults model, depth int) (explore.Report, error) {
	m := faults
	if len(m.limitByRevision) == 0 {
		m.limitByRevision = []int64{2}
	}
	first := bounds{}.with(1, modelUpper(m.limitByRevision[0]))
	m.record = Record{}.WithLimits(1, first.upper)
	m.revision = 1
	for i := range r.holders {
		m.holders[i] = modelHolder{bounds: first, leaseValid: true, hasKey: true}
		m = r.adopt(m, i)
	}

	return explore.Model[model, string]{
		Initial: m, Steps: r.steps, Key: r.key,
		Check: func(m model) error {
			if m.violated {
				return errLimitExceeded
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
	"lowered": {limitByRevision: []int64{2, 1}},
	"raised":  {limitByRevision: []int64{1, 2, 1}},
	"all":     {pauses: 1, deaths: 1, losses: 1, limitByRevision: []int64{2, 1}},
}

func TestModelInvariant(t *testing.T) {
	for _, c := range []struct {
		faults  string
		holders int
		depth   int
	}{
		{"none", 2, 60}, {"pause", 2, 10}, {"death", 2, 11}, {"loss", 2, 10}, {"lowered", 2, 10}, {"raised", 2, 9}, {"all", 2, 6},
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
		omitted without
		faults  string
		depth   int
	}{
		{withoutWait, "death", 14},
		{withoutLeaseCheck, "pause", 16},
		{withoutGapCheck, "pause", 16},
		{withoutConfirm, "pause", 16},
		{withoutAbsentCheck, "pause", 18},
		{withoutEscrow, "none", 14},
		{withoutUncertain, "loss", 14},
		{withoutRevisionCheck, "none", 14},
		{withoutSuspension, "lowered", 14},
		{withoutExcess, "lowered", 14},
		{withoutEarlierBounds, "raised", 14},
	} {
		t.Run(string(c.omitted), func(t *testing.T) {
			report, err := modelRules{omitted: c.omitted, holders: 2}.run(modelFaults[c.faults], c.depth)
			if !errors.Is(err, errLimitExceeded) {
				t.Errorf("not found in %+v: %v", report, err)
			}
		})
	}
}
