package claim

import (
	"errors"
	"flag"
	"fmt"
	"slices"
	"testing"

	"github.com/google/uuid"

	"lycheehook.example/lycheehook/explore"
	"lycheehook.example/lycheehook/fleet"
)

var modelDepth = flag.Int("deep", 0, "minimum search depth of the model, in steps")

// errRanTwice is the violation that the model checks for.
var errRanTwice = errors.New("a request ran twice")

// omitted names the mechanism that is disabled in a run of the model.
type omitted string

const (
	omitNothing      omitted = ""
	omitFence        omitted = "revision as fence"
	omitReadBack     omitted = "reading back after an unknown outcome"
	omitSegmentReads omitted = "reading of sealed segments"
	omitSegmentWrite omitted = "segment before the head"
	omitOutcomeCheck omitted = "check of an outcome against the current claim"
	omitAbandoning   omitted = "final abandonment"
	omitFloor        omitted = "floor of expired IDs"
)

// phase is the phase of an attempt in the model.
type phase uint8

const (
	idle phase = iota
	planned
	unconfirmed
	claimed
	sent
	abandoned
	dead
)

// modelProcess is a process with at most one attempt at a time, always with modelID.
type modelProcess struct {
	phase    phase
	attempt  Entry
	base     uint64
	next     Head
	outcome  State
	attempts uint64
}

// modelSegment is a segment in the store.
type modelSegment struct {
	revision uint64
	entries  []Entry
}

// modelWrite is a write in transit to the store; a base of zero means no write.
type modelWrite struct {
	base uint64
	next Head
}

// model is a state of one shard and of the processes that use it.
type model struct {
	head      Head
	revision  uint64
	segments  []modelSegment
	processes [3]modelProcess
	delayed   modelWrite
	runs      int
	// The remaining numbers of faults and events.
	losses, crashes, seals, expiries, withdrawals, repeats int
}

type modelRules struct {
	omit      omitted
	processes int
}

// modelID has a timestamp of 1 ms, so that WithoutExpired(2) removes its segment.
var modelID = uuid.UUID{0, 0, 0, 0, 0, 1, 0x70}

// otherEntry is the entry of another request in the same shard.
var otherEntry = Entry{ID: uuid.UUID{0, 0, 0, 0, 0, 1, 0x71}, State: Done}

func (m model) withProcess(i int, change func(*modelProcess)) model {
	change(&m.processes[i])
	return m
}

func (m model) segment(revision uint64) []Entry {
	for _, s := range m.segments {
		if s.revision == revision {
			return s.entries
		}
	}

	return nil
}

// afterSealing returns the state after the head's entries were written as a segment.
func (r modelRules) afterSealing(m model) model {
	m.seals--
	if r.omit != omitSegmentWrite {
		m.segments = append(slices.Clip(m.segments), modelSegment{revision: m.revision, entries: m.head.Entries})
	}

	return m
}

// find returns the last entry of modelID that a process finds in the head and its segments.
func (r modelRules) find(m model) (Entry, bool) {
	if e, ok := lastEntry(m.head.Entries, modelID); ok {
		return e, true
	}
	if r.omit == omitSegmentReads {
		return Entry{}, false
	}
	for _, s := range m.head.covering(modelID) {
		if e, ok := lastEntry(m.segment(s.Revision), modelID); ok {
			return e, true
		}
	}

	return Entry{}, false
}

func (r modelRules) steps(m model) []explore.Step[model] {
	var out []explore.Step[model]
	add := func(next model, format string, args ...any) {
		out = append(out, explore.Step[model]{Label: fmt.Sprintf(format, args...), Next: next})
	}
	if m.delayed.base > 0 {
		next, _ := r.applyWrite(m, m.delayed)
		next.delayed = modelWrite{}
		add(next, "delayed write arrives")
	}
	if m.expiries > 0 && len(m.head.Sealed) > 0 {
		head, _ := m.head.WithoutExpired(2)
		if r.omit == omitFloor {
			head.Floor = 0
		}
		next, _ := r.applyWrite(m, modelWrite{base: m.revision, next: head})
		next.expiries--
		add(next, "segments expire")
	}
	if m.seals > 0 && len(m.head.Entries) > 0 {
		next, _ := r.applyWrite(r.afterSealing(m), modelWrite{base: m.revision, next: m.head.WithSealed(m.revision).With(otherEntry)})
		add(next, "another request seals")
	}
	for i := range r.processes {
		r.processSteps(m, i, add)
	}

	return out
}

type addStep func(next model, format string, args ...any)

func (r modelRules) processSteps(m model, i int, add addStep) {
	b := m.processes[i]
	if b.phase != dead && m.crashes > 0 {
		next := m.withProcess(i, func(b *modelProcess) { *b = modelProcess{phase: dead} })
		next.crashes--
		add(next, "%d crashes", i)
	}
	switch b.phase {
	case idle:
		if m.repeats > 0 {
			next := m.withProcess(i, func(b *modelProcess) {
				b.attempts++
				b.attempt = Entry{ID: modelID, State: Claimed, Token: Token{Owner: fleet.Incarnation(fmt.Sprint(i)), Attempt: b.attempts}}
				b.phase = unconfirmed
			})
			next.repeats--
			add(next, "%d gets the request", i)
		}
	case unconfirmed:
		r.readSteps(m, i, add)
		add(m.withProcess(i, func(b *modelProcess) { b.phase = abandoned }), "%d abandons its attempt", i)
	case planned:
		r.writeSteps(m, i, add)
	case claimed:
		next := m.withProcess(i, func(b *modelProcess) { b.phase, b.outcome = sent, Done })
		next.runs++
		add(next, "%d sends", i)
		if m.withdrawals > 0 {
			next := m.withProcess(i, func(b *modelProcess) { b.phase, b.outcome = sent, Withdrawn })
			next.withdrawals--
			add(next, "%d withdraws", i)
		}
	case sent:
		r.planOutcome(m, i, b.outcome, add)
	case abandoned:
		r.abandonSteps(m, i, add)
	case dead:
	}
}

// readSteps adds the steps of a process that reads the head and decides on its attempt.
func (r modelRules) readSteps(m model, i int, add addStep) {
	b := m.processes[i]
	earlier, found := r.find(m)
	switch m.head.decide(b.attempt, earlier, found) {
	case granted:
		r.planWrite(m, i, b.attempt, add)
	case alreadyGranted:
		add(m.withProcess(i, func(b *modelProcess) { b.phase = claimed }), "%d finds its own claim", i)
	default:
		add(m.withProcess(i, func(b *modelProcess) { b.phase = idle }), "%d answers from the earlier attempt", i)
	}
}

// planWrite adds the steps that prepare the write of a new head, with and without sealing its entries first.
func (r modelRules) planWrite(m model, i int, e Entry, add addStep) {
	plan := func(head Head) model {
		return m.withProcess(i, func(b *modelProcess) {
			b.base, b.next, b.phase = m.revision, head.With(e), planned
		})
	}
	add(plan(m.head), "%d plans a write", i)
	if m.seals > 0 && len(m.head.Entries) > 0 {
		next := plan(m.head.WithSealed(m.revision))
		next = r.afterSealing(next)
		add(next, "%d seals and plans a write", i)
	}
}

func (r modelRules) planOutcome(m model, i int, s State, add addStep) {
	b := m.processes[i]
	earlier, found := r.find(m)
	if !found || (!m.head.acceptsOutcome(b.attempt.WithState(s), earlier) && r.omit != omitOutcomeCheck) {
		add(m.withProcess(i, func(b *modelProcess) { b.phase, b.outcome = idle, 0 }), "%d drops its outcome", i)
		return
	}
	r.planWrite(m, i, b.attempt.WithState(s), add)
}

// abandonSteps adds the steps that withdraw an abandoned claim if its write took effect.
func (r modelRules) abandonSteps(m model, i int, add addStep) {
	b := m.processes[i]
	if r.omit == omitAbandoning {
		next := m.withProcess(i, func(b *modelProcess) { b.phase, b.outcome = sent, Withdrawn })
		next.runs++
		add(next, "%d sends after abandoning its attempt", i)
	}
	earlier, found := r.find(m)
	switch {
	case m.head.decide(b.attempt, earlier, found) == alreadyGranted:
		add(m.withProcess(i, func(b *modelProcess) { b.phase, b.outcome = sent, Withdrawn }), "%d finds its abandoned claim", i)
	case m.revision != b.base:
		add(m.withProcess(i, func(b *modelProcess) { b.phase = idle }), "%d forgets its abandoned attempt", i)
	}
}

func (r modelRules) applyWrite(m model, w modelWrite) (model, bool) {
	if w.base != m.revision && r.omit != omitFence {
		return m, false
	}
	m.head = w.next
	m.revision++

	return m, true
}

// writeSteps adds the possible outcomes of a planned write.
func (r modelRules) writeSteps(m model, i int, add addStep) {
	b := m.processes[i]
	w := modelWrite{base: b.base, next: b.next}
	back, after := unconfirmed, claimed
	if b.outcome != 0 {
		back, after = sent, idle
	}
	done := func(b *modelProcess) {
		b.phase, b.next = after, Head{}
		b.outcome = 0
	}
	retry := func(b *modelProcess) { b.phase, b.next = back, Head{} }
	unknown := retry
	if r.omit == omitReadBack {
		unknown = done
	}

	applied, ok := r.applyWrite(m, w)
	if ok {
		add(applied.withProcess(i, done), "write of %d succeeds", i)
	} else {
		add(m.withProcess(i, retry), "write of %d conflicts", i)
	}
	if m.losses == 0 {
		return
	}
	if ok {
		next := applied.withProcess(i, unknown)
		next.losses--
		add(next, "answer to %d is lost", i)
	}
	if m.delayed.base == 0 {
		next := m.withProcess(i, unknown)
		next.delayed = w
		next.losses--
		add(next, "write of %d is delayed", i)
	}
}

func (r modelRules) key(m model) string {
	head := func(h Head) string {
		k := fmt.Sprint(h.Floor)
		for _, s := range h.Sealed {
			k += fmt.Sprint("s", m.revision-s.Revision)
		}
		for _, e := range h.Entries {
			k += fmt.Sprint("e", e.State, e.Token)
		}
		return k
	}
	k := fmt.Sprint(head(m.head), m.runs, m.losses, m.crashes, m.seals, m.expiries, m.withdrawals, m.repeats)
	for _, s := range m.head.Sealed {
		for _, e := range m.segment(s.Revision) {
			k += fmt.Sprint("g", e.State, e.Token)
		}
	}
	if m.delayed.base > 0 {
		k += fmt.Sprint("|", m.revision-m.delayed.base, head(m.delayed.next))
	}
	for _, b := range m.processes[:r.processes] {
		k += fmt.Sprint("|", b.phase, b.attempt.Token, b.outcome, b.attempts)
		if b.phase == planned || b.phase == abandoned {
			k += fmt.Sprint("!", m.revision-b.base, head(b.next))
		}
	}

	return k
}

func (r modelRules) run(m model, depth int) (explore.Report, error) {
	m.revision = 1

	return explore.Model[model, string]{
		Initial: m, Steps: r.steps, Key: r.key,
		Check: func(m model) error {
			if m.runs > 1 {
				return errRanTwice
			}
			return nil
		},
	}.Run(depth)
}

var modelFaults = map[string]model{
	"none":       {repeats: 3},
	"loss":       {repeats: 3, losses: 2},
	"death":      {repeats: 3, crashes: 1, losses: 1},
	"sealing":    {repeats: 3, seals: 2, losses: 1},
	"expiry":     {repeats: 3, seals: 1, expiries: 1},
	"withdrawal": {repeats: 3, withdrawals: 1, losses: 1},
	"all":        {repeats: 3, losses: 1, crashes: 1, seals: 1, expiries: 1, withdrawals: 1},
}

func TestModelRunsAtMostOnce(t *testing.T) {
	for _, c := range []struct {
		faults    string
		processes int
		depth     int
	}{
		{"none", 2, 40}, {"loss", 2, 40}, {"death", 2, 40}, {"sealing", 2, 40}, {"expiry", 2, 40}, {"withdrawal", 2, 40}, {"all", 2, 12},
		{"none", 3, 40}, {"loss", 3, 14}, {"death", 3, 12}, {"sealing", 3, 10}, {"expiry", 3, 40}, {"withdrawal", 3, 14}, {"all", 3, 8},
	} {
		report, err := modelRules{processes: c.processes}.run(modelFaults[c.faults], max(c.depth, *modelDepth))
		if err != nil {
			t.Errorf("%d processes, fault %s: %v", c.processes, c.faults, err)
		}
		t.Logf("%d processes, fault %s: %+v", c.processes, c.faults, report)
	}
}

func TestModelNeedsEachMechanism(t *testing.T) {
	for _, c := range []struct {
		omit   omitted
		faults string
	}{
		{omitFence, "none"},
		{omitReadBack, "loss"},
		{omitSegmentReads, "sealing"},
		{omitSegmentWrite, "sealing"},
		{omitOutcomeCheck, "withdrawal"},
		{omitAbandoning, "none"},
		{omitFloor, "expiry"},
	} {
		t.Run(string(c.omit), func(t *testing.T) {
			report, err := modelRules{omit: c.omit, processes: 2}.run(modelFaults[c.faults], 24)
			if !errors.Is(err, errRanTwice) {
				t.Errorf("violation not found in %+v: %v", report, err)
			}
		})
	}
}

func TestLastEntry(t *testing.T) {
	entries := []Entry{{ID: modelID, State: Claimed}, {ID: modelID, State: Done}}
	if e, ok := lastEntry(slices.Clone(entries), modelID); !ok || e.State != Done {
		t.Errorf("got %v, %t", e, ok)
	}
}
