package agent

import (
	"cmp"
	"hash/fnv"
	"io"
	"slices"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

const (
	// workerCores and workerMegabits are the CPU share and the bandwidth in Mbit/s used by the calls to one worker.
	workerCores    = 0.0006
	workerMegabits = 0.016
	// maxDirectShare is the fraction of an owner's CPU and bandwidth that its own calls to workers may use.
	maxDirectShare = 0.3
	// workersPerAgent is the number of workers per agent; with fewer, most frames would have a single call.
	workersPerAgent = 24
)

// selectAgents returns the addresses of the agents by the availability zone of the workers; none if this host can handle the
// calls to all workers. It prefers the hosts with the fastest links and the most cores in the zone of the workers, uses other
// zones if that zone has none, and excludes hosts that are backing off.
func selectAgents(
	workers map[fleet.ZoneName]int, hosts []ledger.Host, self ledger.Host, backingOff func(address string) bool,
) map[fleet.ZoneName][]string {
	total := 0
	for _, n := range workers {
		total += n
	}
	agents := map[fleet.ZoneName][]string{}
	if canHandle(self, total) {
		return agents
	}
	hosts = slices.DeleteFunc(slices.Clone(hosts), func(h ledger.Host) bool { return h.PeerAddress == self.PeerAddress || backingOff(h.PeerAddress) })
	slices.SortFunc(hosts, func(a, b ledger.Host) int {
		return cmp.Or(cmp.Compare(b.LinkMegabits, a.LinkMegabits), cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.Name, b.Name))
	})
	for zone, n := range workers {
		near := slices.DeleteFunc(slices.Clone(hosts), func(h ledger.Host) bool { return h.Zone != zone })
		if len(near) == 0 {
			near = hosts
		}
		for _, h := range near[:min(len(near), 1+n/workersPerAgent)] {
			agents[zone] = append(agents[zone], h.PeerAddress)
		}
	}

	return agents
}

// canHandle reports whether a host has the capacity to call the given number of workers; an unknown capacity is no limit.
func canHandle(h ledger.Host, workers int) bool {
	fits := func(capacity, perWorker float64) bool {
		return capacity == 0 || float64(workers)*perWorker <= maxDirectShare*capacity
	}

	return fits(h.Cores, workerCores) && fits(h.LinkMegabits, workerMegabits)
}

// rendezvousWeight returns the rendezvous hashing weight of an agent for a worker.
func rendezvousWeight(address string, id work.WorkerID) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, address)
	_, _ = io.WriteString(h, string(id))

	return mix(h.Sum64())
}

// mix finalises an FNV hash, in which the last input bytes affect mostly the low bits.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33

	return h
}
