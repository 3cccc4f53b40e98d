package entry

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/audit"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/hostapi"
	"lycheehook.example/lycheehook/move"
	"lycheehook.example/lycheehook/standin"
	"lycheehook.example/lycheehook/wave"
)

func TestHostAndWaveAudit(t *testing.T) {
	s := standin.NewStore()
	trail := audit.New(s.Client(), "entry-1")
	hosts, waves := hostAuditor(trail, "entry-1"), waveAuditor(trail, "entry-1")
	hosts(move.WriteHost{Record: move.Record{
		Host: fleet.Host{Name: "worker-1", Pool: "a", State: fleet.HostDraining}, Intent: &move.Intent{To: "b", Phase: move.Draining},
	}})
	hosts(move.CallHost{Kind: move.CallDrain, Call: hostapi.HostCall{Host: "worker-1"}})
	hosts(move.CallHost{Kind: move.CallReboot, Call: hostapi.HostCall{Host: "worker-1"}})
	hosts(move.WriteBudget{})

	// The answer to the first write of the wave's record is lost; the answer to the second one arrives.
	c := wave.New(s.Client(), wave.DefaultPolicy, func() wave.Hosts { return nil }, func() bool { return true }).WithAudit(waves)
	s.SetFault(standin.FaultAnswerLost)
	start := time.Now()
	_ = c.Step(t.Context(), start)
	s.SetFault(standin.FaultNone)
	if err := c.Step(t.Context(), start.Add(wave.DefaultPolicy().Notice.Std())); err != nil {
		t.Fatal(err)
	}
	waves(wave.Record{Number: 1, State: wave.Running}, wave.Record{Number: 1, State: wave.Done}, nil)
	if err := trail.Flush(t.Context()); err != nil {
		t.Fatal(err)
	}

	entries, err := audit.Read(t.Context(), s.Client(), audit.Filter{Who: "entry-1"})
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, e := range entries {
		changes, _, _ := strings.Cut(strings.Join(e.Changes, "; "), ", starts at")
		got = append(got, strings.Join([]string{string(e.Action), e.Subject, string(e.Result), changes}, " "))
	}
	want := []string{
		"MoveHost Hosts/worker-1 Accepted pool a, state Draining; on its way to pool b, phase Draining",
		"DrainHost Hosts/worker-1 Accepted " + string(move.CallDrain),
		"RebootHost Hosts/worker-1 Accepted " + string(move.CallReboot),
		"PlanWave Waves/1 Unknown state  -> Planned",
		"StartWave Waves/1 Accepted state Planned -> Running",
		"EndWave Waves/1 Accepted state Running -> Done",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}
