package placement

import (
	"cmp"
	"slices"

	"lycheehook.example/lycheehook/fleet"
)

// Worker is a host that takes jobs, with what its tasks take already.
type Worker struct {
	fleet.Host
	Used fleet.Resources
	// Probing allows one idempotent job to a quarantined worker.
	Quarantined, Probing bool
}

// Free returns what the worker has left.
func (w Worker) Free() fleet.Resources {
	return w.Capacity.Minus(w.Used)
}

// Job is a job that waits for a worker of one pool, with the size to reserve for it.
type Job struct {
	fleet.Job
	Pool fleet.PoolName
	Need fleet.Resources
}

// Assignment places a job on a worker.
type Assignment struct {
	Job  fleet.JobID
	Host fleet.HostName
	Need fleet.Resources
}

// Reason says why a job was not placed.
type Reason string

// The reasons for which a job was not placed.
const (
	// NeverFits is a job larger than the largest host of its pool; it can never run.
	NeverFits Reason = "NeverFits"
	// NoPool is a job whose pool has no hosts at all, which may change.
	NoPool Reason = "NoPool"
	// NoRoom is a job that waits for room.
	NoRoom Reason = "NoRoom"
	// TeamLimit is a job whose team has as much running as it may have.
	TeamLimit Reason = "TeamLimit"
)

// Unplaced is a job that was not placed, with the reason.
type Unplaced struct {
	Job    fleet.JobID
	Reason Reason
}

// Policy is what operators set about placement.
type Policy struct {
	// UrgentReserve is the part of each pool that only urgent jobs may take.
	UrgentReserve float64
	// MaxReservations bounds how many hosts of a pool are kept for large jobs that wait.
	MaxReservations int
}

// DefaultPolicy returns a policy that keeps a tenth of each pool for urgent jobs.
func DefaultPolicy() Policy {
	return Policy{UrgentReserve: 0.1, MaxReservations: 2}
}

// poolState is what is known about one pool during a placement.
type poolState struct {
	workers  []*Worker
	capacity fleet.Resources
	used     fleet.Resources
	reserved map[fleet.HostName]bool
}

// Place returns an assignment for each job that finds room now. Hosts are all hosts that pools have, also those out of
// service: only a job that fits on none of them can never run.
func Place(jobs []Job, hosts []fleet.Host, workers []Worker, p Policy) ([]Assignment, []Unplaced) {
	pools := byPool(workers)
	largest := map[fleet.PoolName][]fleet.Resources{}
	for _, h := range hosts {
		largest[h.Pool] = append(largest[h.Pool], h.Capacity)
	}

	var placed []Assignment
	var left []Unplaced
	for _, j := range InOrder(jobs) {
		if reason := possible(j, largest[j.Pool]); reason != "" {
			left = append(left, Unplaced{j.ID, reason})
			continue
		}
		w := choose(j, pools[j.Pool], p)
		if w == nil {
			left = append(left, Unplaced{j.ID, NoRoom})
			keepRoom(j, pools[j.Pool], p)

			continue
		}
		w.Used = w.Used.Plus(j.Need)
		w.Probing = false
		pools[j.Pool].used = pools[j.Pool].used.Plus(j.Need)
		placed = append(placed, Assignment{j.ID, w.Name, j.Need})
	}

	return placed, left
}

func byPool(workers []Worker) map[fleet.PoolName]*poolState {
	pools := map[fleet.PoolName]*poolState{}
	for _, w := range workers {
		s := pools[w.Pool]
		if s == nil {
			s = &poolState{reserved: map[fleet.HostName]bool{}}
			pools[w.Pool] = s
		}
		s.workers = append(s.workers, &w)
		s.capacity, s.used = s.capacity.Plus(w.Capacity), s.used.Plus(w.Used)
	}

	return pools
}

// InOrder returns the jobs in the order in which they are placed: urgent ones first, and within that the oldest.
func InOrder(jobs []Job) []Job {
	ordered := slices.Clone(jobs)
	slices.SortStableFunc(ordered, func(a, b Job) int {
		if a.Urgent != b.Urgent {
			return cmp.Compare(btoi(b.Urgent), btoi(a.Urgent))
		}

		return cmp.Or(a.Submitted.Compare(b.Submitted), cmp.Compare(a.ID, b.ID))
	})

	return ordered
}

func btoi(b bool) int {
	if b {
		return 1
	}

	return 0
}

func possible(j Job, hosts []fleet.Resources) Reason {
	if len(hosts) == 0 {
		return NoPool
	}
	if !slices.ContainsFunc(hosts, func(c fleet.Resources) bool { return j.Need.FitsIn(c) }) {
		return NeverFits
	}

	return ""
}

// choose returns the worker with the least room left after the job; accelerators are left to those who ask for them.
func choose(j Job, s *poolState, p Policy) *Worker {
	if s == nil || !j.Urgent && !withinReserve(j, s, p) {
		return nil
	}
	var best *Worker
	lowest := 0.0
	for _, w := range s.workers {
		if !j.Need.FitsIn(w.Free()) || s.reserved[w.Name] && !j.Urgent {
			continue
		}
		if w.Quarantined && (!w.Probing || !j.Idempotent) {
			continue
		}
		score := 1 - w.Used.Plus(j.Need).DominantShare(w.Capacity)
		if j.Need.Accelerators == 0 && w.Capacity.Accelerators > 0 {
			score++
		}
		if best == nil || score < lowest {
			best, lowest = w, score
		}
	}

	return best
}

// withinReserve reports whether the pool keeps its reserve for urgent jobs after this one, in each resource that the
// job needs; of a resource with few units, such as accelerators, the reserve may be none.
func withinReserve(j Job, s *poolState, p Policy) bool {
	after := s.used.Plus(j.Need)
	keeps := func(need, after, capacity int64) bool {
		return need == 0 || after <= capacity-int64(p.UrgentReserve*float64(capacity))
	}

	return keeps(j.Need.Slots, after.Slots, s.capacity.Slots) &&
		keeps(int64(j.Need.Cores), int64(after.Cores), int64(s.capacity.Cores)) &&
		keeps(int64(j.Need.Memory), int64(after.Memory), int64(s.capacity.Memory)) &&
		keeps(j.Need.Accelerators, after.Accelerators, s.capacity.Accelerators)
}

// keepRoom reserves the host with the most room for a job that waits, so that smaller jobs don't starve it.
func keepRoom(j Job, s *poolState, p Policy) {
	if s == nil || len(s.reserved) >= p.MaxReservations {
		return
	}
	var best *Worker
	for _, w := range s.workers {
		if w.Quarantined || s.reserved[w.Name] || !j.Need.FitsIn(w.Capacity) {
			continue
		}
		if best == nil || w.Used.DominantShare(w.Capacity) < best.Used.DominantShare(best.Capacity) {
			best = w
		}
	}
	// A job that found a host with room was held back by the urgent reserve, which no host of its own would help.
	if best != nil && !j.Need.FitsIn(best.Free()) {
		s.reserved[best.Name] = true
	}
}
