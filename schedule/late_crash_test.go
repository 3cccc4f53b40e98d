package schedule

import (
	"fmt"
	"testing"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

// Sound jobs were given up, and the task that crashes its workers was started three times more after three crashes, where it does
// so later than an isolation lasts: the crash counted against a sound task that was isolated beside it.
func TestTaskThatCrashesAfterItsIsolation(t *testing.T) {
	for _, delay := range []time.Duration{2500 * time.Millisecond, 3500 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			b := newCrashbed(t)
			b.poisonFirst(delay)
			b.submit("poison", work.Step{Count: 1, Size: taskSize})
			var sound []fleet.JobID
			b.until(60*time.Second, func() bool {
				sound = append(sound, fleet.JobID(fmt.Sprintf("sound%03d", len(sound))))
				b.submit(sound[len(sound)-1], work.Step{Count: 1, Size: size(300)})

				return b.state("poison") == ledger.Failed
			})
			check(t, "state of the job", ledger.Failed, b.state("poison"))
			if got := b.crashesBy("poison"); got > failAfterLateCrashes {
				t.Errorf("%d crashes, at most %d are allowed", got, failAfterLateCrashes)
			}
			for _, id := range sound {
				if b.state(id) == ledger.Failed {
					t.Errorf("%s was given up", id)
				}
			}
		})
	}
}
