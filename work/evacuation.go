package work

import (
	"time"

	"lycheehook.example/lycheehook/fleet"
)

// Evacuations are the availability zones that the operators have evacuated, as last read.
type Evacuations struct {
	// Zones has the evacuated zones, sorted.
	Zones []fleet.ZoneName
	// Age is the time since the read of Zones began.
	Age time.Duration
	// Known reports whether Zones were read.
	Known bool
}
