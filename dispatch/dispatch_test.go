package dispatch

import (
	"testing"
	"time"
)

// The time between passes: many events gather, long passes leave the processor to the calls, and one that was held up delays
// nothing for long.
func TestRest(t *testing.T) {
	tests := []struct{ took, want time.Duration }{
		{0, passInterval},
		{500 * time.Microsecond, passInterval},
		{5 * time.Millisecond, 20 * time.Millisecond},
		{84 * time.Millisecond, maxRest},
	}
	for _, tt := range tests {
		if got := rest(tt.took); got != tt.want {
			t.Errorf("after a pass of %s: %s, want %s", tt.took, got, tt.want)
		}
	}
}
