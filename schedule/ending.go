package schedule

import (
	"time"

	"lycheehook.example/lycheehook/work"
)

// EndSource is who said that a run is over.
type EndSource string

// The sources of ends.
const (
	// EndListed is a worker that listed the run as ended.
	EndListed EndSource = "EndListed"
	// NotListed is a worker that did not list the run.
	NotListed EndSource = "NotListed"
	// StartRefused is a worker that refused the start, or a start that could not be sent to it.
	StartRefused EndSource = "StartRefused"
	// NeverSent is the owner, which cancelled the run before its start was sent.
	NeverSent EndSource = "NeverSent"
	// HostList is the cloud's list of hosts, which shows that the worker has ended.
	HostList EndSource = "HostList"
	// LeaseEnd is the clock: every lease of the worker has ended.
	LeaseEnd EndSource = "LeaseEnd"
	// GangDone is a worker that listed another member of the gang as done.
	GangDone EndSource = "GangDone"
)

// ending is the end of a run as the owner learned it.
type ending struct {
	source     EndSource
	outcome    work.Outcome
	checkpoint string
	reason     string
	// age is how long ago the source was asked; zero for what the owner decides itself.
	age time.Duration
}
