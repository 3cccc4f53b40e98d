package schedule

import (
	"errors"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

// wave is a request for maintenance with what has become of it.
type wave struct {
	order work.WaveOrder
	// seen is when this owner learnt of the wave.
	seen time.Time
	done map[fleet.HostName]bool
	told WaveState
}

// WaveState is what the operators are told of a wave.
type WaveState uint8

// The states of waves.
const (
	WaveUntold WaveState = iota
	WaveInProgress
	WaveCompleted
)

// WaveStatus is the state of a wave that is to be told to the operators.
type WaveStatus struct {
	Number int64
	State  WaveState
}

// outcome is what came of an order to the cloud.
type outcome uint8

const (
	carriedOut outcome = iota
	// refusedForGood orders will never be carried out.
	refusedForGood
	refusedForNow
	unknown
)

func hostOutcome(err error) outcome {
	switch {
	case err == nil:
		return carriedOut
	case errors.Is(err, work.ErrRejected), errors.Is(err, work.ErrNotOfWave):
		return refusedForGood
	case errors.Is(err, work.ErrHostBusy), errors.Is(err, work.ErrNotSent), errors.Is(err, work.ErrFenced):
		return refusedForNow
	default:
		return unknown
	}
}

func reasonOf(err error) string {
	if err == nil {
		return "carried out"
	}

	return err.Error()
}

// SetWave takes in a request for maintenance.
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

// SetMaintained takes in which hosts of each wave an earlier owner has maintained.
func (s *Scheduler) SetMaintained(m map[int64][]fleet.HostName) {
	s.maintainedBefore = m
}

// OpenWaves reports whether a wave is not completed.
func (s *Scheduler) OpenWaves() bool {
	for _, w := range s.waves {
		if w.told != WaveCompleted {
			return true
		}
	}

	return false
}

// maintained notes that a host had its maintenance.
func (s *Scheduler) maintained(number int64, h fleet.HostName) {
	w, ok := s.waves[number]
	if !ok || w.done[h] {
		return
	}
	w.done[h] = true
	s.changes = append(s.changes, ledger.Change{Kind: ledger.Maintained, Worker: work.WorkerID(h), Life: work.Life(number)})
}

// WaveStatuses returns what is to be told of waves; each is told until Told is called for it.
func (s *Scheduler) WaveStatuses() []WaveStatus {
	var list []WaveStatus
	for n, w := range s.waves {
		if st := s.waveState(w); st != w.told {
			list = append(list, WaveStatus{n, st})
		}
	}

	return list
}

// Told notes that the operators were told of a wave.
func (s *Scheduler) Told(st WaveStatus) {
	if w, ok := s.waves[st.Number]; ok {
		w.told = st.State
	}
}

func (s *Scheduler) waveState(w *wave) WaveState {
	if s.listed.IsZero() {
		return WaveInProgress
	}
	for _, name := range w.order.Hosts {
		if _, exists := s.hosts[name]; exists && !w.done[name] {
			return WaveInProgress
		}
	}

	return WaveCompleted
}

// planMaintenance begins to empty hosts, as many as each wave allows and as the time that is left asks for.
func (s *Scheduler) planMaintenance(now time.Time) {
	clear(s.dueHosts)
	if !s.OpenWaves() {
		return
	}
	away := s.awayHosts()
	for _, w := range s.waves {
		if w.told == WaveCompleted {
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
			case !w.done[name] && h.phase == serving:
				s.dueHosts[name] = true
				if s.free(h, now) {
					waiting = append(waiting, h)
				}
			}
		}
		hurry := w.inHurry(len(waiting), now)
		for _, h := range s.quietest(waiting) {
			if busy >= w.order.MaxDown {
				break
			}
			if !hurry && !away.allows(h.Pool) {
				continue
			}
			s.empty(h, hostPlan{wave: w.order.Number}, now)
			away.add(h.Pool)
			busy++
		}
	}
}

// mayBeDown reports whether a host is, or may come to be, down for a wave, also by an order of an earlier owner.
func (s *Scheduler) mayBeDown(h *host, w *wave, now time.Time) bool {
	switch {
	case h.phase != serving:
		return h.plan.wave == w.order.Number
	case h.State == work.HostMaintenance, h.State == work.HostDown:
		return true
	default:
		return !w.done[h.Host] && now.Before(s.quiet[h.Host])
	}
}

const (
	// turnaround is the time that one host takes from the start of its emptying until it is back.
	turnaround = 5 * time.Second
	// maxEmptied is the part of a pool that may be away at once while there is time.
	maxEmptied = 0.25
)

// inHurry reports whether so little time is left for a wave that pools must do without more of their hosts.
func (w *wave) inHurry(waiting int, now time.Time) bool {
	rounds := (waiting + w.order.MaxDown - 1) / max(1, w.order.MaxDown)

	return w.order.Duration-now.Sub(w.seen) < time.Duration(rounds+1)*turnaround
}

// awayHosts counts the hosts of each pool, and those of them that are away or about to be.
type awayHosts struct {
	all, away map[fleet.PoolName]int
}

func (s *Scheduler) awayHosts() awayHosts {
	c := awayHosts{all: map[fleet.PoolName]int{}, away: map[fleet.PoolName]int{}}
	for _, h := range s.hostList {
		c.all[h.Pool]++
		if h.phase != serving {
			c.add(h.Pool)
		}
	}

	return c
}

func (c awayHosts) add(p fleet.PoolName) {
	c.away[p]++
}

// allows reports whether one more host of a pool may be away while there is time, so that the pool keeps most of them.
func (c awayHosts) allows(p fleet.PoolName) bool {
	return float64(c.away[p]+1) <= max(1, maxEmptied*float64(c.all[p]))
}

// quietest returns the hosts in the order in which their maintenance disturbs least.
func (s *Scheduler) quietest(hosts []*host) []*host {
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

// mayStop reports whether one more task of a lasting step may be away by our own doing.
func (s *Scheduler) mayStop(e *ledger.Entry, r *run) bool {
	step := e.Job.Steps[r.attempt.Step]
	allowed := max(1, step.MaxAway)
	gone := 0
	st := e.Step(ledger.StepOf{Occurrence: r.attempt.Occurrence, Step: r.attempt.Step})
	for i := range st.Tasks {
		if i == r.attempt.Index || s.atWork(e.Job.ID, r.attempt, i, &st.Tasks[i]) {
			continue
		}
		if gone++; gone >= allowed {
			return false
		}
	}

	return true
}

// atWork reports whether another task of the same step as a works at its full pace.
func (s *Scheduler) atWork(id fleet.JobID, a work.Attempt, index int, t *ledger.TaskState) bool {
	for _, l := range t.Live {
		w, ok := s.workers[l.Worker]
		if !ok {
			continue
		}
		name := work.Attempt{Task: work.Task{Job: id, Occurrence: a.Occurrence, Step: a.Step, Index: index}, Number: l.Number}
		if r, ok := w.runs[name]; ok && !r.stop && r.percent >= fullPace && w.unheard == 0 {
			return true
		}
	}

	return false
}
