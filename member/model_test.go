package member

import (
	"flag"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"lycheehook.example/lycheehook/peer"
)

// The model checks the transitions of Standing exhaustively, for two seated processes and a joining one, up to a number of
// generations. Writes can be delayed or lose their responses, and messages can be delayed or lost. A network partition or a
// store outage is a run in which the action never happens; a paused or crashed process is one that takes no more actions.
const (
	modelTick    = time.Second
	modelProcs   = 3
	modelLastGen = 3
	// modelGone is the age of a lease, in ticks beyond OutageLimit, from which all ages are equivalent.
	modelGone = 2
)

var modelEpoch = time.Unix(1_000_000, 0)

// modelSeats are the seats of the processes, by index.
var modelSeats = []Seat{"a", "b", "c"}

// modelWrite is a conditional write of the head that is in flight.
type modelWrite struct {
	head     Head
	withdraw bool
	asked    int
}

// modelLate is a response in flight: a read of the store or a peer's heartbeat.
type modelLate struct {
	to    int
	asked int
	head  *Head
	heard *peer.Heard
}

type modelProc struct {
	s     Standing
	write *modelWrite
	left  bool
}

// modelState is immutable: every action returns a changed copy.
type modelState struct {
	now       int
	head      Head
	procs     [modelProcs]modelProc
	present   [modelProcs]bool
	goneSince [modelProcs]int
	late      *modelLate
	// withdrawn is the generation that revoked the key; withdrawnAt is the tick at which it took effect.
	withdrawn   uint64
	withdrawnAt int
}

// modelScope selects the faults of a run; all of them at once have too many states.
type modelScope struct {
	// freshFor and outage are FreshFor and OutageLimit, in ticks.
	freshFor, outage int
	// joiner adds a third process; late delays one response; leases lets leases expire; handover lets processes hand over seats.
	joiner, late, leases, handover bool
}

// modelRules disables single rules of the protocol.
type modelRules struct {
	anyoneWrites, neverUncertain, receivedTime, certainAfterError, earlyTakeover, handoverWhileUncertain, handoverToOlder bool
}

func modelTime(tick int) time.Time {
	return modelEpoch.Add(time.Duration(tick) * modelTick)
}

func modelStart(sc modelScope) modelState {
	st := modelState{head: Head{Generation: 1, Seats: modelSeats[:2]}, present: [modelProcs]bool{true, true, sc.joiner && !sc.leases}}
	limits := Limits{FreshFor: time.Duration(sc.freshFor) * modelTick, OutageLimit: time.Duration(sc.outage) * modelTick}
	for i := range st.procs {
		st.procs[i].s = NewStanding(limits)
		st.goneSince[i] = -1
		if st.present[i] {
			st.procs[i].s = st.procs[i].s.WithSeat(modelSeats[i], modelTime(0))
		}
		st.procs[i].left = i == 2 && !sc.joiner
	}
	for i := range 2 {
		st.procs[i].s = st.procs[i].s.WithRead(st.head, modelTime(0))
	}

	return st
}

// unsafe reports whether a process still accepts a key that was revoked FreshFor ago or earlier.
func (st modelState) unsafe(sc modelScope) bool {
	if st.withdrawn == 0 || st.now-st.withdrawnAt < sc.freshFor {
		return false
	}

	return slices.ContainsFunc(st.procs[:], func(p modelProc) bool {
		return !p.left && p.s.head.Generation < st.withdrawn && p.s.Fresh(modelTime(st.now))
	})
}

func (st modelState) heard(q, asked int) peer.Heard {
	return peer.Heard{Status: st.procs[q].s.Status(modelTime(st.now)), Asked: modelTime(asked)}
}

// hear delivers a peer's heartbeat to process p, which first fetches and adopts a newer generation, as revision.Repository does.
func (st modelState) hear(p int, h peer.Heard, heads map[uint64]Head) modelState {
	if h.Status.Generation > st.procs[p].s.head.Generation {
		st.procs[p].s = st.procs[p].s.WithHead(heads[h.Status.Generation])
	}
	st.procs[p].s = st.procs[p].s.WithHeard(h)

	return st
}

// next returns all states reachable with one action.
func (st modelState) next(sc modelScope, r modelRules) []modelState {
	var out []modelState
	tick := st
	tick.now++
	out = append(out, tick)
	out = append(out, st.deliverLate(r)...)
	for p := range st.procs {
		if st.procs[p].left {
			continue
		}
		out = append(out, st.readAndHear(p, sc.late)...)
		out = append(out, st.writes(p, sc, r)...)
		if sc.leases {
			out = append(out, st.leases(p)...)
		}
		if sc.handover {
			out = append(out, st.handover(p, r)...)
		}
	}

	return out
}

func (st modelState) heads() map[uint64]Head {
	heads := map[uint64]Head{st.head.Generation: st.head}
	for _, p := range st.procs {
		heads[p.s.head.Generation] = p.s.head
	}

	return heads
}

func (st modelState) deliverLate(r modelRules) []modelState {
	if st.late == nil {
		return nil
	}
	l, n := st.late, st
	n.late = nil
	lost := n
	asked := l.asked
	if r.receivedTime {
		asked = st.now
	}
	if l.head != nil {
		n.procs[l.to].s = n.procs[l.to].s.WithRead(*l.head, modelTime(asked))
		return []modelState{n, lost}
	}
	h := *l.heard
	h.Asked = modelTime(asked)
	if _, known := st.heads()[h.Status.Generation]; !known {
		return []modelState{lost}
	}

	return []modelState{n.hear(l.to, h, st.heads()), lost}
}

func (st modelState) readAndHear(p int, late bool) []modelState {
	var out []modelState
	n := st
	n.procs[p].s = n.procs[p].s.WithRead(st.head, modelTime(st.now))
	out = append(out, n)
	if late && st.late == nil {
		n, head := st, st.head
		n.late = &modelLate{to: p, asked: st.now, head: &head}
		out = append(out, n)
	}
	for q := range st.procs {
		if q == p || st.procs[q].left || st.procs[q].s.head.Generation == 0 {
			continue
		}
		h := st.heard(q, st.now)
		out = append(out, st.hear(p, h, st.heads()))
		if late && st.late == nil {
			n := st
			n.late = &modelLate{to: p, asked: st.now, heard: &h}
			out = append(out, n)
		}
	}

	return out
}

// writes returns the states after p sent a write, and after the store applied or rejected the write in flight.
func (st modelState) writes(p int, sc modelScope, r modelRules) []modelState {
	proc := st.procs[p]
	if proc.write != nil {
		return st.settle(p, r)
	}
	if proc.s.head.Generation == 0 || proc.s.head.Generation >= modelLastGen {
		return nil
	}
	takeover := p == 2 && st.present[2] && !proc.s.Seated() && (r.earlyTakeover || proc.s.TakeoverDue(st.gone(), modelTime(st.now)))
	if !proc.s.Seated() && !takeover && !r.anyoneWrites {
		return nil
	}

	var out []modelState
	send := func(seats []Seat, withdraw bool) {
		n := st
		n.procs[p].write = &modelWrite{
			head: Head{Generation: proc.s.head.Generation + 1, Seats: seats}, withdraw: withdraw, asked: st.now,
		}
		n.procs[p].s = n.procs[p].s.WithUncertain(!r.neverUncertain)
		out = append(out, n)
	}
	if takeover {
		send(modelSeats[2:], false)
		if !r.anyoneWrites {
			return out
		}
	}
	if st.withdrawn == 0 {
		send(proc.s.head.Seats, true)
	}
	var live []Seat
	for i, seat := range modelSeats {
		if st.present[i] {
			live = append(live, seat)
		}
	}
	// With leases, seats change only by takeovers, which bounds the number of states.
	if !sc.leases && len(live) > 0 && !slices.Equal(live, proc.s.head.Seats) {
		send(live, false)
	}

	return out
}

func (st modelState) gone() map[Seat]time.Time {
	gone := map[Seat]time.Time{}
	for i, since := range st.goneSince {
		if since >= 0 {
			gone[modelSeats[i]] = modelTime(since)
		}
	}

	return gone
}

func (st modelState) settle(p int, r modelRules) []modelState {
	w := st.procs[p].write
	n := st
	n.procs[p].write = nil
	if st.head.Generation+1 != w.head.Generation {
		return []modelState{n}
	}
	n.head = w.head
	if w.withdraw {
		n.withdrawn, n.withdrawnAt = w.head.Generation, st.now
	}
	answered := n
	answered.procs[p].s = answered.procs[p].s.WithRead(w.head, modelTime(w.asked))
	out := []modelState{answered, n}
	if r.certainAfterError {
		// The caller times out while the write is still in flight, and the process considers it as failed.
		gaveUp := st
		gaveUp.procs[p].s = gaveUp.procs[p].s.WithUncertain(false)
		out = append(out, gaveUp)
	}

	return out
}

// leases returns the states after p's lease expired or was renewed, after p joined, and after the joining process observed expired members.
func (st modelState) leases(p int) []modelState {
	var out []modelState
	seat := modelSeats[p]
	switch {
	case st.present[p]:
		renewed, lapsed := st, st
		renewed.procs[p].s = renewed.procs[p].s.WithSeat(seat, modelTime(st.now))
		lapsed.present[p] = false
		out = append(out, renewed)
		if p < 2 {
			out = append(out, lapsed)
		}
	case p == 2 && len(st.procs[p].s.own) == 0:
		n := st
		n.present[p] = true
		n.procs[p].s = n.procs[p].s.WithSeat(seat, modelTime(st.now))
		out = append(out, n)
	}
	if p == 2 {
		n := st
		for i := range 2 {
			if !st.present[i] && st.goneSince[i] < 0 {
				n.goneSince[i] = st.now
			}
		}
		out = append(out, n)
	}

	return out
}

// handover returns the states after p left and handed its seat directly to another process.
func (st modelState) handover(p int, r modelRules) []modelState {
	seat := modelSeats[p]
	renewed, ok := st.procs[p].s.own[seat]
	if p == 2 || !ok || (st.procs[p].s.Uncertain() && !r.handoverWhileUncertain) {
		return nil
	}

	var out []modelState
	for q := range st.procs {
		if q == p || st.procs[q].left {
			continue
		}
		n := st
		n.procs[p].s, n.procs[p].left = n.procs[p].s.WithoutSeat(seat), true
		if next, ok := n.procs[q].s.WithHanded(seat, renewed, st.procs[p].s.head.Generation); ok {
			n.procs[q].s = next
		} else if r.handoverToOlder {
			n.procs[q].s = n.procs[q].s.WithSeat(seat, renewed)
		}
		out = append(out, n)
	}

	return out
}

// key returns a hash of the state; states that differ only in times too old to matter have the same hash.
func (st modelState) key(buf []byte, sc modelScope) ([]byte, uint64) {
	buf = buf[:0]
	flag := func(b bool) byte {
		if b {
			return 1
		}
		return 0
	}
	tick := func(then int) byte { return byte(min(st.now-then, sc.freshFor)) }
	age := func(t time.Time) byte {
		if t.IsZero() {
			return byte(sc.freshFor)
		}
		return tick(int(t.Sub(modelEpoch) / modelTick))
	}
	seats := func(held []Seat) byte {
		set := byte(0)
		for i, s := range modelSeats {
			if slices.Contains(held, s) {
				set |= 1 << i
			}
		}
		return set
	}
	buf = append(buf, byte(st.head.Generation), seats(st.head.Seats), byte(st.withdrawn), tick(st.withdrawnAt))
	for i, p := range st.procs {
		buf = append(buf, byte(p.s.head.Generation), seats(p.s.head.Seats), age(p.s.confirmed), flag(p.s.uncertain), flag(p.left), flag(st.present[i]))
		for _, seat := range modelSeats {
			renewed := byte(255)
			if own, held := p.s.own[seat]; held && !sc.leases {
				renewed = 0
			} else if held {
				renewed = byte(min(st.now-int(own.Sub(modelEpoch)/modelTick), sc.outage))
			}
			buf = append(buf, renewed, age(p.s.stated[seat]))
		}
		if i < 2 {
			gone := byte(255)
			if st.goneSince[i] >= 0 {
				gone = byte(min(st.now-st.goneSince[i], sc.outage+modelGone))
			}
			buf = append(buf, gone)
		}
		if w := p.write; w != nil {
			buf = append(buf, byte(w.head.Generation), seats(w.head.Seats), tick(w.asked), flag(w.withdraw))
		} else {
			buf = append(buf, 0)
		}
	}
	if l := st.late; l != nil {
		buf = append(buf, byte(l.to), tick(l.asked))
		if l.head != nil {
			buf = append(buf, byte(l.head.Generation), seats(l.head.Seats))
		} else {
			h := l.heard.Status
			stating := make([]Seat, len(h.Seats))
			for i, s := range h.Seats {
				stating[i] = Seat(s)
			}
			buf = append(buf, byte(h.Generation), seats(stating), byte(min(int(h.Age/modelTick), sc.freshFor)), flag(h.Confirmed), 1)
		}
	}

	return buf, xxhash.Sum64(buf)
}

// explore visits reachable states, breadth first, until it finds an unsafe one or exceeds most; it returns the number visited.
func explore(sc modelScope, r modelRules, most int) (states int, unsafe bool) {
	first := modelStart(sc)
	buf, k := first.key(nil, sc)
	seen := map[uint64]struct{}{k: {}}
	for frontier := []modelState{first}; len(frontier) > 0; {
		var later []modelState
		for _, st := range frontier {
			for _, n := range st.next(sc, r) {
				buf, k = n.key(buf, sc)
				if _, ok := seen[k]; ok {
					continue
				}
				if n.unsafe(sc) {
					return len(seen), true
				}
				seen[k] = struct{}{}
				later = append(later, n)
			}
			if len(seen) > most {
				return len(seen), false
			}
		}
		frontier = later
	}

	return len(seen), false
}

// never is an outage limit that no run reaches, in ticks.
const never = 1000

// modelAll adds scopes that take minutes to explore.
var modelAll = flag.Bool("model.all", false, "explore every scope of the model")

// TestModelIsSafe guards against a process that accepts a revoked key for longer than FreshFor, in any order of events.
func TestModelIsSafe(t *testing.T) {
	for _, c := range []struct {
		name string
		sc   modelScope
		long bool
	}{
		{"two seated, one answer late, seats left", modelScope{freshFor: 2, outage: never, late: true, handover: true}, false},
		{"a third joins", modelScope{freshFor: 1, outage: never, joiner: true}, true},
		{"a third joins, seats left", modelScope{freshFor: 1, outage: never, joiner: true, handover: true}, true},
		{"leases lapse, a third takes over", modelScope{freshFor: 1, outage: 2, joiner: true, leases: true}, true},
	} {
		if c.long && !*modelAll {
			continue
		}
		states, unsafe := explore(c.sc, modelRules{}, math.MaxInt)
		if unsafe {
			t.Errorf("%s: a process accepts a key that was revoked FreshFor ago", c.name)
		}
		t.Logf("%s: %d states", c.name, states)
	}
}

// TestModelNeedsEachRule guards against a model that can't detect faults: without any one of the rules it finds an unsafe state.
func TestModelNeedsEachRule(t *testing.T) {
	two := modelScope{freshFor: 2, outage: never, late: true, handover: true}
	for _, c := range []struct {
		name  string
		sc    modelScope
		rules modelRules
	}{
		{"a process without a seat writes", modelScope{freshFor: 1, outage: never, joiner: true}, modelRules{anyoneWrites: true}},
		{"a writer goes on stating", two, modelRules{neverUncertain: true}},
		{"ages count from the arrival of answers", two, modelRules{receivedTime: true}},
		{"a writer forgets a write that may be on its way", two, modelRules{certainAfterError: true}},
		{"seats are taken over before the licence ends", modelScope{freshFor: 1, outage: never, joiner: true}, modelRules{earlyTakeover: true}},
		{"a seat is handed over while a write is uncertain", two, modelRules{handoverWhileUncertain: true}},
		{"a seat is left to a process with an older head", two, modelRules{handoverToOlder: true}},
	} {
		if states, unsafe := explore(c.sc, c.rules, math.MaxInt); !unsafe {
			t.Errorf("%s: no unsafe state among %d", c.name, states)
		}
	}
}
