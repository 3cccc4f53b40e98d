package schedule

import (
	"cmp"
	"slices"
	"time"

	"lycheehook.example/lycheehook/balance"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/session"
	"lycheehook.example/lycheehook/work"
)

// moveDecisionDelay is the time from a job's arrival until a move for it begins.
const moveDecisionDelay = 500 * time.Millisecond

// planInterval is the least time between two plans of the pool sizes.
const planInterval = 250 * time.Millisecond

// planMoves starts to drain the hosts that will move to another pool.
func (s *Scheduler) planMoves(now time.Time) {
	if now.Sub(s.plannedAt) < planInterval || now.Before(s.movesAfter) || len(s.pools) == 0 {
		return
	}
	if s.plannedAt.IsZero() {
		s.recordInherited(now)
	}
	s.plannedAt = now
	standby, spares := s.standby(now)
	for _, m := range s.balancer.Plan(s.poolStates(now), standby, spares, now) {
		h := s.hosts[m.Host]
		if h.refusedPools[m.To] || now.Before(h.blockedUntil) {
			continue
		}
		s.drain(h, hostPlan{pool: m.To, reason: m.Reason}, now)
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
		if name != "" && h.Pool == name && s.available(h, now) && !s.evacuation.Evacuated(h.Zone) {
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
	l := s.workload(now)
	var list []balance.Pool
	for _, p := range s.pools {
		if p.Standby {
			continue
		}
		replaced := false
		st := balance.Pool{Name: p.Name, MinHosts: s.minHosts(p.Name), Running: l.running[p.Name], Waiting: l.waiting[p.Name], Overdue: l.overdue[p.Name]}
		for _, h := range s.hostList {
			switch {
			case s.evacuation.Evacuated(h.Zone):
			case h.phase != inService && h.plan.pool == p.Name:
				st.Hosts++
				st.Arrivals = append(st.Arrivals, s.hostArrival(h, now))
			case h.Pool != p.Name:
			case h.phase == inService && h.State == work.HostUp:
				switch {
				case !s.reachable(h):
					continue
				case !replaced && s.waitsForRoom(h, now):
					// Like one in maintenance, so that the pool gets another host, to which its tasks can move.
					replaced = true
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
			case h.phase == inService && h.State == work.HostDown && now.Sub(s.firstListed) < s.bounds.MoveTime:
				// Another host would take as long to come into service as this one may take to start.
				st.Hosts++
				st.Arrivals = append(st.Arrivals, s.bounds.MoveTime-now.Sub(s.firstListed))
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

// waitsForRoom reports whether maintenance of a host is due and its lasting tasks find no room elsewhere.
func (s *Scheduler) waitsForRoom(h *host, now time.Time) bool {
	return now.Before(h.blockedUntil) && s.dueHosts[h.Host]
}

// reachable reports whether a host's worker, if it has one, answers polls and is not leaving.
func (s *Scheduler) reachable(h *host) bool {
	w, ok := s.workers[h.Worker]

	return !ok || w.Missed() < session.MaxMissed && !w.reg.Draining
}

// idle reports whether a host's worker is up and has no runs.
func (s *Scheduler) idle(h *host) bool {
	w, ok := s.workers[h.Worker]

	return ok && w.present() && w.TokenSeen() && w.Missed() == 0 && len(w.runs) == 0 && !w.reg.Draining
}

// runsOnlyBatch reports whether a host's worker is up and has no lasting tasks, so that all its runs end by themselves.
func (s *Scheduler) runsOnlyBatch(h *host) bool {
	w, ok := s.workers[h.Worker]

	return ok && w.present() && w.TokenSeen() && w.Missed() == 0 && w.lastingTasks == 0 && !w.reg.Draining
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

// minHosts returns how many hosts the lasting tasks of a pool need that fit on some host now, given how many of a step may
// share a worker.
func (s *Scheduler) minHosts(p fleet.PoolName) int {
	hosts := 1
	for _, j := range s.jobs {
		if s.queueOf(&j.entry.Job).Pool != p {
			continue
		}
		for _, step := range j.entry.Job.Steps {
			if step.Lasting && s.fitsSomeHost(p, &step) {
				per := cmp.Or(step.MaxPerWorker, 2)
				hosts = max(hosts, (step.Count+per-1)/per)
			}
		}
	}

	return hosts
}

// recordArrival reports the work of a job to the balancer.
func (s *Scheduler) recordArrival(j *job, at time.Time) {
	q := s.queueOf(&j.entry.Job)
	size := s.hostSize(q.Pool)
	var a balance.Arrival
	for _, step := range j.entry.Job.Steps {
		if !step.Lasting && size.Cores > 0 {
			a.HostSeconds += step.Reserved().Times(int64(step.Count)).DominantShare(size) * step.Estimate.Seconds()
			a.Length = max(a.Length, step.Estimate)
		}
	}
	if a.HostSeconds == 0 {
		return
	}
	total, _ := criticalPath(j, 0)
	a.Slack = objective(q, total) - total
	s.balancer.RecordArrival(q.Pool, a, at)
}
