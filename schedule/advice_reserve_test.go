package schedule

import (
	"testing"
	"time"

	"lycheehook.example/lycheehook/work"
)

// Room was reserved for a lasting task on workers about which the advice service gave no answer, and kept all other tasks from
// these workers, which were empty, for as long as that lasted.
func TestNoRoomKeptWithoutAnswer(t *testing.T) {
	b := newTestbed(t, 1)
	c := testConfig
	c.Queues = append([]work.Queue{{
		Name: "advised", Pool: testPool, Advice: &work.Advice{Decision: time.Millisecond, PerWorker: time.Millisecond, Validity: time.Minute},
	}}, c.Queues...)
	b.s.SetConfig(c)
	b.settle()
	b.s.AddJob(work.Job{ID: "l", Queue: "advised", Pool: testPool, Submitted: b.now, Steps: []work.Step{{Count: 1, Size: size(12000), Lasting: true}}}, 1, b.now)
	b.submit("small", work.Step{Count: 1, Size: size(6000)})
	for range 100 {
		b.step()
		if q, ok := b.s.Question(b.now); ok {
			b.s.Advised(q, nil, work.ErrNoAnswer, b.now)
		}
	}
	check(t, "running after 10 s without an answer", 1, b.running())
}
