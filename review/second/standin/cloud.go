package main

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// maintenanceTime is how long an upkeep takes (maintenanceS).
const maintenanceTime = 2 * time.Second

// cloud is the platform's interface to machines.
type cloud struct {
	world *world

	mu     sync.Mutex
	order  []string
	byName map[string]*machine

	// holdOrder decides whether an order is held up on its way: it gets no answer, and is carried out late.
	holdOrder func(o machineOrder) bool
	held      []machineOrder
	// tooMany has the upkeeps that began while as many machines of their wave were down as may be.
	tooMany []string
}

type machine struct {
	name   string
	pool   string
	state  string
	token  uint64
	done   map[int64]bool
	runner *runner
	began  time.Time
}

type machineOrder struct {
	HostMachine string `json:"hostMachine"`
	Pool        string `json:"pool"`
	Cohort      int64  `json:"cohort"`
	path        string
	holder      string
	token       uint64
	sent        time.Time
}

func newCloud(w *world) *cloud {
	return &cloud{world: w, byName: map[string]*machine{}}
}

func (c *cloud) add(r *runner) {
	c.order = append(c.order, r.machine)
	c.byName[r.machine] = &machine{name: r.machine, pool: r.service, state: "up", done: map[int64]bool{}, runner: r}
}

func (c *cloud) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/machines", c.list)
	mux.HandleFunc("POST /api/machine-upkeep", c.command)
	mux.HandleFunc("POST /api/machine-move", c.command)

	return mux
}

func (c *cloud) list(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	machines := []map[string]any{}
	for _, name := range c.order {
		m := c.byName[name]
		m.runner.mu.Lock()
		up, id, labels := m.runner.up, m.runner.id, m.runner.labels
		m.runner.mu.Unlock()
		state := m.state
		if state == "up" && !up {
			state = "down"
		}
		if state != "up" {
			id = ""
		}
		machines = append(machines, map[string]any{
			"hostMachine": name, "pool": m.pool, "state": state, "zone": zone, "labels": labels, "capacity": capacity(), "id": id,
		})
	}
	reply(w, http.StatusOK, map[string]any{"machines": machines, "nextToken": ""})
}

func (c *cloud) command(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var o machineOrder
	if err := json.Unmarshal(body, &o); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	o.path, o.holder, o.sent = r.URL.Path, r.Header.Get("Lycheehook-Duty-Holder"), time.Now()
	o.token, _ = strconv.ParseUint(r.Header.Get("Lycheehook-Fencing-Token"), 10, 64)
	c.mu.Lock()
	if c.holdOrder != nil && c.holdOrder(o) {
		c.held = append(c.held, o)
		c.mu.Unlock()
		c.world.note("order %s for %s by %s, token %d, is held up", o.path, o.HostMachine, o.holder, o.token)
		<-r.Context().Done()

		return
	}
	status, answer := c.carryOut(o)
	c.mu.Unlock()
	reply(w, status, answer)
}

// deliver carries out a held order.
func (c *cloud) deliver(o machineOrder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	status, answer := c.carryOut(o)
	c.world.note("the order for %s that was held up for %.1f s is carried out: %d %v", o.HostMachine, time.Since(o.sent).Seconds(), status, answer)
}

// carryOut carries out an order; c.mu is held.
func (c *cloud) carryOut(o machineOrder) (int, any) {
	m := c.byName[o.HostMachine]
	refuse := func(reason string) (int, any) { return http.StatusConflict, map[string]any{"reason": reason} }
	switch {
	case m == nil:
		return http.StatusBadRequest, map[string]any{}
	case o.token < m.token:
		return refuse("fence")
	}
	m.token = o.token
	if o.path == "/api/machine-move" {
		if m.pool == o.Pool {
			return http.StatusOK, map[string]any{}
		}

		return http.StatusBadRequest, map[string]any{}
	}
	wave := c.world.wave
	switch {
	case wave == nil || o.Cohort != wave.Cohort || !wave.has(o.HostMachine):
		return refuse("wave")
	case m.done[o.Cohort]:
		return http.StatusOK, map[string]any{}
	case m.state != "up" || !m.runner.isUp():
		return refuse("busy")
	}
	down := 0
	for _, name := range wave.Machines {
		if c.byName[name].state == "upkeep" {
			down++
		}
	}
	c.world.note("upkeep of %s begins by %s, token %d; %d others of the wave are down, %d may be at once", m.name, o.holder, o.token, down, wave.MaxCount)
	if down >= wave.MaxCount {
		c.tooMany = append(c.tooMany, m.name)
	}
	m.state, m.began, m.done[o.Cohort] = "upkeep", time.Now(), true
	go c.maintain(m)

	return http.StatusOK, map[string]any{}
}

// maintain takes a machine's runner away and brings another one after the upkeep.
func (c *cloud) maintain(m *machine) {
	old := m.runner
	old.crash()
	c.world.store.remove("servers/" + old.id)
	time.Sleep(maintenanceTime)
	next := c.world.newRunner(m.name, old.labels)
	c.mu.Lock()
	m.runner, m.state = next, "up"
	c.mu.Unlock()
	if err := next.start(); err != nil {
		c.world.note("runner %s can't start: %v", next.id, err)
	}
	c.world.note("upkeep of %s is over", m.name)
}

func (r *runner) isUp() bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.up
}
