package dispatch

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/owner"
	"lycheehook.example/lycheehook/schedule"
	"lycheehook.example/lycheehook/standin"
	"lycheehook.example/lycheehook/work"
)

// hostBed is an owner of the workers w, on the host h, and w2, and a job with one task that runs without end.
type hostBed struct {
	t *testing.T
	s *standin.Store
	// starts counts the starts that the workers get.
	starts atomic.Int64
	// lists counts the reads of the cloud's list.
	lists atomic.Int64
	// first and second are closed when the workers w and w2 register; from then on w does not answer any more.
	first, second chan struct{}
}

// withHostBed runs a scenario in a synctest bubble, in which hosts returns the cloud's list.
func withHostBed(t *testing.T, hosts func(b *hostBed) []work.HostStatus, scenario func(b *hostBed)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := &hostBed{t: t, s: standin.NewStore(), first: make(chan struct{}), second: make(chan struct{})}
		ctx, cancel := context.WithCancel(t.Context())
		runCandidate(ctx, b.s.Client(), ledger.Host{Name: "a", PeerAddress: "a"}, func(ctx context.Context, d *Dispatcher, tm *owner.Term) {
			b.equip(d, hosts)
			d.Serve(ctx, tm)
		})
		time.Sleep(time.Second)
		scenario(b)
		cancel()
		synctest.Wait()
		time.Sleep(10 * time.Second)
	})
}

func (b *hostBed) equip(d *Dispatcher, hosts func(b *hostBed) []work.HostStatus) {
	addWorker(d, &b.starts)
	answer := d.workers.Poll
	d.watchWorkers = func(ctx context.Context, notify func(RegistryChange)) {
		for _, w := range []struct {
			id   work.WorkerID
			when chan struct{}
		}{{"w", b.first}, {"w2", b.second}} {
			select {
			case <-ctx.Done():
				return
			case <-w.when:
			}
			notify(RegistryChange{Registered: []work.Registration{
				{ID: w.id, Life: 1, Address: string(w.id), Pool: "p", Capacity: fleet.Resources{Cores: 1000}},
			}})
		}
		<-ctx.Done()
	}
	d.workers.Poll = func(r work.Registration, l work.Poll) (work.PollReply, error) {
		reply, err := answer(r, l)
		if r.ID == "w2" {
			if b.starts.Load() < 2 {
				reply.Active = nil
			}
		} else if closed(b.second) {
			return work.PollReply{}, errors.New("no answer")
		}

		return reply, err
	}
	// No run ends because of its lease alone.
	d.bounds.MaxLease = time.Hour
	d.hosts = Hosts{
		Cloud:  work.Cloud{Hosts: func(context.Context) ([]work.HostStatus, error) { return hosts(b), nil }},
		Holder: "a",
		Waves:  func() []work.WaveOrder { return nil },
		TellWave: func(context.Context, uint64, schedule.WaveStatus) error {
			return nil
		},
	}
}

// runJob registers the worker w and runs the job there.
func (b *hostBed) runJob() {
	b.t.Helper()
	close(b.first)
	time.Sleep(500 * time.Millisecond)
	putJob(b.t, b.s, "00000000000000a1")
	time.Sleep(time.Second)
	if n := b.starts.Load(); n != 1 {
		b.t.Fatalf("%d starts of the job, want 1", n)
	}
}

func closed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// listOfHost returns a list with one host, with the given worker or, if that is empty, down.
func listOfHost(id work.WorkerID) []work.HostStatus {
	st := work.HostStatus{Host: "h", Pool: "p", State: work.HostUp, Worker: id}
	if id == "" {
		st.State = work.HostDown
	}

	return []work.HostStatus{st}
}

// Guards against a task that runs twice, since the cloud's list arrives late and counts as one that was requested when it arrived:
// it shows no worker that came to its host after the request, and that is silent for a moment.
func TestLateListOfHosts(t *testing.T) {
	hosts := func(b *hostBed) []work.HostStatus {
		if b.lists.Add(1) == 1 {
			<-b.second
			time.Sleep(time.Second)

			return listOfHost("")
		}

		return listOfHost("w")
	}
	withHostBed(t, hosts, func(b *hostBed) {
		t := b.t
		b.runJob()
		close(b.second)
		time.Sleep(5 * time.Second)
		if n := b.starts.Load(); n != 1 {
			t.Errorf("%d starts of a task whose first run has not ended, want 1", n)
		} else if b.lists.Load() < 2 {
			t.Error("the list did not arrive")
		}
	})
}

// Guards against a task of a host that is down that waits for the next idle read of the cloud's list, though urgent work starts
// within 3.4 s, and against a list that is read often without need, since calls to the cloud are metered.
func TestListOfHostsWhileAWorkerIsSilent(t *testing.T) {
	hosts := func(b *hostBed) []work.HostStatus {
		b.lists.Add(1)
		if closed(b.second) {
			return listOfHost("")
		}

		return listOfHost("w")
	}
	withHostBed(t, hosts, func(b *hostBed) {
		t := b.t
		b.runJob()
		// The worker falls silent soon after an idle read.
		for n := b.lists.Load(); b.lists.Load() == n; {
			time.Sleep(10 * time.Millisecond)
		}
		before, began := b.lists.Load(), time.Now()
		for b.lists.Load() == before {
			time.Sleep(10 * time.Millisecond)
		}
		if idle := time.Since(began); idle < idleListInterval-20*time.Millisecond {
			t.Errorf("the list was read again after %s while no worker was silent", idle)
		}
		close(b.second)
		time.Sleep(3400 * time.Millisecond)
		if n := b.starts.Load(); n != 2 {
			t.Errorf("%d starts 3.4 s after the host went down, want 2", n)
		}
	})
}
