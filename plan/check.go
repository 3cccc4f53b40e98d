package plan

import (
	"fmt"
	"slices"
	"strings"
	"time"
	"unicode"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/fleet"
)

// Bounds of the lists.
const (
	// MaxListSize limits the size of a list's file, in bytes.
	MaxListSize = 32 << 20
	// MaxCustomers and MaxTeams limit the entries of the customers' list.
	MaxCustomers = 20_000
	MaxTeams     = 100_000
	// MaxTeamsPerCustomer limits the teams of one customer, so that the customer's entry fits in one value of the store.
	MaxTeamsPerCustomer = 1_000
	// MaxPlanEntries limits each of plans, queues, pools and budgets.
	MaxPlanEntries = 1_000
	// MaxNameSize limits the length of a name, in bytes.
	MaxNameSize = 100
	// MaxAmount limits a share and each component of a limit.
	MaxAmount = 1 << 40
)

// maxFaultsInError limits how many faults an error's text lists.
const maxFaultsInError = 20

// Fault is one fault of a list, with the path of the field and, for a list read from a file, its file and line.
type Fault struct {
	Path   string
	Reason string
	File   string `json:",omitempty"`
	Line   int    `json:",omitempty"`
}

// String returns the fault as "path: reason", after "file:line: " if the list came from a file.
func (f Fault) String() string {
	if f.File == "" {
		return f.Path + ": " + f.Reason
	}

	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Path, f.Reason)
}

// Check returns an error that lists the faults of the lists, or nil if there are none.
func (l Lists) Check() error {
	return faultsError(l.Faults())
}

// faultsError returns an error that wraps ErrInvalid and lists the faults, or nil if there are none.
func faultsError(faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}

	lines := make([]string, 0, maxFaultsInError+1)
	for i, f := range faults {
		if i == maxFaultsInError {
			lines = append(lines, fmt.Sprintf("and %d more", len(faults)-i))
			break
		}
		lines = append(lines, f.String())
	}

	return merry.Prepend(ErrInvalid, strings.Join(lines, "; "))
}

// Faults returns every fault of the lists.
func (l Lists) Faults() []Fault {
	c := checker{}
	c.bounds(l)
	pools, queues, plans := c.names(l)
	c.pools(l)
	c.queues(l, pools)
	c.plans(l, queues)
	c.budgets(l, pools, plans)
	c.maintenance(l.Maintenance)
	c.customers(l, plans)

	return c.faults
}

type checker struct {
	faults []Fault
}

func (c *checker) add(reason string, reasonArgs []any, path string, pathArgs ...any) {
	c.faults = append(c.faults, Fault{Path: fmt.Sprintf(path, pathArgs...), Reason: fmt.Sprintf(reason, reasonArgs...)})
}

func (c *checker) bounds(l Lists) {
	for _, b := range []struct {
		path      string
		have, max int
	}{
		{"Customers", len(l.Customers), MaxCustomers},
		{"Customers", len(l.Teams()), MaxTeams},
		{"Plans", len(l.Plans), MaxPlanEntries},
		{"Queues", len(l.Queues), MaxPlanEntries},
		{"Pools", len(l.Pools), MaxPlanEntries},
		{"Budgets", len(l.Budgets), MaxPlanEntries},
	} {
		if b.have > b.max {
			c.add("must be at most %d entries, is %d", []any{b.max, b.have}, "%s", b.path)
		}
	}
}

// maintenance checks that no duration or count is negative; zero means the default.
func (c *checker) maintenance(m fleet.Maintenance) {
	for _, d := range []struct {
		field string
		value fleet.Duration
	}{
		{"Period", m.Period},
		{"Notice", m.Notice},
		{"SettleFor", m.SettleFor},
		{"ReturnLimit", m.ReturnLimit},
	} {
		if d.value < 0 {
			c.add("must not be negative, is %v", []any{d.value}, "Maintenance.%s", d.field)
		}
	}
	for _, n := range []struct {
		field string
		value int
	}{
		{"MaxLost", m.MaxLost},
		{"Tail", m.Tail},
	} {
		if n.value < 0 {
			c.add("must not be negative, is %d", []any{n.value}, "Maintenance.%s", n.field)
		}
	}
}

// unique records a name in seen and reports a malformed or repeated one.
func (c *checker) unique(seen map[string]bool, name, path string, pathArgs ...any) {
	if reason := nameFault(name); reason != "" {
		c.add("%s", []any{reason}, path, pathArgs...)
		return
	}
	if seen[name] {
		c.add("%q is taken already", []any{name}, path, pathArgs...)
	}
	seen[name] = true
}

// nameFault returns why a name is invalid, or "". Names are used in URL paths, store keys and metrics.
func nameFault(name string) string {
	switch {
	case name == "":
		return "must not be empty"
	case len(name) > MaxNameSize:
		return fmt.Sprintf("must be at most %d bytes, is %d", MaxNameSize, len(name))
	case strings.ContainsFunc(name, func(r rune) bool {
		return r == unicode.ReplacementChar || !unicode.IsLetter(r) && !unicode.IsDigit(r) && !unicode.IsMark(r) && !strings.ContainsRune("-_.", r)
	}):
		return fmt.Sprintf("%q may have letters, digits, '-', '_' and '.' only", name)
	}

	return ""
}

func (c *checker) names(l Lists) (pools, queues, plans map[string]bool) {
	pools, queues, plans = map[string]bool{}, map[string]bool{}, map[string]bool{}
	for i, p := range l.Pools {
		c.unique(pools, string(p.Name), "Pools[%d].Name", i)
	}
	for i, q := range l.Queues {
		c.unique(queues, string(q.Name), "Queues[%d].Name", i)
	}
	for i, p := range l.Plans {
		c.unique(plans, string(p.Name), "Plans[%d].Name", i)
	}

	return pools, queues, plans
}

func (c *checker) pools(l Lists) {
	spare := ""
	for i, p := range l.Pools {
		if p.MinHosts < 0 {
			c.add("must not be negative, is %d", []any{p.MinHosts}, "Pools[%d].MinHosts", i)
		}
		if p.Spare && spare != "" {
			c.add("pool %q is the spare already", []any{spare}, "Pools[%d].Spare", i)
		}
		if p.Spare {
			spare = string(p.Name)
		}
	}
}

func (c *checker) queues(l Lists, pools map[string]bool) {
	for i, q := range l.Queues {
		if !pools[string(q.Pool)] {
			c.add("pool %q does not exist", []any{q.Pool}, "Queues[%d].Pool", i)
		}
		if q.MaxLength <= 0 {
			c.add("must be at least 1, is %d", []any{q.MaxLength}, "Queues[%d].MaxLength", i)
		}
		if q.MaxWait < 0 {
			c.add("must not be negative, is %s", []any{q.MaxWait}, "Queues[%d].MaxWait", i)
		}
	}
}

func (c *checker) plans(l Lists, queues map[string]bool) {
	for i, p := range l.Plans {
		for j, q := range p.Queues {
			if !queues[string(q)] {
				c.add("queue %q does not exist", []any{q}, "Plans[%d].Queues[%d]", i, j)
			}
			if slices.Contains(p.Queues[:j], q) {
				c.add("queue %q is named already", []any{q}, "Plans[%d].Queues[%d]", i, j)
			}
		}
		c.amount(p.UpperLimit, fmt.Sprintf("Plans[%d].UpperLimit", i))
		c.amount(p.Claim, fmt.Sprintf("Plans[%d].Claim", i))
		if !p.Claim.FitsIn(p.UpperLimit) {
			c.add("must fit in the plan's UpperLimit", nil, "Plans[%d].Claim", i)
		}
	}
}

func (c *checker) budgets(l Lists, pools, plans map[string]bool) {
	budgets := map[string]bool{}
	for i, b := range l.Budgets {
		c.unique(budgets, string(b.Name), "Budgets[%d].Name", i)
		if b.MaxUnavailable < 0 {
			c.add("must not be negative, is %d", []any{b.MaxUnavailable}, "Budgets[%d].MaxUnavailable", i)
		}
		for j, p := range b.Pools {
			if !pools[string(p)] {
				c.add("pool %q does not exist", []any{p}, "Budgets[%d].Pools[%d]", i, j)
			}
		}
		for j, p := range b.Plans {
			if !plans[string(p)] {
				c.add("plan %q does not exist", []any{p}, "Budgets[%d].Plans[%d]", i, j)
			}
		}
		for j, z := range b.Zones {
			if reason := nameFault(string(z)); reason != "" {
				c.add("%s", []any{reason}, "Budgets[%d].Zones[%d]", i, j)
			}
		}
	}
}

func (c *checker) customers(l Lists, plans map[string]bool) {
	customers, teams := map[string]bool{}, map[string]bool{}
	for i, cu := range l.Customers {
		c.unique(customers, string(cu.Name), "Customers[%d].Name", i)
		if !plans[string(cu.Plan)] {
			c.add("plan %q does not exist", []any{cu.Plan}, "Customers[%d].Plan", i)
		}
		if _, err := time.Parse(time.DateOnly, cu.SignedUp); cu.SignedUp != "" && err != nil {
			c.add("%q is not a day as YYYY-MM-DD", []any{cu.SignedUp}, "Customers[%d].SignedUp", i)
		}
		if len(cu.Teams) > MaxTeamsPerCustomer {
			c.add("must be at most %d entries, is %d", []any{MaxTeamsPerCustomer, len(cu.Teams)}, "Customers[%d].Teams", i)
		}
		for j, t := range cu.Teams {
			c.team(t, teams, i, j)
		}
	}
}

func (c *checker) team(t fleet.Team, teams map[string]bool, i, j int) {
	c.unique(teams, string(t.Name), "Customers[%d].Teams[%d].Name", i, j)
	if reason := nameFault(string(t.Workspace)); t.Workspace != "" && reason != "" {
		c.add("%s", []any{reason}, "Customers[%d].Teams[%d].Workspace", i, j)
	}
	if t.Share <= 0 || t.Share > MaxAmount {
		c.add("must be from 1 to %d, is %d", []any{int64(MaxAmount), t.Share}, "Customers[%d].Teams[%d].Share", i, j)
	}
	c.amount(t.UpperLimit, fmt.Sprintf("Customers[%d].Teams[%d].UpperLimit", i, j))
}

// amount reports each component of a limit that is out of range.
func (c *checker) amount(r fleet.Resources, path string) {
	for _, part := range []struct {
		name  string
		value int64
	}{
		{"Slots", r.Slots}, {"Cores", int64(r.Cores)}, {"Memory", int64(r.Memory)}, {"Accelerators", r.Accelerators},
	} {
		if part.value < 0 || part.value > MaxAmount {
			c.add("must be from 0 to %d, is %d", []any{int64(MaxAmount), part.value}, "%s.%s", path, part.name)
		}
	}
}
