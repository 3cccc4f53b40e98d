package ledger

import (
	"maps"
	"slices"
	"strings"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/work"
)

// Status returns the state of a job, and whether the job is known.
func (b *Replica) Status(id fleet.JobID) (State, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.entries[id]
	if !ok {
		return Queued, false
	}

	return e.State(), true
}

// Assigned reports whether an attempt of a job was ever assigned to a worker.
func (b *Replica) Assigned(id fleet.JobID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.entries[id]

	return ok && e.assigned
}

// OpenJobs returns the jobs that are not over.
func (b *Replica) OpenJobs() []fleet.JobID {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ids []fleet.JobID
	for id, e := range b.entries {
		if !e.Finished() {
			ids = append(ids, id)
		}
	}

	return ids
}

// Job returns a job with the store revision of its record, and whether the job is known.
func (b *Replica) Job(id fleet.JobID) (work.Job, uint64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.entries[id]
	if !ok {
		return work.Job{}, 0, false
	}

	return e.Job, e.Revision, true
}

// jobRecord is a job with the store revision of its record.
type jobRecord struct {
	job      work.Job
	revision uint64
}

// jobRecords returns all jobs.
func (b *Replica) jobRecords() []jobRecord {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]jobRecord, 0, len(b.entries))
	for _, e := range b.entries {
		list = append(list, jobRecord{e.Job, e.Revision})
	}

	return list
}

// Pending returns the number of jobs of which no task is known to have begun, by queue.
func (b *Replica) Pending() map[fleet.QueueName]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := map[fleet.QueueName]int{}
	for _, e := range b.entries {
		if e.State() == Queued {
			n[e.Job.Queue]++
		}
	}

	return n
}

// Hosts returns the entry hosts, sorted by name.
func (b *Replica) Hosts() []Host {
	b.mu.Lock()
	defer b.mu.Unlock()
	hosts := make([]Host, 0, len(b.hosts))
	for _, h := range b.hosts {
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(x, y Host) int { return strings.Compare(string(x.Name), string(y.Name)) })

	return hosts
}

// HostRevisions returns the store revision of the record of each entry host.
func (b *Replica) HostRevisions() map[fleet.EntryName]uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()

	return maps.Clone(b.hostRevs)
}

// Owner returns the owner of the workers with the store revision of its record, which is zero if there is no owner.
func (b *Replica) Owner() (Owner, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.owner, b.ownerRev
}

// Batches returns the numbers of the oldest batch in the store and of the next batch to apply.
func (b *Replica) Batches() (first, next uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.first, b.next
}

// ReadErrors returns an error for each record that was skipped during the initial read.
func (b *Replica) ReadErrors() []error {
	return b.readErrors
}

// Maintained returns the hosts that had their maintenance, by wave. It is not safe for concurrent use.
func (b *Replica) Maintained() map[int64][]fleet.HostName {
	return b.maintained
}

// Entries returns the jobs with their state. It is not safe for concurrent use.
func (b *Replica) Entries() map[fleet.JobID]*Entry {
	return b.entries
}
