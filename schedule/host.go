package schedule

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/session"
	"lycheehook.example/lycheehook/work"
)

// hostPhase is the progress of planned maintenance or of a planned move.
type hostPhase uint8

const (
	// inService hosts have nothing planned.
	inService hostPhase = iota
	// draining hosts get no new tasks, and their lasting tasks are moved to other workers.
	draining
	// orderPending hosts have an order that is being stored, sent or retried, and that may be carried out late.
	orderPending
	// offline hosts are being moved or maintained.
	offline
)

// host is a machine of the cloud with what is planned for it.
type host struct {
	work.HostStatus
	phase hostPhase
	// plan is why the host is being drained.
	plan hostPlan
	// phaseSince is when the phase began.
	phaseSince time.Time
	// cordonedAt is when the host was taken out of service; heldReported reports that it was said to be for long.
	cordonedAt   time.Time
	heldReported bool
	// progressAt is when a lasting task was last stopped for the drain, or when it began.
	progressAt time.Time
	// blockedUntil is when the next drain may begin after one that could not be completed.
	blockedUntil time.Time
	// refusedPools has the pools that the host can't be moved to.
	refusedPools map[fleet.PoolName]bool
	// orderedAt is when the last order was queued for the ledger, and orderedWorker the host's worker then.
	orderedAt     time.Time
	orderedWorker work.WorkerID
	// orderStored reports that the order is stored and may be sent; retryAt is when an unanswered one is repeated.
	orderStored bool
	retryAt     time.Time
	// downAt is when the list first showed the host as not up, after it was up; zero while it is up.
	downAt time.Time
}

// hostPlan is maintenance for a wave, or a move to a pool.
type hostPlan struct {
	wave int64
	pool fleet.PoolName
	// reason is why the host moves.
	reason string
}

// String returns the plan as it appears in logs.
func (p hostPlan) String() string {
	if p.wave != 0 {
		return "maintenance of wave " + strconv.FormatInt(p.wave, 10)
	}

	return "move to " + string(p.pool) + ", " + p.reason
}

// HostOrder is a request to the cloud to maintain or move a host.
type HostOrder struct {
	Host fleet.HostName
	// Wave is the wave that the host is maintained for; zero means a move.
	Wave int64
	// Pool is the destination of a move.
	Pool fleet.PoolName
	host *host
}

const (
	// hostOrderRetryPause is the pause before an unanswered order to the cloud is repeated, and before moves are planned after a refused one.
	hostOrderRetryPause = 400 * time.Millisecond
	// heldAfter is how long a host that is up gets no tasks until that is reported.
	heldAfter = 3 * time.Second
	// quietMargin is added to Bounds.HandoverQuiet for delays.
	quietMargin = 500 * time.Millisecond
)

// SetHosts applies the cloud's list of hosts, requested at asked and received at now.
func (s *Scheduler) SetHosts(list []work.HostStatus, asked, now time.Time) {
	present := make(map[fleet.HostName]bool, len(list))
	for _, st := range list {
		present[st.Host] = true
		h, ok := s.hosts[st.Host]
		if !ok {
			h = &host{refusedPools: map[fleet.PoolName]bool{}}
			s.hosts[st.Host] = h
		}
		before := h.Worker
		if before != "" && st.Worker != "" && before != st.Worker {
			s.replaced(before, asked, now)
		}
		h.apply(st, now)
		s.setWorkerHost(h)
		// A list that was requested before the order was answered may still show the host's earlier state.
		if h.phase != offline || !h.phaseSince.Before(asked) {
			continue
		}
		if st.State == work.HostUp {
			s.hostReturned(h, now)
		} else {
			s.workerGone(before, asked, now)
		}
	}
	for name := range s.hosts {
		if !present[name] {
			delete(s.hosts, name)
		}
	}
	s.hostList = slices.SortedFunc(maps.Values(s.hosts), func(a, b *host) int { return cmp.Compare(a.Host, b.Host) })
	s.endLostWorkers(asked, now)
	s.forgetStartsOfReplaced()
	s.listAsked, s.listedAt = asked, now
	if s.firstListed.IsZero() {
		s.firstListed = now
	}
	s.dirty = true
}

// apply takes a host's state from the cloud's list.
func (h *host) apply(st work.HostStatus, now time.Time) {
	switch {
	case st.State == work.HostUp:
		h.downAt = time.Time{}
	case h.State == work.HostUp:
		h.downAt = now
	}
	h.HostStatus = st
}

// setWorkerHost notes on which host the cloud lists a worker. One that was believed to have ended has not.
func (s *Scheduler) setWorkerHost(h *host) {
	w, ok := s.workers[h.Worker]
	if !ok {
		return
	}
	w.host = h.Host
	if w.ended && h.State == work.HostUp {
		w.ended = false
		w.RaiseToken()
	}
}

// replaced ends the runs of a worker in whose place its host has another one, by a list that was requested at asked.
func (s *Scheduler) replaced(id work.WorkerID, asked, now time.Time) {
	if w, ok := s.workers[id]; ok && !w.ended && w.knownBefore(asked) {
		s.crashed(w, "its host has another worker", now)
	}
	s.workerGone(id, asked, now)
}

// hostReturned puts a host back in service once it is up after an order.
func (s *Scheduler) hostReturned(h *host, now time.Time) {
	h.phase, h.plan, h.phaseSince = inService, hostPlan{}, now
}

// HostsAway reports whether an order to a host is in progress, so that the cloud's list should be read often.
func (s *Scheduler) HostsAway() bool {
	for _, h := range s.hosts {
		if h.phase == orderPending || h.phase == offline {
			return true
		}
	}

	return false
}

// HostsListed returns when the cloud's list was last applied.
func (s *Scheduler) HostsListed() time.Time {
	return s.listedAt
}

// markCordons notes on each worker whether its host is out of service or needs maintenance.
func (s *Scheduler) markCordons() {
	for _, w := range s.workers {
		w.cordoned, w.maintenanceDue = false, false
	}
	for _, h := range s.hosts {
		w, ok := s.workers[h.Worker]
		if !ok {
			continue
		}
		w.cordoned = h.phase != inService
		w.maintenanceDue = s.dueHosts[h.Host]
	}
}

// HostOrders returns the orders to send to the cloud now.
func (s *Scheduler) HostOrders(now time.Time) []HostOrder {
	if s.listedAt.IsZero() {
		return nil
	}
	s.planMaintenance(now)
	s.planMoves(now)
	s.markCordons()
	var orders []HostOrder
	for _, h := range s.hostList {
		s.reportHeld(h, now)
		switch h.phase {
		case draining:
			switch {
			case s.drained(h, now):
				s.queueHostOrder(h, now)
			case s.heldUp(h, now):
				s.giveUpDrain(h, now)
			}
		case orderPending:
			switch {
			case h.orderStored:
				orders = append(orders, s.hostOrder(h))
				h.orderStored = false
			case !h.retryAt.IsZero() && !now.Before(h.retryAt):
				// The order is stored again before it is repeated, since the next owner must know of this one too.
				s.queueHostOrder(h, now)
			}
		case inService, offline:
		}
	}

	return orders
}

// reportHeld observes once that a host that is up has got no tasks for heldAfter.
func (s *Scheduler) reportHeld(h *host, now time.Time) {
	if h.heldReported || h.phase != draining && h.phase != orderPending || now.Sub(h.cordonedAt) < heldAfter {
		return
	}
	h.heldReported = true
	s.observe(Decision{Kind: DecidedHostHeld, Worker: h.Worker, Host: h.Host, Age: now.Sub(h.cordonedAt), Reason: h.plan.String() + ": " + s.heldFor(h)})
}

// heldFor returns what a host that is out of service waits for.
func (s *Scheduler) heldFor(h *host) string {
	if h.phase == orderPending {
		return "its order has no answer"
	}
	w, ok := s.workers[h.Worker]
	if !ok || len(w.runs) == 0 {
		return "the cloud does not take its order"
	}

	return fmt.Sprintf("%d runs, of which %d of lasting tasks", len(w.runs), w.lastingTasks)
}

// queueHostOrder queues an order for the ledger, which must store it before it is sent, so that the next owner knows of
// it.
func (s *Scheduler) queueHostOrder(h *host, now time.Time) {
	h.phase, h.phaseSince, h.orderedAt, h.retryAt = orderPending, now, now, time.Time{}
	h.orderedWorker = cmp.Or(h.Worker, h.orderedWorker)
	s.changes = append(s.changes, h.announcement())
	s.pendingHosts = append(s.pendingHosts, h)
}

// announcement returns the change that announces an order to the host.
func (h *host) announcement() ledger.Change {
	return ledger.Change{Kind: ledger.HostOrdered, Worker: work.WorkerID(h.Host), Live: []ledger.LiveAttempt{{Worker: h.orderedWorker}}}
}

// SetOrdered applies the orders of previous owners. Hosts that recently got an order from an entry host other than self
// get none until HandoverQuiet has passed. The end of a worker that had an order is no crash for as long as its leases last.
func (s *Scheduler) SetOrdered(ordered map[fleet.HostName]ledger.HostOrder, self fleet.EntryName, now time.Time) {
	for name, o := range ordered {
		if w, ok := s.workers[o.Worker]; ok {
			w.orderedUntil = now.Add(session.LeaseBound(s.bounds.MaxLease))
		}
		if left := s.bounds.HandoverQuiet + quietMargin - o.Age; o.By != self && left > 0 {
			s.quietUntil[name] = now.Add(left)
		}
	}
}

// available reports whether maintenance or a move may be planned for a host.
func (s *Scheduler) available(h *host, now time.Time) bool {
	return h.phase == inService && h.State == work.HostUp && now.After(s.quietUntil[h.Host])
}

func (s *Scheduler) hostOrder(h *host) HostOrder {
	return HostOrder{Host: h.Host, Wave: h.plan.wave, Pool: h.plan.pool, host: h}
}

// HostAnswered handles the answer to an order.
func (s *Scheduler) HostAnswered(o HostOrder, err error, now time.Time) {
	h := o.host
	if s.hosts[h.Host] != h || h.phase != orderPending {
		return
	}
	s.observe(Decision{Kind: DecidedHostOrdered, Worker: h.Worker, Host: h.Host, Reason: h.plan.String() + ": " + reasonOf(err)})
	switch classifyHostError(err) {
	case orderDone:
		// The answer is the same if the order was carried out long ago, so only the cloud's list shows whether the worker has ended.
		h.phase, h.phaseSince = offline, now
		if h.plan.wave != 0 {
			s.recordMaintained(h.plan.wave, h.Host)
		}
	case orderRejected:
		if h.plan.wave != 0 {
			s.recordMaintained(h.plan.wave, h.Host)
		} else {
			h.refusedPools[h.plan.pool] = true
		}
		s.cancelPlan(h, now)
	case orderRefused:
		if h.plan.wave == 0 {
			// The plan is made anew from what the pools need then.
			s.cancelPlan(h, now)
			s.movesAfter = now.Add(hostOrderRetryPause)

			return
		}
		h.phase, h.phaseSince, h.progressAt = draining, now, now
	case orderUnknown:
		h.retryAt = now.Add(hostOrderRetryPause)
	}
}

// workerGone ends the runs of a worker whose incarnation has ended by a list that was requested at asked. Of an incarnation that
// became known later the list says nothing, nor of runs that a later incarnation may have begun.
func (s *Scheduler) workerGone(id work.WorkerID, asked, now time.Time) {
	w, ok := s.workers[id]
	if !ok || !w.knownBefore(asked) {
		return
	}
	w.ended = true
	for _, r := range w.runs {
		if !r.mayBeginAfter(asked) {
			s.expectLateStart(r, now)
			s.endRun(r, ending{source: HostList, outcome: work.OutcomeLapsed, reason: "the host's worker has ended", age: now.Sub(asked)})
		}
	}
	if len(w.runs) == 0 {
		w.EndLeases(now)
	}
}
