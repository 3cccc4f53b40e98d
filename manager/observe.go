package manager

import (
	"net/http"
	"time"

	"lycheehook.example/lycheehook/intake"
	"lycheehook.example/lycheehook/schedule"
	"lycheehook.example/lycheehook/work"
)

// adopt puts a configuration in force.
func (m *Manager) adopt(c work.Config) {
	m.handler.SetConfig(c)
	m.metrics.Version.Set(float64(c.Version))
}

// answered logs and counts an answer to a caller. Answers that only tell a job's state are counted alone.
func (m *Manager) answered(a intake.RequestEvent) {
	m.metrics.Request(a.Method, a.Status, a.Duration)
	if a.Method == http.MethodGet && a.Status == http.StatusOK {
		return
	}
	kind := a.Method + " " + http.StatusText(a.Status)
	if !m.limiter.Allow(kind) {
		return
	}
	m.log.Info(
		"answered", "method", a.Method, "job", a.Job, "queue", a.Queue, "workspace", a.Workspace, "status", a.Status, "reason", a.Reason,
		"config", a.Version, "took", a.Duration.Round(time.Millisecond),
	)
}

// report takes in what the owner has.
func (m *Manager) report(jobs, runs int) {
	m.metrics.OpenJobs.Set(float64(jobs))
	m.metrics.Runs.Set(float64(runs))
}

// observe logs and counts a decision of the scheduler.
func (m *Manager) observe(d schedule.Decision) {
	m.metrics.Decision(string(d.What))
	switch d.What {
	case schedule.DecidedEnded:
		m.metrics.End(d.Outcome)
	case schedule.DecidedAssigned:
		if d.Attempt.Task == (work.Task{Job: d.Attempt.Job}) && d.Attempt.Number == 1 {
			m.metrics.FirstStart(d.Age)
		}
	}
	if !m.limiter.Allow(string(d.What)) {
		return
	}
	m.log.Info(string(d.What), m.fields(d)...)
}

// fields returns what is known of a decision, without what does not apply to it.
func (m *Manager) fields(d schedule.Decision) []any {
	var list []any
	if d.Attempt.Job != "" {
		list = append(list, "job", d.Attempt.Job, "task", d.Attempt.String(), "attempt", d.Attempt.Number)
	}
	if d.Worker != "" {
		list = append(list, "worker", d.Worker, "token", d.Token)
	}
	if d.Host != "" {
		list = append(list, "host", d.Host)
	}
	if d.Outcome != 0 {
		list = append(list, "outcome", d.Outcome)
	}
	if d.Standing != "" {
		list = append(list, "standing", d.Standing)
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
