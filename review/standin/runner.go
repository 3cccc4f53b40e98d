package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond
	holdMax   = 6 * time.Second
)

// runKey identifies a run of a task.
type runKey struct {
	Task    string
	Attempt int
}

// activeRun is a run in progress.
type activeRun struct {
	began time.Time
	work  time.Duration
	entry *runRecord
	// stopAt is when the run ends by a stop; zero if none was ordered.
	stopAt time.Time
}

type endedRun struct {
	number uint64
	key    runKey
	how    string
	entry  *runRecord
}

// runner is a stand-in of a worker. Each life of it begins with start and ends with crash.
type runner struct {
	id, machine, service, rack string
	cpu, lives                 int
	// clockError is how far the time of day of the runner's machine is ahead of true time.
	clockError time.Duration
	// work is how long a task works whose spec doesn't say so in milliseconds, stopTime how long a stop takes.
	work, stopTime time.Duration
	store          *metadataStore
	rec            *recorder
	address        string

	mu       sync.Mutex
	up       bool
	draining bool
	server   *http.Server
	born     time.Time
	// bornMs is born as the machine's time of day has it.
	bornMs   int64
	token    uint64
	leaseEnd time.Time
	runs     map[runKey]*activeRun
	highest  map[string]int
	ends     []endedRun
	number   uint64
	sequence int
	changed  chan struct{}
	// dark runners have crashed and don't answer; connections to them hang.
	dark bool
	// unhealthy runners refuse all starts.
	unhealthy bool
}

// start begins a new life at the runner's address and registers it.
func (r *runner) start() error {
	listen := listenFree
	if r.address != "" {
		listen = func() (net.Listener, error) { return net.Listen("tcp", r.address) }
	}
	l, err := listen()
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.address = l.Addr().String()
	r.up, r.born, r.token, r.leaseEnd = true, time.Now(), 0, time.Time{}
	r.bornMs = r.born.Add(r.clockError).UnixMilli()
	r.runs, r.highest, r.ends, r.number, r.sequence = map[runKey]*activeRun{}, map[string]int{}, nil, 0, 0
	r.changed = make(chan struct{})
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	server, born := r.server, r.born
	r.mu.Unlock()
	r.rec.logf("runner %s up at %s, born %d", r.id, r.address, r.bornMs)
	go func() { _ = server.Serve(l) }()
	r.register()
	go func() {
		for tick := 0; ; tick++ {
			time.Sleep(5 * time.Millisecond)
			r.mu.Lock()
			alive := r.up && r.born.Equal(born)
			if alive {
				r.advance()
			}
			r.mu.Unlock()
			if !alive {
				return
			}
			if tick%int(heartbeat/(5*time.Millisecond)) == 0 {
				r.register()
			}
		}
	}()

	return nil
}

// goDark ends the runner's life like crash, but its machine is silent instead of refusing connections.
func (r *runner) goDark() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for k, a := range r.runs {
		a.entry.end(now, "gone")
		r.rec.logf("run %s/%d on %s: gone", k.Task, k.Attempt, r.id)
	}
	r.runs, r.up, r.dark = map[runKey]*activeRun{}, false, true
	r.rec.logf("runner %s crashed and is dark", r.id)
}

// crash ends the runner's life without notice; nothing of it remains.
func (r *runner) crash() {
	r.mu.Lock()
	now := time.Now()
	for k, a := range r.runs {
		a.entry.end(now, "gone")
		r.rec.logf("run %s/%d on %s: gone", k.Task, k.Attempt, r.id)
	}
	r.runs, r.up = map[runKey]*activeRun{}, false
	server := r.server
	r.mu.Unlock()
	_ = server.Close()
	r.rec.logf("runner %s crashed", r.id)
}

// replace starts a runner with a new id and at a new address on the machine of one that has crashed.
func (r *runner) replace() error {
	r.store.remove("servers/" + r.id)
	r.mu.Lock()
	server := r.server
	r.lives++
	r.id, r.address, r.dark = fmt.Sprintf("%s-life%d", strings.SplitN(r.id, "-life", 2)[0], r.lives), "", false
	r.mu.Unlock()
	_ = server.Close()

	return r.start()
}

func (r *runner) register() {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	r.sequence++
	state := "ready"
	if r.draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": r.service, "address": r.address, "zone": "z-a", "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0,
		"capacity": map[string]int{"cpu": r.cpu, "memMb": 32768, "gpu": 0}, "labels": []string{"a", r.rack},
		"clockMs": time.Since(r.born).Milliseconds(), "sequence": r.sequence, "born": r.bornMs,
	}
	r.mu.Unlock()
	r.store.set("servers/"+r.id, entry)
}

// advance ends the runs whose time has come. r.mu must be held.
func (r *runner) advance() {
	now := time.Now()
	for k, a := range r.runs {
		done := a.began.Add(a.work)
		switch {
		case now.After(r.leaseEnd):
			r.finish(k, a, r.leaseEnd, "lapsed")
		case !done.After(now) && (a.stopAt.IsZero() || done.Before(a.stopAt)):
			r.finish(k, a, done, "done")
		case !a.stopAt.IsZero() && !a.stopAt.After(now):
			r.finish(k, a, a.stopAt, "stopped")
		}
	}
}

func (r *runner) finish(k runKey, a *activeRun, at time.Time, how string) {
	delete(r.runs, k)
	r.number++
	r.ends = append(r.ends, endedRun{r.number, k, how, a.entry})
	r.highest[k.Task] = max(r.highest[k.Task], k.Attempt)
	a.entry.end(at, how)
	r.rec.logf("run %s/%d on %s: %s", k.Task, k.Attempt, r.id, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *runner) serve(w http.ResponseWriter, req *http.Request) {
	var o struct {
		Task         string  `json:"task"`
		Attempt      int     `json:"attempt"`
		Spec         string  `json:"spec"`
		Token        uint64  `json:"fencingToken"`
		DeadlineMs   float64 `json:"deadlineMs"`
		AckedThrough uint64  `json:"ackedThrough"`
		WaitMs       int64   `json:"waitMs"`
	}
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if want := req.Header.Get("Lycheehook-Expect-Instance"); want != "" && want != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	if r.dark {
		r.mu.Unlock()
		<-req.Context().Done()
		return
	}
	if !r.up {
		r.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	r.advance()
	if o.Token < r.token {
		r.refuse(w, "fence")
		return
	}
	if r.unhealthy && req.URL.Path == "/api/run-start" {
		r.mu.Unlock()
		r.rec.logf("run %s/%d on %s: refused with 503", o.Task, o.Attempt, r.id)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.token = o.Token
	now, key := time.Now(), runKey{o.Task, o.Attempt}
	deadline := r.born.Add(time.Duration(o.DeadlineMs) * time.Millisecond)
	if limit := now.Add(holdMax); deadline.After(limit) {
		deadline = limit
	}
	switch req.URL.Path {
	case "/api/run-start":
		if _, there := r.runs[key]; there {
			break
		}
		if o.Attempt <= r.highest[o.Task] {
			r.refuse(w, "old")
			return
		}
		if !deadline.After(now) {
			r.refuse(w, "late")
			return
		}
		if deadline.After(r.leaseEnd) {
			r.leaseEnd = deadline
		}
		work := r.work
		if ms, err := strconv.Atoi(o.Spec); err == nil {
			work = time.Duration(ms) * time.Millisecond
		}
		r.runs[key] = &activeRun{began: now, work: work, entry: r.rec.began(key, r.id, r.born, now)}
		r.rec.logf("run %s/%d on %s: started", o.Task, o.Attempt, r.id)
	case "/api/run-stop":
		r.highest[o.Task] = max(r.highest[o.Task], o.Attempt)
		if a, there := r.runs[key]; there && a.stopAt.IsZero() {
			a.stopAt = now.Add(r.stopTime)
			r.rec.logf("run %s/%d on %s: stop ordered", o.Task, o.Attempt, r.id)
		}
	case "/api/hold":
		if o.DeadlineMs > 0 && deadline.After(r.leaseEnd) {
			r.leaseEnd = deadline
		}
		r.ends = slices.DeleteFunc(r.ends, func(e endedRun) bool {
			if e.number <= o.AckedThrough {
				e.entry.noted(now)
			}

			return e.number <= o.AckedThrough
		})
		r.hold(w, req, time.Duration(o.WaitMs)*time.Millisecond)
		return
	case "/api/pace":
	default:
		r.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
		return
	}
	clock := time.Since(r.born).Milliseconds()
	r.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"clockMs": clock})
}

// refuse answers 409 and releases r.mu.
func (r *runner) refuse(w http.ResponseWriter, reason string) {
	clock := time.Since(r.born).Milliseconds()
	r.mu.Unlock()
	writeJSON(w, http.StatusConflict, map[string]any{"clockMs": clock, "reason": reason})
}

// hold answers with both lists once a run has ended or the wait is over, and releases r.mu.
func (r *runner) hold(w http.ResponseWriter, req *http.Request, wait time.Duration) {
	timeout := time.After(wait)
	for len(r.ends) == 0 && wait > 0 {
		changed := r.changed
		r.mu.Unlock()
		ended := false
		select {
		case <-changed:
		case <-timeout:
			ended = true
		case <-req.Context().Done():
			ended = true
		}
		r.mu.Lock()
		if ended {
			break
		}
	}
	if !r.up {
		r.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	active, finished := [][]any{}, [][]any{}
	for k, a := range r.runs {
		percent := int(100 * time.Since(a.began) / max(1, a.work))
		active = append(active, []any{k.Task, k.Attempt, "", min(99, percent), 0})
	}
	for _, e := range r.ends[:min(len(r.ends), 500)] {
		finished = append(finished, []any{e.number, e.key.Task, e.key.Attempt, e.how, ""})
	}
	answer := map[string]any{"clockMs": time.Since(r.born).Milliseconds(), "born": r.bornMs, "active": active, "finished": finished}
	r.mu.Unlock()
	writeJSON(w, http.StatusOK, answer)
}
