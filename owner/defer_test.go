package owner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
)

// Hosts that can't own the workers took term after term by turns before an equally strong one was tried: the rest of the first was
// over when the second had failed.
func TestFailedHostDefersToEquals(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name string
		// failed is the number of short terms of the host, cores are those of the other host, and vacant is how long the workers
		// have had no owner.
		failed int
		cores  float64
		vacant time.Duration
		// refuses is set if the other host has failed as well.
		refuses bool
		want    bool
	}{
		{"has not failed", 0, 0.8, 0, false, false},
		{"failed, beside an equal", 1, 0.8, 0, false, true},
		{"failed, beside a weaker one", 1, 0.2, 0, false, false},
		{"failed, beside an equal that failed", 1, 0.8, 0, true, false},
		{"failed, beside an equal that does not bid", 1, 0.8, deferLimit, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			other := &standing{host: ledger.Host{Name: "b", Cores: tt.cores}, revision: 1}
			if tt.refuses {
				other.refusedUntil = now.Add(time.Minute)
			}
			c := &Candidate{session: &Session{host: ledger.Host{Name: "a", Cores: 0.8}}, failedTerms: tt.failed}
			c.standings = standings{hosts: map[fleet.EntryName]*standing{"b": other}, vacant: now.Add(-tt.vacant)}
			if diff := cmp.Diff(tt.want, c.rests(now)); diff != "" {
				t.Errorf("leaves the term to the other (-want +got):\n%s", diff)
			}
		})
	}
}
