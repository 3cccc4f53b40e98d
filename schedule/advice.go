package schedule

import (
	"cmp"
	"slices"
	"time"

	"lycheehook.example/lycheehook/work"
)

const (
	// maxAdviceWorkers bounds the workers of one question, since the answer takes time for each of them.
	maxAdviceWorkers = 30
	// ticketMargin is how long before its expiry a ticket is no longer used, for the time that the start takes to
	// arrive.
	ticketMargin = 200 * time.Millisecond
	// ticketRenewalTime is how long after its expiry a ticket is expected to be renewed.
	ticketRenewalTime = time.Second
	// adviceRetryPause is the pause before an unanswered question is repeated.
	adviceRetryPause = 200 * time.Millisecond
)

// ticket permits one incarnation of a worker to run the tasks of a step.
type ticket struct {
	value   string
	life    work.Life
	expires time.Time
}

// advice is what is known about the workers that may run a step.
type advice struct {
	tickets map[work.WorkerID]ticket
	// asked has the workers that were asked about, by incarnation, since a refusal is final for an incarnation.
	asked map[work.WorkerID]work.Life
	// nextAskAt is when the next question may be asked; askedAt is when the last one was.
	nextAskAt, askedAt time.Time
}

// Question asks which of some workers may run a step.
type Question struct {
	Step    string
	Workers []work.WorkerID
	// Timeout bounds the wait for the answer, which takes time for each worker.
	Timeout  time.Duration
	validity time.Duration
	lives    map[work.WorkerID]work.Life
}

// adviceFor returns the advice on a step, which it adds if there is none.
func (s *Scheduler) adviceFor(step string) *advice {
	a, ok := s.advice[step]
	if !ok {
		a = &advice{tickets: map[work.WorkerID]ticket{}, asked: map[work.WorkerID]work.Life{}}
		s.advice[step] = a
	}

	return a
}

// refused reports whether a worker may not run the step, which is final for its incarnation.
func (a *advice) refused(w *worker) bool {
	_, granted := a.tickets[w.id]

	return a.asked[w.id] == w.Life() && !granted
}

// Question returns the next question, or false while one is in flight or none is due.
func (s *Scheduler) Question(now time.Time) (Question, bool) {
	if s.advicePending {
		return Question{}, false
	}
	for _, l := range s.byLastQuestion(now) {
		if q, ok := s.question(l.name, l.advice, l.step, now); ok {
			s.advicePending, l.advice.askedAt = true, now
			return q, true
		}
	}

	return Question{}, false
}

// advisedStep is an unplaced step of an advised queue with what is known about it.
type advisedStep struct {
	name   string
	advice *advice
	step   *readyStep
}

// byLastQuestion returns the unplaced steps and those with tasks that are to leave their hosts, about which a question may be
// asked, those that were asked about longest ago first. A step that waits for room is asked about again when its tickets run out,
// which must not keep others from being asked about.
func (s *Scheduler) byLastQuestion(now time.Time) []advisedStep {
	var list []advisedStep
	for _, r := range slices.Concat(s.unplaced, s.leaving) {
		if r.queue.Advice == nil {
			continue
		}
		name := work.Task{Job: r.job.entry.Job.ID, Occurrence: r.step.Occurrence, Step: r.step.Step}.StepName()
		if a := s.adviceFor(name); !now.Before(a.nextAskAt) {
			list = append(list, advisedStep{name: name, advice: a, step: r})
		}
	}
	slices.SortStableFunc(list, func(x, y advisedStep) int { return x.advice.askedAt.Compare(y.advice.askedAt) })

	return list
}

// question returns a question about the workers without an answer and those whose tickets have expired. It leaves out
// workers whose capacity is too small for the step's tasks now.
func (s *Scheduler) question(name string, a *advice, r *readyStep, now time.Time) (Question, bool) {
	q := Question{Step: name, validity: r.queue.Advice.Validity, lives: map[work.WorkerID]work.Life{}}
	step := r.job.entry.Job.Steps[r.step.Step]
	for _, w := range s.workers {
		if w.reg.Pool != r.queue.Pool || !w.usable(now) || !hasLabel(w.reg, step.Label) || !step.Reserved().FitsIn(w.reg.Capacity) {
			continue
		}
		t, granted := a.tickets[w.id]
		if !a.refused(w) && (!granted || t.life != w.Life() || now.After(t.expires)) {
			q.Workers = append(q.Workers, w.id)
		}
	}
	// The least used workers come first, since a ticket is of use only where there is room.
	slices.SortFunc(q.Workers, func(x, y work.WorkerID) int {
		a, b := s.workers[x], s.workers[y]
		return cmp.Or(cmp.Compare(a.used.DominantShare(a.reg.Capacity), b.used.DominantShare(b.reg.Capacity)), cmp.Compare(x, y))
	})
	q.Workers = q.Workers[:min(len(q.Workers), maxAdviceWorkers)]
	for _, id := range q.Workers {
		q.lives[id] = s.workers[id].Life()
	}
	q.Timeout = r.queue.Advice.Decision + time.Duration(len(q.Workers))*r.queue.Advice.PerWorker + time.Second

	return q, len(q.Workers) > 0
}

// Advised handles the answer to a question.
func (s *Scheduler) Advised(q Question, tickets map[work.WorkerID]string, err error, now time.Time) {
	s.advicePending = false
	a := s.adviceFor(q.Step)
	if err != nil {
		a.nextAskAt = now.Add(adviceRetryPause)
		s.observe(Decision{Kind: DecidedNoAdvice, Reason: q.Step + ": " + err.Error()})

		return
	}
	for _, id := range q.Workers {
		a.asked[id] = q.lives[id]
		delete(a.tickets, id)
		if value, ok := tickets[id]; ok {
			// The ticket became valid no later than its answer arrived, so its validity is counted from there, less the margin.
			a.tickets[id] = ticket{value: value, life: q.lives[id], expires: now.Add(q.validity - ticketMargin)}
		}
	}
	s.dirty = true
}

// refusedFor reports whether the advice on a step has refused a worker.
func (s *Scheduler) refusedFor(r *readyStep, w *worker) bool {
	if r.queue.Advice == nil {
		return false
	}
	a, ok := s.advice[work.Task{Job: r.job.entry.Job.ID, Occurrence: r.step.Occurrence, Step: r.step.Step}.StepName()]

	return ok && a.refused(w)
}

// mayHaveTicket reports whether a worker has a ticket for a step, or had one that can still be renewed by the question that is
// due; queues without advice need none.
func (s *Scheduler) mayHaveTicket(r *readyStep, w *worker, now time.Time) bool {
	_, ok := s.ticketFor(r, w, now.Add(-ticketRenewalTime))

	return ok
}

// ticketFor returns the ticket with which a worker may run a step now; queues without advice need none.
func (s *Scheduler) ticketFor(r *readyStep, w *worker, now time.Time) (string, bool) {
	if r.queue.Advice == nil {
		return "", true
	}
	name := work.Task{Job: r.job.entry.Job.ID, Occurrence: r.step.Occurrence, Step: r.step.Step}.StepName()
	a, ok := s.advice[name]
	if !ok {
		return "", false
	}
	t, ok := a.tickets[w.id]

	return t.value, ok && t.life == w.Life() && now.Before(t.expires)
}
