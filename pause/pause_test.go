package pause_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"lycheehook.example/lycheehook/pause"
)

// A pause ends with its time or its context, whichever comes first, and says which.
func TestFor(t *testing.T) {
	tests := []struct {
		name    string
		d       time.Duration
		ends    time.Duration
		passed  bool
		elapsed time.Duration
	}{
		{"whole", time.Second, time.Minute, true, time.Second},
		{"cut short", time.Minute, time.Second, false, time.Second},
		{"none", 0, time.Second, true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), tt.ends)
				defer cancel()
				began := time.Now()
				if got := pause.For(ctx, tt.d); got != tt.passed || time.Since(began) != tt.elapsed {
					t.Errorf("got %v after %v, want %v after %v", got, time.Since(began), tt.passed, tt.elapsed)
				}
			})
		})
	}
}
