package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

// TaskWorker is a fake worker with the published protocol of the users' platform.
type TaskWorker struct {
	mu    sync.Mutex
	born  time.Time
	token uint64
	// taskTime is how long a run takes; zero means until it is stopped.
	taskTime time.Duration
	leaseEnd time.Duration
	runs     map[runKey]time.Time
	highest  map[string]int
	ends     []taskEnd
	number   uint64
	changed  chan struct{}
	starts   map[runKey]int
	// cores is the capacity that the worker reports, in thousandths of a core. Starts that exceed it are not rejected.
	cores int
	// loseAnswers makes the worker execute starts and stops without responding.
	loseAnswers bool
	observe     func(RunEvent)
}

// RunEvent is the start or the end of a run on a worker.
type RunEvent struct {
	Task    string
	Attempt int
	At      time.Time
	// How is the outcome of the run; empty for its start.
	How string
}

type runKey struct {
	Task    string
	Attempt int
}

type taskEnd struct {
	number uint64
	run    runKey
	how    string
}

type runOrder struct {
	Task         string `json:"task"`
	Attempt      int    `json:"attempt"`
	Token        uint64 `json:"fencingToken"`
	DeadlineMs   int64  `json:"deadlineMs"`
	AckedThrough uint64 `json:"ackedThrough"`
	WaitMs       int64  `json:"waitMs"`
}

// defaultCores is the capacity that a worker reports until SetCores is called, in thousandths of a core.
const defaultCores = 16000

// NewTaskWorker returns a worker whose runs are done after taskTime, or never if that is zero.
func NewTaskWorker(taskTime time.Duration) *TaskWorker {
	return &TaskWorker{
		born: time.Now(), taskTime: taskTime, runs: map[runKey]time.Time{}, highest: map[string]int{}, changed: make(chan struct{}),
		starts: map[runKey]int{}, observe: func(RunEvent) {}, cores: defaultCores,
	}
}

// Observe sets a function that is called for each start and end of a run, with w.mu held.
func (w *TaskWorker) Observe(f func(RunEvent)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.observe = f
}

// Restart begins a new incarnation under the same ID, which has no runs and has seen no token. The runs of the last one
// end as gone, also those whose ends are not acknowledged.
func (w *TaskWorker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire()
	now := time.Now()
	for run := range w.runs {
		w.observe(RunEvent{Task: run.Task, Attempt: run.Attempt, At: now, How: "gone"})
	}
	for _, e := range w.ends {
		w.observe(RunEvent{Task: e.run.Task, Attempt: e.run.Attempt, At: now, How: "gone"})
	}
	w.born, w.token, w.leaseEnd, w.number = now, 0, 0, 0
	w.runs, w.highest, w.ends = map[runKey]time.Time{}, map[string]int{}, nil
}

// Unsettled returns the tasks of which a run is active, or has ended and is not acknowledged; a restart loses both.
func (w *TaskWorker) Unsettled() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire()
	var tasks []string
	for run := range w.runs {
		tasks = append(tasks, run.Task)
	}
	for _, e := range w.ends {
		tasks = append(tasks, e.run.Task)
	}

	return tasks
}

// Expire ends the runs whose time or lease is over, and reports them to the observer.
func (w *TaskWorker) Expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire()
}

// SetCores sets the capacity that later registrations report, in thousandths of a core.
func (w *TaskWorker) SetCores(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cores = n
}

// Registration returns the worker's record in the store.
func (w *TaskWorker) Registration(service, address, rack string) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	data, err := json.Marshal(map[string]any{
		"service": service, "address": address, "zone": "z", "state": "ready", "born": w.born.UnixMilli(), "labels": []string{"a", rack},
		"capacity": map[string]int{"cpu": w.cores, "memMb": 32768, "gpu": 0},
	})
	if err != nil {
		// A map of strings and numbers can always be encoded.
		panic(err)
	}

	return data
}

// Born returns when the incarnation began that is up.
func (w *TaskWorker) Born() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.born
}

// SetLoseAnswers sets whether the worker executes starts and stops without responding.
func (w *TaskWorker) SetLoseAnswers(lose bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loseAnswers = lose
}

// Starts returns the number of runs by task.
func (w *TaskWorker) Starts() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := map[string]int{}
	for run, n := range w.starts {
		counts[run.Task] += n
	}

	return counts
}

// pathHold is the path of the call that renews leases and returns the active and finished runs.
const pathHold = "/api/hold"

// ServeHTTP implements http.Handler.
func (w *TaskWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o runOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	status, answer := w.carryOut(r.URL.Path, o)
	lose := w.loseAnswers && r.URL.Path != pathHold
	w.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == pathHold && status == http.StatusOK {
		answer = w.hold(r, o)
	}
	kvWrite(rw, status, answer)
}

// carryOut checks the fencing token and executes an order. w.mu must be held.
func (w *TaskWorker) carryOut(path string, o runOrder) (int, any) {
	w.expire()
	if o.Token < w.token {
		return http.StatusConflict, w.answer("fence")
	}
	w.token = o.Token
	run := runKey{o.Task, o.Attempt}
	switch path {
	case pathStart:
		if _, there := w.runs[run]; there {
			return http.StatusOK, w.answer("")
		}
		if o.Attempt <= w.highest[o.Task] {
			return http.StatusConflict, w.answer("old")
		}
		if time.Duration(o.DeadlineMs)*time.Millisecond <= w.clock() {
			return http.StatusConflict, w.answer("late")
		}
		w.runs[run] = time.Now()
		w.starts[run]++
		w.extend(o)
		w.observe(RunEvent{Task: o.Task, Attempt: o.Attempt, At: time.Now()})
	case "/api/run-stop":
		w.highest[o.Task] = max(w.highest[o.Task], o.Attempt)
		if _, there := w.runs[run]; there {
			w.end(run, "stopped", time.Now())
		}
	case pathHold:
		w.extend(o)
		w.ends = slices.DeleteFunc(w.ends, func(e taskEnd) bool { return e.number <= o.AckedThrough })
	}

	return http.StatusOK, w.answer("")
}

func (w *TaskWorker) clock() time.Duration {
	return time.Since(w.born)
}

func (w *TaskWorker) extend(o runOrder) {
	w.leaseEnd = max(w.leaseEnd, time.Duration(o.DeadlineMs)*time.Millisecond)
}

func (w *TaskWorker) end(run runKey, how string, at time.Time) {
	delete(w.runs, run)
	w.observe(RunEvent{Task: run.Task, Attempt: run.Attempt, At: at, How: how})
	w.highest[run.Task] = max(w.highest[run.Task], run.Attempt)
	w.number++
	w.ends = append(w.ends, taskEnd{w.number, run, how})
	close(w.changed)
	w.changed = make(chan struct{})
}

// expire ends the runs that are done or whose lease has expired. w.mu must be held.
func (w *TaskWorker) expire() {
	now, expiry := time.Now(), w.born.Add(w.leaseEnd)
	for run, began := range w.runs {
		done := began.Add(w.taskTime)
		switch {
		case w.taskTime > 0 && !done.After(now) && !done.After(expiry):
			w.end(run, "done", done)
		case now.After(expiry):
			w.end(run, "lapsed", expiry)
		}
	}
}

// hold waits until a run has ended, at most for the requested time, and returns the active and finished runs.
func (w *TaskWorker) hold(r *http.Request, o runOrder) any {
	const look = 10 * time.Millisecond
	deadline := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond)
	for {
		w.mu.Lock()
		w.expire()
		ended := len(w.ends) > 0
		w.mu.Unlock()
		if ended || time.Now().After(deadline) || r.Context().Err() != nil {
			break
		}
		time.Sleep(look)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	active, finished := [][]any{}, [][]any{}
	for run := range w.runs {
		active = append(active, []any{run.Task, run.Attempt, "", 100, 0})
	}
	for _, e := range w.ends {
		finished = append(finished, []any{e.number, e.run.Task, e.run.Attempt, e.how, ""})
	}

	return map[string]any{"clockMs": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "active": active, "finished": finished}
}

// answer returns the answer to an order, which does not name the incarnation.
func (w *TaskWorker) answer(reason string) any {
	a := map[string]any{"clockMs": w.clock().Milliseconds()}
	if reason != "" {
		a["reason"] = reason
	}

	return a
}
