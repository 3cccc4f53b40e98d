package pause_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"lycheehook.example/lycheehook/pause"
)

// TestFor checks that a pause ends with its duration or its context, whichever comes first, and reports which.
func TestFor(t *testing.T) {
	tests := []struct {
		name    string
		d       time.Duration
		timeout time.Duration
		passed  bool
		elapsed time.Duration
	}{
		{"full duration", time.Second, time.Minute, true, time.Second},
		{"context ends first", time.Minute, time.Second, false, time.Second},
		{"zero duration", 0, time.Second, true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), tt.timeout)
				defer cancel()
				start := time.Now()
				if got := pause.For(ctx, tt.d); got != tt.passed || time.Since(start) != tt.elapsed {
					t.Errorf("got %v after %v, want %v after %v", got, time.Since(start), tt.passed, tt.elapsed)
				}
			})
		})
	}
}
