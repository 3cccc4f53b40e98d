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

// statusAnswer is the state of the fleet as this entry host knows it.
type statusAnswer struct {
	Name     fleet.EntryName
	Region   fleet.RegionName
	Zone     fleet.ZoneName
	Revision uint64
	// Fresh reports whether the revision is known to be in force, so that requests with a key are accepted.
	Fresh    bool
	Stopping bool
	// Entries lists the revision in force on each entry host, this entry host first.
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
	// Slots counts the slots of the pool's endpoints that may get new work, and Waiting the requests that wait on this
	// entry host.
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
	// Running and Waiting are the resources of the team's running and waiting work on this entry host.
	Running fleet.Resources `json:",omitzero"`
	Waiting fleet.Resources `json:",omitzero"`
}

// loadFuncs return the load of this entry host.
type loadFuncs struct {
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
	now, cur := time.Now(), a.revisions.Current()
	s := statusAnswer{
		Name: a.settings.Name, Region: a.settings.Region, Zone: a.settings.Zone,
		Revision: cur.Number, Fresh: a.revisions.Fresh(now), Stopping: a.stopping(), Entries: a.entries(now), Audit: a.trail.Counts(),
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
	standings := map[fleet.TeamName]share.TeamLoad{}
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

// entryStatuses returns the status of this entry host, and for each other entry host whether it has put the same
// revision in force.
func (a *operatorAPI) entryStatuses(now time.Time) []entryStatus {
	cur := a.revisions.Current().Number
	entries := []entryStatus{{Name: a.settings.Name, Revision: cur, InForce: a.revisions.Fresh(now)}}
	others := a.revisions.InForce(cur)
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
