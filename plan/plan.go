package plan

import (
	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/fleet"
)

// ErrInvalid reports a list with faults. The text of the error that wraps it lists them.
var ErrInvalid = merry.Sentinel("plan: list invalid")

// CustomersList is the operators' list of customers, each with its plan and the teams that submit work.
type CustomersList struct {
	Customers []fleet.Customer
}

// PlansList is the operators' list of what each plan may use, with the queues, pools and budgets that they refer to.
type PlansList struct {
	Plans   []fleet.Plan
	Queues  []fleet.Queue
	Pools   []fleet.Pool
	Budgets []fleet.Budget `json:",omitempty"`
	// Maintenance configures the maintenance of the hosts of all pools.
	Maintenance fleet.Maintenance `json:",omitzero"`
}

// Lists is both lists together. They are checked and put in force as one.
type Lists struct {
	CustomersList
	PlansList
}

// ParseCustomers decodes a customers' list and rejects unknown, duplicate and mistyped fields.
func ParseCustomers(data []byte) (CustomersList, error) {
	var l CustomersList
	err := faultsError(newDocument(File{Name: "customers", Data: data}).decode(&l))

	return l, err
}

// ParsePlans decodes a plans' list and rejects unknown, duplicate and mistyped fields.
func ParsePlans(data []byte) (PlansList, error) {
	var l PlansList
	err := faultsError(newDocument(File{Name: "plans", Data: data}).decode(&l))

	return l, err
}

// Fill returns t with its tables replaced by the entities of the lists.
func (l Lists) Fill(t fleet.Tables) fleet.Tables {
	t.Customers = fleet.NewTable(func(c fleet.Customer) fleet.CustomerName { return c.Name }, l.Customers...)
	t.Plans = fleet.NewTable(func(p fleet.Plan) fleet.PlanName { return p.Name }, l.Plans...)
	t.Queues = fleet.NewTable(func(q fleet.Queue) fleet.QueueName { return q.Name }, l.Queues...)
	t.Pools = fleet.NewTable(func(p fleet.Pool) fleet.PoolName { return p.Name }, l.Pools...)
	t.Budgets = fleet.NewTable(func(b fleet.Budget) fleet.BudgetName { return b.Name }, l.Budgets...)
	t.Teams = fleet.NewTable(func(tm fleet.Team) fleet.TeamName { return tm.Name }, l.Teams()...)

	return t
}

// Teams returns every team of every customer, with its customer and plan set.
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
