package schedule

import (
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/work"
)

// cancelOversized ends the stored runs that no longer fit because their workers have shrunk since the assignment. It goes
// before all starts of the batch, so that no member of a gang is started whose gang has lost another member.
func (s *Scheduler) cancelOversized(starts []Start) {
	free := map[*worker]fleet.Resources{}
	for _, st := range starts {
		r := st.run
		if r == nil || r.worker.runs[r.attempt] != r || r.stopRequested || r.worker.used.FitsIn(r.worker.reg.Capacity) {
			continue
		}
		left, ok := free[r.worker]
		if !ok {
			left = r.worker.unassignedRoom()
		}
		if r.reserved.FitsIn(left) {
			left = left.Minus(r.reserved)
		} else {
			s.endRun(r, work.OutcomeNotStarted, "", "capacity of the worker has shrunk")
		}
		free[r.worker] = left
	}
}

// unassignedRoom returns the room that is left beside the runs that may have begun, which is negative if they exceed the
// worker's capacity.
func (w *worker) unassignedRoom() fleet.Resources {
	free := w.reg.Capacity
	for _, r := range w.runs {
		if r.phase != assigned {
			free = free.Minus(r.reserved)
		}
	}

	return free
}
