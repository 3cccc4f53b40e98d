package schedule

import (
	"testing"
	"time"

	"lycheehook.example/lycheehook/work"
)

// listWithout returns a list of two hosts of which the first is in maintenance, with or without its worker.
func listWithout(worker work.WorkerID) []work.HostStatus {
	l := upHosts(2)
	l[0].State, l[0].Worker = work.HostMaintenance, worker

	return l
}

// Guards against a worker that stays out of use since a list of hosts was applied after its registration that is from before
// it, if the worker has the ID of its previous incarnation.
func TestListFromBeforeNewIncarnation(t *testing.T) {
	for _, tt := range []struct {
		name    string
		ordered bool
		// listed is the worker that the cloud lists on the host in maintenance.
		listed work.WorkerID
	}{
		{"down for maintenance", true, "w0"},
		{"down for maintenance, without a worker", true, ""},
		{"down by itself, without a worker", false, ""},
		{"with another worker", false, "w7"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newTestbed(t, 2)
			b.settle()
			l := upHosts(2)
			b.setHosts(l)
			if tt.ordered {
				b.s.SetWave(work.WaveOrder{Number: 1, Hosts: hostNames(l)[:1], Duration: time.Second, MaxDown: 1}, b.now)
				for _, o := range b.orders() {
					b.s.HostAnswered(o, nil, b.now)
				}
			}
			b.step()
			asked := b.now
			b.step()
			b.register("w0", 2)
			b.submit("i", work.Step{Count: 20, Size: size(1000)})
			b.settle()
			b.s.SetHosts(listWithout(tt.listed), asked, b.now)
			if !tt.ordered {
				b.submit("j", work.Step{Count: 12, Size: size(1000)})
				b.settle()
				check(t, "running before the next list", 32, b.running())
			}
			b.setHosts(l)
			if tt.ordered {
				b.submit("j", work.Step{Count: 12, Size: size(1000)})
			}
			b.s.HostOrders(b.now)
			b.settle()
			check(t, "running after the next list", 32, b.running())
			check(t, "crashes", 0, b.count(DecidedWorkerCrashed))
		})
	}
}

// Guards against a crash that is not held against the tasks of a worker, since a list from before the worker fell silent, applied
// after it, has its host as up.
func TestListFromBeforeSilence(t *testing.T) {
	for _, tt := range []struct {
		name    string
		before  bool
		crashes int
	}{{"requested before", true, 1}, {"requested after", false, 0}} {
		t.Run(tt.name, func(t *testing.T) {
			b := newTestbed(t, 2)
			b.setHosts(upHosts(2))
			b.submit("j", work.Step{Count: 20, Size: size(1000)})
			b.settle()
			asked := b.now
			b.unreachable["w0"] = true
			b.s.Deregister("w0")
			for range 30 {
				b.step()
			}
			if !tt.before {
				asked = b.now
			}
			b.s.SetHosts(upHosts(2), asked, b.now)
			for range 100 {
				b.step()
			}
			check(t, "crashes", tt.crashes, b.count(DecidedWorkerCrashed))
		})
	}
}

// Guards against a worker that stays out of use after a list has shown that it had not ended, as nothing registers it again.
func TestWorkerListedAgain(t *testing.T) {
	b := newTestbed(t, 2)
	b.setHosts(upHosts(2))
	b.submit("j", work.Step{Count: 32, Size: size(1000)})
	b.settle()
	b.unreachable["w0"] = true
	b.settle()
	b.step()
	b.setHosts(listWithout(""))
	b.settle()
	w := b.s.workers["w0"]
	check(t, "known to have ended", true, w != nil && w.ended)
	delete(b.unreachable, "w0")
	b.setHosts(upHosts(2))
	b.settle()
	b.settle()
	check(t, "why no task is placed on the worker", noObstacle, b.s.workers["w0"].obstacle(b.now))
	check(t, "running", 32, b.running())
}

// Guards against a worker that waits for the next list of hosts, since the last one showed that its previous incarnation, which
// had its ID, was down.
func TestIncarnationAfterList(t *testing.T) {
	b := newTestbed(t, 2)
	b.setHosts(upHosts(2))
	b.settle()
	b.setHosts(listWithout(""))
	b.settle()
	b.register("w0", 2)
	b.submit("j", work.Step{Count: 32, Size: size(1000)})
	b.settle()
	check(t, "running", 32, b.running())
}

// Guards against a worker that has ended and is used again because its registration is still there, once its runs are settled.
func TestRegistrationOfEndedWorker(t *testing.T) {
	b := newTestbed(t, 2)
	b.setHosts(upHosts(2))
	b.submit("j", work.Step{Count: 32, Size: size(1000)})
	b.settle()
	b.unreachable["w0"] = true
	b.settle()
	b.step()
	b.setHosts(listWithout(""))
	for range 100 {
		b.step()
		b.s.Register(b.regs["w0"], b.now)
	}
	check(t, "why no task is placed on the worker", NotRegistered, b.s.workers["w0"].obstacle(b.now))
	b.s.Deregister("w0")
	b.settle()
	check(t, "forgotten once it is not registered", true, b.s.workers["w0"] == nil)
}
