package capacity

import (
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

func line(base, slope float64) func(context.Context, float64) (float64, error) {
	return func(_ context.Context, size float64) (float64, error) { return base + slope*size, nil }
}

func TestRun(t *testing.T) {
	errProbe := errors.New("probe")
	tests := []struct {
		name     string
		measure  Measure
		wantErr  error
		atTarget float64
		kept     bool
	}{
		{name: "extrapolated", measure: Measure{Sizes: []float64{1, 2, 4}, Target: 10, Limit: 35, Run: line(5, 3)}, atTarget: 35, kept: true},
		{name: "over the limit", measure: Measure{Sizes: []float64{1, 2, 4}, Target: 10, Limit: 34, Run: line(5, 3)}, atTarget: 35},
		{name: "no limit", measure: Measure{Sizes: []float64{1, 2, 4}, Target: 10, Run: line(5, 3)}, atTarget: 35, kept: true},
		{name: "too few sizes", measure: Measure{Sizes: []float64{1, 2}, Run: line(5, 3)}, wantErr: ErrTooFewSizes},
		{
			name: "a measurement fails", wantErr: errProbe,
			measure: Measure{Sizes: []float64{1, 2, 3}, Run: func(context.Context, float64) (float64, error) { return 0, errProbe }},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, err := Run(t.Context(), tt.measure)
			if !errors.Is(err, tt.wantErr) {
				t.Fatalf("Run: %v, want %v", err, tt.wantErr)
			}
			if err != nil {
				return
			}
			if diff := cmp.Diff(tt.atTarget, r.AtTarget(), cmpopts.EquateApprox(0, 1e-6)); diff != "" {
				t.Errorf("cost at target (-want +got):\n%s", diff)
			}
			if r.Kept() != tt.kept {
				t.Errorf("kept %t, want %t", r.Kept(), tt.kept)
			}
		})
	}
}

func TestAtTargetReturnsMeasuredCost(t *testing.T) {
	r := Result{Measure: Measure{Sizes: []float64{1, 2, 3}, Target: 3}, Costs: []float64{1, 2, 9}, Slope: 1}
	if got := r.AtTarget(); got != 9 {
		t.Errorf("AtTarget %v, want the measured 9", got)
	}
}

func TestWriteMarkdownReportsExceededLimit(t *testing.T) {
	r, err := Run(t.Context(), Measure{Role: "entry host", Sizes: []float64{1, 2, 3}, Target: 4, Limit: 1, Run: line(0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	if err := WriteMarkdown(&b, []Result{r}); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(b.String(), "EXCEEDED") {
		t.Errorf("the exceeded limit is not reported:\n%s", b.String())
	}
}
