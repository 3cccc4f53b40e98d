package schedule

import (
	"time"

	"lycheehook.example/lycheehook/work"
)

// listedUp reports whether the cloud listed a worker on a host that is up, in a list that was requested after the worker fell
// silent.
func (s *Scheduler) listedUp(w *worker) bool {
	h, ok := s.hosts[w.host]

	return ok && h.State == work.HostUp && h.Worker == w.id && s.listAsked.After(w.SilentSince())
}

// endLostWorkers ends the runs of silent workers that the cloud's list, requested at asked, no longer shows.
func (s *Scheduler) endLostWorkers(asked, now time.Time) {
	listed := make(map[work.WorkerID]bool, len(s.hostList))
	for _, h := range s.hostList {
		listed[h.Worker] = true
	}
	for _, w := range s.workers {
		w.delisted = w.host != "" && !listed[w.id] && w.knownBefore(asked)
		if listed[w.id] || !w.lostBefore(asked) {
			continue
		}
		if !w.ended {
			s.crashed(w, "its host is down", now)
		}
		s.workerGone(w.id, asked, now)
	}
}

// knownBefore reports whether the worker's incarnation was known at t, so that a list requested then may say that it has ended.
func (w *worker) knownBefore(t time.Time) bool {
	return !w.knownSince.After(t)
}

// lostBefore reports whether a worker with runs has not answered since some time before t, or has never answered this owner
// and is not registered.
func (w *worker) lostBefore(t time.Time) bool {
	switch {
	case len(w.runs) == 0:
		return false
	case w.Missed() > 0:
		return w.SilentSince().Before(t) && !w.HeardSince(t)
	default:
		return w.AnsweredAt().IsZero() && !w.present()
	}
}

// HostsSilent reports whether a worker with runs does not answer, so that the cloud's list should be read often.
func (s *Scheduler) HostsSilent() bool {
	for _, w := range s.workers {
		if w.Missed() > 0 && len(w.runs) > 0 {
			return true
		}
	}

	return false
}
