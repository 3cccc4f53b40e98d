package telemetry

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const storyJob = "5c0e7a21d94b36f8"

// Events of several logs are merged in order of time, with the changes of the owner and what is missing.
func TestStory(t *testing.T) {
	front := "time=2026-04-15T05:30:00.100Z level=info msg=answered method=POST job=" + storyJob + " status=200\n" +
		"time=2026-04-15T05:30:00.200Z level=info msg=answered method=POST job=aaaaaaaaaaaaaaaa status=200\n"
	owner := "   1.2 edge-1 time=2026-04-15T05:29:00.000Z level=info msg=\"owns the workers\" term=6\n" +
		"   2.0 edge-1 time=2026-04-15T05:30:00.150Z level=info msg=Assigned job=" + storyJob + " task=" + storyJob + ".0.0.0\nnoise\n" +
		"   2.1 edge-1 time=2026-04-15T05:30:02.150Z level=info msg=\"no longer owns the workers\" term=6\n"
	s := Story{Job: storyJob}
	if err := s.Read("owner.log", strings.NewReader(owner)); err != nil {
		t.Fatal(err)
	}
	if err := s.Read("front.log", strings.NewReader(front)); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := s.Write(&out); err != nil {
		t.Fatal(err)
	}
	want := `    0.000s front.log level=info msg=answered method=POST job=5c0e7a21d94b36f8 status=200
    0.050s owner.log level=info msg=Assigned job=5c0e7a21d94b36f8 task=5c0e7a21d94b36f8.0.0.0
    2.050s owner.log level=info msg="no longer owns the workers" term=6
missing: it is not over: it runs, waits for its next step, or the owner's log ends here
`
	if diff := cmp.Diff(want, out.String()); diff != "" {
		t.Errorf("story (-want +got):\n%s", diff)
	}
}

func FuzzStory(f *testing.F) {
	f.Add("time=2026-04-15T05:30:00.100Z level=info msg=answered job=" + storyJob)
	f.Fuzz(func(t *testing.T, text string) {
		s := Story{Job: storyJob}
		if err := s.Read("log", strings.NewReader(text)); err != nil {
			return
		}
		if err := s.Write(&strings.Builder{}); err != nil {
			t.Error(err)
		}
	})
}
