package manager

import (
	"context"
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
	"lycheehook.example/lycheehook/backlog"
	"lycheehook.example/lycheehook/dispatch"
	"lycheehook.example/lycheehook/explain"
	"lycheehook.example/lycheehook/ingress"
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
	// storeTimeout limits calls to the store that set no timeout of their own.
	storeTimeout = 3 * time.Second
	// workerTimeout limits a call to a worker, which answers within milliseconds.
	workerTimeout = 400 * time.Millisecond
	// cloudTimeout limits a call to the cloud.
	cloudTimeout = time.Second
	// statusMargin is added to the time for which callers may query a job that has ended.
	statusMargin = 30 * time.Second
	// wideLinkMegabits is the bandwidth in Mbit/s from which a host reads the whole ledger at once when it starts. Hosts with
	// a narrower link wait for narrowLinkDelay plus a random part of narrowLinkJitter first.
	wideLinkMegabits = 100
	narrowLinkDelay  = 2 * time.Second
	narrowLinkJitter = 8 * time.Second
)

// Manager is one process of the manager.
type Manager struct {
	settings settings.Manager
	log      *log.Logger
	config   *ConfigWatcher
	// evacuations is nil if the platform has no evacuations of availability zones.
	evacuations *EvacuationReader
	follower    *ledger.Follower
	route       *relay.Route
	session     *owner.Session
	candidate   *owner.Candidate
	dispatch    *dispatch.Dispatcher
	handler     *intake.Handler
	notices     *notice.Sender
	states      *inquiry.Client
	questions   *explain.Server
	// delegator makes the calls to workers; agent makes those that an owner at another host delegates to this one.
	delegator *agent.Delegator
	agent     *agent.Server
	// term is the current term in which this process owns the workers, or nil.
	term atomic.Pointer[owner.Term]
	// backlog has the newest digest of the owner's backlog; nil if early rejection is off.
	backlog  *backlog.Holder
	metrics  *telemetry.Metrics
	limiter  *telemetry.Limiter
	ingress  *ingressGate
	listen   func(ctx context.Context, at netip.AddrPort) (net.Listener, error)
	stopping atomic.Bool
	balancer *ingress.Balancer
}

// Option changes a new manager.
type Option func(*Manager)

// WithListen replaces how the manager listens at an address of its settings.
func WithListen(listen func(ctx context.Context, at netip.AddrPort) (net.Listener, error)) Option {
	return func(m *Manager) { m.listen = listen }
}

// listenTCP is the default of WithListen.
func listenTCP(ctx context.Context, at netip.AddrPort) (net.Listener, error) {
	var lc net.ListenConfig

	return lc.Listen(ctx, "tcp", at.String())
}

// New returns a manager with the given settings and logger.
func New(s settings.Manager, l *log.Logger, options ...Option) (*Manager, error) {
	process, err := uuid.NewRandom()
	if err != nil {
		return nil, merry.Prepend(err, "generate process ID")
	}
	transport := platform.NewTransport()
	m := &Manager{
		settings: s, log: l, listen: listenTCP, metrics: telemetry.NewMetrics(), limiter: telemetry.NewLimiter(l),
		balancer: ingress.NewBalancer(platform.ReadinessMisses),
	}
	m.ingress = newIngress(m)
	m.route = relay.New(
		transport.To(s.StoreAddress.String()), relay.Via(transport), m.peers,
		platform.Request{Method: http.MethodGet, Path: platform.ProbePath}, l, relay.WithWiderPeers(m.widerPeers),
	)
	client := m.metrics.Store(platform.NewStore(m.route.Exchange, storeTimeout))
	host := ledger.Host{Name: s.Name, Zone: s.Zone, PeerAddress: s.PeerAddress.String(), Cores: s.Cores, LinkMegabits: s.LinkMegabits, MemoryMegabytes: s.MemoryMegabytes}
	m.follower = ledger.NewFollower(
		client, l, ledger.WithPatience(func() time.Duration { return ledgerReadDelay(s.LinkMegabits) }),
		ledger.WithEarlyRead(func(hosts []ledger.Host) bool { return owner.ReadsFirst(host, hosts) }),
	)
	if s.EarlyRejection {
		m.backlog = backlog.NewHolder(owner.Uptime)
	}
	m.notices = notice.NewSender(transport.To, m.owner, owner.Uptime, l, m.askBacklog)
	m.states = inquiry.NewClient(transport.To, m.owner, l)
	m.handler = intake.NewHandler(client, m.follower, l, m.observeRequest, intake.WithStored(m.notifyOwner), intake.WithOwnerState(m.ownerState), intake.WithConfirm(m.confirmConfig), intake.WithRoom(m.jobRoom), m.withEarlyRejection)
	m.config = NewConfigWatcher(client, l, m.applyConfig, WithMalformed(m.metrics.MalformedConfig), WithEvacuationHint(m.hintEvacuations))
	m.newEvacuations(client)
	m.metrics.ConfigAge(m.config.Age)
	m.metrics.JobBytes(m.jobBytes)
	self := ledger.Owner{Host: s.Name, Process: process.String()}
	m.session = owner.NewSession(client, host, l)
	m.candidate = owner.NewCandidate(client, m.session, m.follower, self.Process, l)
	direct := m.metrics.Workers("worker", platform.NewWorkers(transport, workerTimeout))
	m.delegator = agent.NewDelegator(direct, host, m.hosts, agent.Dial(transport), m.session.Remaining, owner.Uptime, l, m.withStartWindow())
	m.agent = agent.NewServer(direct, owner.Uptime, l)
	m.dispatch = dispatch.New(
		client, m.follower, m.metrics.Workers("fleet", m.delegator.Workers(workerTimeout)), bounds(s), self, l,
		m.config.Current, m.withAgents(watchRegistry(client, l, m.metrics.MalformedRegistration)), dispatch.WithObserver(m.observeDecision), m.withHosts(transport, client),
		dispatch.WithReport(m.recordLoad), dispatch.WithConfigCheck(m.config.StartCheck), m.withWatch(), m.withAdvice(transport), m.withEvacuations(),
		dispatch.WithRecovery(m.recordStage), dispatch.WithKeep(s.Bounds.StatusTime.Std()+statusMargin), m.withBacklog,
	)
	m.questions = explain.NewServer(s.Name, m.dispatch.Explain, m.owner, transport.To, l)

	m.recordUnstarted(nil)
	for _, o := range options {
		o(m)
	}

	return m, nil
}

// withAgents wraps a registry so that the delegator learns of new workers, and opens streams to agents for them, before they
// are called.
func (m *Manager) withAgents(registry func(context.Context, func(dispatch.RegistryChange))) func(context.Context, func(dispatch.RegistryChange)) {
	return func(ctx context.Context, notify func(dispatch.RegistryChange)) {
		registry(ctx, func(r dispatch.RegistryChange) {
			m.delegator.PrepareAgents(ctx, r.Registered)
			notify(r)
		})
	}
}

// ledgerReadDelay returns how long a host waits after its start before it reads the whole ledger, so that not all hosts read
// it at once. Hosts with wide links read it first, because they are the preferred owners of the workers; the others follow
// in random order.
func ledgerReadDelay(megabits float64) time.Duration {
	if megabits == 0 || megabits >= wideLinkMegabits {
		return 0
	}

	return narrowLinkDelay + rand.N(narrowLinkJitter)
}

// withAdvice configures the advice service if the platform has one.
func (m *Manager) withAdvice(t *platform.Transport) dispatch.Option {
	if m.settings.AdviceAddress == "" {
		return dispatch.WithAdvice(nil)
	}

	return dispatch.WithAdvice(platform.NewAdvisor(t.To(m.settings.AdviceAddress)))
}

// withHosts configures host management through the cloud if the platform has one.
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
		HandoverQuiet: s.Bounds.HandoverQuiet.Std(), EvacuationTime: s.Bounds.EvacuationTime.Std(),
		Memory: s.MemoryMegabytes << 20,
	}
}

// Run serves until the context ends, and then shuts down gracefully.
func (m *Manager) Run(ctx context.Context, hangup <-chan os.Signal) error {
	m.log.Info("starting", "host", m.settings.Name, "zone", m.settings.Zone, "memory_megabytes", m.settings.MemoryMegabytes)
	callers, err := m.serve(ctx, m.settings.CallerAddress, m.handler, m.ingress.limits.Callers, nil)
	if err != nil {
		return err
	}
	peers := restful.NewContainer()
	peers.Add(relay.NewServer(m.route).Service())
	peers.Add(notice.NewServer(m.owns, m.follower.Learn, m.log, m.sendBacklog).Service())
	peers.Add(inquiry.NewServer(m.owns, m.storedState, m.log).Service())
	peers.Add(m.agent.Service())
	peers.Add(m.questions.Service())
	peerServer, err := m.serve(ctx, m.settings.PeerAddress, peers, m.ingress.limits.Peers, isStream)
	if err != nil {
		return err
	}
	ready, err := m.serve(ctx, m.settings.ReadyAddress, m.readiness(), m.ingress.limits.Probes, nil)
	if err != nil {
		return err
	}

	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", m.metrics.Handler())
	if _, err := m.serve(ctx, m.settings.MetricsAddress, metrics, m.ingress.limits.Probes, nil); err != nil {
		return err
	}

	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { m.config.Run(background) })
	wg.Go(func() { m.follower.Run(background) })
	wg.Go(func() { m.ingress.refused.LogRefusals(background, m.log) })
	wg.Go(func() { m.delegator.Run(background) })
	left := make(chan struct{})
	go func() {
		defer close(left)
		m.compete(ctx, background)
	}()

	m.awaitStop(ctx, hangup)
	m.log.Info("stopping", callers.listener.Phases().Fields()...)
	m.stopping.Store(true)
	m.agent.Leave()
	m.shutDown(background, callers, peerServer, ready)
	<-left
	cancel()
	wg.Wait()
	m.log.Info("stopped")

	return nil
}

// owner returns the owner of the workers known to this host and its term; the term is zero if there is no owner.
func (m *Manager) owner() (ledger.Owner, uint64) {
	b := m.follower.Replica()
	if b == nil {
		return ledger.Owner{}, 0
	}

	return b.Owner()
}

// notifyOwner notifies the owner of a record stored by this host, unless this process is the owner.
func (m *Manager) notifyOwner(r store.Record) {
	if m.term.Load() == nil {
		m.notices.Notify(r)
	}
}

// ownerState queries the owner for the state of a job. If this process is the owner, it returns false: the state is in its
// own replica.
func (m *Manager) ownerState(ctx context.Context, j inquiry.Job) (ledger.State, bool) {
	if m.term.Load() != nil {
		return ledger.Queued, false
	}

	return m.states.State(ctx, j)
}

// storedState returns the state of a job in the ledger, and whether the job exists and the workspace that asks may access
// it.
func (m *Manager) storedState(of inquiry.Job) (ledger.State, bool) {
	b := m.follower.Replica()
	if b == nil {
		return ledger.Queued, false
	}
	if j, _, ok := b.Job(of.ID); !ok || len(j.Steps) == 0 || j.Workspace != "" && j.Workspace != of.Workspace {
		return ledger.Queued, false
	}

	return b.Status(of.ID)
}

// owns reports whether this process currently owns the workers in a term.
func (m *Manager) owns(term uint64) bool {
	t := m.term.Load()

	return t != nil && t.Revision == term && t.Valid()
}

// serveTerm runs the dispatcher for a term in which this process owns the workers.
func (m *Manager) serveTerm(ctx context.Context, t *owner.Term) {
	m.term.Store(t)
	defer m.term.Store(nil)
	m.metrics.Term.Set(float64(t.Revision))
	m.metrics.ResetRecovery()
	defer m.metrics.Term.Set(0)
	defer m.readEvacuations(ctx)()
	m.dispatch.Serve(ctx, t)
}

// awaitStop returns when the context ends. A SIGHUP is only logged, because changed settings take effect at the next start.
func (m *Manager) awaitStop(ctx context.Context, hangup <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			m.log.Info("SIGHUP ignored, settings are read at the next start")
		}
	}
}
