package manager

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/charmbracelet/log"
	"github.com/emicklei/go-restful/v3"
	"github.com/google/uuid"

	"lycheehook.example/lycheehook/agent"
	"lycheehook.example/lycheehook/dispatch"
	"lycheehook.example/lycheehook/inquiry"
	"lycheehook.example/lycheehook/intake"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/notice"
	"lycheehook.example/lycheehook/owner"
	"lycheehook.example/lycheehook/platform"
	"lycheehook.example/lycheehook/relay"
	"lycheehook.example/lycheehook/schedule"
	"lycheehook.example/lycheehook/settings"
	"lycheehook.example/lycheehook/store"
	"lycheehook.example/lycheehook/telemetry"
)

const (
	// storeTimeout bounds a call to the store that sets no time of its own.
	storeTimeout = 3 * time.Second
	// orderTimeout bounds an order to a worker, which answers within milliseconds.
	orderTimeout = 400 * time.Millisecond
	// cloudTimeout bounds a call to the cloud.
	cloudTimeout = time.Second
	// statusMargin is added to the time for which callers may ask for a job that is over.
	statusMargin = 30 * time.Second
	// readHeaderTimeout bounds the time from the first byte of a request to the end of its header.
	readHeaderTimeout = 3 * time.Second
	idleTimeout       = time.Minute
	// wideLink is the megabits a second from which on a host reads the whole ledger at its start; narrowPatience and
	// narrowSpread are how long the others leave it to those.
	wideLink       = 100
	narrowPatience = 2 * time.Second
	narrowSpread   = 8 * time.Second
	// stopMargin is kept of the platform's grace for the end of the process.
	stopMargin = time.Second
)

// Manager is one process of the manager.
type Manager struct {
	settings  settings.Manager
	log       *log.Logger
	config    *Configuration
	follower  *ledger.Follower
	route     *relay.Route
	seat      *owner.Seat
	candidate *owner.Candidate
	dispatch  *dispatch.Dispatcher
	handler   *intake.Handler
	notices   *notice.Sender
	states    *inquiry.Client
	// delegator makes the calls to workers, agent those that an owner at another host asks for.
	delegator *agent.Delegator
	agent     *agent.Server
	// term is the term in which this process owns the workers, or nil.
	term     atomic.Pointer[owner.Term]
	metrics  *telemetry.Metrics
	limiter  *telemetry.Limiter
	listen   func(ctx context.Context, at netip.AddrPort) (net.Listener, error)
	stopping atomic.Bool
}

// Option changes a new manager.
type Option func(*Manager)

// WithListen replaces how the manager listens at an address of its settings.
func WithListen(listen func(ctx context.Context, at netip.AddrPort) (net.Listener, error)) Option {
	return func(m *Manager) { m.listen = listen }
}

// listenTCP listens at an address.
func listenTCP(ctx context.Context, at netip.AddrPort) (net.Listener, error) {
	var lc net.ListenConfig

	return lc.Listen(ctx, "tcp", at.String())
}

// New returns a manager with the given settings and logger.
func New(s settings.Manager, l *log.Logger, options ...Option) (*Manager, error) {
	process, err := uuid.NewRandom()
	if err != nil {
		return nil, merry.Prepend(err, "name of the process")
	}
	transport := platform.NewTransport()
	m := &Manager{settings: s, log: l, listen: listenTCP, metrics: telemetry.NewMetrics(), limiter: telemetry.NewLimiter(l)}
	m.route = relay.New(
		transport.To(s.StoreAddress.String()), relay.Via(transport), m.peers,
		platform.Request{Method: http.MethodGet, Path: platform.ProbePath}, l,
	)
	client := m.metrics.Store(platform.NewStore(m.route.Exchange, storeTimeout))
	m.follower = ledger.NewFollower(client, l, ledger.WithPatience(func() time.Duration { return patience(s.LinkMegabits) }))
	m.notices = notice.NewSender(transport.To, m.owner, owner.Uptime, l)
	m.states = inquiry.NewClient(transport.To, m.owner, l)
	m.handler = intake.NewHandler(client, m.follower, l, m.answered, intake.WithStored(m.tellOwner), intake.WithOwnerState(m.inquire))
	m.config = NewConfiguration(client, l, m.adopt)
	self := ledger.Owner{Host: s.Name, Process: process.String()}
	host := ledger.Host{Name: s.Name, Zone: s.Zone, PeerAddress: s.PeerAddress.String(), Cores: s.Cores, LinkMegabits: s.LinkMegabits}
	m.seat = owner.NewSeat(client, host, l)
	m.candidate = owner.NewCandidate(client, m.seat, m.follower, self.Process, l)
	direct := m.metrics.Workers("worker", platform.NewWorkers(transport, orderTimeout))
	m.delegator = agent.NewDelegator(direct, host, m.hosts, agent.Dial(transport), m.seat.Remaining, owner.Uptime, l)
	m.agent = agent.NewServer(direct, owner.Uptime, l)
	m.dispatch = dispatch.New(
		client, m.follower, m.metrics.Workers("fleet", m.delegator.Workers(orderTimeout)), bounds(s), self, l,
		m.config.Current, m.expecting(followRoster(client, l)), dispatch.WithObserver(m.observe), m.withHosts(transport, client),
		dispatch.WithReport(m.report), m.withAdvice(transport), dispatch.WithKeep(s.Bounds.StatusTime.Std()+statusMargin),
	)

	for _, o := range options {
		o(m)
	}

	return m, nil
}

// expecting returns a roster that lets agents be at hand before workers are called.
func (m *Manager) expecting(roster func(context.Context, func(dispatch.Roster))) func(context.Context, func(dispatch.Roster)) {
	return func(ctx context.Context, tell func(dispatch.Roster)) {
		roster(ctx, func(r dispatch.Roster) {
			m.delegator.Expect(ctx, r.Present)
			tell(r)
		})
	}
}

// patience returns how long a host leaves the ledger to others after its start: those with wide links, which own the workers
// if they can, read it first, and the others in random order.
func patience(megabits float64) time.Duration {
	if megabits == 0 || megabits >= wideLink {
		return 0
	}

	return narrowPatience + rand.N(narrowSpread)
}

// withAdvice lets the owner ask for advice, where the platform has a service for it.
func (m *Manager) withAdvice(t *platform.Transport) dispatch.Option {
	if m.settings.AdviceAddress == "" {
		return dispatch.WithAdvice(nil)
	}

	return dispatch.WithAdvice(platform.NewAdvisor(t.To(m.settings.AdviceAddress)))
}

// withHosts lets the owner order hosts, where the platform has a cloud.
func (m *Manager) withHosts(t *platform.Transport, c *store.Client) dispatch.Option {
	if m.settings.CloudAddress == "" {
		return dispatch.WithHosts(dispatch.Hosts{})
	}

	return dispatch.WithHosts(dispatch.Hosts{
		Cloud: platform.NewCloud(t.To(m.settings.CloudAddress), cloudTimeout), Holder: string(m.settings.Name),
		Waves: m.config.Waves,
		TellWave: func(ctx context.Context, term uint64, st schedule.WaveStatus) error {
			_, err := c.Commit(ctx, store.Txn{
				Expect: []store.Expectation{{Key: ledger.OwnerKey, Revision: term}},
				Puts: []store.Put{{
					Key:   platform.WaveStatusPrefix + strconv.FormatInt(st.Number, 10),
					Value: platform.EncodeWaveStatus(st.State == schedule.WaveCompleted),
				}},
			})

			return err
		},
	})
}

func bounds(s settings.Manager) schedule.Bounds {
	return schedule.Bounds{
		MaxLease: s.Bounds.MaxLease.Std(), MoveTime: s.Bounds.MoveTime.Std(),
		HandoverQuiet: s.Bounds.HandoverQuiet.Std(),
	}
}

// Run serves until the context ends, and then finishes what has begun.
func (m *Manager) Run(ctx context.Context, hangup <-chan os.Signal) error {
	m.log.Info("starting", "host", m.settings.Name, "zone", m.settings.Zone)
	callers, err := m.serve(ctx, m.settings.CallerAddress, m.handler)
	if err != nil {
		return err
	}
	peers := restful.NewContainer()
	peers.Add(relay.NewServer(m.route).Service())
	peers.Add(notice.NewServer(m.owns, m.follower.Learn, m.log).Service())
	peers.Add(inquiry.NewServer(m.owns, m.stateOf, m.log).Service())
	peers.Add(m.agent.Service())
	if _, err := m.serve(ctx, m.settings.PeerAddress, peers); err != nil {
		return err
	}
	ready, err := m.serve(ctx, m.settings.ReadyAddress, m.readiness())
	if err != nil {
		return err
	}

	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", m.metrics.Handler())
	if _, err := m.serve(ctx, m.settings.MetricsAddress, metrics); err != nil {
		return err
	}

	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var all sync.WaitGroup
	all.Go(func() { m.config.Run(background) })
	all.Go(func() { m.follower.Run(background) })
	all.Go(func() { m.seat.Run(background) })
	all.Go(func() { m.delegator.Run(background) })
	all.Go(func() { m.candidate.Run(ctx, m.own) })

	m.awaitStop(ctx, hangup)
	m.log.Info("stopping")
	m.stopping.Store(true)
	m.agent.Leave()
	m.stop(background, callers, ready)
	m.seat.Leave(background)
	cancel()
	all.Wait()
	m.log.Info("stopped")

	return nil
}

// owner returns the owner of the workers as far as this host knows, and its term; zero if there is none.
func (m *Manager) owner() (ledger.Owner, uint64) {
	b := m.follower.Book()
	if b == nil {
		return ledger.Owner{}, 0
	}

	return b.Owner()
}

// tellOwner tells the owner of a record that this host has stored, unless that is this process.
func (m *Manager) tellOwner(r store.Record) {
	if m.term.Load() == nil {
		m.notices.Notify(r)
	}
}

// inquire returns the state of a job as the owner knows it, unless that is this process, which has it in its book.
func (m *Manager) inquire(ctx context.Context, j inquiry.Job) (ledger.State, bool) {
	if m.term.Load() != nil {
		return ledger.Queued, false
	}

	return m.states.State(ctx, j)
}

// stateOf returns what is stored of a job, and whether callers of its workspace may ask for it.
func (m *Manager) stateOf(of inquiry.Job) (ledger.State, bool) {
	b := m.follower.Book()
	if b == nil {
		return ledger.Queued, false
	}
	if j, _, ok := b.Job(of.ID); !ok || len(j.Steps) == 0 || j.Workspace != "" && j.Workspace != of.Workspace {
		return ledger.Queued, false
	}

	return b.Status(of.ID)
}

// owns reports whether this process owns the workers in a term right now.
func (m *Manager) owns(term uint64) bool {
	t := m.term.Load()

	return t != nil && t.Revision == term && t.Valid()
}

// own owns the workers for a term.
func (m *Manager) own(ctx context.Context, t *owner.Term) {
	m.term.Store(t)
	defer m.term.Store(nil)
	m.metrics.Term.Set(float64(t.Revision))
	defer m.metrics.Term.Set(0)
	m.dispatch.Serve(ctx, t)
}

// awaitStop returns when the context ends. The settings that may change while the process runs have no effect before
// its next start, so a hang-up is only noted.
func (m *Manager) awaitStop(ctx context.Context, hangup <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			m.log.Info("hang-up: settings are read at the next start")
		}
	}
}

// stop lets the callers' requests end within the platform's grace.
func (m *Manager) stop(ctx context.Context, callers, ready *http.Server) {
	ctx, cancel := context.WithTimeout(ctx, max(stopMargin, m.settings.Bounds.Grace.Std()-stopMargin))
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		m.log.Warn("requests cut off by the stop", "error", err)
	}
	if err := ready.Close(); err != nil {
		m.log.Debug("close of the ready address", "error", err)
	}
}

// readiness answers the platform's balancer.
func (m *Manager) readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.PathReady, func(w http.ResponseWriter, _ *http.Request) {
		if m.stopping.Load() || !m.handler.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})

	return mux
}

// serve serves requests at an address until the server that it returns is shut down.
func (m *Manager) serve(ctx context.Context, at netip.AddrPort, h http.Handler) (*http.Server, error) {
	l, err := m.listen(ctx, at)
	if err != nil {
		return nil, merry.Prependf(err, "listen at %s", at)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			// The listener is the process's purpose; without it the platform must start it anew.
			panic(err)
		}
	}()

	return s, nil
}
