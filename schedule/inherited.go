package schedule

import (
	"cmp"
	"slices"
	"time"

	"lycheehook.example/lycheehook/ledger"
)

// inheritedWindow is the age up to which jobs in the ledger tell a new owner of the demand; the balancer forgets older arrivals.
const inheritedWindow = 3 * time.Second

// recordInherited tells the balancer of the jobs that arrived before this owner could size them, as under a previous owner, so that the
// first plan of the pools expects what the last one did.
func (s *Scheduler) recordInherited(now time.Time) {
	var recent []*ledger.Entry
	for id, e := range s.entries {
		if age := now.Sub(e.Job.Submitted); age < 0 || age >= inheritedWindow || e.Job.Cancelled {
			continue
		}
		if j, open := s.jobs[id]; !open || j.knownSince.Before(s.firstListed) {
			recent = append(recent, e)
		}
	}
	slices.SortFunc(recent, func(a, b *ledger.Entry) int {
		return cmp.Or(a.Job.Submitted.Compare(b.Job.Submitted), cmp.Compare(a.Job.ID, b.Job.ID))
	})
	for _, e := range recent {
		s.recordArrival(&job{entry: e}, e.Job.Submitted)
	}
}
