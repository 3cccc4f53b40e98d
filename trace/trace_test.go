package trace_test

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/trace"
)

func TestTrace(t *testing.T) {
	s := trace.Size{Hosts: 50, Pools: 5}
	a, b := trace.New(s, 7, 24*time.Hour, 30*time.Second, 0.7), trace.New(s, 7, 24*time.Hour, 30*time.Second, 0.7)
	if diff := cmp.Diff(a, b); diff != "" {
		t.Errorf("two traces with the same seed differ:\n%s", diff)
	}
	sum := 0.0
	for _, mean := range a.Mean(a.Ticks-1, 24*time.Hour) {
		sum += mean
	}
	// Daily curves and level shifts change the mean of one day by less than 50%.
	if got := sum / (0.7 * float64(s.Hosts)); math.Abs(got-1) > 0.5 {
		t.Errorf("the mean demand is %.2f times the configured load", got)
	}
}
