package entry

import (
	"maps"
	"slices"
	"sync"
	"time"

	"lycheehook.example/lycheehook/admission"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/peer"
	"lycheehook.example/lycheehook/share"
)

const (
	// usageReport names the report of the teams' work in heartbeats.
	usageReport = "Usage"
	// usageKept is how long the report of an entry host counts after it came.
	usageKept = 10 * time.Second
)

// usage exchanges with the other entry hosts what each team has running and waiting.
type usage struct {
	mu    sync.Mutex
	heard map[fleet.EntryName]heardUsage
}

// heardUsage is a report with the moment at which it came.
type heardUsage struct {
	report share.Report
	at     time.Time
}

// newUsage adds the gate's report to heartbeats and gives it those of the others.
func newUsage(self fleet.EntryName, m *peer.Mesh, g *admission.Gate) *usage {
	u := &usage{heard: map[fleet.EntryName]heardUsage{}}
	peer.Report(m, usageReport, func() share.Report { return g.Report(self) })
	peer.OnReport(m, usageReport, func(from peer.Peer, r share.Report) { u.hear(from.Name, r, time.Now()) })
	g.Reports = func() []share.Report { return u.reports(time.Now()) }

	return u
}

func (u *usage) hear(from fleet.EntryName, r share.Report, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	r.Entry = from
	u.heard[from] = heardUsage{report: r, at: now}
}

// reports returns what the others last said, with its age now.
func (u *usage) reports(now time.Time) []share.Report {
	u.mu.Lock()
	defer u.mu.Unlock()

	maps.DeleteFunc(u.heard, func(_ fleet.EntryName, h heardUsage) bool { return now.Sub(h.at) > usageKept })
	reports := make([]share.Report, 0, len(u.heard))
	for _, name := range slices.Sorted(maps.Keys(u.heard)) {
		r := u.heard[name].report
		r.Age += now.Sub(u.heard[name].at)
		reports = append(reports, r)
	}

	return reports
}
