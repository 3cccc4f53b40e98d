package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	zone = "z-a"
	// service is the only service of these deployments, and route its queue.
	service = "svc-a"
	host    = "a.example"
	prefix  = "/q/"
	apiKey  = "key-of-tenant-a"
	// restartPause is the short delay after which a process that was killed is started again.
	restartPause = 500 * time.Millisecond
)

// world is a small deployment: the platform's store, its machines and runners, and some processes of the system.
type world struct {
	store    *kvStore
	cloud    *cloud
	runners  []*runner
	managers []*manager
	wave     *wave
	dir      string
	trouble  bool
	servers  []*http.Server
	// runnersMade numbers the runners.
	runnersMade int

	mu     sync.Mutex
	began0 time.Time
	record *os.File
	runs   []*runRecord
}

// runRecord is a run that a runner has begun, as the runners and their platform see it.
type runRecord struct {
	runner  string
	life    int
	task    string
	attempt int
	spec    string
	began   time.Time
	ended   time.Time
	how     string
	// acked is when the end was taken note of: ackedThrough reached it.
	acked time.Time
}

// wave is an operator's request for upkeep.
type wave struct {
	Cohort    int64    `json:"cohort"`
	Machines  []string `json:"machines"`
	DurationS float64  `json:"durationS"`
	MaxCount  int      `json:"maxCount"`
}

func (v *wave) has(name string) bool {
	for _, m := range v.Machines {
		if m == name {
			return true
		}
	}

	return false
}

// manager is a process of the system, run by the command of the deploy file.
type manager struct {
	world    *world
	name     string
	settings string
	callers  string
	ready    string
	mu       sync.Mutex
	process  *os.Process
	closed   bool
}

func newWorld(dir string, trouble bool) (*world, error) {
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	w := &world{store: newStore(), dir: temporary, trouble: trouble, record: record, began0: time.Now()}
	w.cloud = newCloud(w)

	return w, nil
}

// note writes a line to record.txt.
func (w *world) note(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(w.began0).Seconds(), fmt.Sprintf(format, values...))
	_, _ = w.record.WriteString(line)
	if os.Getenv("VERBOSE") != "" {
		fmt.Print(line)
	}
}

// serve serves a handler on a free loopback port and returns its address.
func (w *world) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", ownAddress+":0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	w.servers = append(w.servers, s)
	go func() { _ = s.Serve(l) }()

	return l.Addr().String(), nil
}

// ownAddress is a loopback address that no other run of this program uses at the time. Connections of other processes don't take its ports.
var ownAddress = fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>14&63, os.Getpid()>>7&127, 1+os.Getpid()&127)

// taken has the addresses that freeAddress has returned.
var (
	takenMu sync.Mutex
	taken   = map[string]bool{}
)

// freeAddress returns a loopback address with a free port, each only once.
func freeAddress() (string, error) {
	takenMu.Lock()
	defer takenMu.Unlock()
	for {
		l, err := net.Listen("tcp", ownAddress+":0")
		if err != nil {
			return "", err
		}
		a := l.Addr().String()
		if err := l.Close(); err != nil {
			return "", err
		}
		if !taken[a] {
			taken[a] = true
			return a, nil
		}
	}
}

// newRunner returns a runner on a machine, which is not started yet.
func (w *world) newRunner(machineName string, labels []string) *runner {
	address, err := freeAddress()
	if err != nil {
		panic(err)
	}
	w.runnersMade++
	r := &runner{
		world: w, id: fmt.Sprintf("i-%04d", w.runnersMade), machine: machineName, address: address, service: service, labels: labels,
	}
	w.mu.Lock()
	w.runners = append(w.runners, r)
	w.mu.Unlock()

	return r
}

// build starts a deployment with some machines and managers, and waits until the managers are ready.
func (w *world) build(machines, managers int) error {
	w.store.put("op/config", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "q-a", "host": host, "pathPrefix": prefix, "service": service, "priority": 0, "maxAttempts": 3, "slackFactor": 2.0,
			"targetLatencyMs": 600,
		}},
		"services": []any{map[string]any{"name": service, "enforceCapacity": false, "standby": false}},
		"limits":   map[string]any{"maxBodyBytes": 262144},
		"tenants": []any{map[string]any{
			"name": "tenant-a", "apiKeys": []string{apiKey}, "weight": 1.0, "maxCount": map[string]int{"cpu": 0, "memMb": 0, "gpu": 0},
		}},
	})
	for i := range machines {
		r := w.newRunner(fmt.Sprintf("m-%02d", i), []string{"a", fmt.Sprintf("r-%d", i/4)})
		w.cloud.add(r)
		if err := r.start(); err != nil {
			return err
		}
	}
	storeAddress, err := w.serve(w.store.handler())
	if err != nil {
		return err
	}
	cloudAddress, err := w.serve(w.cloud.handler())
	if err != nil {
		return err
	}
	var peers []string
	for range managers {
		a, err := freeAddress()
		if err != nil {
			return err
		}
		peers = append(peers, a)
	}
	for i := range managers {
		if err := w.addManager(i, peers, storeAddress, cloudAddress); err != nil {
			return err
		}
	}

	return w.awaitReady()
}

// addManager writes the settings of a manager, as the template of the deploy file makes them, and starts it.
func (w *world) addManager(i int, peers []string, storeAddress, cloudAddress string) error {
	m := &manager{world: w, name: fmt.Sprintf("edge-%s-%d", zone, i+1), settings: filepath.Join(w.dir, fmt.Sprintf("manager-%d.json", i+1))}
	var own []string
	for range 3 {
		a, err := freeAddress()
		if err != nil {
			return err
		}
		own = append(own, a)
	}
	m.callers, m.ready = own[0], own[1]
	data, err := json.MarshalIndent(map[string]any{
		"Name": m.name, "Zone": zone, "CallerAddress": m.callers, "ReadyAddress": m.ready, "PeerAddress": peers[i], "MetricsAddress": own[2],
		"SeedAddresses": peers[:min(len(peers), 3)], "StoreAddress": storeAddress, "CloudAddress": cloudAddress, "AdviceAddress": "",
		"Cores": 0.4, "MemoryMegabytes": 284, "LinkMegabits": 1000,
		"Bounds": map[string]string{"MaxLease": "6000ms", "StatusTime": "120s", "HandoverQuiet": "3000ms", "MoveTime": "1.5s", "Grace": "6s"},
	}, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(m.settings, data, 0o600); err != nil {
		return err
	}
	w.managers = append(w.managers, m)

	return m.start()
}

// start starts the process with the command of the deploy file.
func (m *manager) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return nil
	}
	log, err := os.OpenFile(m.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/lycheehook", "manager")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LYCHEEHOOK_SETTINGS=" + m.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.process = cmd.Process
	m.world.note("%s starts", m.name)
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
	}()

	return nil
}

// kill kills the process; the platform starts it again after a short delay.
func (m *manager) kill() {
	m.world.note("%s is killed", m.name)
	m.mu.Lock()
	_ = m.process.Kill()
	m.mu.Unlock()
	go func() {
		time.Sleep(restartPause)
		if err := m.start(); err != nil {
			m.world.note("%s can't start: %v", m.name, err)
		}
	}()
}

// close ends all that was started.
func (w *world) close() {
	for _, m := range w.managers {
		m.mu.Lock()
		m.closed = true
		if m.process != nil {
			_ = m.process.Kill()
		}
		m.mu.Unlock()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(w.dir))
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

func (w *world) awaitReady() error {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, m := range w.managers {
			resp, err := http.Get("http://" + m.ready + "/api/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(w.managers) {
			w.note("all managers are ready")
			return nil
		}
	}

	return fmt.Errorf("the managers did not become ready")
}

// began and ended note runs; the runner holds its own lock.
func (w *world) began(r *runner, o order) {
	w.mu.Lock()
	w.runs = append(w.runs, &runRecord{runner: r.id, life: r.life, task: o.Task, attempt: o.Attempt, spec: o.Spec, began: time.Now()})
	w.mu.Unlock()
	w.note("runner %s, life %d, begins %s run %d, token %d", r.id, r.life, o.Task, o.Attempt, o.Token)
}

func (w *world) ended(r *runner, task string, attempt int, how string) {
	w.mu.Lock()
	for _, u := range w.runs {
		if u.runner == r.id && u.life == r.life && u.task == task && u.attempt == attempt && u.ended.IsZero() {
			u.ended, u.how = time.Now(), how
		}
	}
	w.mu.Unlock()
	w.note("runner %s, life %d: %s run %d ends %s", r.id, r.life, task, attempt, how)
}

func (w *world) acked(r *runner, e ending) {
	w.mu.Lock()
	for _, u := range w.runs {
		if u.runner == r.id && u.life == r.life && u.task == e.task && u.attempt == e.attempt && u.acked.IsZero() {
			u.acked = time.Now()
		}
	}
	w.mu.Unlock()
	w.note("the end of %s run %d on runner %s is taken note of", e.task, e.attempt, r.id)
}

// runsOf returns copies of the runs of a task.
func (w *world) runsOf(task string) []runRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []runRecord
	for _, u := range w.runs {
		if u.task == task {
			list = append(list, *u)
		}
	}

	return list
}

// runnerOf returns the runner with an id.
func (w *world) runnerOf(id string) *runner {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runners {
		if r.id == id {
			return r
		}
	}

	return nil
}

// call makes a client's call to one manager.
func (w *world) call(m *manager, method, id string, body any) (int, string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.callers+prefix+id, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Api-Key", apiKey)
	req.Header.Set("Lycheehook-Deadline-Ms", "3000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "no answer"
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "no whole answer"
	}

	return resp.StatusCode, string(bytes.TrimSpace(answer))
}

// submit hands a job in, at one manager after the other, until it is accepted.
func (w *world) submit(id string, job map[string]any) error {
	for i := range 20 {
		m := w.managers[i%len(w.managers)]
		status, answer := w.call(m, http.MethodPost, id, job)
		w.note("POST %s to %s: %d %s", id, m.name, status, answer)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}

	return fmt.Errorf("job %s was not accepted", id)
}

// state asks one manager after the other for the state of a job.
func (w *world) state(id string) string {
	for _, m := range w.managers {
		status, answer := w.call(m, http.MethodGet, id, nil)
		var s struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(answer), &s) == nil {
			return s.State
		}
	}

	return "no answer"
}

// job returns a job of one step.
func job(count int, workMs int, cpu int) map[string]any {
	return map[string]any{
		"spec":   fmt.Sprintf("work=%d", workMs),
		"phases": []any{map[string]any{"count": count, "cpu": cpu, "memMb": 64, "estimateMs": workMs}},
	}
}

// await waits until a condition holds, and reports whether it did in time.
func await(timeout time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if condition() {
			return true
		}
	}

	return false
}
