package manager

import (
	"lycheehook.example/lycheehook/backlog"
	"lycheehook.example/lycheehook/dispatch"
	"lycheehook.example/lycheehook/intake"
	"lycheehook.example/lycheehook/notice"
	"lycheehook.example/lycheehook/work"
)

// askBacklog makes notices ask the owner for digests of its backlog if early rejection is on.
func (m *Manager) askBacklog(s *notice.Sender) {
	if m.backlog != nil {
		notice.WithBacklog(m.backlog)(s)
	}
}

// sendBacklog makes a server of notices send the digest that this process has made as the owner.
func (m *Manager) sendBacklog(s *notice.Server) {
	if m.backlog != nil {
		notice.WithBacklogSource(m.backlog)(s)
	}
}

// withEarlyRejection makes the handler refuse jobs by the newest digest if early rejection is on.
func (m *Manager) withEarlyRejection(h *intake.Handler) {
	if m.backlog != nil {
		intake.WithEarlyRejection(m.decideEarly)(h)
	}
}

// withBacklog makes the owner keep digests of its backlog if early rejection is on.
func (m *Manager) withBacklog(d *dispatch.Dispatcher) {
	if m.backlog != nil {
		dispatch.WithBacklog(m.backlog.Set)(d)
	}
}

// decideEarly decides on a new job by the digest of the owner that this host knows.
func (m *Manager) decideEarly(j work.Job, q work.Queue) (backlog.Refusal, bool) {
	_, term := m.owner()
	d, ok := m.backlog.Current(term)
	if !ok {
		return backlog.Refusal{}, false
	}

	return d.Decide(j, q)
}
