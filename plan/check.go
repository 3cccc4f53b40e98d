package plan

import (
	"fmt"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Fault is one thing wrong in a list, with the path of the field.
type Fault struct {
	Path   string
	Reason string
}

// String returns the fault as "path: reason".
func (f Fault) String() string {
	return f.Path + ": " + f.Reason
}

// Check returns an error that names every fault of the lists, or nil.
func (l Lists) Check() error {
	faults := l.Faults()
	if len(faults) == 0 {
		return nil
	}

	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = f.String()
	}

	return merry.Prepend(ErrInvalid, strings.Join(lines, "; "))
}

// Faults returns everything wrong with the lists.
func (l Lists) Faults() []Fault {
	c := checker{}
	pools, queues, plans := c.names(l)
	for i, q := range l.Queues {
		if !pools[string(q.Pool)] {
			c.add("pool %q does not exist", []any{q.Pool}, "Queues[%d].Pool", i)
		}
		if q.MaxLength <= 0 {
			c.add("must be at least 1, is %d", []any{q.MaxLength}, "Queues[%d].MaxLength", i)
		}
	}
	for i, p := range l.Plans {
		for j, q := range p.Queues {
			if !queues[string(q)] {
				c.add("queue %q does not exist", []any{q}, "Plans[%d].Queues[%d]", i, j)
			}
		}
	}
	c.customers(l, plans)

	return c.faults
}

type checker struct {
	faults []Fault
}

func (c *checker) add(reason string, reasonArgs []any, path string, pathArgs ...any) {
	c.faults = append(c.faults, Fault{Path: fmt.Sprintf(path, pathArgs...), Reason: fmt.Sprintf(reason, reasonArgs...)})
}

// unique records a name and reports an empty or a repeated one.
func (c *checker) unique(seen map[string]bool, name, path string, pathArgs ...any) {
	if name == "" {
		c.add("must not be empty", nil, path, pathArgs...)
		return
	}
	if seen[name] {
		c.add("%q is taken already", []any{name}, path, pathArgs...)
	}
	seen[name] = true
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

func (c *checker) customers(l Lists, plans map[string]bool) {
	customers, teams := map[string]bool{}, map[string]bool{}
	for i, cu := range l.Customers {
		c.unique(customers, string(cu.Name), "Customers[%d].Name", i)
		if !plans[string(cu.Plan)] {
			c.add("plan %q does not exist", []any{cu.Plan}, "Customers[%d].Plan", i)
		}
		for j, t := range cu.Teams {
			c.unique(teams, string(t.Name), "Customers[%d].Teams[%d].Name", i, j)
			if t.Share <= 0 {
				c.add("must be at least 1, is %d", []any{t.Share}, "Customers[%d].Teams[%d].Share", i, j)
			}
			if t.UpperLimit.IsNegative() {
				c.add("must not be negative", nil, "Customers[%d].Teams[%d].UpperLimit", i, j)
			}
		}
	}
}
