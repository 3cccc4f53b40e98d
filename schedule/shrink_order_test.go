package schedule

import (
	"slices"
	"testing"

	"lycheehook.example/lycheehook/work"
)

// Guards against the cancelling of the starts that come first when a worker has shrunk before they are sent, and of starts that
// fit once those that must not be sent any more are gone.
func TestStartsThatStayOnAShrunkWorker(t *testing.T) {
	for _, tt := range []struct {
		name string
		step work.Step
		// stopped is the number of first runs that must end before their start is sent.
		stopped int
		want    []int
	}{
		{"the first two of three", work.Step{Count: 3, Size: size(3000)}, 0, []int{0, 1}},
		{"the one that is not stopped", work.Step{Count: 3, Size: size(3000)}, 2, []int{2}},
		{"the first two that are not stopped", work.Step{Count: 4, Size: size(3000)}, 1, []int{1, 2}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newTestbed(t, 1)
			b.settle()
			b.submit("j", tt.step)
			b.s.Place(b.now)
			_, starts := b.s.TakePending()
			for _, st := range starts[:tt.stopped] {
				st.run.requestStop()
			}
			b.resize("w0", 7000)
			var got []int
			for _, o := range b.s.Stored(starts, b.now) {
				got = append(got, o.Attempt().Index)
			}
			slices.Sort(got)
			check(t, "tasks of the starts that are sent", tt.want, got)
		})
	}
}
