package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/settings"
	"lycheehook.example/lycheehook/standin"
	"lycheehook.example/lycheehook/store"
)

var (
	soakSeeds = flag.Int("soak", 1, "how many seeds TestSoak plays")
	soakSeed  = flag.Uint64("soakseed", 1, "the first seed that TestSoak plays")
	soakTime  = flag.Duration("soaktime", 8*time.Second, "how long faults come in each seed of TestSoak")
)

// soakVariable makes the test binary run the program itself.
const soakVariable = "LYCHEEHOOK_SOAK_PROGRAM"

// TestMain lets TestSoak start this binary as the program.
func TestMain(m *testing.M) {
	if os.Getenv(soakVariable) != "" {
		main()
	}
	os.Exit(m.Run())
}

const (
	soakHosts    = 4
	soakWorkers  = 6
	soakTaskTime = 300 * time.Millisecond
	// soakRecovery is how long after the last fault every accepted job may take: the longest lease of a run, that of the
	// owner, and the work itself.
	soakRecovery = 30 * time.Second
	// cancelTime is how long after the acknowledgement of a cancel a task of the job may still start.
	cancelTime   = 3 * time.Second
	soakJob      = `{"spec":"x","phases":[{"count":3,"cpu":500,"memMb":64,"estimateMs":300},{"count":2,"cpu":500,"memMb":64,"after":[0]}]}`
	soakJobTasks = 5
	soakConfig   = `{"version":%d,"routes":[{"name":"q","host":"a.example","pathPrefix":"/q/","service":"s","maxAttempts":2,"slackFactor":2,` +
		`"targetLatencyMs":600,"public":true}],"services":[{"name":"s"}],"limits":{"maxBodyBytes":10000},"tenants":[]}`
)

// soak is a site of real processes on loopback with stand-ins of the platform, behind proxies.
type soak struct {
	t       *testing.T
	rng     *rand.Rand
	store   *standin.Store
	config  int
	workers []*standin.TaskWorker
	hosts   []*soakHost
	// ways are all proxies: to the store, one for each host, and to the workers.
	ways   []*proxy
	faults sync.WaitGroup
	judge  *soakJudge
}

// soakHost is an entry host whose process is started again when it ends.
type soakHost struct {
	settings string
	callers  string
	log      string
	mu       sync.Mutex
	cmd      *exec.Cmd
	stopped  bool
}

// Random faults from outside, in series that overlap: no task runs twice, nothing refused runs, nothing is lost, and ends
// are told truly. Each seed that ever failed is among soakRegressions.
func TestSoak(t *testing.T) {
	seeds := slices.Clone(soakRegressions)
	if *soakSeed != 1 || *soakSeeds != 1 {
		seeds = nil
	}
	for i := range *soakSeeds {
		seeds = append(seeds, *soakSeed+uint64(i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { newSoak(t, seed).play() })
	}
}

// soakRegressions are the seeds that have failed, each with its cause.
var soakRegressions = []uint64{
	// The judge took a run on a silent worker for running until somebody asked the worker, long after its end.
	500, 505,
}

func newSoak(t *testing.T, seed uint64) *soak {
	t.Helper()
	s := &soak{t: t, rng: rand.New(rand.NewPCG(seed, 7)), store: standin.NewStore(), judge: newSoakJudge()}
	server := httptest.NewServer(s.store.PlatformHandler())
	t.Cleanup(server.CloseClientConnections)
	s.configure()
	for i := range soakWorkers {
		w := standin.NewTaskWorker(soakTaskTime)
		w.Observe(s.judge.run)
		ws := httptest.NewServer(w)
		t.Cleanup(ws.CloseClientConnections)
		p := newProxy(t, ws.Listener.Addr().String())
		s.ways, s.workers = append(s.ways, p), append(s.workers, w)
		s.put(fmt.Sprint("servers/i-", i), w.Registration("s", p.address(), fmt.Sprint("r", i%2)))
	}
	for i := range soakHosts {
		p := newProxy(t, server.Listener.Addr().String())
		s.ways = append(s.ways, p)
		s.hosts = append(s.hosts, s.newHost(i, p.address()))
	}

	return s
}

func (s *soak) put(key string, value []byte) {
	s.t.Helper()
	if _, err := s.store.Client().Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: key, Value: value}}}); err != nil {
		s.t.Fatal(err)
	}
}

// configure writes a newer configuration, unless the store is away.
func (s *soak) configure() {
	s.config++
	txn := store.Txn{Puts: []store.Put{{Key: "op/config", Value: fmt.Appendf(nil, soakConfig, s.config)}}}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := s.store.Client().Commit(ctx, txn); err != nil {
		s.t.Logf("configuration %d not written: %v", s.config, err)
	}
}

// newHost writes the settings of an entry host with addresses of its own, and starts it.
func (s *soak) newHost(i int, storeAddress string) *soakHost {
	s.t.Helper()
	pid := os.Getpid()
	ip := netip.AddrFrom4([4]byte{127, byte(64 + pid>>8&63), byte(pid), byte(i + 1)})
	m := settings.DefaultManager()
	m.Name, m.Zone, m.StoreAddress = fleet.EntryName(fmt.Sprint("entry-", i)), "z", netip.MustParseAddrPort(storeAddress)
	m.CallerAddress, m.ReadyAddress = netip.AddrPortFrom(ip, 8340), netip.AddrPortFrom(ip, 8343)
	m.PeerAddress, m.MetricsAddress = netip.AddrPortFrom(ip, 8345), netip.AddrPortFrom(ip, 7000)
	data, err := json.Marshal(m)
	if err != nil {
		s.t.Fatal(err)
	}
	dir := s.t.TempDir()
	h := &soakHost{settings: filepath.Join(dir, "manager.json"), callers: "http://" + m.CallerAddress.String(), log: filepath.Join(dir, "log")}
	if err := os.WriteFile(h.settings, data, 0o600); err != nil {
		s.t.Fatal(err)
	}
	h.start(s.t)
	s.t.Cleanup(h.stop)

	return h
}

func (h *soakHost) start(t *testing.T) {
	t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return
	}
	out, err := os.OpenFile(h.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		t.Error(err)
		return
	}
	cmd := exec.Command(os.Args[0], "manager", "--settings", h.settings)
	cmd.Env = append(os.Environ(), soakVariable+"=1")
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		t.Error(err)
		return
	}
	h.cmd = cmd
	go func() {
		// How the process ended is told by its log; what it does to the promises, by the judge.
		_ = cmd.Wait()
		_ = out.Close()
		time.Sleep(200 * time.Millisecond)
		h.start(t)
	}()
}

// signal sends a signal to the host's process, if it has one.
func (h *soakHost) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		// A process that has ended just now can't be signalled, and need not be.
		_ = h.cmd.Process.Signal(sig)
	}
}

func (h *soakHost) stop() {
	h.mu.Lock()
	h.stopped = true
	h.mu.Unlock()
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
}

// play lets callers work while faults come, and judges what was seen.
func (s *soak) play() {
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for i := range 3 {
		seed := s.rng.Uint64()
		callers.Go(func() { s.call(ctx, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	time.Sleep(time.Second)
	for end := time.Now().Add(*soakTime); time.Now().Before(end); {
		time.Sleep(time.Duration(200+s.rng.IntN(500)) * time.Millisecond)
		s.fault()
	}
	s.faults.Wait()
	cancel()
	callers.Wait()
	s.settle()
	for _, w := range s.workers {
		w.Expire()
	}
	for _, f := range s.judge.faults() {
		s.t.Error(f)
	}
	s.t.Logf("%d jobs accepted, %d runs", len(s.judge.accepted), s.judge.begun)
	if s.t.Failed() {
		s.keepLogs()
	}
}

// keepLogs copies the logs of a failed seed to where they outlast the test.
func (s *soak) keepLogs() {
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		s.t.Log(err)
		return
	}
	for i, h := range s.hosts {
		data, err := os.ReadFile(h.log)
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, fmt.Sprint("entry-", i, ".log")), data, 0o600)
		}
		if err != nil {
			s.t.Log(err)
		}
	}
	s.t.Logf("logs are in %s", dir)
}

// fault begins one fault, and ends it after a while beside the others.
func (s *soak) fault() {
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	p := s.ways[s.rng.IntN(len(s.ways))]
	long := time.Duration(200+s.rng.IntN(3000)) * time.Millisecond
	lasting := func(begin, end func()) {
		begin()
		s.faults.Go(func() {
			time.Sleep(long)
			end()
		})
	}
	way := func(w way) { lasting(func() { p.set(w) }, func() { p.set(wayOpen) }) }
	fault := func(f standin.Fault) {
		lasting(func() { s.store.SetFault(f) }, func() { s.store.SetFault(standin.FaultNone) })
	}
	w := s.workers[s.rng.IntN(len(s.workers))]
	kinds := []func(){
		func() { h.signal(syscall.SIGKILL) },
		func() { h.signal(syscall.SIGTERM) },
		func() { h.signal(syscall.SIGHUP) },
		func() { lasting(func() { h.signal(syscall.SIGSTOP) }, func() { h.signal(syscall.SIGCONT) }) },
		func() {
			for _, h := range s.hosts {
				h.signal(syscall.SIGKILL)
			}
		},
		func() { way(waySlow) },
		func() { way(waySilent) },
		func() { way(wayOneWay) },
		func() { way(wayReset) },
		p.deafen,
		func() { fault(standin.FaultDown) },
		func() { fault(standin.FaultSilent) },
		func() { fault(standin.FaultAnswerLost) },
		func() { s.store.Compact() },
		func() { lasting(func() { w.SetLoseAnswers(true) }, func() { w.SetLoseAnswers(false) }) },
		s.configure,
	}
	n := s.rng.IntN(len(kinds))
	s.judge.note(fmt.Sprintf("fault %d for %s", n, long))
	kinds[n]()
}

// call submits jobs, asks for them and cancels some, as callers do, until the context ends.
func (s *soak) call(ctx context.Context, rng *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%016x", rng.Uint64())
		if s.submit(ctx, rng, id) && rng.IntN(6) == 0 {
			s.cancel(rng, id)
		}
		time.Sleep(time.Duration(50+rng.IntN(100)) * time.Millisecond)
	}
}

// submit hands a job in at some hosts until one has accepted it, and reports whether one has.
func (s *soak) submit(ctx context.Context, rng *rand.Rand, id string) bool {
	unknown := false
	for range 1 + rng.IntN(3) {
		status, _ := s.request(http.MethodPost, rng.IntN(len(s.hosts)), id, soakJob)
		switch status {
		case http.StatusOK:
			s.judge.accept(id)
			return true
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		default:
			unknown = true
		}
		if ctx.Err() != nil {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	if !unknown {
		s.judge.refuse(id)
	}

	return false
}

func (s *soak) cancel(rng *rand.Rand, id string) {
	if status, _ := s.request(http.MethodDelete, rng.IntN(len(s.hosts)), id, ""); status == http.StatusOK {
		s.judge.cancel(id, time.Now())
	} else {
		s.judge.cancel(id, time.Time{})
	}
}

// request sends a request to a host and returns the answer; zero means that there was none.
func (s *soak) request(method string, host int, id, body string) (int, string) {
	// A caller with little patience finds out whether what it is told of a write under way is true.
	patience := 300*time.Millisecond + time.Duration(rand.Int64N(int64(3*time.Second)))
	ctx, cancel := context.WithTimeout(context.Background(), patience+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, s.hosts[host].callers+"/q/"+id, bytes.NewReader([]byte(body)))
	if err != nil {
		s.t.Error(err)
		return 0, ""
	}
	req.Host = "a.example"
	req.Header.Set("Lycheehook-Deadline-Ms", strconv.FormatInt(patience.Milliseconds(), 10))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}

	return resp.StatusCode, string(data)
}

// settle waits until every host tells the end of every accepted job.
func (s *soak) settle() {
	deadline := time.Now().Add(soakRecovery)
	for _, id := range s.judge.open() {
		for host := range s.hosts {
			for {
				status, body := s.request(http.MethodGet, host, id, "")
				if over := strings.Contains(body, "completed") || strings.Contains(body, "cancelled"); status == http.StatusOK && over {
					s.judge.told(id, body)
					break
				}
				if time.Now().After(deadline) {
					s.t.Errorf("job %s at host %d after %s: %d %s", id, host, soakRecovery, status, body)
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
}
