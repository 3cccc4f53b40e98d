package experiment

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"lycheehook.example/lycheehook/load"
)

func TestRunEverySetUp(t *testing.T) {
	results, err := New(WithDuration(time.Second), WithEntries(3)).Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}

	for _, r := range results {
		if !r.Report.Verdicts.Audited {
			t.Errorf("%s: the answers were not compared with what the endpoints ran", r.SetUp)
		}
		if sum(r.Report).done == 0 {
			t.Errorf("%s: no request succeeded", r.SetUp)
		}
	}

	var b bytes.Buffer
	if err := WriteMarkdown(&b, results); err != nil {
		t.Fatal(err)
	}
	if rows := strings.Count(b.String(), "\n"); rows != len(SetUps())+2 {
		t.Errorf("%d rows for %d set-ups:\n%s", rows, len(SetUps()), b.String())
	}
}

func TestFractionOfFair(t *testing.T) {
	tests := []struct {
		name    string
		windows []load.Window
		want    float64
	}{
		{name: "no windows", want: 1},
		{name: "the fair share", windows: []load.Window{{Done: 4, Due: 4}}, want: 1},
		{name: "half of the fair share", windows: []load.Window{{Done: 1, Due: 4}, {Done: 3, Due: 4}}, want: 0.5},
		{name: "more than the fair share", windows: []load.Window{{Done: 8, Due: 4}}, want: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := fractionOfFair(load.TeamReport{Windows: tt.windows}); got != tt.want {
				t.Errorf("fractionOfFair %v, want %v", got, tt.want)
			}
		})
	}
}
