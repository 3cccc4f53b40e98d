package schedule

import (
	"testing"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/work"
)

// Guards against tasks that are not tried on a worker with room since another task, which waits for a worker on which it has not
// failed, was not placed there.
func TestRoomBesideATaskThatWaitsElsewhere(t *testing.T) {
	b := newTestbed(t, 2)
	b.settle()
	b.submit("filler", work.Step{Count: 1, Size: size(16000)})
	b.settle()
	b.submit("j", work.Step{Count: 1, Size: size(1000), Estimate: time.Minute})
	b.settle()
	for id, runs := range b.runs {
		for a := range runs {
			if a.Job == "j" {
				b.end(id, a, work.OutcomeFailed)
			}
		}
	}
	b.settle()
	check(t, "running of the task that waits", 0, b.runningOf("j"))
	b.submit("k", work.Step{Count: 1, Size: size(1000), Estimate: time.Minute})
	b.settle()
	check(t, "running of the other", 1, b.runningOf("k"))
}

// Guards against a job that is never over in the owner's tables since its last gang was completed by the end of one member.
func TestJobIsOverWithItsLastGang(t *testing.T) {
	b := newTestbed(t, 2)
	b.submit("j", work.Step{Count: 2, Size: size(9000), Gang: true})
	b.settle()
	b.entries["j"].Task(work.Task{Job: "j", Index: 1}).Live = nil
	for _, w := range b.s.workers {
		for a, r := range w.runs {
			if a.Index == 1 {
				delete(b.runs[w.id], a)
				b.s.release(r)
			} else {
				b.end(w.id, a, work.OutcomeDone)
			}
		}
	}
	b.settle()
	check(t, "open jobs", 0, b.s.Jobs())
}

// Guards against room that counts as held by a lasting task which is being stopped, so that none is reserved there for another.
func TestRoomOfAStoppedLastingTask(t *testing.T) {
	b := newTestbed(t, 1)
	b.submit("l", work.Step{Count: 1, Size: size(9000), Lasting: true})
	b.settle()
	w := b.s.workers["w0"]
	check(t, "held", size(9000), w.heldByLasting())
	for _, r := range w.runs {
		r.requestStop()
	}
	check(t, "held once it is stopped", fleet.Resources{}, w.heldByLasting())
}
