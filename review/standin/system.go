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
	"sync"
	"time"
)

const (
	routeHost = "club.example"
	prefix    = "/batch/"
	service   = "posting"
	apiKey    = "k-club-1"
)

// system is a small deployment: managers as separate processes, and stand-ins of the store, the machines' list, runners and clients.
type system struct {
	dir      string
	rec      *recorder
	store    *metadataStore
	cloud    *cloud
	managers []*manager
	runners  []*runner
	client   *http.Client
	nextJob  int
}

// manager is a process of the deploy file's program.
type manager struct {
	name, callers, ready, settings string
	// reserved keeps the manager's ports until it starts.
	reserved []net.Listener
	cmd      *exec.Cmd
	log      *os.File
}

// givenPorts has the ports that listenFree has chosen. They are all chosen before the managers start.
var givenPorts = map[int]bool{}

// listenFree listens at a free port below those that the system gives to outgoing connections, so that it stays free for a restart.
func listenFree() (net.Listener, error) {
	const first, ports, tries = 15000, 15000, 100
	var err error
	for range tries {
		port := first + rand.N(ports)
		if givenPorts[port] {
			continue
		}
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			givenPorts[port] = true
			return l, nil
		}
	}

	return nil, err
}

func serveHTTP(h http.Handler) (string, error) {
	l, err := listenFree()
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()

	return l.Addr().String(), nil
}

// newSystem starts the stand-ins and, once they answer, the managers.
func newSystem(program, record string, managers int, runners []*runner, maxAttempts int) (*system, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	rec, err := newRecorder(record)
	if err != nil {
		return nil, err
	}
	s := &system{dir: dir, rec: rec, store: newStore(), runners: runners, client: &http.Client{Timeout: 4 * time.Second}}
	s.store.set("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-1", "host": routeHost, "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 600,
			"priority": 0, "service": service, "maxAttempts": maxAttempts, "slackFactor": 1.6, "public": false,
		}},
		"services": []any{map[string]any{"name": service, "healthPath": "/healthz", "maxConns": 64, "enforceCapacity": false, "standby": false}},
		"limits":   map[string]any{"maxBodyBytes": 262144},
		"tenants":  []any{map[string]any{"name": "club", "apiKeys": []string{apiKey}, "weight": 1, "maxCount": map[string]int{"cpu": 0, "memMb": 0, "gpu": 0}}},
	})
	storeAddress, err := serveHTTP(s.store)
	if err != nil {
		return nil, err
	}
	s.cloud = &cloud{runners: runners}
	cloudAddress, err := serveHTTP(s.cloud)
	if err != nil {
		return nil, err
	}
	for _, r := range runners {
		r.store, r.rec = s.store, rec
		if err := r.start(); err != nil {
			return nil, err
		}
	}
	var seeds []string
	for i := range managers {
		m := &manager{name: fmt.Sprintf("edge-%d", i)}
		var addresses [4]string
		for n := range addresses {
			l, err := listenFree()
			if err != nil {
				return nil, err
			}
			addresses[n], m.reserved = l.Addr().String(), append(m.reserved, l)
		}
		m.callers, m.ready = addresses[0], addresses[1]
		seeds = append(seeds, addresses[2])
		settings, err := json.Marshal(map[string]any{
			"Name": m.name, "Zone": "z-a", "CallerAddress": m.callers, "ReadyAddress": m.ready, "PeerAddress": addresses[2], "MetricsAddress": addresses[3],
			"SeedAddresses": seeds, "StoreAddress": storeAddress, "CloudAddress": cloudAddress, "AdviceAddress": "", "Cores": 0.4, "MemoryMegabytes": 284,
			"LinkMegabits": 1000.0,
			"Bounds":       map[string]string{"MaxLease": "6000ms", "StatusTime": "120s", "HandoverQuiet": "3000ms", "MoveTime": "1.5s", "Grace": "6s"},
		})
		if err != nil {
			return nil, err
		}
		m.settings = filepath.Join(dir, m.name+".json")
		if err := os.WriteFile(m.settings, settings, 0o600); err != nil {
			return nil, err
		}
		s.managers = append(s.managers, m)
	}
	for _, m := range s.managers {
		if err := s.startManager(program, m); err != nil {
			return nil, err
		}
	}

	return s, s.awaitReady()
}

func (s *system) startManager(program string, m *manager) error {
	var err error
	if m.log, err = os.OpenFile(filepath.Join(s.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	m.cmd = exec.Command(program, "manager")
	m.cmd.Env = append(os.Environ(), "LYCHEEHOOK_SETTINGS="+m.settings)
	m.cmd.Stdout, m.cmd.Stderr = m.log, m.log
	for _, l := range m.reserved {
		_ = l.Close()
	}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	s.rec.logf("manager %s started", m.name)

	return nil
}

// awaitReady waits until all managers accept connections and one of them owns the runners.
func (s *system) awaitReady() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, m := range s.managers {
			if resp, err := s.client.Get("http://" + m.ready + "/api/readyz"); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		s.store.mu.Lock()
		_, owned := s.store.items["lycheehook/owner"]
		s.store.mu.Unlock()
		if ready == len(s.managers) && owned {
			s.rec.logf("all managers are ready")
			return nil
		}
	}

	return fmt.Errorf("the managers are not ready after 15 s")
}

// close ends the managers that were started and removes the temporary folder. The managers' logs are kept if keep is set.
func (s *system) close(keep string) {
	var wg sync.WaitGroup
	for _, m := range s.managers {
		if m.cmd == nil || m.cmd.Process == nil {
			continue
		}
		wg.Go(func() {
			_ = m.cmd.Process.Kill()
			_ = m.cmd.Wait()
			_ = m.log.Close()
		})
	}
	wg.Wait()
	s.rec.close()
	if keep != "" {
		_ = os.CopyFS(keep, os.DirFS(s.dir))
	}
	_ = os.RemoveAll(s.dir)
}

// call sends a client's request to a manager and returns the status, or 0 without an answer.
func (s *system) call(m *manager, method, id string, body any) (int, string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, err := http.NewRequest(method, "http://"+m.callers+prefix+id, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = routeHost
	req.Header.Set("Api-Key", apiKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Lycheehook-Deadline-Ms", "3000")
	resp, err := s.client.Do(req)
	if err != nil {
		s.rec.logf("client: %s %s at %s: no answer", method, id, m.name)
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	answer, _ := io.ReadAll(resp.Body)
	s.rec.logf("client: %s %s at %s: %d %s", method, id, m.name, resp.StatusCode, bytes.TrimSpace(answer))

	return resp.StatusCode, string(answer)
}

// submit submits a job at a manager until it is accepted, and returns its ID, or an empty string.
func (s *system) submit(phases ...map[string]any) string {
	return s.submitSpec("work", phases...)
}

// submitSpec is submit for a job with a spec.
func (s *system) submitSpec(spec string, phases ...map[string]any) string {
	s.nextJob++
	id := fmt.Sprintf("%016x", 0xc1ab0000+s.nextJob)
	body := map[string]any{"spec": spec, "phases": phases}
	for i := range 5 {
		m := s.managers[(s.nextJob+i)%len(s.managers)]
		if status, _ := s.call(m, http.MethodPost, id, body); status == http.StatusOK {
			return id
		}
		time.Sleep(200 * time.Millisecond)
	}

	return ""
}

// state returns the state of a job as a manager tells it.
func (s *system) state(id string) string {
	status, answer := s.call(s.managers[s.nextJob%len(s.managers)], http.MethodGet, id, nil)
	if status != http.StatusOK {
		return fmt.Sprint("status ", status)
	}
	var a struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(answer), &a)

	return a.State
}

// runnerOf returns the runner that is at work on a task of a job.
func (s *system) runnerOf(job string) *runner {
	for _, r := range s.runners {
		r.mu.Lock()
		found := false
		for k := range r.runs {
			found = found || len(k.Task) > len(job) && k.Task[:len(job)] == job
		}
		r.mu.Unlock()
		if found {
			return r
		}
	}

	return nil
}

// cloud is a stand-in of the list of machines, in which each runner is on a machine of its own. Nothing is moved or maintained.
type cloud struct {
	runners []*runner
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerDelay)
	if r.URL.Path != "/api/machines" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	list := []any{}
	for _, o := range c.runners {
		o.mu.Lock()
		state, id := "up", o.id
		if !o.up {
			state, id = "down", ""
		}
		list = append(list, map[string]any{
			"hostMachine": o.machine, "pool": o.service, "state": state, "zone": "z-a", "labels": []string{"a", o.rack},
			"capacity": map[string]int{"cpu": o.cpu, "memMb": 32768, "gpu": 0}, "id": id,
		})
		o.mu.Unlock()
	}
	writeJSON(w, http.StatusOK, map[string]any{"machines": list, "nextToken": ""})
}

// busiest returns the runner with the most runs.
func (s *system) busiest() *runner {
	var best *runner
	most := -1
	for _, r := range s.runners {
		r.mu.Lock()
		n := len(r.runs)
		r.mu.Unlock()
		if n > most {
			best, most = r, n
		}
	}

	return best
}

// pending returns the number of jobs that a manager says no task has started of, or -1 if it does not tell.
func (s *system) pending(m *manager) int {
	status, answer := s.call(m, http.MethodGet, "", nil)
	a := struct {
		Pending int `json:"pending"`
	}{Pending: -1}
	if status == http.StatusOK {
		_ = json.Unmarshal([]byte(answer), &a)
	}

	return a.Pending
}

// startedAnew returns a runner whose only run is a second attempt of a task of which no run has begun before.
func (s *system) startedAnew() *runner {
	for _, r := range s.runners {
		r.mu.Lock()
		found := false
		for k, a := range r.runs {
			found = found || len(r.runs) == 1 && k.Attempt == 2 && !s.rec.hasRun(runKey{k.Task, 1}) && time.Since(a.began) < a.work/2
		}
		r.mu.Unlock()
		if found {
			return r
		}
	}

	return nil
}
