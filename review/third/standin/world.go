// Command review3 plays the cases of the third review: it starts the project's manager as separate processes and stand-ins of the
// store, the cloud, the runners and the clients.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

var capacity = map[string]any{"cpu": 16000, "memMb": 32768, "gpu": 0}

func check(err error) {
	if err != nil {
		panic(err)
	}
}

func readAll(r *http.Request) []byte {
	body, _ := io.ReadAll(r.Body)

	return body
}

// World is a small deployment.
type World struct {
	dir       string
	temp      string
	program   string
	trouble   bool
	start     time.Time
	record    *os.File
	store     *Store
	storeAddr string
	cloud     *Cloud
	runners   []*Runner
	managers  []*Manager
	// quiet is how the tasks begin of which the record is not to tell; empty for none.
	quiet string
	// onOrder may handle an order to a runner in its place.
	onOrder func(r *Runner, w http.ResponseWriter, q *http.Request, body []byte) bool

	// finishing is set once the case is over.
	finishing atomic.Bool

	mu     sync.Mutex
	broken []string
	// runs has what was run, by task.
	runs map[string][]*seen
}

// seen is a run as it was seen at a runner.
type seen struct {
	runner   string
	attempt  int
	from, to time.Time
	how      string
	// acked is when the end was acknowledged; zero if it was not.
	acked time.Time
}

// NewWorld returns a deployment with a store only; dir is the folder of the case.
func NewWorld(dir string) *World {
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	check(err)
	temp, err := os.MkdirTemp("", "review3-")
	check(err)
	program := os.Getenv("LYCHEEHOOK_PROGRAM")
	if program == "" {
		program = "target/lycheehook"
	}
	w := &World{dir: dir, temp: temp, program: program, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: record, store: NewStore(), runs: map[string][]*seen{}}
	w.storeAddr = serveOn(w.store)
	w.Log("trouble: %v", w.trouble)

	return w
}

func serveOn(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	go func() { _ = http.Serve(l, h) }()

	return l.Addr().String()
}

// Log writes a line of the record.
func (w *World) Log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// tell is Log, but for the tasks of which the record is not to tell.
func (w *World) tell(task, format string, args ...any) {
	if w.quiet == "" || !strings.HasPrefix(task, w.quiet) {
		w.Log(format, args...)
	}
}

// Break notes that the rule was broken.
func (w *World) Break(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.Log("BROKEN %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, text)
}

// began notes that a runner has begun a run; the runner's lock is held.
func (w *World) began(r *Runner, a *run) {
	w.tell(a.task, "runner %s begins %s run %d", r.id, a.task, a.attempt)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[a.task] = append(w.runs[a.task], &seen{runner: r.id, attempt: a.attempt, from: a.began})
}

// ended notes how a run ended; the runner's lock is held.
func (w *World) ended(r *Runner, a *run, how string) {
	w.tell(a.task, "runner %s ends %s run %d: %s", r.id, a.task, a.attempt, how)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.runs[a.task] {
		if s.runner == r.id && s.attempt == a.attempt && s.to.IsZero() {
			s.to, s.how = time.Now(), how
		}
	}
}

// acknowledged notes that the end of a run was acknowledged; the runner's lock is held.
func (w *World) acknowledged(r *Runner, e end) {
	w.tell(e.task, "the end of %s run %d at %s is acknowledged", e.task, e.attempt, r.id)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.runs[e.task] {
		if s.runner == r.id && s.attempt == e.attempt && s.acked.IsZero() {
			s.acked = time.Now()
		}
	}
}

// Runs returns the runs of a task.
func (w *World) Runs(task string) []seen {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []seen
	for _, s := range w.runs[task] {
		list = append(list, *s)
	}

	return list
}

// Manager is a process of the project on an entry host.
type Manager struct {
	w        *World
	name     string
	front    string
	ready    string
	peer     string
	settings string
	store    string
	mu       sync.Mutex
	cmd      *exec.Cmd
	log      *os.File
	done     chan struct{}
}

// givenPorts has the ports that freePort has returned, of which some are not in use yet.
var givenPorts = map[int]bool{}

// freePort returns a port that is free now and that it has not returned before, below those that outgoing connections take.
func freePort() int {
	for range 1000 {
		port := 20000 + rand.IntN(12000)
		if givenPorts[port] {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			givenPorts[port] = true
			_ = l.Close()
			return port
		}
	}
	panic("no free port")
}

// AddManager writes the settings of an entry host, as deploy/manager.json.tmpl gives them, and starts its process. Its calls to the
// store go to the given address.
func (w *World) AddManager(store string) *Manager {
	i := len(w.managers)
	at := func() string { return fmt.Sprintf("127.0.0.1:%d", freePort()) }
	m := &Manager{w: w, name: fmt.Sprintf("edge-z-a-%d", i+1), front: at(), ready: at(), peer: at(), store: store}
	cloud := ""
	if w.cloud != nil {
		cloud = w.cloud.addr
	}
	s := map[string]any{
		"Name": m.name, "Zone": "z-a", "CallerAddress": m.front, "ReadyAddress": m.ready, "PeerAddress": m.peer, "MetricsAddress": at(),
		"SeedAddresses": []string{}, "StoreAddress": store, "CloudAddress": cloud, "AdviceAddress": "",
		"Cores": 0.4, "MemoryMegabytes": 284, "MaxDescriptors": 4100, "LinkMegabits": 1000.0,
		"Bounds": map[string]any{"MaxLease": "6000ms", "StatusTime": "120s", "HandoverQuiet": "3000ms", "MoveTime": "1.5s", "Grace": "6s"},
	}
	data, err := json.Marshal(s)
	check(err)
	m.settings = filepath.Join(w.temp, m.name+".json")
	check(os.WriteFile(m.settings, data, 0o600))
	m.log, err = os.Create(filepath.Join(w.temp, m.name+".log"))
	check(err)
	w.managers = append(w.managers, m)
	m.Start()

	return m
}

// Start starts the process.
func (m *Manager) Start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	cmd := exec.Command(m.w.program, "manager")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LYCHEEHOOK_SETTINGS=" + m.settings}
	cmd.Stdout, cmd.Stderr = m.log, m.log
	check(cmd.Start())
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	m.cmd, m.done = cmd, done
	m.w.Log("manager %s starts as process %d", m.name, cmd.Process.Pid)
}

// Signal sends a signal to the process.
func (m *Manager) Signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.w.Log("DISRUPTION manager %s gets %v", m.name, s)
	_ = m.cmd.Process.Signal(s)
}

// Kill kills the process and waits for its end.
func (m *Manager) Kill() {
	m.Signal(syscall.SIGKILL)
	<-m.done
}

// Ended reports whether the process has ended.
func (m *Manager) Ended() bool {
	select {
	case <-m.done:
		return true
	default:
		return false
	}
}

// Owner returns the manager that acts for the runners, by the log of each; nil if none is known.
func (w *World) Owner() *Manager {
	v, ok := w.store.Get("lycheehook/owner")
	if !ok {
		return nil
	}
	for _, m := range w.managers {
		if strings.Contains(v, m.name) {
			return m
		}
	}

	return nil
}

// AwaitReady waits until all managers say that they are ready.
func (w *World) AwaitReady() {
	for _, m := range w.managers {
		w.Await("manager "+m.name+" is ready", 20*time.Second, func() bool {
			c := http.Client{Timeout: time.Second}
			resp, err := c.Get("http://" + m.ready + "/api/readyz")
			if err != nil {
				return false
			}
			_ = resp.Body.Close()

			return resp.StatusCode == 200
		})
	}
}

// Await waits for a condition, without which the case can't run.
func (w *World) Await(what string, limit time.Duration, f func() bool) {
	if !w.Until(limit, f) {
		w.Log("the case can't run: %s did not happen in %v", what, limit)
		w.Finish(2)
	}
	w.Log("%s", what)
}

// Until waits for a condition and reports whether it has come true.
func (w *World) Until(limit time.Duration, f func() bool) bool {
	for due := time.Now().Add(limit); time.Now().Before(due); time.Sleep(5 * time.Millisecond) {
		if f() {
			return true
		}
	}

	return f()
}

// Call sends a client's request to a manager.
func (w *World) Call(m *Manager, method, path string, body any, timeout time.Duration) (int, string) {
	return w.CallKey(m, method, path, "key-one", body, timeout)
}

// CallKey is Call with a key.
func (w *World) CallKey(m *Manager, method, path, key string, body any, timeout time.Duration) (int, string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, err := http.NewRequest(method, "http://"+m.front+path, bytes.NewReader(data))
	check(err)
	req.Host = "jobs.example"
	req.Header.Set("Api-Key", key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Lycheehook-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	c := http.Client{Timeout: timeout}
	resp, err := c.Do(req)
	if err != nil {
		w.Log("client: %s %s at %s: no answer (%v)", method, path, m.name, err)
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(resp.Body)
	w.Log("client: %s %s at %s: %d %s", method, path, m.name, resp.StatusCode, text)

	return resp.StatusCode, string(text)
}

// State asks a manager for a job's state; it is empty without a 200.
func (w *World) State(m *Manager, path string) string {
	status, text := w.Call(m, "GET", path, nil, 3*time.Second)
	var s struct{ State string }
	if status != 200 || json.Unmarshal([]byte(text), &s) != nil {
		return ""
	}

	return s.State
}

// Configure writes a configuration with one queue, one service and one tenant.
func (w *World) Configure(version int, services []map[string]any, routes []map[string]any, tenants []map[string]any) {
	w.store.Put("op/config", map[string]any{
		"version": version, "services": services, "routes": routes, "tenants": tenants,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	w.Log("operator: configuration %d is acknowledged", version)
}

func service(name string, standby bool) map[string]any {
	return map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": false, "enforceCapacity": false, "standby": standby}
}

func route(name, prefix, svc string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": "jobs.example", "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 600, "priority": 0,
		"service": svc, "maxAttempts": attempts, "slackFactor": 1.6, "public": false,
	}
}

func tenant(name, key string, cpu int) map[string]any {
	return map[string]any{"name": name, "apiKeys": []string{key}, "priority": 0, "weight": 1, "maxCount": map[string]any{"cpu": cpu, "memMb": 0, "gpu": 0}}
}

// Finish ends all processes and exits.
func (w *World) Finish(code int) {
	w.finishing.Store(true)
	for _, m := range w.managers {
		m.mu.Lock()
		_ = m.cmd.Process.Signal(syscall.SIGCONT)
		_ = m.cmd.Process.Kill()
		m.mu.Unlock()
		<-m.done
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.temp)
	} else {
		fmt.Println("logs:", w.temp)
	}
	w.Log("exit %d", code)
	_ = w.record.Close()
	fmt.Printf("exit %d\n", code)
	os.Exit(code)
}

// End ends the case by whether the rule was broken.
func (w *World) End() {
	w.mu.Lock()
	n := len(w.broken)
	for _, b := range w.broken {
		fmt.Println("BROKEN", b)
	}
	w.mu.Unlock()
	if n > 0 {
		w.Finish(1)
	}
	w.Finish(0)
}

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: review3 CASE FOLDER")
		os.Exit(2)
	}
	f, ok := cases[os.Args[1]]
	if !ok {
		fmt.Println("no such case")
		os.Exit(2)
	}
	w := NewWorld(os.Args[2])
	defer func() {
		if p := recover(); p != nil {
			w.Log("the case can't run: %v", p)
			w.Finish(2)
		}
	}()
	time.AfterFunc(115*time.Second, func() {
		w.Log("the case took too long")
		w.Finish(2)
	})
	f(w)
	w.End()
}
