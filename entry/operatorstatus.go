package entry

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/emicklei/go-restful/v3"

	"lycheehook.example/lycheehook/audit"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/share"
)

// statusAnswer is what this entry host knows.
type statusAnswer struct {
	Name     fleet.EntryName
	Region   fleet.RegionName
	Zone     fleet.ZoneName
	Revision uint64
	// Fresh says whether the revision is known to be in force, so that keyed work is taken.
	Fresh    bool
	Stopping bool
	// Entries tells which revision is in force on which entry host, this one first.
	Entries []entryStatus
	Pools   []poolStatus
	Teams   []teamStatus
	Queues  []queueStatus
	Audit   audit.Counts
}

type poolStatus struct {
	Name     fleet.PoolName
	Spare    bool
	MinHosts int
	Queues   []fleet.QueueName
	// Slots is what the pool's endpoints have that may get new work, and Waiting the requests that wait here.
	Slots   int64
	Waiting int
}

type teamStatus struct {
	Name       fleet.TeamName
	Customer   fleet.CustomerName
	Plan       fleet.PlanName
	Share      int64
	UpperLimit fleet.Resources
	Keys       int
	// Running and Waiting are what the team has running and waiting on this entry host.
	Running fleet.Resources `json:",omitzero"`
	Waiting fleet.Resources `json:",omitzero"`
}

// loadView tells of the work on this entry host.
type loadView struct {
	teams   func() share.Report
	waiting func(fleet.PoolName) int
	slots   func(fleet.PoolName) int64
}

type queueStatus struct {
	Name fleet.QueueName
	Pool fleet.PoolName
	Open bool
}

func (a *operatorAPI) getStatus(_ *restful.Request, w *restful.Response) {
	now, cur := time.Now(), a.book.Current()
	s := statusAnswer{
		Name: a.settings.Name, Region: a.settings.Region, Zone: a.settings.Zone,
		Revision: cur.Number, Fresh: a.book.Fresh(now), Stopping: a.stopping(), Entries: a.entries(now), Audit: a.trail.Counts(),
	}

	served := map[fleet.PoolName][]fleet.QueueName{}
	for _, q := range cur.Tables.Queues.All() {
		s.Queues = append(s.Queues, queueStatus{Name: q.Name, Pool: q.Pool, Open: q.Open})
		served[q.Pool] = append(served[q.Pool], q.Name)
	}
	for _, p := range cur.Tables.Pools.All() {
		s.Pools = append(s.Pools, poolStatus{
			Name: p.Name, Spare: p.Spare, MinHosts: p.MinHosts, Queues: served[p.Name],
			Slots: a.load.slots(p.Name), Waiting: a.load.waiting(p.Name),
		})
	}
	standings := map[fleet.TeamName]share.Standing{}
	for _, st := range a.load.teams().Teams {
		standings[st.Team] = st
	}
	for _, t := range cur.Tables.Teams.All() {
		s.Teams = append(s.Teams, teamStatus{
			Name: t.Name, Customer: t.Customer, Plan: t.Plan, Share: t.Share, UpperLimit: t.UpperLimit, Keys: len(cur.Keys.OfTeam(t.Name)),
			Running: standings[t.Name].Running, Waiting: standings[t.Name].Demand.Minus(standings[t.Name].Running),
		})
	}
	writeJSON(w, http.StatusOK, s)
}

// knownEntries returns this entry host, and of the others which have put its revision in force.
func (a *operatorAPI) knownEntries(now time.Time) []entryStatus {
	cur := a.book.Current().Number
	entries := []entryStatus{{Name: a.settings.Name, Revision: cur, InForce: a.book.Fresh(now)}}
	others := a.book.InForce(cur)
	delete(others, a.settings.Name)
	for _, name := range slices.Sorted(maps.Keys(others)) {
		e := entryStatus{Name: name, InForce: others[name]}
		if e.InForce {
			e.Revision = cur
		}
		entries = append(entries, e)
	}

	return entries
}
