package schedule

import (
	"testing"
	"time"

	"lycheehook.example/lycheehook/work"
)

// A filling task is slowed quickly while it harms a serving one, paused if that is not enough, and sped up slowly
// afterwards.
func TestNextPace(t *testing.T) {
	tests := []struct {
		name     string
		pace     int
		nearness float64
		both     bool
		want     int
	}{
		{"alone", 40, 3, false, 60},
		{"far from the bound", 100, 0.2, true, 100},
		{"near the bound", 50, 0.8, true, 50},
		{"over the bound", 100, 1.2, true, 50},
		{"over the bound at a low pace", 25, 1.2, true, 0},
		{"relieved", 0, 0.3, true, 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			check(t, "pace", tt.want, nextPace(tt.pace, tt.nearness, tt.both))
		})
	}
}

// Filling tasks beside a serving task that exceeds its bound are paused within harmTime.
func TestFillingTasksHeldOverBound(t *testing.T) {
	const harmTime = 4 * time.Second
	b := newTestbed(t, 1)
	b.submit("serves", work.Step{Count: 1, Size: size(4000), Lasting: true, MaxTail: 20 * time.Millisecond})
	b.submit("fills", work.Step{Count: 2, Size: size(4000), Lasting: true, Filling: true})
	b.settle()
	check(t, "running", 3, b.running())

	w := b.s.workers["w0"]
	began := b.now
	for b.now.Sub(began) < harmTime {
		held := 0
		for _, r := range w.runs {
			if r.attempt.Job == "serves" {
				r.tailLatency = 50 * time.Millisecond
			} else if r.pace == 0 {
				held++
			}
		}
		if held == 2 {
			return
		}
		for _, o := range b.s.PaceOrders(b.now) {
			b.s.Answered(o, work.Answer{}, nil, b.now)
		}
		b.now = b.now.Add(100 * time.Millisecond)
	}
	t.Error("the filling tasks were not held in time")
}
