package dispatch

import (
	"testing"
	"time"
)

// The pause between passes lets events accumulate and grows with the duration of a pass up to a limit, so that one delayed
// pass causes no long pause.
func TestPassPause(t *testing.T) {
	tests := []struct{ took, want time.Duration }{
		{0, minPassPause},
		{500 * time.Microsecond, minPassPause},
		{5 * time.Millisecond, 20 * time.Millisecond},
		{84 * time.Millisecond, maxPassPause},
	}
	for _, tt := range tests {
		if got := passPause(tt.took); got != tt.want {
			t.Errorf("after a pass of %s: %s, want %s", tt.took, got, tt.want)
		}
	}
}
