package agent

import (
	"errors"
	"fmt"
	"maps"
	"testing"

	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/work"
)

// Guards against a worker that is called through an agent which could not reach it, by what the agent answered.
func TestCallsAfterAFailedOne(t *testing.T) {
	for _, tt := range []struct {
		answer error
		want   map[string]int
	}{
		{work.ErrNoAnswer, map[string]int{"agent": 1, "owner": 1}},
		{work.ErrNotSent, map[string]int{"agent": 1, "owner": 1}},
		{work.ErrNoRoom, map[string]int{"agent": 2}},
	} {
		t.Run(fmt.Sprint(tt.answer), func(t *testing.T) {
			run(t, weak, func(f *site, w work.Workers) {
				t := f.t
				f.agent.Start = func(work.Registration, work.Start) (work.Answer, error) {
					f.countCall("agent")
					return work.Answer{}, tt.answer
				}
				for i := range 2 {
					if _, err := w.Start(worker, work.Start{Attempt: work.Attempt{Task: task.Task, Number: i + 1}}); i == 0 && !errors.Is(err, tt.answer) {
						t.Errorf("first start: %v, want %v", err, tt.answer)
					}
				}
				if diff := cmp.Diff(tt.want, maps.Clone(f.counts())); diff != "" {
					t.Errorf("calls made (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// Guards against an agent that gets no calls to a worker which another agent could not reach.
func TestOnlyTheAgentThatFailedIsAvoided(t *testing.T) {
	run(t, weak, func(f *site, _ work.Workers) {
		d := f.delegator
		d.avoid(worker.ID, "agent:1")
		d.mu.Lock()
		defer d.mu.Unlock()
		got := map[string]bool{"agent:1": d.avoids(worker.ID, "agent:1"), "agent:2": d.avoids(worker.ID, "agent:2"), "other worker": d.avoids("other", "agent:1")}
		if diff := cmp.Diff(map[string]bool{"agent:1": true, "agent:2": false, "other worker": false}, got); diff != "" {
			f.t.Errorf("avoided (-want +got):\n%s", diff)
		}
	})
}
