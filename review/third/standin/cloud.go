package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// machine is a machine of the cloud.
type machine struct {
	name, pool, state string
	runner            *Runner
	token             uint64
	wave              int64
	begun             map[int64]bool
}

// Cloud is a stand-in of the platform's machines.
type Cloud struct {
	w        *World
	addr     string
	mu       sync.Mutex
	machines []*machine
	// onCall may handle a call in the cloud's place.
	onCall func(w http.ResponseWriter, r *http.Request, body []byte) bool
	// onUpkeep is told of each upkeep that begins, with how many of its wave are down for theirs.
	onUpkeep func(m *machine, wave int64, down int)
}

// NewCloud returns a cloud without machines.
func NewCloud(w *World) *Cloud {
	c := &Cloud{w: w}
	c.addr = serveOn(c)
	w.cloud = c

	return c
}

// Add adds the machine of a runner.
func (c *Cloud) Add(r *Runner) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machines = append(c.machines, &machine{name: r.host, pool: r.service, state: "up", runner: r, begun: map[int64]bool{}})
}

// SetState sets the state of the machine of a runner.
func (c *Cloud) SetState(r *Runner, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.runner == r {
			m.state = state
		}
	}
}

// ServeHTTP implements http.Handler.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body := readAll(r)
	if c.onCall != nil && c.onCall(w, r, body) {
		return
	}
	c.Carry(w, r.URL.Path, r.Header.Get("Lycheehook-Duty-Holder"), r.Header.Get("Lycheehook-Fencing-Token"), body)
}

// Carry carries out a call and answers it; w may be nil.
func (c *Cloud) Carry(w http.ResponseWriter, path, holder, fence string, body []byte) {
	reply := func(status int, v any) {
		if w != nil {
			answer(w, status, v)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if path == "/api/machines" {
		list := []map[string]any{}
		for _, m := range c.machines {
			id := m.runner.id
			if m.state != "up" {
				id = ""
			}
			list = append(list, map[string]any{"hostMachine": m.name, "pool": m.pool, "state": m.state, "zone": "z-a", "labels": []string{"a", m.runner.rack}, "capacity": capacity, "id": id})
		}
		reply(200, map[string]any{"machines": list, "nextToken": nil})
		return
	}
	var o struct {
		HostMachine string `json:"hostMachine"`
		Pool        string `json:"pool"`
		Cohort      int64  `json:"cohort"`
	}
	_ = json.Unmarshal(body, &o)
	token, _ := strconv.ParseUint(fence, 10, 64)
	for _, m := range c.machines {
		if m.name != o.HostMachine {
			continue
		}
		if token < m.token {
			c.w.Log("cloud: %s for %s by %s with token %d is refused: fence", path, m.name, holder, token)
			reply(409, map[string]any{"reason": "fence"})
			return
		}
		m.token = token
		if path == "/api/machine-upkeep" && m.begun[o.Cohort] || path == "/api/machine-move" && m.pool == o.Pool {
			reply(200, map[string]any{})
			return
		}
		if m.state != "up" {
			reply(409, map[string]any{"reason": "busy"})
			return
		}
		if path == "/api/machine-upkeep" {
			c.upkeep(m, o.Cohort, holder, token)
		} else {
			c.w.Log("cloud: %s moves to %s by %s", m.name, o.Pool, holder)
			m.pool, m.state = o.Pool, "moving"
			m.runner.service = o.Pool
			go c.restart(m, 1500*time.Millisecond)
		}
		reply(200, map[string]any{})
		return
	}
	reply(400, map[string]any{})
}

func (c *Cloud) upkeep(m *machine, wave int64, holder string, token uint64) {
	down := 0
	for _, o := range c.machines {
		if o.state == "upkeep" && o.wave == wave {
			down++
		}
	}
	c.w.Log("cloud: upkeep of %s for wave %d begins by %s with token %d; %d others are down for theirs", m.name, wave, holder, token, down)
	m.state, m.wave, m.begun[wave] = "upkeep", wave, true
	if c.onUpkeep != nil {
		c.onUpkeep(m, wave, down)
	}
	go c.restart(m, 2*time.Second)
}

// restart ends the machine's runner, and begins another after some time.
func (c *Cloud) restart(m *machine, after time.Duration) {
	m.runner.stop()
	c.w.store.Remove("servers/" + m.runner.id)
	time.Sleep(after)
	m.runner.mu.Lock()
	m.runner.id += "x"
	m.runner.mu.Unlock()
	m.runner.Start()
	c.mu.Lock()
	m.state = "up"
	c.mu.Unlock()
	c.w.Log("cloud: %s is up again", m.name)
}
