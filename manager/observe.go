package manager

import (
	"context"
	"net/http"
	"time"

	"lycheehook.example/lycheehook/dispatch"
	"lycheehook.example/lycheehook/intake"
	"lycheehook.example/lycheehook/schedule"
	"lycheehook.example/lycheehook/work"
)

// applyConfig passes a new configuration to the handler and to the metrics.
func (m *Manager) applyConfig(c work.Config) {
	m.handler.SetConfig(c)
	m.metrics.Version.Set(float64(c.Version))
}

// confirmConfig reports whether the configuration in force was the newest at most maxAge ago.
func (m *Manager) confirmConfig(ctx context.Context, maxAge time.Duration) bool {
	return m.config.Confirm(ctx, maxAge)
}

// observeRequest logs and counts a request. Successful GET requests are only counted.
func (m *Manager) observeRequest(e intake.RequestEvent) {
	m.metrics.Request(e.Method, e.Status, e.Duration)
	if e.Early {
		m.metrics.EarlyRejection("Backlog")
	}
	if e.NoRoom {
		m.metrics.Refused(noRoom, 1)
	}
	if e.Method == http.MethodGet && e.Status == http.StatusOK {
		return
	}
	kind := e.Method + " " + http.StatusText(e.Status)
	if !m.limiter.Allow(kind) {
		return
	}
	m.log.Info(
		"answered", "method", e.Method, "job", e.Job, "queue", e.Queue, "workspace", e.Workspace, "status", e.Status, "reason", e.Reason,
		"config", e.Version, "config_age", m.config.Age().Round(time.Millisecond), "took", e.Duration.Round(time.Millisecond),
	)
}

// recordLoad sets the metrics of open jobs and runs that the owner reports.
func (m *Manager) recordLoad(jobs, runs int) {
	m.metrics.OpenJobs.Set(float64(jobs))
	m.metrics.Runs.Set(float64(runs))
}

// withWatch sets the metrics that show whether the owner keeps up.
func (m *Manager) withWatch() dispatch.Option {
	return dispatch.WithWatch(dispatch.Watch{
		Unstarted: m.recordUnstarted,
		Pass:      m.metrics.Pass,
		Lag:       func(lag time.Duration) { m.metrics.PassLag.Set(lag.Seconds()) },
	})
}

// recordStage sets the metric of a stage of the recovery at the beginning of a term.
func (m *Manager) recordStage(s dispatch.Stage, took time.Duration) {
	m.metrics.Recovery(string(s), took)
}

// recordUnstarted sets the metric of unstarted jobs for each reason.
func (m *Manager) recordUnstarted(jobs map[schedule.WaitReason]int) {
	for _, reason := range schedule.WaitReasons() {
		m.metrics.Unstarted(string(reason), jobs[reason])
	}
}

// observeDecision logs and counts a decision of the scheduler.
func (m *Manager) observeDecision(d schedule.Decision) {
	m.metrics.Decision(string(d.Kind))
	switch d.Kind {
	case schedule.DecidedEnded:
		m.metrics.End(d.Outcome, string(d.Source))
	case schedule.DecidedAssigned:
		if d.Attempt.Task == (work.Task{Job: d.Attempt.Job}) && d.Attempt.Number == 1 {
			m.metrics.FirstStart(d.Age)
		}
	}
	// Each source has a limit of its own, so that the many ends that workers list don't crowd out the few that others tell of.
	if !m.limiter.Allow(string(d.Kind) + string(d.Source)) {
		return
	}
	if d.Kind == schedule.DecidedZoneUnknown || d.Kind == schedule.DecidedNoZoneLeft {
		m.log.Warn(string(d.Kind), m.decisionFields(d)...)
		return
	}
	m.log.Info(string(d.Kind), m.decisionFields(d)...)
}

// decisionFields returns the log fields of a decision, without those that do not apply to it.
func (m *Manager) decisionFields(d schedule.Decision) []any {
	var list []any
	if d.Attempt.Job != "" {
		list = append(list, "job", d.Attempt.Job, "task", d.Attempt.String(), "attempt", d.Attempt.Number)
	}
	if d.Worker != "" {
		list = append(list, "worker", d.Worker, "token", d.Token)
	}
	if d.Life != 0 {
		list = append(list, "life", d.Life)
	}
	if d.Host != "" {
		list = append(list, "host", d.Host)
	}
	if d.Zone != "" {
		list = append(list, "zone", d.Zone)
	}
	if d.Outcome != 0 {
		list = append(list, "outcome", d.Outcome)
	}
	if d.Source != "" {
		list = append(list, "source", d.Source, "source_age", d.SourceAge.Round(time.Millisecond))
	}
	if d.Urgency != "" {
		list = append(list, "standing", d.Urgency)
	}
	if d.Age != 0 {
		list = append(list, "age", d.Age.Round(time.Millisecond))
	}
	if d.Reason != "" {
		list = append(list, "reason", d.Reason)
	}
	c, _ := m.config.Current()

	return append(list, "config", c.Version)
}
