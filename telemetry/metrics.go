package telemetry

import (
	"bytes"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"lycheehook.example/lycheehook/store"
	"lycheehook.example/lycheehook/work"
)

const namespace = "lycheehook"

// latencies are the bucket bounds of latency histograms, in seconds, from a call within a zone to a caller's deadline.
var latencies = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10}

// Metrics is the process's counters, gauges and histograms.
type Metrics struct {
	registry   *prometheus.Registry
	requests   *prometheus.CounterVec
	answerTime *prometheus.HistogramVec
	decisions  *prometheus.CounterVec
	ends       *prometheus.CounterVec
	calls      *prometheus.CounterVec
	callTime   *prometheus.HistogramVec
	firstStart prometheus.Histogram
	unstarted  *prometheus.GaugeVec
	passTime   prometheus.Histogram
	malformed  *prometheus.CounterVec
	refused    *prometheus.CounterVec
	recovery   *prometheus.GaugeVec
	early      *prometheus.CounterVec
	// PassLag is how late the owner's last scheduling pass started, in seconds; zero on other hosts.
	PassLag prometheus.Gauge
	// Version is the version of the configuration in force.
	Version prometheus.Gauge
	// Term is the store revision of the term in which this process owns the workers; zero while it does not.
	Term prometheus.Gauge
	// OpenJobs and Runs are set by the owner; zero on other hosts.
	OpenJobs prometheus.Gauge
	Runs     prometheus.Gauge
}

// NewMetrics returns registered metrics with zero values.
func NewMetrics() *Metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	}
	histogram := func(name, help string, labels ...string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: latencies}, labels)
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
	}
	m := &Metrics{
		registry:   prometheus.NewRegistry(),
		requests:   counter("requests_total", "Callers' requests, by method and status.", "method", "status"),
		answerTime: histogram("request_seconds", "Time to the answer of a caller's request.", "method"),
		decisions:  counter("decisions_total", "Decisions of the owner, by kind.", "kind"),
		ends:       counter("run_ends_total", "Ends of runs, by outcome and by who said so.", "outcome", "source"),
		calls:      counter("calls_total", "Calls to others, by whom, call and result.", "to", "call", "result"),
		callTime:   histogram("call_seconds", "Time to the answer of a call to others.", "to", "call"),
		firstStart: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "first_start_seconds", Help: "Time from a job's arrival at the owner to its first assignment.", Buckets: latencies,
		}),
		unstarted: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "unstarted_jobs", Help: "Jobs of which no ready task has started for seconds, at the owner, by reason.",
		}, []string{"reason"}),
		passTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "pass_seconds", Help: "Time that a scheduling pass of the owner takes.", Buckets: latencies,
		}),
		malformed: counter("malformed_records_total", "Records of other writers that were ignored because they can't be used, by kind.", "kind"),
		refused:   counter("refused_clients_total", "Requests and connections of clients that were refused or closed, by reason.", "reason"),
		recovery:  newRecovery(),
		early:     counter("early_rejections_total", "Jobs refused at once because of the load, by reason.", "reason"),
		PassLag:   gauge("pass_lag_seconds", "How late the owner's last scheduling pass began."),
		Version:   gauge("config_version", "Version of the configuration in force."),
		Term:      gauge("owner_term", "Store revision of the term in which this process owns the workers, or 0."),
		OpenJobs:  gauge("open_jobs", "Jobs that are not over, at the owner."),
		Runs:      gauge("runs", "Runs that are held on workers, at the owner."),
	}
	m.registry.MustRegister(
		m.requests, m.answerTime, m.decisions, m.ends, m.calls, m.callTime, m.firstStart, m.unstarted, m.passTime, m.malformed, m.refused, m.recovery, m.early, m.PassLag, m.Version, m.Term,
		m.OpenJobs, m.Runs,
	)

	return m
}

// MalformedRegistration counts a registration that does not describe a usable worker.
func (m *Metrics) MalformedRegistration() {
	m.malformed.WithLabelValues("Registration").Inc()
}

// MalformedConfig counts a configuration that can't be put in force.
func (m *Metrics) MalformedConfig() {
	m.malformed.WithLabelValues("Configuration").Inc()
}

// ConfigAge adds a gauge of how long the configuration was not confirmed to be the newest.
func (m *Metrics) ConfigAge(age func() time.Duration) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: "config_age_seconds", Help: "Time since the start of the last read that confirmed the configuration.",
	}, func() float64 { return age().Seconds() }))
}

// EarlyRejection counts a job that was refused at once because of the load.
func (m *Metrics) EarlyRejection(reason string) {
	m.early.WithLabelValues(reason).Inc()
}

// Handler serves the metrics in the Prometheus text format. It makes one response at a time and keeps no more than its text while a slow
// client takes it, since making one needs far more memory.
func (m *Metrics) Handler() http.Handler {
	// A compressor takes a megabyte for each response, many times what it saves.
	h := promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{DisableCompression: true})
	var mu sync.Mutex
	respond := func(header http.Header, r *http.Request) *bufferedResponse {
		mu.Lock()
		defer mu.Unlock()
		b := &bufferedResponse{header: header, status: http.StatusOK}
		h.ServeHTTP(b, r)

		return b
	}

	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		made := respond(w.Header(), r)
		w.WriteHeader(made.status)
		// A write error means that the client has disconnected; there is nobody to report it to.
		_, _ = w.Write(made.body.Bytes())
	})
}

// bufferedResponse is a response that is sent later.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (b *bufferedResponse) Header() http.Header { return b.header }

// Write implements http.ResponseWriter.
func (b *bufferedResponse) Write(p []byte) (int, error) { return b.body.Write(p) }

// WriteHeader implements http.ResponseWriter.
func (b *bufferedResponse) WriteHeader(status int) { b.status = status }

// Request counts a caller's request and records its duration.
func (m *Metrics) Request(method string, status int, took time.Duration) {
	m.requests.WithLabelValues(method, statusText(status)).Inc()
	m.answerTime.WithLabelValues(method).Observe(took.Seconds())
}

// statusText returns the status as a label with bounded cardinality.
func statusText(status int) string {
	switch status {
	case http.StatusOK, http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound, http.StatusConflict, http.StatusGone,
		http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return http.StatusText(status)
	default:
		return "other"
	}
}

// Decision counts a decision of the owner.
func (m *Metrics) Decision(kind string) {
	m.decisions.WithLabelValues(kind).Inc()
}

// End counts the end of a run that a source told of.
func (m *Metrics) End(o work.Outcome, source string) {
	m.ends.WithLabelValues(o.String(), source).Inc()
}

// FirstStart records how long a job waited for its first assignment.
func (m *Metrics) FirstStart(waited time.Duration) {
	m.firstStart.Observe(waited.Seconds())
}

// Unstarted sets the number of unstarted jobs for a reason.
func (m *Metrics) Unstarted(reason string, jobs int) {
	m.unstarted.WithLabelValues(reason).Set(float64(jobs))
}

// Pass records the duration of a scheduling pass.
func (m *Metrics) Pass(took time.Duration) {
	m.passTime.Observe(took.Seconds())
}

func (m *Metrics) observeCall(to, observeCall string, began time.Time, err error) {
	m.calls.WithLabelValues(to, observeCall, resultLabel(err)).Inc()
	m.callTime.WithLabelValues(to, observeCall).Observe(time.Since(began).Seconds())
}

// results maps errors to labels; the first match is used.
var results = []struct {
	err  error
	name string
}{
	{store.ErrNotFound, "NotFound"}, {store.ErrConflict, "Conflict"}, {store.ErrLeaseLapsed, "LeaseLapsed"},
	{store.ErrCompacted, "Compacted"}, {store.ErrUnavailable, "Unavailable"}, {store.ErrOutcomeUnknown, "OutcomeUnknown"},
	{work.ErrNoAnswer, "NoAnswer"}, {work.ErrNotSent, "NotSent"}, {work.ErrFenced, "Fenced"}, {work.ErrOldAttempt, "OldAttempt"},
	{work.ErrLate, "Late"}, {work.ErrNoRoom, "NoRoom"}, {work.ErrTicket, "Ticket"}, {work.ErrUnhealthy, "Unhealthy"},
	{work.ErrAnotherLife, "AnotherLife"},
}

func resultLabel(err error) string {
	if err == nil {
		return "OK"
	}
	for _, r := range results {
		if errors.Is(err, r.err) {
			return r.name
		}
	}

	return "Other"
}
