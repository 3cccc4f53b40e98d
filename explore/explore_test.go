package explore_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/explore"
)

var errFull = errors.New("counter is full")

// counter is a model in which a number grows by one or doubles, up to a bound.
func counter(bound int) explore.Model[int, int] {
	return explore.Model[int, int]{
		Initial: 1,
		Steps: func(n int) []explore.Step[int] {
			if n > 20 {
				return nil
			}
			return []explore.Step[int]{{Label: "add", Next: n + 1}, {Label: "double", Next: 2 * n}}
		},
		Key: func(n int) int { return n },
		Check: func(n int) error {
			if n == bound {
				return errFull
			}
			return nil
		},
	}
}

func TestRunFindsShortestTrace(t *testing.T) {
	_, err := counter(10).Run(50)

	var v *explore.ViolationError
	if !errors.As(err, &v) || !errors.Is(err, errFull) {
		t.Fatalf("got %v, want a violation", err)
	}
	if diff := cmp.Diff([]string{"add", "double", "add", "double"}, v.Trace); diff != "" {
		t.Error(diff)
	}
}

func TestRunReport(t *testing.T) {
	for _, c := range []struct {
		depth    int
		states   int
		complete bool
	}{
		{depth: 1, states: 2, complete: false},
		{depth: 2, states: 4, complete: false},
		{depth: 50, states: 31, complete: true},
	} {
		r, err := counter(-1).Run(c.depth)
		if err != nil {
			t.Fatal(err)
		}
		if r.States != c.states || r.Complete != c.complete {
			t.Errorf("depth %d: got %+v, want %d states, complete %t", c.depth, r, c.states, c.complete)
		}
	}
}

func ExampleModel_Run() {
	_, err := counter(3).Run(10)
	fmt.Println(err)
	// Output:
	// invariant broken after 2 steps: counter is full
	//   add
	//   add
}
