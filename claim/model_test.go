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

var deep = flag.Int("deep", 0, "search the model to this depth, in steps")

// errDoubled is the broken promise that the model looks for.
var errDoubled = errors.New("a request ran twice")

// without names the mechanism that a run of the model leaves out.
type without string

const (
	withoutNothing    without = ""
	withoutFence      without = "revision as fence"
	withoutReadBack   without = "reading back after a lost answer"
	withoutSegments   without = "reading of sealed segments"
	withoutSealing    without = "segment before the head"
	withoutAcceptance without = "check of an outcome against the claim that stands"
	withoutGivingUp   without = "giving up for good"
	withoutFloor      without = "floor of forgotten IDs"
)

// phase is where an attempt of the model is.
type phase uint8

const (
	idle phase = iota
	planned
	doubtful
	holding
	sent
	givenUp
	gone
)

// modelBook is one process with one attempt at a time for the one ID of the model.
type modelBook struct {
	phase    phase
	attempt  Entry
	base     uint64
	next     Head
	outcome  State
	attempts uint64
}

// modelSegment is a sealed segment in the store.
type modelSegment struct {
	revision uint64
	entries  []Entry
}

// modelWrite is a write on its way to the store; a base of zero is none.
type modelWrite struct {
	base uint64
	next Head
}

// model is a state of one shard and the processes that use it.
type model struct {
	head     Head
	revision uint64
	segments []modelSegment
	books    [3]modelBook
	delayed  modelWrite
	runs     int
	// faults and events that are left.
	losses, deaths, seals, expiries, withdrawals, repeats int
}

type modelRules struct {
	out   without
	books int
}

// modelID has a time of 1 ms, so that a horizon of 2 ms expires it.
var modelID = uuid.UUID{0, 0, 0, 0, 0, 1, 0x70}

// otherEntry is of another request in the same shard.
var otherEntry = Entry{ID: uuid.UUID{0, 0, 0, 0, 0, 1, 0x71}, State: Done}

func (m model) at(i int, change func(*modelBook)) model {
	change(&m.books[i])
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

// sealed returns the state after the head's entries were kept as a segment.
func (r modelRules) sealed(m model) model {
	m.seals--
	if r.out != withoutSealing {
		m.segments = append(slices.Clip(m.segments), modelSegment{revision: m.revision, entries: m.head.Entries})
	}

	return m
}

// find returns the last entry of the ID as a book sees it that reads the head and its segments.
func (r modelRules) find(m model) (Entry, bool) {
	if e, ok := last(m.head.Entries, modelID); ok {
		return e, true
	}
	if r.out == withoutSegments {
		return Entry{}, false
	}
	for _, s := range m.head.covering(modelID) {
		if e, ok := last(m.segment(s.Revision), modelID); ok {
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
		next, _ := r.land(m, m.delayed)
		next.delayed = modelWrite{}
		add(next, "delayed write arrives")
	}
	if m.expiries > 0 && len(m.head.Sealed) > 0 {
		head, _ := m.head.WithoutExpired(2)
		if r.out == withoutFloor {
			head.Floor = 0
		}
		next, _ := r.land(m, modelWrite{base: m.revision, next: head})
		next.expiries--
		add(next, "segments expire")
	}
	if m.seals > 0 && len(m.head.Entries) > 0 {
		next, _ := r.land(r.sealed(m), modelWrite{base: m.revision, next: m.head.WithSealed(m.revision).With(otherEntry)})
		add(next, "another request seals")
	}
	for i := range r.books {
		r.bookSteps(m, i, add)
	}

	return out
}

type addStep func(next model, format string, args ...any)

func (r modelRules) bookSteps(m model, i int, add addStep) {
	b := m.books[i]
	if b.phase != gone && m.deaths > 0 {
		next := m.at(i, func(b *modelBook) { *b = modelBook{phase: gone} })
		next.deaths--
		add(next, "%d dies", i)
	}
	switch b.phase {
	case idle:
		if m.repeats > 0 {
			next := m.at(i, func(b *modelBook) {
				b.attempts++
				b.attempt = Entry{ID: modelID, State: Claimed, Token: Token{Owner: fleet.Incarnation(fmt.Sprint(i)), Attempt: b.attempts}}
				b.phase = doubtful
			})
			next.repeats--
			add(next, "%d gets the request", i)
		}
	case doubtful:
		r.readSteps(m, i, add)
		add(m.at(i, func(b *modelBook) { b.phase = givenUp }), "%d gives up", i)
	case planned:
		r.sendSteps(m, i, add)
	case holding:
		next := m.at(i, func(b *modelBook) { b.phase, b.outcome = sent, Done })
		next.runs++
		add(next, "%d sends", i)
		if m.withdrawals > 0 {
			next := m.at(i, func(b *modelBook) { b.phase, b.outcome = sent, Withdrawn })
			next.withdrawals--
			add(next, "%d withdraws", i)
		}
	case sent:
		r.planOutcome(m, i, b.outcome, add)
	case givenUp:
		r.giveUpSteps(m, i, add)
	case gone:
	}
}

// readSteps have a book read the head and judge its attempt.
func (r modelRules) readSteps(m model, i int, add addStep) {
	b := m.books[i]
	earlier, found := r.find(m)
	switch m.head.judge(b.attempt, earlier, found) {
	case granted:
		r.planWrite(m, i, b.attempt, add)
	case owned:
		add(m.at(i, func(b *modelBook) { b.phase = holding }), "%d finds its claim", i)
	default:
		add(m.at(i, func(b *modelBook) { b.phase = idle }), "%d tells of the earlier attempt", i)
	}
}

// planWrite prepares a head with one more entry, and another that is sealed first.
func (r modelRules) planWrite(m model, i int, e Entry, add addStep) {
	plan := func(head Head) model {
		return m.at(i, func(b *modelBook) {
			b.base, b.next, b.phase = m.revision, head.With(e), planned
		})
	}
	add(plan(m.head), "%d plans a write", i)
	if m.seals > 0 && len(m.head.Entries) > 0 {
		next := plan(m.head.WithSealed(m.revision))
		next = r.sealed(next)
		add(next, "%d seals and plans a write", i)
	}
}

func (r modelRules) planOutcome(m model, i int, s State, add addStep) {
	b := m.books[i]
	earlier, found := r.find(m)
	if !found || (!m.head.accepts(b.attempt.WithState(s), earlier) && r.out != withoutAcceptance) {
		add(m.at(i, func(b *modelBook) { b.phase, b.outcome = idle, 0 }), "%d drops its outcome", i)
		return
	}
	r.planWrite(m, i, b.attempt.WithState(s), add)
}

// giveUpSteps free the ID if a write of the abandoned attempt took effect.
func (r modelRules) giveUpSteps(m model, i int, add addStep) {
	b := m.books[i]
	if r.out == withoutGivingUp {
		next := m.at(i, func(b *modelBook) { b.phase, b.outcome = sent, Withdrawn })
		next.runs++
		add(next, "%d sends though it gave up", i)
	}
	earlier, found := r.find(m)
	switch {
	case m.head.judge(b.attempt, earlier, found) == owned:
		add(m.at(i, func(b *modelBook) { b.phase, b.outcome = sent, Withdrawn }), "%d finds what it gave up", i)
	case m.revision != b.base:
		add(m.at(i, func(b *modelBook) { b.phase = idle }), "%d forgets what it gave up", i)
	}
}

func (r modelRules) land(m model, w modelWrite) (model, bool) {
	if w.base != m.revision && r.out != withoutFence {
		return m, false
	}
	m.head = w.next
	m.revision++

	return m, true
}

// sendSteps are the outcomes of a planned write.
func (r modelRules) sendSteps(m model, i int, add addStep) {
	b := m.books[i]
	w := modelWrite{base: b.base, next: b.next}
	back, after := doubtful, holding
	if b.outcome != 0 {
		back, after = sent, idle
	}
	done := func(b *modelBook) {
		b.phase, b.next = after, Head{}
		b.outcome = 0
	}
	retry := func(b *modelBook) { b.phase, b.next = back, Head{} }
	unknown := retry
	if r.out == withoutReadBack {
		unknown = done
	}

	landed, ok := r.land(m, w)
	if ok {
		add(landed.at(i, done), "write of %d lands", i)
	} else {
		add(m.at(i, retry), "write of %d conflicts", i)
	}
	if m.losses == 0 {
		return
	}
	if ok {
		next := landed.at(i, unknown)
		next.losses--
		add(next, "answer to %d is lost", i)
	}
	if m.delayed.base == 0 {
		next := m.at(i, unknown)
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
	k := fmt.Sprint(head(m.head), m.runs, m.losses, m.deaths, m.seals, m.expiries, m.withdrawals, m.repeats)
	for _, s := range m.head.Sealed {
		for _, e := range m.segment(s.Revision) {
			k += fmt.Sprint("g", e.State, e.Token)
		}
	}
	if m.delayed.base > 0 {
		k += fmt.Sprint("|", m.revision-m.delayed.base, head(m.delayed.next))
	}
	for _, b := range m.books[:r.books] {
		k += fmt.Sprint("|", b.phase, b.attempt.Token, b.outcome, b.attempts)
		if b.phase == planned || b.phase == givenUp {
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
				return errDoubled
			}
			return nil
		},
	}.Run(depth)
}

var modelFaults = map[string]model{
	"none":       {repeats: 3},
	"loss":       {repeats: 3, losses: 2},
	"death":      {repeats: 3, deaths: 1, losses: 1},
	"sealing":    {repeats: 3, seals: 2, losses: 1},
	"expiry":     {repeats: 3, seals: 1, expiries: 1},
	"withdrawal": {repeats: 3, withdrawals: 1, losses: 1},
	"all":        {repeats: 3, losses: 1, deaths: 1, seals: 1, expiries: 1, withdrawals: 1},
}

func TestModelHolds(t *testing.T) {
	for _, c := range []struct {
		faults string
		books  int
		depth  int
	}{
		{"none", 2, 40}, {"loss", 2, 40}, {"death", 2, 40}, {"sealing", 2, 40}, {"expiry", 2, 40}, {"withdrawal", 2, 40}, {"all", 2, 12},
		{"none", 3, 40}, {"loss", 3, 14}, {"death", 3, 12}, {"sealing", 3, 10}, {"expiry", 3, 40}, {"withdrawal", 3, 14}, {"all", 3, 8},
	} {
		report, err := modelRules{books: c.books}.run(modelFaults[c.faults], max(c.depth, *deep))
		if err != nil {
			t.Errorf("%d books, fault %s: %v", c.books, c.faults, err)
		}
		t.Logf("%d books, fault %s: %+v", c.books, c.faults, report)
	}
}

func TestModelNeedsEachMechanism(t *testing.T) {
	for _, c := range []struct {
		out    without
		faults string
	}{
		{withoutFence, "none"},
		{withoutReadBack, "loss"},
		{withoutSegments, "sealing"},
		{withoutSealing, "sealing"},
		{withoutAcceptance, "withdrawal"},
		{withoutGivingUp, "none"},
		{withoutFloor, "expiry"},
	} {
		t.Run(string(c.out), func(t *testing.T) {
			report, err := modelRules{out: c.out, books: 2}.run(modelFaults[c.faults], 24)
			if !errors.Is(err, errDoubled) {
				t.Errorf("not found in %+v: %v", report, err)
			}
		})
	}
}

func TestLastIsTheNewest(t *testing.T) {
	entries := []Entry{{ID: modelID, State: Claimed}, {ID: modelID, State: Done}}
	if e, ok := last(slices.Clone(entries), modelID); !ok || e.State != Done {
		t.Errorf("got %v, %t", e, ok)
	}
}
