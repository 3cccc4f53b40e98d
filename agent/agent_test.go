package agent

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/charmbracelet/log"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

var (
	task  = work.Attempt{Task: work.Task{Job: "00000000000000a1", Step: 1, Index: 2}, Number: 3}
	there = work.Registration{ID: "i-1", Zone: "z1", Address: "10.0.0.1:80"}
)

// site is an owner, the agents beside it and the worker that both can call, over pipes.
type site struct {
	t     *testing.T
	began time.Time
	hosts []ledger.Host
	// vouched is how long the owner's lease lasts, ahead how far the agent's clock is before its own.
	vouched, ahead atomic.Int64
	// owner and agent are what the worker answers to calls of each, made the calls that it got from each.
	owner, agent work.Workers
	server       *Server
	delegator    *Delegator

	// silent holds back all that agents write.
	silent atomic.Bool

	mu   sync.Mutex
	made map[string]int
	// streams are the owner's ends of open streams.
	streams []net.Conn
}

func newSite(t *testing.T, cores float64) *site {
	t.Helper()
	f := &site{t: t, began: time.Now(), made: map[string]int{}}
	f.vouched.Store(int64(time.Second))
	f.owner, f.agent = f.worker("owner"), f.worker("agent")
	self := ledger.Host{Name: "e0", Zone: "z1", PeerAddress: "owner:1", Cores: cores}
	f.hosts = []ledger.Host{self, {Name: "e1", Zone: "z1", PeerAddress: "agent:1", Cores: 1}}
	f.server = NewServer(f.lazily(&f.agent), f.agentUptime, log.New(io.Discard))
	f.delegator = NewDelegator(f.lazily(&f.owner), self, func() []ledger.Host { return f.hosts }, f.open, func() time.Duration { return time.Duration(f.vouched.Load()) }, f.uptime, log.New(io.Discard))

	return f
}

func (f *site) uptime() time.Duration { return time.Since(f.began) }

func (f *site) agentUptime() time.Duration { return f.uptime() + time.Duration(f.ahead.Load()) }

// note counts a call that the worker got.
func (f *site) note(caller string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.made[caller]++
}

// counts returns how many calls the worker got from each.
func (f *site) counts() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()

	return maps.Clone(f.made)
}

// open opens a stream over a pipe.
func (f *site) open(ctx context.Context, _ string) (io.ReadWriteCloser, error) {
	near, far := net.Pipe()
	f.mu.Lock()
	f.streams = append(f.streams, near)
	f.mu.Unlock()
	go func() {
		f.server.serve(ctx, far, heldBack{far, &f.silent}, func() error { return nil })
		_ = far.Close()
	}()

	return near, nil
}

// heldBack is a writer whose writes wait while silent is set.
type heldBack struct {
	io.Writer
	silent *atomic.Bool
}

func (h heldBack) Write(p []byte) (int, error) {
	for h.silent.Load() {
		time.Sleep(10 * time.Millisecond)
	}

	return h.Writer.Write(p)
}

// worker returns the calls of a worker that does what it is told.
func (f *site) worker(caller string) work.Workers {
	answer := work.Answer{Clock: 5 * time.Second, Life: 7}

	return work.Workers{
		Start: func(work.Registration, work.Start) (work.Answer, error) { f.note(caller); return answer, nil },
		Stop:  func(work.Registration, work.Stop) (work.Answer, error) { f.note(caller); return answer, nil },
		Pace:  func(work.Registration, work.Pace) (work.Answer, error) { f.note(caller); return answer, nil },
		Poll: func(_ work.Registration, l work.Poll) (work.PollReply, error) {
			f.note(caller)
			time.Sleep(l.Wait)
			return work.PollReply{
				Answer: answer, Active: []work.Activity{{Attempt: task, Checkpoint: "c", Percent: 40, Tail: time.Millisecond}},
				Ended: []work.End{{Number: 9, Attempt: task, Outcome: work.OutcomeDone, Checkpoint: "d"}},
			}, nil
		},
	}
}

// lazily returns calls that are looked up when they are made.
func (f *site) lazily(w *work.Workers) work.Workers {
	return work.Workers{
		Start: func(r work.Registration, s work.Start) (work.Answer, error) { return w.Start(r, s) },
		Stop:  func(r work.Registration, s work.Stop) (work.Answer, error) { return w.Stop(r, s) },
		Pace:  func(r work.Registration, c work.Pace) (work.Answer, error) { return w.Pace(r, c) },
		Poll:  func(r work.Registration, l work.Poll) (work.PollReply, error) { return w.Poll(r, l) },
	}
}

// run plays f in a bubble in which the delegator runs.
func run(t *testing.T, cores float64, play func(f *site, w work.Workers)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newSite(t, cores)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); f.delegator.Run(ctx) }()
		w := f.delegator.Workers(orderWindow)
		if _, err := w.Poll(there, work.Poll{}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		f.mu.Lock()
		clear(f.made)
		f.mu.Unlock()
		play(f, w)
		cancel()
		<-done
		// What is under way at agents ends by itself.
		time.Sleep(time.Minute)
	})
}

// weak is the processor time of a host that can carry the calls to no worker.
const weak = 0.0001

// An owner on a small host (harambee-ledgers-large: 129 of 147 hosts have 0.192 cores): an agent makes its calls, and what
// the worker answers comes back whole.
func TestDelegated(t *testing.T) {
	run(t, weak, func(f *site, w work.Workers) {
		t := f.t
		start, err := w.Start(there, work.Start{Attempt: task, Spec: "s", Until: time.Minute, Token: 4})
		if diff := cmp.Diff(work.Answer{Clock: 5 * time.Second, Life: 7}, start); diff != "" || err != nil {
			t.Errorf("answer to a start, error %v (-want +got):\n%s", err, diff)
		}
		if _, err := w.Stop(there, work.Stop{Attempt: task}); err != nil {
			t.Error(err)
		}
		if _, err := w.Pace(there, work.Pace{Attempt: task, Percent: 40}); err != nil {
			t.Error(err)
		}
		got, err := w.Poll(there, work.Poll{Wait: 1500 * time.Millisecond})
		want, _ := f.worker("test").Poll(there, work.Poll{})
		if diff := cmp.Diff(want, got); diff != "" || err != nil {
			t.Errorf("answer to a poll, error %v (-want +got):\n%s", err, diff)
		}
		if diff := cmp.Diff(map[string]int{"agent": 4, "test": 1}, f.counts()); diff != "" {
			t.Errorf("calls made (-want +got):\n%s", diff)
		}
	})
}

// A host that can carry the calls itself makes them (all small sites).
func TestCarriedByOwner(t *testing.T) {
	run(t, 1, func(f *site, w work.Workers) {
		t := f.t
		if _, err := w.Start(there, work.Start{Attempt: task}); err != nil {
			t.Error(err)
		}
		if diff := cmp.Diff(map[string]int{"owner": 1}, f.counts()); diff != "" {
			t.Errorf("calls made (-want +got):\n%s", diff)
		}
	})
}

// The errors of a worker keep their meaning, and only "not sent" is a promise that nothing happened.
func TestErrors(t *testing.T) {
	for _, want := range append(failures[1:len(failures)-1:len(failures)-1], io.ErrUnexpectedEOF) {
		run(t, weak, func(f *site, w work.Workers) {
			t := f.t
			f.agent.Start = func(work.Registration, work.Start) (work.Answer, error) {
				return work.Answer{}, merry.Prepend(want, "worker")
			}
			_, err := w.Start(there, work.Start{Attempt: task})
			if errors.Is(want, io.ErrUnexpectedEOF) {
				want = work.ErrNoAnswer
			}
			if diff := cmp.Diff(want, err, cmpopts.EquateErrors()); diff != "" {
				t.Errorf("error (-want +got):\n%s", diff)
			}
		})
	}
}

// A permission that ran out (an agent that was paused, an owner whose lease has ended meanwhile): the agent makes no call,
// and neither does the owner unless its own lease still lasts.
func TestPermissionRanOut(t *testing.T) {
	tests := []struct {
		name string
		// agentAhead is how far the agent's clock has gone on unnoticed until its first refusal, vouched how long the owner's lease lasts.
		agentAhead, vouched time.Duration
		want                map[string]int
		err                 error
	}{
		{"the agent was paused", time.Minute, time.Second, map[string]int{"owner": 1, "agent": 1}, nil},
		{"the owner's lease has ended", 0, 0, map[string]int{}, work.ErrNotSent},
		{"both", time.Minute, 0, map[string]int{}, work.ErrNotSent},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, weak, func(f *site, w work.Workers) {
				f.ahead.Store(int64(tt.agentAhead))
				f.vouched.Store(int64(tt.vouched))
				_, err := w.Start(there, work.Start{Attempt: task})
				if diff := cmp.Diff(tt.err, err, cmpopts.EquateErrors()); diff != "" {
					f.t.Errorf("error of the start (-want +got):\n%s", diff)
				}
				_, err = w.Poll(there, work.Poll{})
				if diff := cmp.Diff(tt.err, err, cmpopts.EquateErrors()); diff != "" {
					f.t.Errorf("error of the poll (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(tt.want, f.counts()); diff != "" {
					f.t.Errorf("calls made (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// A lease that ends while a call waits for a stream that is being opened: the call is not made.
func TestLeaseEndsWhileStreamOpens(t *testing.T) {
	run(t, weak, func(f *site, w work.Workers) {
		f.delegator.mu.Lock()
		for address, k := range f.delegator.links {
			k.close()
			delete(f.delegator.links, address)
			f.delegator.opening[address] = true
		}
		f.delegator.mu.Unlock()
		time.AfterFunc(openWait/2, func() { f.vouched.Store(0) })
		if _, err := w.Start(there, work.Start{Attempt: task}); !errors.Is(err, work.ErrNotSent) {
			f.t.Errorf("error %v, want not sent", err)
		}
		if diff := cmp.Diff(map[string]int{}, f.counts()); diff != "" {
			f.t.Errorf("calls made (-want +got):\n%s", diff)
		}
	})
}

// A permission ends at the same moment at both, however old what the owner knows of the agent's clock.
func TestPermissionOnAgentsClock(t *testing.T) {
	now := 40 * time.Second
	k := &link{uptime: func() time.Duration { return now }, out: make(chan wireCall, 1), ready: make(chan struct{}), waiting: map[uint64]chan wireReply{}}
	k.take(wireReplies{Clock: 7 * time.Second})
	now += 300 * time.Millisecond
	if _, _, err := k.send(wireCall{}, orderWindow); err != nil {
		t.Fatal(err)
	}
	if got, want := (<-k.out).Until, 7*time.Second+300*time.Millisecond+orderWindow; got != want {
		t.Errorf("permission ends at %s of the agent's clock, want %s", got, want)
	}
}

// An agent that falls silent while a start is under way: the start is not given again from here, since it may have been
// carried out; a poll is.
func TestSilentAgent(t *testing.T) {
	run(t, weak, func(f *site, w work.Workers) {
		t := f.t
		f.agent.Start = func(work.Registration, work.Start) (work.Answer, error) {
			time.Sleep(time.Minute)
			return work.Answer{}, nil
		}
		f.agent.Poll = func(work.Registration, work.Poll) (work.PollReply, error) {
			time.Sleep(time.Minute)
			return work.PollReply{}, nil
		}
		go func() {
			time.Sleep(50 * time.Millisecond)
			f.mu.Lock()
			defer f.mu.Unlock()
			for _, s := range f.streams {
				_ = s.Close()
			}
		}()
		polled := make(chan error)
		go func() { _, err := w.Poll(there, work.Poll{}); polled <- err }()
		if _, err := w.Start(there, work.Start{Attempt: task}); !errors.Is(err, work.ErrNoAnswer) {
			t.Errorf("error of the start %v, want no answer", err)
		}
		if err := <-polled; err != nil {
			t.Errorf("error of the poll %v", err)
		}
		if diff := cmp.Diff(map[string]int{"owner": 1}, f.counts()); diff != "" {
			t.Errorf("calls made from here (-want +got):\n%s", diff)
		}
	})
}

// Streams that go silent without an end (open connections that something between the two ends has lost track of) are
// noticed, and calls go out from here meanwhile.
func TestStreamStandsStill(t *testing.T) {
	run(t, weak, func(f *site, w work.Workers) {
		t := f.t
		f.silent.Store(true)
		began := time.Now()
		if _, err := w.Start(there, work.Start{Attempt: task}); !errors.Is(err, work.ErrNoAnswer) {
			t.Errorf("error of the start %v, want no answer", err)
		}
		if took := time.Since(began); took > silenceTime+2*checkInterval {
			t.Errorf("noticed after %s", took)
		}
		if _, err := w.Start(there, work.Start{Attempt: task}); err != nil {
			t.Error(err)
		}
		if diff := cmp.Diff(map[string]int{"agent": 1, "owner": 1}, f.counts()); diff != "" {
			t.Errorf("calls made (-want +got):\n%s", diff)
		}
		f.silent.Store(false)
	})
}

// An agent that is about to stop is given no more calls, and finishes those that it has.
func TestLeavingAgent(t *testing.T) {
	run(t, weak, func(f *site, w work.Workers) {
		t := f.t
		polled := make(chan error)
		go func() { _, err := w.Poll(there, work.Poll{Wait: time.Second}); polled <- err }()
		time.Sleep(10 * time.Millisecond)
		f.server.Leave()
		time.Sleep(2 * tickInterval)
		if _, err := w.Start(there, work.Start{Attempt: task}); err != nil {
			t.Error(err)
		}
		if err := <-polled; err != nil {
			t.Error(err)
		}
		if diff := cmp.Diff(map[string]int{"agent": 1, "owner": 1}, f.counts()); diff != "" {
			t.Errorf("calls made (-want +got):\n%s", diff)
		}
	})
}

// Agents are chosen by need: in the workers' availability zone, strong ones first, as many as the workers ask for.
func TestChoose(t *testing.T) {
	self := ledger.Host{Name: "e0", Zone: "z1", PeerAddress: "a0", Cores: 0.2, LinkMegabits: 20}
	hosts := []ledger.Host{
		self, {Name: "e1", Zone: "z1", PeerAddress: "a1", Cores: 0.2, LinkMegabits: 20}, {Name: "e2", Zone: "z1", PeerAddress: "a2", Cores: 0.8, LinkMegabits: 200},
		{Name: "e3", Zone: "z1", PeerAddress: "a3", Cores: 0.8, LinkMegabits: 200}, {Name: "e4", Zone: "z2", PeerAddress: "a4", Cores: 0.2, LinkMegabits: 20},
	}
	tests := []struct {
		name    string
		workers map[fleet.ZoneName]int
		rests   string
		want    map[fleet.ZoneName][]string
	}{
		{"few workers", map[fleet.ZoneName]int{"z1": 40, "z2": 40}, "", map[fleet.ZoneName][]string{}},
		{"many workers", map[fleet.ZoneName]int{"z1": 40, "z2": 90}, "", map[fleet.ZoneName][]string{"z1": {"a2", "a3"}, "z2": {"a4"}}},
		{"a resting agent", map[fleet.ZoneName]int{"z1": 40, "z2": 90}, "a2", map[fleet.ZoneName][]string{"z1": {"a3", "a1"}, "z2": {"a4"}}},
		{"a zone without hosts", map[fleet.ZoneName]int{"z9": 120}, "", map[fleet.ZoneName][]string{"z9": {"a2", "a3", "a1", "a4"}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := choose(tt.workers, hosts, self, func(a string) bool { return a == tt.rests })
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("agents (-want +got):\n%s", diff)
			}
		})
	}
}
