package ledger

import (
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/work"
)

// usage is the memory of the jobs in a replica, in bytes.
type usage struct {
	total       int64
	byWorkspace map[fleet.WorkspaceName]int64
}

// add counts a job.
func (u *usage) add(j work.Job) {
	u.change(j.Workspace, j.Memory())
}

// remove no longer counts a job.
func (u *usage) remove(j work.Job) {
	u.change(j.Workspace, -j.Memory())
}

func (u *usage) change(w fleet.WorkspaceName, bytes int64) {
	u.total += bytes
	if u.byWorkspace[w] += bytes; u.byWorkspace[w] == 0 {
		delete(u.byWorkspace, w)
	}
}

// Usage returns about how many bytes of memory the jobs of a workspace take, and all jobs.
func (b *Replica) Usage(w fleet.WorkspaceName) (workspace, total int64) {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.usage.byWorkspace[w], b.usage.total
}

// SmallestMemory returns the memory in megabytes of the host that has the least, or zero if no host's is known, and the number of hosts.
func (b *Replica) SmallestMemory() (megabytes int64, hosts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, h := range b.hosts {
		if h.MemoryMegabytes > 0 && (megabytes == 0 || h.MemoryMegabytes < megabytes) {
			megabytes = h.MemoryMegabytes
		}
	}

	return megabytes, len(b.hosts)
}
