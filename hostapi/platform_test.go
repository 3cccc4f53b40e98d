package hostapi_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/hostapi"
	"lycheehook.example/lycheehook/standin"
)

const callTimeout = 200 * time.Millisecond

func newPlatform(t *testing.T) (*standin.Platform, *hostapi.Client) {
	t.Helper()
	p := standin.NewPlatform()
	p.PutHost(fleet.Host{Name: "w1", Pool: "a", Zone: "z1", Rack: "r1", Capacity: fleet.Resources{Cores: 16_000}})
	s := httptest.NewServer(p)
	t.Cleanup(s.Close)

	return p, hostapi.Dial(netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")), callTimeout)
}

func hostCall(intent hostapi.IntentID, fence uint64) hostapi.HostCall {
	return hostapi.HostCall{Host: "w1", Intent: intent, Fence: fence}
}

func taskStart(token uint64) hostapi.TaskStart {
	return hostapi.TaskStart{Job: "j1", Host: "w1", Token: token, LeaseTTL: fleet.Duration(time.Hour)}
}

// effects are calls with side effects, each with a check of whether it took effect.
var effects = []struct {
	name string
	call func(context.Context, *hostapi.Client) error
	done func(context.Context, *hostapi.Client) bool
}{
	{
		"Drain", func(ctx context.Context, c *hostapi.Client) error { return c.Drain(ctx, hostCall("i1", 1)) },
		func(ctx context.Context, c *hostapi.Client) bool {
			s, _ := c.Status(ctx, "w1")
			return s.Draining && s.Intent == "i1"
		},
	},
	{
		"StartTask", func(ctx context.Context, c *hostapi.Client) error { return c.StartTask(ctx, taskStart(5)) },
		func(ctx context.Context, c *hostapi.Client) bool {
			s, err := c.Task(ctx, hostapi.TaskCall{Job: "j1", Host: "w1", Token: 5})
			return err == nil && s.State == hostapi.TaskRunning
		},
	},
}

func TestFaults(t *testing.T) {
	faults := []struct {
		fault standin.Fault
		want  error
		done  bool
	}{
		{standin.FaultNone, nil, true},
		{standin.FaultDown, hostapi.ErrUnavailable, false},
		{standin.FaultAnswerLost, hostapi.ErrOutcomeUnknown, true},
		{standin.FaultSilent, hostapi.ErrOutcomeUnknown, false},
	}
	for _, e := range effects {
		for _, f := range faults {
			t.Run(e.name+string(f.fault), func(t *testing.T) {
				p, c := newPlatform(t)
				p.SetFault(f.fault)
				if err := e.call(t.Context(), c); !errors.Is(err, f.want) {
					t.Errorf("error %v, want %v", err, f.want)
				}
				p.SetFault(standin.FaultNone)
				if got := e.done(t.Context(), c); got != f.done {
					t.Errorf("took effect: %v, want %v", got, f.done)
				}
			})
		}
	}
}

func TestConnectionRefused(t *testing.T) {
	s := httptest.NewServer(nil)
	addr := netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	s.Close()
	c := hostapi.Dial(addr, callTimeout)
	if err := c.Drain(t.Context(), hostCall("i1", 1)); !errors.Is(err, hostapi.ErrUnavailable) {
		t.Errorf("error %v, want ErrUnavailable", err)
	}
}

func TestHostCalls(t *testing.T) {
	type step struct {
		call string
		hostapi.HostCall
		want error
	}
	cases := []struct {
		name  string
		steps []step
		want  hostapi.HostStatus
		boots int
	}{
		{"a repeated drain is applied once", []step{{"Drain", hostCall("i1", 1), nil}, {"Drain", hostCall("i1", 1), nil}},
			hostapi.HostStatus{Host: "w1", Up: true, Draining: true, Intent: "i1"}, 0},
		{"a delayed drain is fenced", []step{
			{"Drain", hostCall("i1", 1), nil}, {"CancelDrain", hostCall("i1", 3), nil}, {"Drain", hostCall("i0", 2), hostapi.ErrFenced},
		}, hostapi.HostStatus{Host: "w1", Up: true, Intent: "i1"}, 0},
		{"a repeated drain after its cancellation has no effect", []step{
			{"Drain", hostCall("i1", 1), nil}, {"CancelDrain", hostCall("i1", 1), nil}, {"Drain", hostCall("i1", 1), nil},
		}, hostapi.HostStatus{Host: "w1", Up: true, Intent: "i1"}, 0},
		{"a reboot without a drain is rejected", []step{{"Reboot", hostCall("i1", 1), hostapi.ErrRefused}},
			hostapi.HostStatus{Host: "w1", Up: true}, 0},
		{"a repeated reboot is applied once", []step{
			{"Drain", hostCall("i1", 1), nil}, {"Reboot", hostCall("i1", 2), nil}, {"Reboot", hostCall("i1", 2), nil},
		}, hostapi.HostStatus{Host: "w1", Draining: true, Intent: "i1"}, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p, c := newPlatform(t)
			calls := map[string]func(context.Context, hostapi.HostCall) error{"Drain": c.Drain, "CancelDrain": c.CancelDrain, "Reboot": c.Reboot}
			for _, s := range tc.steps {
				if err := calls[s.call](t.Context(), s.HostCall); !errors.Is(err, s.want) {
					t.Fatalf("%s %v: error %v, want %v", s.call, s.HostCall, err, s.want)
				}
			}
			got, err := c.Status(t.Context(), "w1")
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("status (-want +got):\n%s", diff)
			}
			if n := p.Boots("w1"); n != tc.boots {
				t.Errorf("%d reboots, want %d", n, tc.boots)
			}
		})
	}
}

// TestTaskDeclaredNotStarted guards against a task that starts after its worker reported it as not found, because the start request was delayed.
func TestTaskDeclaredNotStarted(t *testing.T) {
	p, c := newPlatform(t)
	if _, err := c.Task(t.Context(), hostapi.TaskCall{Job: "j1", Host: "w1", Token: 5}); !errors.Is(err, hostapi.ErrNotFound) {
		t.Fatalf("error %v, want ErrNotFound", err)
	}
	for _, token := range []uint64{4, 5} {
		if err := c.StartTask(t.Context(), taskStart(token)); !errors.Is(err, hostapi.ErrFenced) {
			t.Errorf("late start with token %d: error %v, want ErrFenced", token, err)
		}
	}
	if n := p.Starts("j1"); n != 0 {
		t.Errorf("the job was started %d times after its task was reported as not found", n)
	}
}

func TestTaskCalls(t *testing.T) {
	ctx := t.Context()
	p, c := newPlatform(t)
	call := hostapi.TaskCall{Job: "j1", Host: "w1", Token: 5}
	for range 2 {
		if err := c.StartTask(ctx, taskStart(5)); err != nil {
			t.Fatal(err)
		}
	}
	if n := p.Starts("j1"); n != 1 {
		t.Errorf("started %d times, want once", n)
	}
	gone, err := c.RenewTasks(ctx, "w1", []hostapi.TaskCall{call, {Job: "j9", Host: "w1", Token: 1}})
	if diff := cmp.Diff([]fleet.JobID{"j9"}, gone); err != nil || diff != "" {
		t.Errorf("renew: %v (-want +got):\n%s", err, diff)
	}
	if err := c.Drain(ctx, hostCall("i1", 1)); err != nil {
		t.Fatal(err)
	}
	if err := c.Reboot(ctx, hostCall("i1", 1)); !errors.Is(err, hostapi.ErrRefused) {
		t.Errorf("reboot with a running task: error %v, want ErrRefused", err)
	}
	if err := c.Throttle(ctx, hostapi.ThrottleCall{TaskCall: call, Cores: 500}); err != nil {
		t.Error(err)
	}
	if err := c.Checkpoint(ctx, call); err != nil {
		t.Error(err)
	}
	if err := c.StopTasks(ctx, "w1", []hostapi.TaskCall{call}); err != nil {
		t.Error(err)
	}
	s, err := c.Task(ctx, call)
	if err != nil || s.State != hostapi.TaskStopped || !s.Checkpointed {
		t.Errorf("task %+v, %v, want stopped after a checkpoint", s, err)
	}
	if n := p.CutOff(); n != 0 {
		t.Errorf("%d tasks were interrupted", n)
	}
}
