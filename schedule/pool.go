package schedule

import (
	"cmp"
	"slices"
	"time"

	"lycheehook.example/lycheehook/balance"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/work"
)

// planLead is what passes from an arrival until a move for it begins.
const planLead = 500 * time.Millisecond

// planInterval is the time between two plans for the pools.
const planInterval = 250 * time.Millisecond

// planMoves begins to empty the hosts that are to change their pool.
func (s *Scheduler) planMoves(now time.Time) {
	if now.Sub(s.planned) < planInterval || len(s.pools) == 0 {
		return
	}
	s.planned = now
	standby, spares := s.standby(now)
	for _, m := range s.balancer.Plan(s.poolStates(now), standby, spares, now) {
		h := s.hosts[m.Host]
		if h.refused[m.To] {
			continue
		}
		s.empty(h, hostPlan{pool: m.To}, now)
	}
}

// standby returns the pool whose hosts are off, with those that can be brought in.
func (s *Scheduler) standby(now time.Time) (fleet.PoolName, []fleet.HostName) {
	var name fleet.PoolName
	for _, p := range s.pools {
		if p.Standby && (name == "" || p.Name < name) {
			name = p.Name
		}
	}
	var spares []fleet.HostName
	for _, h := range s.hostList {
		if name != "" && h.Pool == name && s.free(h, now) {
			spares = append(spares, h.Host)
		}
	}
	// Hosts that had their maintenance, or are due for none, go first.
	sortBy(spares, func(h fleet.HostName) float64 {
		if s.dueHosts[h] {
			return 1
		}

		return 0
	})

	return name, spares
}

// poolStates returns what the balancer is to know of each pool that is on.
func (s *Scheduler) poolStates(now time.Time) []balance.Pool {
	demand, overdue := s.demand()
	var list []balance.Pool
	for _, p := range s.pools {
		if p.Standby {
			continue
		}
		st := balance.Pool{Name: p.Name, Demand: demand[p.Name], Overdue: overdue[p.Name], Least: s.least(p.Name)}
		for _, h := range s.hostList {
			switch {
			case h.phase != serving && h.plan.pool == p.Name:
				st.Hosts++
			case h.Pool != p.Name:
			case h.phase == serving && h.State == work.HostUp:
				if !s.sound(h) {
					continue
				}
				st.Hosts++
				switch {
				case !s.free(h, now):
				case s.idle(h):
					st.Idle = append(st.Idle, h.Host)
				case s.passing(h):
					st.Busy = append(st.Busy, h.Host)
				}
			case h.plan.wave != 0:
				// A host that is maintained comes back to its pool.
			}
		}
		sortBy(st.Busy, s.load)
		list = append(list, st)
	}
	slices.SortFunc(list, func(a, b balance.Pool) int { return cmp.Compare(a.Name, b.Name) })

	return list
}

// sound reports whether a host's worker can be counted on.
func (s *Scheduler) sound(h *host) bool {
	w, ok := s.workers[h.Worker]

	return !ok || w.unheard < silentAfter && !w.reg.Draining
}

// idle reports whether nothing runs on a host that is up.
func (s *Scheduler) idle(h *host) bool {
	w, ok := s.workers[h.Worker]

	return ok && w.present && w.met && w.unheard == 0 && len(w.runs) == 0 && !w.reg.Draining
}

// passing reports whether all that runs on a host that is up ends by itself soon.
func (s *Scheduler) passing(h *host) bool {
	w, ok := s.workers[h.Worker]

	return ok && w.present && w.met && w.unheard == 0 && w.lasting == 0 && !w.reg.Draining
}

// load returns the part of a host that is in use.
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

// demand returns the work of each pool that runs or may start now, and apart from it what waits and is overdue, in hosts.
func (s *Scheduler) demand() (all, overdueOnly map[fleet.PoolName]float64) {
	sum, old := map[fleet.PoolName]fleet.Resources{}, map[fleet.PoolName]fleet.Resources{}
	for _, w := range s.workers {
		if len(w.runs) > 0 {
			sum[w.reg.Pool] = sum[w.reg.Pool].Plus(w.used)
		}
	}
	for _, r := range s.waiting {
		step := r.job.entry.Job.Steps[r.step.Step]
		to := sum
		if r.rank.standing == overdue {
			to = old
		}
		to[r.queue.Pool] = to[r.queue.Pool].Plus(step.Reserved().Times(int64(len(r.tasks))))
	}

	return s.inHosts(sum), s.inHosts(old)
}

// inHosts returns resources of pools in hosts.
func (s *Scheduler) inHosts(sum map[fleet.PoolName]fleet.Resources) map[fleet.PoolName]float64 {
	hosts := make(map[fleet.PoolName]float64, len(sum))
	for p, r := range sum {
		hosts[p] = r.DominantShare(s.hostSize(p))
	}

	return hosts
}

// hostSize returns the capacity of a typical host of a pool.
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

// least returns how many hosts the lasting tasks of a pool need for their spread.
func (s *Scheduler) least(p fleet.PoolName) int {
	least := 1
	for _, j := range s.jobs {
		if s.queueOf(&j.entry.Job).Pool != p {
			continue
		}
		for _, step := range j.entry.Job.Steps {
			if step.Lasting {
				per := cmp.Or(step.MaxPerWorker, 2)
				least = max(least, (step.Count+per-1)/per)
			}
		}
	}

	return least
}

// arrive tells the balancer of a new job's work.
func (s *Scheduler) arrive(j *job, now time.Time) {
	q := s.queueOf(&j.entry.Job)
	size := s.hostSize(q.Pool)
	var hostSeconds float64
	for _, step := range j.entry.Job.Steps {
		if !step.Lasting && size.Cores > 0 {
			hostSeconds += step.Reserved().Times(int64(step.Count)).DominantShare(size) * step.Estimate.Seconds()
		}
	}
	s.balancer.Arrive(q.Pool, hostSeconds, now)
}
