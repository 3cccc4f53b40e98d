package fleet

import "time"

// Tables is an immutable snapshot of every entity at one moment.
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

// Action is a typed message that asks for a side effect decided by a system.
type Action interface {
	// Subject returns the name of the entity that the action is about.
	Subject() string
}

// System decides over one snapshot and returns the next snapshot with the actions to carry out.
type System func(t Tables, now time.Time) (Tables, []Action)

// Tick runs the systems in order over t and returns the last snapshot with all actions in the order of their decision.
func Tick(t Tables, now time.Time, systems ...System) (Tables, []Action) {
	var all []Action
	for _, s := range systems {
		var actions []Action
		t, actions = s(t, now)
		all = append(all, actions...)
	}

	return t, all
}

// WithHost returns the tables with h added or replaced.
func (t Tables) WithHost(h Host) Tables {
	t.Hosts = t.Hosts.With(h.Name, h)
	return t
}

// WithPool returns the tables with p added or replaced.
func (t Tables) WithPool(p Pool) Tables {
	t.Pools = t.Pools.With(p.Name, p)
	return t
}

// WithEndpoint returns the tables with e added or replaced.
func (t Tables) WithEndpoint(e Endpoint) Tables {
	t.Endpoints = t.Endpoints.With(e.Name, e)
	return t
}

// WithJob returns the tables with j added or replaced.
func (t Tables) WithJob(j Job) Tables {
	t.Jobs = t.Jobs.With(j.ID, j)
	return t
}
