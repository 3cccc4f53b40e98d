package schedule

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/work"
)

// SetEvacuations applies what is known of the evacuated availability zones. Tasks are placed only while that is recent.
func (s *Scheduler) SetEvacuations(e work.Evacuations, now time.Time) {
	c := s.evacuation.Update(e, now)
	for _, w := range s.workers {
		before := w.evacuated
		w.evacuated = s.evacuation.Evacuated(w.reg.Zone)
		switch {
		case w.evacuated && !before:
			w.fenceStarts()
		case before && !w.evacuated:
			for _, r := range w.lastingRuns() {
				r.dropDestination()
			}
		}
	}
	for _, z := range c.Evacuated {
		s.observe(Decision{Kind: DecidedZoneEvacuated, Zone: z, Reason: s.zoneLoad(z)})
	}
	for _, z := range c.Returned {
		s.observe(Decision{Kind: DecidedZoneReturned, Zone: z, Reason: s.zoneLoad(z)})
	}
	if len(c.Evacuated)+len(c.Returned) > 0 {
		s.dirty = true
	}
	s.checkZones(now)
}

// fenceStarts raises the worker's token if starts are under way, which then have no effect once the worker has answered a poll.
func (w *worker) fenceStarts() {
	for _, r := range w.runs {
		if r.phase == sent {
			w.RaiseToken()
			return
		}
	}
}

// zoneLoad returns what a zone has, for the log.
func (s *Scheduler) zoneLoad(z fleet.ZoneName) string {
	workers, runs, lastingTasks := 0, 0, 0
	for _, w := range s.workers {
		if w.reg.Zone == z && w.present() {
			workers++
			runs += len(w.runs)
			lastingTasks += w.lastingTasks
		}
	}

	return fmt.Sprintf("%d workers with %d runs, of which %d of lasting tasks", workers, runs, lastingTasks)
}

// checkZones observes evacuations of unknown zones and of all zones.
func (s *Scheduler) checkZones(now time.Time) {
	if !s.evacuation.Any() {
		return
	}
	withWorkers, known := map[fleet.ZoneName]bool{}, map[fleet.ZoneName]bool{}
	for _, w := range s.workers {
		if w.present() && w.reg.Zone != "" {
			withWorkers[w.reg.Zone], known[w.reg.Zone] = true, true
		}
	}
	for _, h := range s.hostList {
		known[h.Zone] = true
	}
	for _, z := range s.evacuation.ReportUnknown(known, now) {
		s.observe(Decision{Kind: DecidedZoneUnknown, Zone: z, Reason: "no worker or host is in the evacuated zone"})
	}
	if s.evacuation.ReportNoneLeft(withWorkers, now) {
		s.observe(Decision{Kind: DecidedNoZoneLeft, Reason: "all zones with workers are evacuated, so that jobs wait"})
	}
}

// mayStartIn reports whether starts may be sent to workers of a zone.
func (s *Scheduler) mayStartIn(z fleet.ZoneName, now time.Time) bool {
	return s.evacuation.Current(now) && !s.evacuation.Evacuated(z)
}

// evacuatedRuns returns the runs of lasting tasks that are to leave evacuated zones. Those of hosts that drain leave with them.
func (s *Scheduler) evacuatedRuns() []*run {
	if !s.evacuation.Any() {
		return nil
	}
	leaving := map[work.WorkerID]bool{}
	for _, h := range s.hostList {
		leaving[h.Worker] = h.phase == draining
	}
	var workers []*worker
	for _, w := range s.workers {
		if w.evacuated && !leaving[w.id] {
			workers = append(workers, w)
		}
	}
	slices.SortFunc(workers, func(a, b *worker) int { return cmp.Compare(a.id, b.id) })
	var runs []*run
	for _, w := range workers {
		runs = append(runs, w.lastingRuns()...)
	}

	return runs
}
