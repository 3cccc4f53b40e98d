package manager

import (
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/intake"
)

// jobShare is the part of the memory that the records of accepted jobs may take: a quarter, because the garbage collector may let the heap
// grow to twice what is in use.
const jobShare = 4

// noRoom is the reason of a refusal for want of memory, in metrics.
const noRoom = "NoRoom"

// jobRoom returns the room for the jobs of a workspace. Each host has all jobs, so the host with the least memory decides.
func (m *Manager) jobRoom(w fleet.WorkspaceName) intake.Room {
	r := intake.Room{Hosts: 1, Unread: true}
	megabytes := m.settings.MemoryMegabytes
	if b := m.follower.Replica(); b != nil {
		smallest, hosts := b.SmallestMemory()
		if smallest > 0 && (megabytes == 0 || smallest < megabytes) {
			megabytes = smallest
		}
		r.Hosts = max(1, hosts)
		r.Workspace, r.Total = b.Usage(w)
		r.Unread = !b.HasJobs()
	}
	r.Limit = megabytes << 20 / jobShare

	return r
}

// jobBytes returns the memory of the accepted jobs.
func (m *Manager) jobBytes() int64 {
	return m.jobRoom("").Total
}
