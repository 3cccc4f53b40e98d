package plan

import (
	"maps"
	"reflect"
	"slices"

	"lycheehook.example/lycheehook/fleet"
)

// Conflict is an entry that two edits of the same base changed differently.
type Conflict struct {
	// Path is the path of the entry, such as "Plans[ledger]".
	Path string
	// Ours and Theirs are the entry after each edit, as JSON; empty means that the edit removed it.
	Ours   string `json:",omitempty"`
	Theirs string `json:",omitempty"`
}

// Merge does a three-way merge of two edits of base by entry; each team is an entry of its own. An entry that only one edit
// changed is taken from that edit. If both edits changed an entry differently, Merge returns ours and the conflicts.
func Merge(base, ours, theirs Lists) (Lists, []Conflict) {
	var m merger
	base, ours, theirs = base.Canonical(), ours.Canonical(), theirs.Canonical()

	var out Lists
	out.Customers = m.customers(base, ours, theirs)
	out.Plans = mergeEntries(&m, "Plans", base.Plans, ours.Plans, theirs.Plans, func(p fleet.Plan) string { return string(p.Name) })
	out.Queues = mergeEntries(&m, "Queues", base.Queues, ours.Queues, theirs.Queues, func(q fleet.Queue) string { return string(q.Name) })
	out.Pools = mergeEntries(&m, "Pools", base.Pools, ours.Pools, theirs.Pools, func(p fleet.Pool) string { return string(p.Name) })
	out.Budgets = mergeEntries(&m, "Budgets", base.Budgets, ours.Budgets, theirs.Budgets, func(b fleet.Budget) string { return string(b.Name) })
	out.Maintenance = m.entry("Maintenance", base.Maintenance, ours.Maintenance, theirs.Maintenance).(fleet.Maintenance)
	if len(m.conflicts) > 0 {
		return ours, m.conflicts
	}

	return out, nil
}

type merger struct {
	conflicts []Conflict
}

// customers merges the customers without their teams, and then the teams of each customer.
func (m *merger) customers(base, ours, theirs Lists) []fleet.Customer {
	name := func(c fleet.Customer) string { return string(c.Name) }
	merged := mergeEntries(m, "Customers", withoutTeams(base.Customers), withoutTeams(ours.Customers), withoutTeams(theirs.Customers), name)
	baseTeams, ourTeams, theirTeams := teamsOf(base), teamsOf(ours), teamsOf(theirs)
	kept := map[fleet.CustomerName]bool{}
	for i, c := range merged {
		kept[c.Name] = true
		merged[i].Teams = mergeEntries(m, "Customers["+string(c.Name)+"].Teams", baseTeams[c.Name], ourTeams[c.Name], theirTeams[c.Name],
			func(t fleet.Team) string { return string(t.Name) })
	}
	m.removedCustomers(base, kept, ourTeams, theirTeams)

	return merged
}

// removedCustomers reports as conflicts the customers that one edit removed while the other changed their teams.
func (m *merger) removedCustomers(base Lists, kept map[fleet.CustomerName]bool, ours, theirs map[fleet.CustomerName][]fleet.Team) {
	for _, c := range base.Customers {
		if kept[c.Name] {
			continue
		}
		for _, teams := range []map[fleet.CustomerName][]fleet.Team{ours, theirs} {
			if left, ok := teams[c.Name]; ok && !reflect.DeepEqual(left, c.Teams) {
				m.conflicts = append(m.conflicts, Conflict{Path: "Customers[" + string(c.Name) + "].Teams", Ours: jsonText(ours[c.Name]), Theirs: jsonText(theirs[c.Name])})
			}
		}
	}
}

func withoutTeams(customers []fleet.Customer) []fleet.Customer {
	out := slices.Clone(customers)
	for i := range out {
		out[i].Teams = nil
	}

	return out
}

func teamsOf(l Lists) map[fleet.CustomerName][]fleet.Team {
	teams := make(map[fleet.CustomerName][]fleet.Team, len(l.Customers))
	for _, c := range l.Customers {
		teams[c.Name] = c.Teams
	}

	return teams
}

// mergeEntries merges the entries of one list and returns them sorted by name.
func mergeEntries[T any](m *merger, path string, base, ours, theirs []T, name func(T) string) []T {
	b, o, t := byName(base, name), byName(ours, name), byName(theirs, name)
	names := slices.Collect(maps.Keys(o))
	for n := range t {
		if _, ok := o[n]; !ok {
			names = append(names, n)
		}
	}
	slices.Sort(names)

	var out []T
	for _, n := range names {
		if v := m.entry(path+"["+n+"]", lookup(b, n), lookup(o, n), lookup(t, n)); v != nil {
			out = append(out, v.(T))
		}
	}

	return out
}

// entry merges one entry; nil means that the entry is absent.
func (m *merger) entry(path string, base, ours, theirs any) any {
	switch {
	case reflect.DeepEqual(ours, theirs), reflect.DeepEqual(base, theirs):
		return ours
	case reflect.DeepEqual(base, ours):
		return theirs
	}
	c := Conflict{Path: path}
	if ours != nil {
		c.Ours = jsonText(ours)
	}
	if theirs != nil {
		c.Theirs = jsonText(theirs)
	}
	m.conflicts = append(m.conflicts, c)

	return ours
}

func byName[T any](values []T, name func(T) string) map[string]T {
	out := make(map[string]T, len(values))
	for _, v := range values {
		out[name(v)] = v
	}

	return out
}

func lookup[T any](values map[string]T, name string) any {
	if v, ok := values[name]; ok {
		return v
	}

	return nil
}
