package schedule

import (
	"cmp"
	"slices"
	"time"

	"lycheehook.example/lycheehook/balance"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/work"
)

// moveDecisionDelay is the time from a job's arrival until a move for it begins.
const moveDecisionDelay = 500 * time.Millisecond

// planInterval is the least time between two plans of the pool sizes.
const planInterval = 250 * time.Millisecond

// planMoves starts to drain the hosts that will move to another pool.
func (s *Scheduler) planMoves(now time.Time) {
	if now.Sub(s.plannedAt) < planInterval || len(s.pools) == 0 {
		return
	}
	s.plannedAt = now
	standby, spares := s.standby(now)
	for _, m := range s.balancer.Plan(s.poolStates(now), standby, spares, now) {
		h := s.hosts[m.Host]
		if h.refusedPools[m.To] {
			continue
		}
		s.drain(h, hostPlan{pool: m.To}, now)
	}
}

// standby returns the standby pool, whose hosts are off, and its hosts that may be moved out.
func (s *Scheduler) standby(now time.Time) (fleet.PoolName, []fleet.HostName) {
	var name fleet.PoolName
	for _, p := range s.pools {
		if p.Standby && (name == "" || p.Name < name) {
			name = p.Name
		}
	}
	var spares []fleet.HostName
	for _, h := range s.hostList {
		if name != "" && h.Pool == name && s.available(h, now) {
			spares = append(spares, h.Host)
		}
	}
	// Hosts without pending maintenance come first.
	sortBy(spares, func(h fleet.HostName) float64 {
		if s.dueHosts[h] {
			return 1
		}

		return 0
	})

	return name, spares
}

// poolStates returns the balancer's input for each pool other than standby.
func (s *Scheduler) poolStates(now time.Time) []balance.Pool {
	demand, overdue := s.demand()
	var list []balance.Pool
	for _, p := range s.pools {
		if p.Standby {
			continue
		}
		st := balance.Pool{Name: p.Name, Demand: demand[p.Name], Overdue: overdue[p.Name], MinHosts: s.minHosts(p.Name)}
		for _, h := range s.hostList {
			switch {
			case h.phase != inService && h.plan.pool == p.Name:
				st.Hosts++
			case h.Pool != p.Name:
			case h.phase == inService && h.State == work.HostUp:
				if !s.reachable(h) {
					continue
				}
				st.Hosts++
				switch {
				case !s.available(h, now):
				case s.idle(h):
					st.Idle = append(st.Idle, h.Host)
				case s.runsOnlyBatch(h):
					st.Busy = append(st.Busy, h.Host)
				}
			case h.plan.wave != 0:
				// A host in maintenance is not counted, although it returns to its pool.
			}
		}
		sortBy(st.Busy, s.load)
		list = append(list, st)
	}
	slices.SortFunc(list, func(a, b balance.Pool) int { return cmp.Compare(a.Name, b.Name) })

	return list
}

// reachable reports whether a host's worker, if it has one, answers polls and is not leaving.
func (s *Scheduler) reachable(h *host) bool {
	w, ok := s.workers[h.Worker]

	return !ok || w.missedPolls < maxMissedPolls && !w.reg.Draining
}

// idle reports whether a host's worker is up and has no runs.
func (s *Scheduler) idle(h *host) bool {
	w, ok := s.workers[h.Worker]

	return ok && w.present && w.tokenAcked && w.missedPolls == 0 && len(w.runs) == 0 && !w.reg.Draining
}

// runsOnlyBatch reports whether a host's worker is up and has no lasting tasks, so that all its runs end by themselves.
func (s *Scheduler) runsOnlyBatch(h *host) bool {
	w, ok := s.workers[h.Worker]

	return ok && w.present && w.tokenAcked && w.missedPolls == 0 && w.lastingTasks == 0 && !w.reg.Draining
}

// load returns the dominant share of a host's capacity that is in use.
func (s *Scheduler) load(name fleet.HostName) float64 {
	h, ok := s.hosts[name]
	if !ok {
		return 0
	}
	w, ok := s.workers[h.Worker]
	if !ok {
		return 0
	}

	return w.used.DominantShare(w.reg.Capacity)
}

// demand returns the work of each pool that runs or waits without being overdue, and separately the work that waits and
// is overdue, in hosts.
func (s *Scheduler) demand() (all, overdueOnly map[fleet.PoolName]float64) {
	sum, overdueSum := map[fleet.PoolName]fleet.Resources{}, map[fleet.PoolName]fleet.Resources{}
	for _, w := range s.workers {
		if len(w.runs) > 0 {
			sum[w.reg.Pool] = sum[w.reg.Pool].Plus(w.used)
		}
	}
	for _, r := range s.unplaced {
		step := r.job.entry.Job.Steps[r.step.Step]
		to := sum
		if r.rank.urgency == overdue {
			to = overdueSum
		}
		to[r.queue.Pool] = to[r.queue.Pool].Plus(step.Reserved().Times(int64(len(r.tasks))))
	}

	return s.inHosts(sum), s.inHosts(overdueSum)
}

// inHosts converts the resources of each pool to a number of its hosts.
func (s *Scheduler) inHosts(sum map[fleet.PoolName]fleet.Resources) map[fleet.PoolName]float64 {
	hosts := make(map[fleet.PoolName]float64, len(sum))
	for p, r := range sum {
		hosts[p] = r.DominantShare(s.hostSize(p))
	}

	return hosts
}

// hostSize returns the capacity of a pool's hosts, taken from its first host, or from some other pool's host if it has
// none.
func (s *Scheduler) hostSize(p fleet.PoolName) fleet.Resources {
	var other fleet.Resources
	for _, h := range s.hostList {
		if h.Pool == p {
			return h.Capacity
		}
		other = h.Capacity
	}

	return other
}

// minHosts returns how many hosts the lasting tasks of a pool need, given how many of a step may share a worker.
func (s *Scheduler) minHosts(p fleet.PoolName) int {
	hosts := 1
	for _, j := range s.jobs {
		if s.queueOf(&j.entry.Job).Pool != p {
			continue
		}
		for _, step := range j.entry.Job.Steps {
			if step.Lasting {
				per := cmp.Or(step.MaxPerWorker, 2)
				hosts = max(hosts, (step.Count+per-1)/per)
			}
		}
	}

	return hosts
}

// recordArrival reports the work of a new job to the balancer.
func (s *Scheduler) recordArrival(j *job, now time.Time) {
	q := s.queueOf(&j.entry.Job)
	size := s.hostSize(q.Pool)
	var hostSeconds float64
	for _, step := range j.entry.Job.Steps {
		if !step.Lasting && size.Cores > 0 {
			hostSeconds += step.Reserved().Times(int64(step.Count)).DominantShare(size) * step.Estimate.Seconds()
		}
	}
	s.balancer.RecordArrival(q.Pool, hostSeconds, now)
}
