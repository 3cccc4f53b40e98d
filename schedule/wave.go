package schedule

import (
	"errors"
	"sync"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

// wave is a request for the maintenance of some hosts, with its progress.
type wave struct {
	order work.WaveOrder
	// seen is when this owner learned of the wave.
	seen time.Time
	done map[fleet.HostName]bool
	// urgent reports that the wave is short of time.
	urgent bool
	// reported is the state that the operators were last told.
	reported WaveState
}

// WaveState is the state of a wave as reported to the operators.
type WaveState uint8

// The states of waves.
const (
	WaveUnreported WaveState = iota
	WaveInProgress
	WaveCompleted
)

// WaveStatus is a state of a wave that must be reported to the operators.
type WaveStatus struct {
	Number int64
	State  WaveState
}

// orderResult is the result of an order to the cloud.
type orderResult uint8

const (
	orderDone orderResult = iota
	// orderRejected orders will never be carried out.
	orderRejected
	// orderRefused orders were not carried out but may be given again.
	orderRefused
	// orderUnknown orders may have been carried out, or may be later.
	orderUnknown
)

// classifyHostError returns the result of an order from its error.
func classifyHostError(err error) orderResult {
	switch {
	case err == nil:
		return orderDone
	case errors.Is(err, work.ErrRejected), errors.Is(err, work.ErrNotOfWave):
		return orderRejected
	case errors.Is(err, work.ErrHostBusy), errors.Is(err, work.ErrNotSent), errors.Is(err, work.ErrFenced):
		return orderRefused
	default:
		return orderUnknown
	}
}

// reasonOf returns the result of an order for the log.
func reasonOf(err error) string {
	if err == nil {
		return "carried out"
	}

	return err.Error()
}

// SetWave adds a maintenance wave.
func (s *Scheduler) SetWave(o work.WaveOrder, now time.Time) {
	if s.waves[o.Number] != nil {
		return
	}
	w := &wave{order: o, seen: now, done: map[fleet.HostName]bool{}}
	for _, h := range s.maintainedBefore[o.Number] {
		w.done[h] = true
	}
	s.waves[o.Number] = w
}

// SetMaintained sets the hosts that previous owners maintained for each wave; it must be called before SetWave.
func (s *Scheduler) SetMaintained(m map[int64][]fleet.HostName) {
	s.maintainedBefore = m
}

// OpenWaves reports whether any wave has not been reported as completed.
func (s *Scheduler) OpenWaves() bool {
	for _, w := range s.waves {
		if w.reported != WaveCompleted {
			return true
		}
	}

	return false
}

// recordMaintained records in the ledger that a host was maintained for a wave.
func (s *Scheduler) recordMaintained(number int64, h fleet.HostName) {
	w, ok := s.waves[number]
	if !ok || w.done[h] {
		return
	}
	w.done[h] = true
	s.changes = append(s.changes, ledger.Change{Kind: ledger.Maintained, Worker: work.WorkerID(h), Life: work.Life(number)})
}

// WaveStatuses returns the states to report; each is returned until it is passed to WaveReported.
func (s *Scheduler) WaveStatuses() []WaveStatus {
	var list []WaveStatus
	for n, w := range s.waves {
		if st := s.waveState(w); st != w.reported {
			list = append(list, WaveStatus{n, st})
		}
	}

	return list
}

// WaveReported notes that a state of a wave was reported to the operators.
func (s *Scheduler) WaveReported(st WaveStatus) {
	if w, ok := s.waves[st.Number]; ok {
		w.reported = st.State
	}
}

// waveState returns the state of a wave, which is complete once each of its hosts that still exist was maintained.
func (s *Scheduler) waveState(w *wave) WaveState {
	if s.listedAt.IsZero() {
		return WaveInProgress
	}
	for _, name := range w.order.Hosts {
		if _, exists := s.hosts[name]; exists && !w.done[name] {
			return WaveInProgress
		}
	}

	return WaveCompleted
}

// planMaintenance starts to drain hosts for maintenance, as many as each wave's MaxDown permits and the remaining time
// requires.
func (s *Scheduler) planMaintenance(now time.Time) {
	clear(s.dueHosts)
	if !s.OpenWaves() {
		return
	}
	away := s.countAway()
	usable := sync.OnceValue(func() map[fleet.PoolName]*workerSet { return s.usableWorkers(now) })
	for _, w := range s.waves {
		if w.reported == WaveCompleted {
			continue
		}
		var waiting []*host
		busy := 0
		for _, name := range w.order.Hosts {
			h, ok := s.hosts[name]
			switch {
			case !ok:
			case s.mayBeDown(h, w, now):
				busy++
			case !w.done[name] && h.phase == inService:
				s.dueHosts[name] = true
				if s.available(h, now) {
					waiting = append(waiting, h)
				}
			}
		}
		w.urgent = w.shortOfTime(len(waiting), now)
		for _, h := range s.leastLoadedFirst(waiting) {
			if busy >= w.order.MaxDown {
				break
			}
			if !w.urgent && !away.allows(h.Pool) || !s.mayDrain(h, usable, now) {
				continue
			}
			s.drain(h, hostPlan{wave: w.order.Number}, now)
			away.add(h.Pool)
			busy++
		}
	}
}

// mayBeDown reports whether a host is or may come to be down for a wave, including by an order of a previous owner.
func (s *Scheduler) mayBeDown(h *host, w *wave, now time.Time) bool {
	switch {
	case h.phase != inService:
		return h.plan.wave == w.order.Number
	case h.State == work.HostMaintenance, h.State == work.HostDown:
		return true
	default:
		return !w.done[h.Host] && now.Before(s.quietUntil[h.Host])
	}
}

const (
	// hostTurnaround is the time from the start of a host's draining until it is up again.
	hostTurnaround = 5 * time.Second
	// maxAwayFraction is the fraction of a pool that may be out of service at once unless a wave is short of time.
	maxAwayFraction = 0.25
)

// shortOfTime reports whether the remaining time of a wave requires that pools give up more than maxAwayFraction of
// their hosts.
func (w *wave) shortOfTime(waiting int, now time.Time) bool {
	rounds := (waiting + w.order.MaxDown - 1) / max(1, w.order.MaxDown)

	return w.order.Duration-now.Sub(w.seen) < time.Duration(rounds+1)*hostTurnaround
}

// awayCounts has the numbers of hosts of each pool, all of them and those out of service.
type awayCounts struct {
	all, away map[fleet.PoolName]int
}

func (s *Scheduler) countAway() awayCounts {
	c := awayCounts{all: map[fleet.PoolName]int{}, away: map[fleet.PoolName]int{}}
	for _, h := range s.hostList {
		c.all[h.Pool]++
		if h.phase != inService {
			c.add(h.Pool)
		}
	}

	return c
}

func (c awayCounts) add(p fleet.PoolName) {
	c.away[p]++
}

// allows reports whether maxAwayFraction permits that one more host of a pool leaves service.
func (c awayCounts) allows(p fleet.PoolName) bool {
	return float64(c.away[p]+1) <= max(1, maxAwayFraction*float64(c.all[p]))
}

// leastLoadedFirst sorts hosts by load, so that the first ones disturb the fewest tasks.
func (s *Scheduler) leastLoadedFirst(hosts []*host) []*host {
	load := func(h *host) float64 {
		w, ok := s.workers[h.Worker]
		if !ok {
			return -1
		}

		return w.used.DominantShare(w.reg.Capacity)
	}
	sortBy(hosts, load)

	return hosts
}
