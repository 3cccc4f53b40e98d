package schedule

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

// hostPhase is how far an order to a host has come.
type hostPhase uint8

const (
	// serving hosts have nothing planned.
	serving hostPhase = iota
	// emptying hosts get no new tasks, and their lasting tasks are moved away.
	emptying
	// ordering hosts have an order on its way, which may be carried out late.
	ordering
	// away hosts are being moved or maintained.
	away
)

// host is a machine of the cloud with what is planned for it.
type host struct {
	work.HostStatus
	phase hostPhase
	// plan is what the host is being emptied for.
	plan hostPlan
	// since is when the phase began.
	since time.Time
	// refused has the pools that the host can't be part of.
	refused map[fleet.PoolName]bool
	// ordered is when the last order was announced.
	ordered time.Time
	// announced says that the order is stored and may go out; again is when one that was not answered is repeated.
	announced bool
	again     time.Time
}

// hostPlan is maintenance for a wave, or a move to a pool.
type hostPlan struct {
	wave int64
	pool fleet.PoolName
}

// String returns the plan for logs.
func (p hostPlan) String() string {
	if p.wave != 0 {
		return "maintenance of wave " + strconv.FormatInt(p.wave, 10)
	}

	return "move to " + string(p.pool)
}

// HostOrder is an order to the cloud.
type HostOrder struct {
	Host fleet.HostName
	// Wave is the wave that the host is maintained for; zero for a move.
	Wave int64
	// Pool is where the host moves.
	Pool fleet.PoolName
	host *host
}

const (
	// orderRetry is the pause before an order to the cloud that was not carried out is given again.
	orderRetry = 400 * time.Millisecond
	// batchPatience is how long a host that is being emptied waits for tasks that end by themselves.
	batchPatience = 4 * time.Second
	// quietMargin is added to the time in which a host is left alone, for delays.
	quietMargin = 500 * time.Millisecond
)

// SetHosts takes in the cloud's list of hosts.
func (s *Scheduler) SetHosts(list []work.HostStatus, asked, now time.Time) {
	present := make(map[fleet.HostName]bool, len(list))
	for _, st := range list {
		present[st.Host] = true
		h, ok := s.hosts[st.Host]
		if !ok {
			h = &host{refused: map[fleet.PoolName]bool{}}
			s.hosts[st.Host] = h
		}
		before := h.Worker
		if before != "" && st.Worker != "" && before != st.Worker {
			s.gone(before, now)
		}
		h.HostStatus = st
		// A list that was asked for before the order was answered may still show the host as it was.
		if h.phase != away || !h.since.Before(asked) {
			continue
		}
		if st.State == work.HostUp {
			s.returned(h, now)
		} else {
			s.gone(before, now)
		}
	}
	for name := range s.hosts {
		if !present[name] {
			delete(s.hosts, name)
		}
	}
	s.hostList = slices.SortedFunc(maps.Values(s.hosts), func(a, b *host) int { return cmp.Compare(a.Host, b.Host) })
	s.listed = now
	s.dirty = true
}

// returned takes in that a host is up again after an order.
func (s *Scheduler) returned(h *host, now time.Time) {
	h.phase, h.plan, h.since = serving, hostPlan{}, now
}

// HostsAway reports whether a host is under way, so that the list is worth reading soon.
func (s *Scheduler) HostsAway() bool {
	for _, h := range s.hosts {
		if h.phase == ordering || h.phase == away {
			return true
		}
	}

	return false
}

// HostsListed returns when the cloud's list was last taken in.
func (s *Scheduler) HostsListed() time.Time {
	return s.listed
}

// empty begins to empty a host for a plan.
func (s *Scheduler) empty(h *host, p hostPlan, now time.Time) {
	h.phase, h.plan, h.since = emptying, p, now
	s.observe(Decision{What: DecidedHostEmptying, Worker: h.Worker, Host: h.Host, Reason: p.String()})
}

// keepServing gives up what was planned for a host that nothing was ordered of.
func (s *Scheduler) keepServing(h *host, now time.Time) {
	h.phase, h.plan, h.since = serving, hostPlan{}, now
	s.dirty = true
}

// markCordons notes on each worker whether its host is being emptied or is due for maintenance.
func (s *Scheduler) markCordons() {
	for _, w := range s.workers {
		w.cordoned, w.due = false, false
	}
	for _, h := range s.hosts {
		w, ok := s.workers[h.Worker]
		if !ok {
			continue
		}
		w.cordoned = h.phase != serving
		w.due = s.dueHosts[h.Host]
	}
}

// HostOrders returns the orders to the cloud that are due now.
func (s *Scheduler) HostOrders(now time.Time) []HostOrder {
	if s.listed.IsZero() {
		return nil
	}
	s.planMaintenance(now)
	s.planMoves(now)
	s.markCordons()
	var orders []HostOrder
	for _, h := range s.hostList {
		switch h.phase {
		case emptying:
			if s.emptied(h, now) {
				s.announce(h, now)
			}
		case ordering:
			switch {
			case h.announced:
				orders = append(orders, s.hostOrder(h))
				h.announced = false
			case !h.again.IsZero() && !now.Before(h.again):
				// The order is given again, which the next owner has to know of as well.
				s.announce(h, now)
			}
		case serving, away:
		}
	}

	return orders
}

// announce has an order to a host stored before it goes out, so that the next owner knows of it.
func (s *Scheduler) announce(h *host, now time.Time) {
	h.phase, h.since, h.ordered, h.again = ordering, now, now, time.Time{}
	s.changes = append(s.changes, ledger.Change{Kind: ledger.HostOrdered, Worker: work.WorkerID(h.Host)})
	s.announced = append(s.announced, h)
}

// SetOrdered takes in the orders of earlier owners; hosts that another entry host than self ordered of late are left alone
// for a time.
func (s *Scheduler) SetOrdered(ordered map[fleet.HostName]ledger.HostOrder, self fleet.EntryName, now time.Time) {
	for name, o := range ordered {
		if left := s.bounds.HandoverQuiet + quietMargin - o.Age; o.By != self && left > 0 {
			s.quiet[name] = now.Add(left)
		}
	}
}

// free reports whether a host may be planned for.
func (s *Scheduler) free(h *host, now time.Time) bool {
	return h.phase == serving && h.State == work.HostUp && now.After(s.quiet[h.Host])
}

func (s *Scheduler) hostOrder(h *host) HostOrder {
	return HostOrder{Host: h.Host, Wave: h.plan.wave, Pool: h.plan.pool, host: h}
}

// emptied moves away what lasts on a host, and reports whether the host can be ordered away.
func (s *Scheduler) emptied(h *host, now time.Time) bool {
	w, ok := s.workers[h.Worker]
	if !ok {
		return true
	}
	lasts := s.moveLasting(w)

	return len(w.runs) == 0 || !lasts && now.Sub(h.since) > batchPatience
}

// moveLasting stops what lasts on a worker, as far as its steps allow, so that it goes on elsewhere, and reports whether
// something lasts there still.
func (s *Scheduler) moveLasting(w *worker) bool {
	if w.lasting == 0 {
		return false
	}
	lasts := false
	for _, r := range w.runs {
		if r.step == nil || !r.step.Lasting {
			continue
		}
		lasts = true
		if !r.stop && s.mayStop(r.entry, r) {
			r.halt()
			w.wake = true
		}
	}

	return lasts
}

// HostAnswered takes in the answer to an order.
func (s *Scheduler) HostAnswered(o HostOrder, err error, now time.Time) {
	h := o.host
	if s.hosts[h.Host] != h || h.phase != ordering {
		return
	}
	s.observe(Decision{What: DecidedHostOrdered, Worker: h.Worker, Host: h.Host, Reason: h.plan.String() + ": " + reasonOf(err)})
	switch hostOutcome(err) {
	case carriedOut:
		// The answer is the same if the order was carried out long ago, so only the list shows what has ended there.
		h.phase, h.since = away, now
		if h.plan.wave != 0 {
			s.maintained(h.plan.wave, h.Host)
		}
	case refusedForGood:
		if h.plan.wave != 0 {
			s.maintained(h.plan.wave, h.Host)
		} else {
			h.refused[h.plan.pool] = true
		}
		s.keepServing(h, now)
	case refusedForNow:
		h.phase = emptying
		h.since = now
	case unknown:
		h.again = now.Add(orderRetry)
	}
}

// gone takes in that a worker has ended with all that ran there.
func (s *Scheduler) gone(id work.WorkerID, now time.Time) {
	w, ok := s.workers[id]
	if !ok {
		return
	}
	w.present, w.over = false, true
	for _, r := range w.runs {
		s.end(r, work.OutcomeLapsed, "", "host was ordered away")
	}
	w.lapse = now
}
