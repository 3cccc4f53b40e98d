package placement

import (
	"cmp"
	"slices"

	"lycheehook.example/lycheehook/fleet"
)

// Worker is a host that runs jobs, with the resources that its tasks use.
type Worker struct {
	fleet.Host
	Used fleet.Resources
	// Probing allows one idempotent job on a quarantined worker.
	Quarantined, Probing bool
}

// Free returns the resources that the worker has left.
func (w Worker) Free() fleet.Resources {
	return w.Capacity.Minus(w.Used)
}

// Job is a job that waits for a worker in a pool, with the resources to reserve for it.
type Job struct {
	fleet.Job
	Pool fleet.PoolName
	Need fleet.Resources
}

// Assignment assigns a job to a worker.
type Assignment struct {
	Job  fleet.JobID
	Host fleet.HostName
	Need fleet.Resources
}

// Reason says why a job was not placed.
type Reason string

// The reasons not to place a job.
const (
	// NeverFits means that the job fits on no host of its pool and can never run.
	NeverFits Reason = "NeverFits"
	// NoPool means that the pool has no hosts, which may change.
	NoPool Reason = "NoPool"
	// NoRoom means that no worker can take the job now.
	NoRoom Reason = "NoRoom"
	// TeamLimit means that the running jobs of the team would exceed its limit.
	TeamLimit Reason = "TeamLimit"
)

// Unplaced is a job that was not placed, with the reason.
type Unplaced struct {
	Job    fleet.JobID
	Reason Reason
}

// Policy is the policy of placement.
type Policy struct {
	// UrgentReserve is the fraction of each pool that only urgent jobs may use.
	UrgentReserve float64
	// MaxReservations bounds the hosts of a pool that are reserved for waiting jobs.
	MaxReservations int
}

// DefaultPolicy returns a policy that reserves a tenth of each pool for urgent jobs.
func DefaultPolicy() Policy {
	return Policy{UrgentReserve: 0.1, MaxReservations: 2}
}

// poolState is the state of one pool in one call of Place.
type poolState struct {
	workers  []*Worker
	capacity fleet.Resources
	used     fleet.Resources
	reserved map[fleet.HostName]bool
}

// Place returns an assignment for each job that fits now. The hosts must include those out of service, because only a
// job that fits on none of them is reported as NeverFits.
func Place(jobs []Job, hosts []fleet.Host, workers []Worker, p Policy) ([]Assignment, []Unplaced) {
	pools := groupByPool(workers)
	capacities := map[fleet.PoolName][]fleet.Resources{}
	for _, h := range hosts {
		capacities[h.Pool] = append(capacities[h.Pool], h.Capacity)
	}

	var placed []Assignment
	var left []Unplaced
	for _, j := range SortByPriority(jobs) {
		if reason := infeasibility(j, capacities[j.Pool]); reason != "" {
			left = append(left, Unplaced{j.ID, reason})
			continue
		}
		w := chooseWorker(j, pools[j.Pool], p)
		if w == nil {
			left = append(left, Unplaced{j.ID, NoRoom})
			reserveHost(j, pools[j.Pool], p)

			continue
		}
		w.Used = w.Used.Plus(j.Need)
		w.Probing = false
		pools[j.Pool].used = pools[j.Pool].used.Plus(j.Need)
		placed = append(placed, Assignment{j.ID, w.Name, j.Need})
	}

	return placed, left
}

func groupByPool(workers []Worker) map[fleet.PoolName]*poolState {
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

// SortByPriority returns the jobs in the order of placement: urgent jobs first, and then by time of submission.
func SortByPriority(jobs []Job) []Job {
	ordered := slices.Clone(jobs)
	slices.SortStableFunc(ordered, func(a, b Job) int {
		if a.Urgent != b.Urgent {
			return cmp.Compare(boolToInt(b.Urgent), boolToInt(a.Urgent))
		}

		return cmp.Or(a.Submitted.Compare(b.Submitted), cmp.Compare(a.ID, b.ID))
	})

	return ordered
}

func boolToInt(b bool) int {
	if b {
		return 1
	}

	return 0
}

func infeasibility(j Job, hosts []fleet.Resources) Reason {
	if len(hosts) == 0 {
		return NoPool
	}
	if !slices.ContainsFunc(hosts, func(c fleet.Resources) bool { return j.Need.FitsIn(c) }) {
		return NeverFits
	}

	return ""
}

// chooseWorker returns the worker with the least room left after the job (best fit), or nil if none can take it. Workers
// with accelerators are the last choice for jobs that need none.
func chooseWorker(j Job, s *poolState, p Policy) *Worker {
	if s == nil || !j.Urgent && !leavesUrgentReserve(j, s, p) {
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

// leavesUrgentReserve reports whether the pool keeps its reserve for urgent jobs after this one, in each resource that
// the job needs. The reserve is rounded down and may be zero for a resource with few units, such as accelerators.
func leavesUrgentReserve(j Job, s *poolState, p Policy) bool {
	after := s.used.Plus(j.Need)
	keeps := func(need, after, capacity int64) bool {
		return need == 0 || after <= capacity-int64(p.UrgentReserve*float64(capacity))
	}

	return keeps(j.Need.Slots, after.Slots, s.capacity.Slots) &&
		keeps(int64(j.Need.Cores), int64(after.Cores), int64(s.capacity.Cores)) &&
		keeps(int64(j.Need.Memory), int64(after.Memory), int64(s.capacity.Memory)) &&
		keeps(j.Need.Accelerators, after.Accelerators, s.capacity.Accelerators)
}

// reserveHost reserves the least used host that is large enough for a waiting job, so that smaller jobs don't starve it.
func reserveHost(j Job, s *poolState, p Policy) {
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
	// A job that fits on the host now waits because of the urgent reserve, and a reserved host would not help it.
	if best != nil && !j.Need.FitsIn(best.Free()) {
		s.reserved[best.Name] = true
	}
}
