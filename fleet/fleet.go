package fleet

import "time"

// Tables is an immutable snapshot of all entities at one point in time.
type Tables struct {
	Hosts     Table[HostName, Host]
	Pools     Table[PoolName, Pool]
	Endpoints Table[EndpointName, Endpoint]
	Customers Table[CustomerName, Customer]
	Teams     Table[TeamName, Team]
	Plans     Table[PlanName, Plan]
	Queues    Table[QueueName, Queue]
	Budgets   Table[BudgetName, Budget]
	Jobs      Table[JobID, Job]
}

// Action is a side effect requested by a system.
type Action interface {
	// Subject returns the name of the entity that the action is about.
	Subject() string
}

// System maps a snapshot to the next snapshot and the actions to execute.
type System func(t Tables, now time.Time) (Tables, []Action)

// Tick runs the systems in order, each on the previous one's snapshot, and returns the last snapshot and all actions in order.
func Tick(t Tables, now time.Time, systems ...System) (Tables, []Action) {
	var all []Action
	for _, s := range systems {
		var actions []Action
		t, actions = s(t, now)
		all = append(all, actions...)
	}

	return t, all
}

// WithHost returns a copy of the tables with h added or replaced.
func (t Tables) WithHost(h Host) Tables {
	t.Hosts = t.Hosts.With(h.Name, h)
	return t
}

// WithPool returns a copy of the tables with p added or replaced.
func (t Tables) WithPool(p Pool) Tables {
	t.Pools = t.Pools.With(p.Name, p)
	return t
}

// WithEndpoint returns a copy of the tables with e added or replaced.
func (t Tables) WithEndpoint(e Endpoint) Tables {
	t.Endpoints = t.Endpoints.With(e.Name, e)
	return t
}

// WithJob returns a copy of the tables with j added or replaced.
func (t Tables) WithJob(j Job) Tables {
	t.Jobs = t.Jobs.With(j.ID, j)
	return t
}
