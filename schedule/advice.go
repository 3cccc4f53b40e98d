package schedule

import (
	"cmp"
	"slices"
	"time"

	"lycheehook.example/lycheehook/work"
)

const (
	// advisedWorkers bounds the workers of one question: the answer takes time for each.
	advisedWorkers = 30
	// ticketMargin is how long before its end a ticket is no longer relied upon, for the way of the order.
	ticketMargin = 200 * time.Millisecond
	// adviceRetry is the pause before a question that was not answered is asked again.
	adviceRetry = 200 * time.Millisecond
)

// ticket lets a worker run the tasks of a step during one life.
type ticket struct {
	value   string
	life    work.Life
	expires time.Time
}

// advice is what is known of the workers that may run a step.
type advice struct {
	tickets map[work.WorkerID]ticket
	// asked has the workers that were asked about, with their lives; the answer does not change.
	asked map[work.WorkerID]work.Life
	// due is when a question may be asked.
	due time.Time
}

// Question asks which of some workers may run a step.
type Question struct {
	Step    string
	Workers []work.WorkerID
	// Timeout bounds the answer, which takes time for each worker.
	Timeout  time.Duration
	validity time.Duration
	lives    map[work.WorkerID]work.Life
}

func (s *Scheduler) adviceOn(step string) *advice {
	a, ok := s.advice[step]
	if !ok {
		a = &advice{tickets: map[work.WorkerID]ticket{}, asked: map[work.WorkerID]work.Life{}}
		s.advice[step] = a
	}

	return a
}

// Question returns the next question, or false while one is out or none is due.
func (s *Scheduler) Question(now time.Time) (Question, bool) {
	if s.asking {
		return Question{}, false
	}
	for _, r := range s.waiting {
		if r.queue.Advice == nil {
			continue
		}
		name := work.Task{Job: r.job.entry.Job.ID, Occurrence: r.step.Occurrence, Step: r.step.Step}.StepName()
		a := s.adviceOn(name)
		if now.Before(a.due) {
			continue
		}
		if q, ok := s.question(name, a, r, now); ok {
			s.asking = true
			return q, true
		}
	}

	return Question{}, false
}

// question asks about workers whose answer is not known, or whose tickets have expired.
func (s *Scheduler) question(name string, a *advice, r *ready, now time.Time) (Question, bool) {
	q := Question{Step: name, validity: r.queue.Advice.Validity, lives: map[work.WorkerID]work.Life{}}
	step := r.job.entry.Job.Steps[r.step.Step]
	for _, w := range s.workers {
		if w.reg.Pool != r.queue.Pool || !w.usable(now) || !hasLabel(w.reg, step.Label) {
			continue
		}
		t, granted := a.tickets[w.id]
		refused := a.asked[w.id] == w.life && !granted
		if !refused && (!granted || t.life != w.life || now.After(t.expires)) {
			q.Workers = append(q.Workers, w.id)
		}
	}
	// Workers with room come first, since a ticket is of use only there.
	slices.SortFunc(q.Workers, func(x, y work.WorkerID) int {
		a, b := s.workers[x], s.workers[y]
		return cmp.Or(cmp.Compare(a.used.DominantShare(a.reg.Capacity), b.used.DominantShare(b.reg.Capacity)), cmp.Compare(x, y))
	})
	q.Workers = q.Workers[:min(len(q.Workers), advisedWorkers)]
	for _, id := range q.Workers {
		q.lives[id] = s.workers[id].life
	}
	q.Timeout = r.queue.Advice.Decision + time.Duration(len(q.Workers))*r.queue.Advice.PerWorker + time.Second

	return q, len(q.Workers) > 0
}

// Advised takes in the answer to a question that was asked at some time.
func (s *Scheduler) Advised(q Question, tickets map[work.WorkerID]string, err error, now time.Time) {
	s.asking = false
	a := s.adviceOn(q.Step)
	if err != nil {
		a.due = now.Add(adviceRetry)
		s.observe(Decision{What: DecidedNoAdvice, Reason: q.Step + ": " + err.Error()})

		return
	}
	for _, id := range q.Workers {
		a.asked[id] = q.lives[id]
		delete(a.tickets, id)
		if value, ok := tickets[id]; ok {
			// The ticket's time began at the latest when its answer came, and is counted from there less a margin.
			a.tickets[id] = ticket{value: value, life: q.lives[id], expires: now.Add(q.validity - ticketMargin)}
		}
	}
	s.dirty = true
}

// ticketFor returns the ticket with which a worker may run a step now.
func (s *Scheduler) ticketFor(r *ready, w *worker, now time.Time) (string, bool) {
	if r.queue.Advice == nil {
		return "", true
	}
	name := work.Task{Job: r.job.entry.Job.ID, Occurrence: r.step.Occurrence, Step: r.step.Step}.StepName()
	a, ok := s.advice[name]
	if !ok {
		return "", false
	}
	t, ok := a.tickets[w.id]

	return t.value, ok && t.life == w.life && now.Before(t.expires)
}
