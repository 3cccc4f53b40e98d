package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// holdMax is the longest lease of what runs on a runner (holdMaxMs).
	holdMax = 6 * time.Second
	// stopTime is how long a stop takes; stopTimeoutMs is 200.
	stopTime = 50 * time.Millisecond
	// heartbeat is how often a runner writes its entry (heartbeatMs).
	heartbeat = 1500 * time.Millisecond
	// firstBeat is when a life of a runner writes its first entry, after it has begun to serve.
	firstBeat = heartbeat / 3
)

// runner is one machine's runner. It keeps its id and address when it starts again, and forgets all else.
type runner struct {
	world   *world
	id      string
	machine string
	address string
	service string
	labels  []string

	mu       sync.Mutex
	up       bool
	life     int
	born     time.Time
	sequence int
	token    uint64
	leaseEnd time.Time
	runs     map[string]*run
	// settled has the highest attempt that ended or was stopped here, by task.
	settled  map[string]int
	ends     []ending
	lastEnd  uint64
	changed  chan struct{}
	server   *http.Server
	draining bool

	// holdStart decides whether a start is held up on its way: it gets no answer, and is carried out late.
	holdStart func(task string, attempt int) bool
	held      []heldOrder
}

// run is a task at work.
type run struct {
	task    string
	attempt int
	began   time.Time
	// ends is when the work is done; zero for a task that lasts.
	ends time.Time
}

type ending struct {
	number  uint64
	task    string
	attempt int
	how     string
}

// heldOrder is an order on its way.
type heldOrder struct {
	path   string
	header http.Header
	body   []byte
	sent   time.Time
}

type order struct {
	Task         string `json:"task"`
	Attempt      int    `json:"attempt"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	Token        uint64 `json:"fencingToken"`
	AckedThrough uint64 `json:"ackedThrough"`
	WaitMs       int64  `json:"waitMs"`
}

// start begins a life of the runner: it holds and knows nothing of before.
func (r *runner) start() error {
	var l net.Listener
	var err error
	for range 100 {
		if l, err = net.Listen("tcp", r.address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.up, r.life, r.born, r.sequence, r.token, r.leaseEnd = true, r.life+1, time.Now(), 0, 0, time.Time{}
	r.runs, r.settled, r.ends, r.lastEnd, r.changed = map[string]*run{}, map[string]int{}, nil, 0, make(chan struct{})
	life := r.life
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	server := r.server
	r.mu.Unlock()
	r.world.note("runner %s starts, life %d", r.id, life)
	go func() { _ = server.Serve(l) }()
	go r.work(life)
	go r.beat(life)

	return nil
}

// crash ends the life of the runner at once, with all that runs there.
func (r *runner) crash() {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	r.up = false
	for _, u := range r.runs {
		r.world.ended(r, u.task, u.attempt, "gone")
	}
	r.runs = map[string]*run{}
	close(r.changed)
	r.changed = make(chan struct{})
	server := r.server
	r.mu.Unlock()
	r.world.note("runner %s crashes", r.id)
	_ = server.Close()
}

// alive reports whether a life goes on; r.mu is held.
func (r *runner) alive(life int) bool {
	return r.up && r.life == life
}

// work ends the runs whose work is done or whose lease is over.
func (r *runner) work(life int) {
	for range time.Tick(5 * time.Millisecond) {
		r.mu.Lock()
		if !r.alive(life) {
			r.mu.Unlock()
			return
		}
		now := time.Now()
		for _, u := range r.runs {
			switch {
			case !u.ends.IsZero() && !u.ends.After(now):
				r.end(u, "done")
			case r.leaseEnd.Before(now):
				r.end(u, "lapsed")
			}
		}
		r.mu.Unlock()
	}
}

// beat writes the runner's entry, and removes it once the runner has been silent for three heartbeats.
func (r *runner) beat(life int) {
	last := time.Now()
	time.Sleep(firstBeat)
	for tick := time.Now(); ; tick = time.Now() {
		r.mu.Lock()
		alive, current := r.alive(life), r.life
		if alive {
			r.sequence++
			entry := r.entry()
			r.mu.Unlock()
			r.world.store.put("servers/"+r.id, entry)
			last = tick
		} else {
			r.mu.Unlock()
		}
		if current != life {
			return
		}
		if !alive && time.Since(last) > 3*heartbeat {
			r.world.store.remove("servers/" + r.id)
			return
		}
		for range 15 {
			time.Sleep(heartbeat / 15)
			r.mu.Lock()
			over := r.life != life
			r.mu.Unlock()
			if over {
				return
			}
		}
	}
}

// entry returns the runner's entry in the store; r.mu is held.
func (r *runner) entry() map[string]any {
	state := "ready"
	if r.draining {
		state = "draining"
	}

	return map[string]any{
		"service": r.service, "address": r.address, "zone": zone, "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0,
		"sequence": r.sequence, "born": r.born.UnixMilli(), "capacity": capacity(), "labels": r.labels,
	}
}

func capacity() map[string]int {
	return map[string]int{"cpu": 16000, "memMb": 32768, "gpu": 0}
}

func (r *runner) clock() int64 {
	return time.Since(r.born).Milliseconds()
}

// end ends a run; r.mu is held.
func (r *runner) end(u *run, how string) {
	delete(r.runs, runKey(u.task, u.attempt))
	r.settled[u.task] = max(r.settled[u.task], u.attempt)
	r.lastEnd++
	r.ends = append(r.ends, ending{r.lastEnd, u.task, u.attempt, how})
	r.world.ended(r, u.task, u.attempt, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

func runKey(task string, attempt int) string {
	return fmt.Sprint(task, "/", attempt)
}

func (r *runner) serve(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	if req.URL.Path == "/api/run-start" && req.Header.Get("Review-Late") == "" {
		var o order
		if json.Unmarshal(body, &o) == nil && r.holds(o, heldOrder{req.URL.Path, req.Header.Clone(), body, time.Now()}) {
			<-req.Context().Done()
			return
		}
	}
	r.carryOut(w, req, body)
}

// holds keeps a start on its way if the case wants that.
func (r *runner) holds(o order, h heldOrder) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holdStart == nil || !r.holdStart(o.Task, o.Attempt) {
		return false
	}
	r.held = append(r.held, h)
	r.world.note("start of %s run %d to runner %s is held up, token %d", o.Task, o.Attempt, r.id, o.Token)

	return true
}

// deliver hands a held order to the runner at its address, as the network does at last.
func (r *runner) deliver(h heldOrder) string {
	req, err := http.NewRequest(http.MethodPost, "http://"+r.address+h.path, strings.NewReader(string(h.body)))
	if err != nil {
		return err.Error()
	}
	req.Header = h.header.Clone()
	req.Header.Set("Review-Late", "1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)

	return fmt.Sprint(resp.StatusCode, " ", strings.TrimSpace(string(data)))
}

func (r *runner) carryOut(w http.ResponseWriter, req *http.Request, body []byte) {
	var o order
	if err := json.Unmarshal(body, &o); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	if want := req.Header.Get("Lycheehook-Expect-Instance"); want != "" && want != r.id {
		reply(w, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if o.Token < r.token {
		defer r.mu.Unlock()
		reply(w, http.StatusConflict, map[string]any{"clockMs": r.clock(), "reason": "fence"})
		return
	}
	r.token = o.Token
	switch req.URL.Path {
	case "/api/run-start":
		defer r.mu.Unlock()
		r.runStart(w, o)
	case "/api/run-stop":
		r.mu.Unlock()
		time.Sleep(stopTime)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.settled[o.Task] = max(r.settled[o.Task], o.Attempt)
		if u := r.runs[runKey(o.Task, o.Attempt)]; u != nil {
			r.end(u, "stopped")
		}
		reply(w, http.StatusOK, map[string]any{"clockMs": r.clock()})
	case "/api/pace":
		defer r.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"clockMs": r.clock()})
	case "/api/hold":
		r.hold(w, req, o)
	default:
		defer r.mu.Unlock()
		reply(w, http.StatusNotFound, map[string]any{})
	}
}

// extend gives what runs here a lease until a time on the runner's clock, at most holdMax; r.mu is held.
func (r *runner) extend(deadlineMs int64) {
	until := r.born.Add(time.Duration(deadlineMs) * time.Millisecond)
	if longest := time.Now().Add(holdMax); until.After(longest) {
		until = longest
	}
	if until.After(r.leaseEnd) {
		r.leaseEnd = until
	}
}

// runStart carries out a start; r.mu is held.
func (r *runner) runStart(w http.ResponseWriter, o order) {
	refuse := func(reason string) {
		reply(w, http.StatusConflict, map[string]any{"clockMs": r.clock(), "reason": reason})
	}
	switch {
	case r.runs[runKey(o.Task, o.Attempt)] != nil:
		reply(w, http.StatusOK, map[string]any{"clockMs": r.clock()})
		return
	case o.Attempt <= r.settled[o.Task]:
		r.extend(o.DeadlineMs)
		refuse("old")
		return
	case o.DeadlineMs <= r.clock():
		refuse("late")
		return
	}
	u := &run{task: o.Task, attempt: o.Attempt, began: time.Now()}
	var workMs int64
	if n, err := fmt.Sscanf(o.Spec, "work=%d", &workMs); n == 1 && err == nil {
		u.ends = u.began.Add(time.Duration(workMs) * time.Millisecond)
	}
	r.runs[runKey(o.Task, o.Attempt)] = u
	r.extend(o.DeadlineMs)
	r.world.began(r, o)
	reply(w, http.StatusOK, map[string]any{"clockMs": r.clock()})
}

// hold answers with both lists; r.mu is held, and released here.
func (r *runner) hold(w http.ResponseWriter, req *http.Request, o order) {
	defer r.mu.Unlock()
	if o.DeadlineMs > 0 {
		r.extend(o.DeadlineMs)
	}
	for len(r.ends) > 0 && r.ends[0].number <= o.AckedThrough {
		r.world.acked(r, r.ends[0])
		r.ends = r.ends[1:]
	}
	life := r.life
	timeout := time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	for waiting := o.WaitMs > 0; waiting && len(r.ends) == 0; {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-req.Context().Done():
			waiting = false
		}
		r.mu.Lock()
		if !r.alive(life) {
			panic(http.ErrAbortHandler)
		}
	}
	active, finished := [][]any{}, [][]any{}
	for _, u := range r.runs {
		percent := 100
		if !u.ends.IsZero() {
			percent = int(100 * time.Since(u.began) / u.ends.Sub(u.began))
		}
		active = append(active, []any{u.task, u.attempt, "", min(percent, 100), 0})
	}
	for _, e := range r.ends[:min(len(r.ends), 500)] {
		finished = append(finished, []any{e.number, e.task, e.attempt, e.how, ""})
	}
	reply(w, http.StatusOK, map[string]any{"clockMs": r.clock(), "born": r.born.UnixMilli(), "active": active, "finished": finished})
}
