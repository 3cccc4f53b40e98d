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
	// usageReportName is the name of the usage report in heartbeats.
	usageReportName = "Usage"
	// usageTTL is how long a received report is used.
	usageTTL = 10 * time.Second
)

// usageExchange exchanges the running and waiting work of each team with the other entry hosts.
type usageExchange struct {
	mu       sync.Mutex
	received map[fleet.EntryName]receivedUsage
}

// receivedUsage is a report with the time at which it was received.
type receivedUsage struct {
	report share.Report
	at     time.Time
}

// newUsageExchange adds the admission controller's report to heartbeats and passes the reports of the other entry hosts to the controller.
func newUsageExchange(self fleet.EntryName, m *peer.Mesh, g *admission.Controller) *usageExchange {
	u := &usageExchange{received: map[fleet.EntryName]receivedUsage{}}
	peer.Report(m, usageReportName, func() share.Report { return g.Report(self) })
	peer.OnReport(m, usageReportName, func(from peer.Peer, r share.Report) { u.receive(from.Name, r, time.Now()) })
	g.Reports = func() []share.Report { return u.reports(time.Now()) }

	return u
}

func (u *usageExchange) receive(from fleet.EntryName, r share.Report, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	r.Entry = from
	u.received[from] = receivedUsage{report: r, at: now}
}

// reports returns the last report of each other entry host, with its current age.
func (u *usageExchange) reports(now time.Time) []share.Report {
	u.mu.Lock()
	defer u.mu.Unlock()

	maps.DeleteFunc(u.received, func(_ fleet.EntryName, h receivedUsage) bool { return now.Sub(h.at) > usageTTL })
	reports := make([]share.Report, 0, len(u.received))
	for _, name := range slices.Sorted(maps.Keys(u.received)) {
		r := u.received[name].report
		r.Age += now.Sub(u.received[name].at)
		reports = append(reports, r)
	}

	return reports
}
