package plan

import (
	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/fleet"
)

// ErrInvalid says that a list does not hold together; the error's text names each fault.
var ErrInvalid = merry.Sentinel("plan: list invalid")

// CustomersList is the first of the operators' lists: who is promised which plan, and the teams that submit work.
type CustomersList struct {
	Customers []fleet.Customer
}

// PlansList is the second of the operators' lists: what each plan may use, and the queues, pools and budgets that this refers to.
type PlansList struct {
	Plans   []fleet.Plan
	Queues  []fleet.Queue
	Pools   []fleet.Pool
	Budgets []fleet.Budget `json:",omitempty"`
	// Maintenance is how hosts of all pools are taken through maintenance.
	Maintenance fleet.Maintenance `json:",omitzero"`
}

// Lists is both lists together; they are checked and put in force as one.
type Lists struct {
	CustomersList
	PlansList
}

// ParseCustomers decodes a customers' list and refuses fields that are unknown, doubled or of the wrong kind.
func ParseCustomers(data []byte) (CustomersList, error) {
	var l CustomersList
	err := invalid(newDocument(File{Name: "customers", Data: data}).decode(&l))

	return l, err
}

// ParsePlans decodes a plans' list and refuses fields that are unknown, doubled or of the wrong kind.
func ParsePlans(data []byte) (PlansList, error) {
	var l PlansList
	err := invalid(newDocument(File{Name: "plans", Data: data}).decode(&l))

	return l, err
}

// Fill returns the tables with the entities of the lists in place of those of earlier lists.
func (l Lists) Fill(t fleet.Tables) fleet.Tables {
	t.Customers = fleet.NewTable(func(c fleet.Customer) fleet.CustomerName { return c.Name }, l.Customers...)
	t.Plans = fleet.NewTable(func(p fleet.Plan) fleet.PlanName { return p.Name }, l.Plans...)
	t.Queues = fleet.NewTable(func(q fleet.Queue) fleet.QueueName { return q.Name }, l.Queues...)
	t.Pools = fleet.NewTable(func(p fleet.Pool) fleet.PoolName { return p.Name }, l.Pools...)
	t.Budgets = fleet.NewTable(func(b fleet.Budget) fleet.BudgetName { return b.Name }, l.Budgets...)
	t.Teams = fleet.NewTable(func(tm fleet.Team) fleet.TeamName { return tm.Name }, l.Teams()...)

	return t
}

// Teams returns every team of every customer, with its customer and plan filled in.
func (l Lists) Teams() []fleet.Team {
	var teams []fleet.Team
	for _, c := range l.Customers {
		for _, t := range c.Teams {
			t.Customer, t.Plan = c.Name, c.Plan
			teams = append(teams, t)
		}
	}

	return teams
}
