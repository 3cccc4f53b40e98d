package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	holdMax     = 6000
	heartbeat   = 1500 * time.Millisecond
	stopTimeout = 50 * time.Millisecond
)

// run is a task at work.
type run struct {
	task    string
	attempt int
	began   time.Time
	// needs is how long the task works, zero for one that lasts.
	needs time.Duration
}

type end struct {
	number  int
	task    string
	attempt int
	how     string
}

// Runner is a stand-in of a runner. It keeps its address over its lives.
type Runner struct {
	w    *World
	id   string
	host string
	rack string
	addr string
	// workTime returns how long a task works and how it ends.
	workTime func(task string, attempt int) (time.Duration, string)

	mu       sync.Mutex
	server   *http.Server
	listener net.Listener
	up       bool
	life     int
	born     int64
	began    time.Time
	offset   int64
	seq      int
	state    string
	token    uint64
	deadline int64
	active   map[string]*run
	highest  map[string]int
	ends     []end
	next     int
	changed  chan struct{}
	service  string
	// silent is how long after the start of a life its first heartbeat is written.
	silent time.Duration
}

// NewRunner returns a runner that is down.
func NewRunner(w *World, i int, service string) *Runner {
	addr := fmt.Sprintf("127.0.0.1:%d", freePort())

	return &Runner{
		w: w, id: fmt.Sprintf("i-%08x", 0x51a0+i), host: fmt.Sprintf("m-%03d", i), rack: fmt.Sprintf("r1-%d", i/4), addr: addr, service: service,
		workTime: func(string, int) (time.Duration, string) { return time.Second, "done" },
	}
}

// Start begins a life.
func (r *Runner) Start() {
	r.mu.Lock()
	r.life++
	r.up, r.state = true, "ready"
	r.born, r.began, r.offset, r.seq = time.Now().UnixMilli(), time.Now(), int64(1000+r.life), 0
	r.token, r.deadline, r.next = 0, 0, 1
	r.active, r.highest, r.ends, r.changed = map[string]*run{}, map[string]int{}, nil, make(chan struct{})
	life := r.life
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { r.serve(life, w, q) })}
	r.server = server
	r.mu.Unlock()
	l, err := net.Listen("tcp", r.addr)
	check(err)
	r.listener = l
	go func() { _ = server.Serve(l) }()
	if r.silent == 0 {
		r.register()
	}
	go r.live(life)
	r.w.Log("runner %s (%s) is up", r.id, r.addr)
}

// Crash ends the life at once: connections break, nothing runs any more, nothing is remembered.
func (r *Runner) Crash() {
	r.w.Log("DISRUPTION runner %s crashes", r.id)
	r.stop()
}

// Darken ends the life like a loss of power: nothing runs any more, nothing is remembered, and open connections say nothing. Revive must
// follow soon.
func (r *Runner) Darken() {
	r.w.Log("DISRUPTION runner %s goes dark", r.id)
	r.end()
}

// Revive begins the next life of a runner that went dark. Connections of before stay silent; what comes in on them is reset.
func (r *Runner) Revive() {
	_ = r.listener.Close()
	r.Start()
}

// end ends the runs and the life, and returns its number and server.
func (r *Runner) end() (int, *http.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.up = false
	for _, a := range r.active {
		r.w.ended(r, a, "gone")
	}
	r.active = nil

	return r.life, r.server
}

// stop ends the life.
func (r *Runner) stop() {
	life, server := r.end()
	_ = server.Close()
	time.AfterFunc(3*heartbeat, func() {
		r.mu.Lock()
		gone := !r.up && r.life == life
		r.mu.Unlock()
		if gone {
			r.w.store.Remove("servers/" + r.id)
		}
	})
}

func (r *Runner) register() {
	r.mu.Lock()
	r.seq++
	v := map[string]any{
		"service": r.service, "address": r.addr, "zone": "z-a", "version": "v1", "slots": 8, "state": r.state, "coldLeftMs": 0,
		"capacity": capacity, "labels": []string{"a", r.rack}, "clockMs": r.clock(), "sequence": r.seq, "born": r.born,
	}
	if r.state == "draining" {
		v["remainingMs"] = 2000
	}
	r.mu.Unlock()
	r.w.store.Put("servers/"+r.id, v)
}

// live sends heartbeats and ends runs until the life is over.
func (r *Runner) live(life int) {
	beat := time.Now()
	if r.silent > 0 {
		beat = beat.Add(r.silent - heartbeat)
	}
	for range time.Tick(10 * time.Millisecond) {
		r.mu.Lock()
		if r.life != life || !r.up {
			r.mu.Unlock()
			return
		}
		for name, a := range r.active {
			_, how := r.workTime(a.task, a.attempt)
			switch {
			case r.clock() > r.deadline:
				r.finish(name, "lapsed")
			case a.needs > 0 && time.Since(a.began) >= a.needs:
				r.finish(name, how)
			}
		}
		r.mu.Unlock()
		if time.Since(beat) >= heartbeat {
			beat = time.Now()
			r.register()
		}
	}
}

// finish ends a run; the caller holds the lock.
func (r *Runner) finish(name, how string) {
	a := r.active[name]
	delete(r.active, name)
	r.highest[a.task] = max(r.highest[a.task], a.attempt)
	r.ends = append(r.ends, end{r.next, a.task, a.attempt, how})
	r.next++
	r.w.ended(r, a, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Runner) clock() int64 { return time.Since(r.began).Milliseconds() + r.offset }

type order struct {
	Task         string `json:"task"`
	Attempt      int    `json:"attempt"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken uint64 `json:"fencingToken"`
	Checkpoint   string `json:"checkpoint"`
	AckedThrough int    `json:"ackedThrough"`
	WaitMs       int    `json:"waitMs"`
	Percent      int    `json:"percent"`
}

// serve serves a request on a connection to a life. While the runner is down, it gets no answer; on a connection to an earlier life it is
// reset.
func (r *Runner) serve(life int, w http.ResponseWriter, q *http.Request) {
	body := readAll(q)
	r.mu.Lock()
	up, now := r.up, r.life
	r.mu.Unlock()
	if now != life {
		panic(http.ErrAbortHandler)
	}
	if !up {
		<-q.Context().Done()
		return
	}
	if r.w.onOrder != nil && r.w.onOrder(r, w, q, body) {
		return
	}
	if !r.Carry(w, q.URL.Path, q.Header.Get("Lycheehook-Expect-Instance"), body) {
		<-q.Context().Done()
	}
}

// Carry carries out an order and answers it. It reports false if the runner is down, so that there is no answer.
func (r *Runner) Carry(w http.ResponseWriter, path, instance string, body []byte) bool {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return false
	}
	if instance != "" && instance != r.id {
		answerLocked(r, w, 421, nil)
		return true
	}
	var o order
	if json.Unmarshal(body, &o) != nil {
		answerLocked(r, w, 400, nil)
		return true
	}
	if o.FencingToken < r.token {
		answerLocked(r, w, 409, map[string]any{"reason": "fence"})
		return true
	}
	r.token = o.FencingToken
	switch path {
	case "/api/run-start":
		r.start(w, o)
	case "/api/run-stop":
		r.highest[o.Task] = max(r.highest[o.Task], o.Attempt)
		for name, a := range r.active {
			if a.task == o.Task && a.attempt <= o.Attempt {
				r.finish(name, "stopped")
			}
		}
		answerLocked(r, w, 200, map[string]any{})
	case "/api/hold":
		return r.hold(w, o)
	case "/api/pace":
		answerLocked(r, w, 200, map[string]any{})
	default:
		answerLocked(r, w, 404, nil)
	}

	return true
}

func (r *Runner) extend(deadline int64) {
	r.deadline = max(r.deadline, min(deadline, r.clock()+holdMax))
}

func (r *Runner) start(w http.ResponseWriter, o order) {
	name := fmt.Sprintf("%s#%d", o.Task, o.Attempt)
	if r.active[name] != nil {
		r.extend(o.DeadlineMs)
		answerLocked(r, w, 200, map[string]any{})
		return
	}
	if o.DeadlineMs <= r.clock() {
		answerLocked(r, w, 409, map[string]any{"reason": "late"})
		return
	}
	r.extend(o.DeadlineMs)
	if o.Attempt <= r.highest[o.Task] {
		answerLocked(r, w, 409, map[string]any{"reason": "old"})
		return
	}
	needs, _ := r.workTime(o.Task, o.Attempt)
	a := &run{task: o.Task, attempt: o.Attempt, began: time.Now(), needs: needs}
	r.active[name] = a
	r.w.began(r, a)
	answerLocked(r, w, 200, map[string]any{})
}

// hold answers with the lists. It reports false if the runner's life ends before.
func (r *Runner) hold(w http.ResponseWriter, o order) bool {
	for len(r.ends) > 0 && r.ends[0].number <= o.AckedThrough {
		r.w.acknowledged(r, r.ends[0])
		r.ends = r.ends[1:]
	}
	if o.DeadlineMs > 0 {
		r.extend(o.DeadlineMs)
	}
	if len(r.ends) == 0 && o.WaitMs > 0 {
		changed, life := r.changed, r.life
		r.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
		}
		r.mu.Lock()
		if !r.up || r.life != life {
			r.mu.Unlock()
			return false
		}
	}
	active, finished := [][]any{}, [][]any{}
	for _, a := range r.active {
		percent := 100
		if a.needs > 0 {
			percent = int(min(99, 100*time.Since(a.began)/a.needs))
		}
		active = append(active, []any{a.task, a.attempt, "", percent, 0})
	}
	for _, e := range r.ends {
		if len(finished) < 500 {
			finished = append(finished, []any{e.number, e.task, e.attempt, e.how, ""})
		}
	}
	answerLocked(r, w, 200, map[string]any{"active": active, "finished": finished})

	return true
}

// answerLocked releases the lock and answers.
func answerLocked(r *Runner, w http.ResponseWriter, status int, body map[string]any) {
	if body == nil {
		body = map[string]any{}
	}
	body["clockMs"], body["born"] = r.clock(), r.born
	r.mu.Unlock()
	if w != nil {
		answer(w, status, body)
	}
}
