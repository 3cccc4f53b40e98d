package lookahead

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/work"
)

// Run is a run that frees its room when it ends.
type Run struct {
	Attempt work.Attempt
	Size    fleet.Resources
	// End is when the run is expected to end.
	End time.Time
}

// Worker is a worker on which room may be reserved.
type Worker struct {
	ID work.WorkerID
	// Free is the room that neither runs nor other reservations take.
	Free fleet.Resources
	// Runs are those that end by themselves and that no other reservation awaits, in any order.
	Runs []Run
	Rack fleet.RackName
	// MaxTasks is how many more tasks of the step the worker may take.
	MaxTasks int
}

// Hold is the room that a reservation keeps on one worker.
type Hold struct {
	Worker work.WorkerID
	Need   fleet.Resources
	// Awaited are the runs whose ends make the room.
	Awaited []work.Attempt
}

// Plan is where and when there will be room.
type Plan struct {
	At    time.Time
	Holds []Hold
}

// slot is room for one more task on a worker, which must wait for the ends of the first runs there.
type slot struct {
	at     time.Time
	worker *Worker
	awaits int
}

// EarliestOnRack returns the plan for the rack that has room for all tasks first, or the plan for all workers if no rack ever has.
func EarliestOnRack(need fleet.Resources, tasks int, workers []Worker, now time.Time) (Plan, bool) {
	racks := map[fleet.RackName][]Worker{}
	for _, w := range workers {
		racks[w.Rack] = append(racks[w.Rack], w)
	}
	var best Plan
	found := false
	for _, rack := range slices.Sorted(maps.Keys(racks)) {
		if p, ok := Earliest(need, tasks, racks[rack], now); ok && (!found || p.At.Before(best.At)) {
			best, found = p, true
		}
	}
	if found {
		return best, true
	}

	return Earliest(need, tasks, workers, now)
}

// Earliest returns the plan by which a number of tasks of one size have room at one time as early as possible, or false if the
// workers would lack the room even without their runs. It sorts the runs of the workers.
func Earliest(need fleet.Resources, tasks int, workers []Worker, now time.Time) (Plan, bool) {
	var slots []slot
	for i := range workers {
		slots = appendSlots(slots, need, tasks, &workers[i], now)
	}
	if len(slots) < tasks {
		return Plan{}, false
	}
	// The sort is stable, so that plans don't depend on more than the order of the workers.
	slices.SortStableFunc(slots, func(a, b slot) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.awaits, b.awaits)) })
	p := Plan{At: slots[tasks-1].at}
	for _, s := range slots[:tasks] {
		p.add(s, need)
	}

	return p, true
}

// appendSlots appends the slots of one worker, at most as many as there are tasks.
func appendSlots(slots []slot, need fleet.Resources, tasks int, w *Worker, now time.Time) []slot {
	slices.SortFunc(w.Runs, func(a, b Run) int { return cmp.Or(a.End.Compare(b.End), compareAttempts(a.Attempt, b.Attempt)) })
	room, wanted, at := w.Free, need, now
	left := min(tasks, w.MaxTasks)
	for i := 0; left > 0; i++ {
		for ; left > 0 && wanted.FitsIn(room); left-- {
			slots = append(slots, slot{at, w, i})
			wanted = wanted.Plus(need)
		}
		if i == len(w.Runs) {
			break
		}
		room = room.Plus(w.Runs[i].Size)
		if w.Runs[i].End.After(at) {
			at = w.Runs[i].End
		}
	}

	return slots
}

func compareAttempts(a, b work.Attempt) int {
	return cmp.Or(
		cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index),
		cmp.Compare(a.Number, b.Number),
	)
}

// add adds a slot to the plan. The slots of a worker come in the order of their times.
func (p *Plan) add(s slot, need fleet.Resources) {
	i := slices.IndexFunc(p.Holds, func(h Hold) bool { return h.Worker == s.worker.ID })
	if i < 0 {
		i = len(p.Holds)
		p.Holds = append(p.Holds, Hold{Worker: s.worker.ID})
	}
	h := &p.Holds[i]
	h.Need = h.Need.Plus(need)
	h.Awaited = h.Awaited[:0]
	for _, r := range s.worker.Runs[:s.awaits] {
		h.Awaited = append(h.Awaited, r.Attempt)
	}
}

// holds reports whether the plan keeps room on a worker.
func (p *Plan) holds(id work.WorkerID) bool {
	return slices.ContainsFunc(p.Holds, func(h Hold) bool { return h.Worker == id })
}
