package settings

import (
	"net/netip"
	"os"
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/document"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ingress"
)

// Manager is the settings of a job manager.
type Manager struct {
	Name fleet.EntryName
	Zone fleet.ZoneName
	// CallerAddress is the listen address for callers, ReadyAddress the one for the load balancer's readiness probes.
	CallerAddress netip.AddrPort
	ReadyAddress  netip.AddrPort
	// PeerAddress is the address at which the other managers reach this one.
	PeerAddress    netip.AddrPort
	MetricsAddress netip.AddrPort
	// SeedAddresses are the peers that are contacted first; some of them may no longer exist.
	SeedAddresses []netip.AddrPort
	StoreAddress  netip.AddrPort
	// CloudAddress and AdviceAddress are empty if the platform lacks the service.
	CloudAddress  string `json:",omitempty"`
	AdviceAddress string `json:",omitempty"`
	// Cores is the number of processor cores of the host, LinkMegabits the bandwidth of its link per second; zero means unknown.
	Cores        float64 `json:",omitzero"`
	LinkMegabits float64 `json:",omitzero"`
	// MemoryMegabytes is the memory limit of the process; zero means what the machine and the control group allow.
	MemoryMegabytes int64 `json:",omitzero"`
	// MaxDescriptors is how many descriptors the process may open; zero means the limit that it was started with.
	MaxDescriptors int `json:",omitzero"`
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes int `json:",omitzero"`
	// EarlyRejection makes the host answer 429 to new jobs that can't end within three times their target. It is off by default, since
	// a repeat of a submission whose first write at another host is still on its way could be refused and run nevertheless.
	EarlyRejection bool `json:",omitzero"`
	Bounds         Bounds
}

// Bounds is the durations that the platform guarantees or requires.
type Bounds struct {
	// Grace is the time from the termination signal until the process is killed.
	Grace fleet.Duration `json:",omitzero"`
	// MaxLease is the longest lease of a run on a worker.
	MaxLease fleet.Duration `json:",omitzero"`
	// StatusTime is how long the state of an ended job remains available to callers.
	StatusTime fleet.Duration `json:",omitzero"`
	// HandoverQuiet is how long no orders may be sent to a host after its owner has changed.
	HandoverQuiet fleet.Duration `json:",omitzero"`
	// MoveTime is how long a host is unavailable while it changes its pool.
	MoveTime fleet.Duration `json:",omitzero"`
	// EvacuationTime is the time after the acknowledgement of a zone's evacuation from which on no task may start there; zero
	// means that zones are not evacuated.
	EvacuationTime fleet.Duration `json:",omitzero"`
}

// DefaultManager returns the defaults of the optional fields.
func DefaultManager() Manager {
	return Manager{MaxHeaderBytes: ingress.DefaultHeaderBytes, Bounds: Bounds{
		Grace:         fleet.Duration(6 * time.Second),
		MaxLease:      fleet.Duration(6 * time.Second),
		StatusTime:    fleet.Duration(2 * time.Minute),
		HandoverQuiet: fleet.Duration(3 * time.Second),
		MoveTime:      fleet.Duration(1500 * time.Millisecond),
	}}
}

// ReadManager reads a manager's settings from a file. The error is ErrInvalid and lists all faults.
func ReadManager(path string) (Manager, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Manager{}, merry.Prepend(ErrInvalid, err.Error())
	}
	m := DefaultManager()
	lines, faults := document.Decode(data, &m)
	if faults = append(faults, withoutDecodeFaults(m.Faults(), lines, faults)...); len(faults) > 0 {
		return Manager{}, merry.Append(ErrInvalid, path+"\n"+document.Text(faults))
	}

	return m, nil
}

// Faults validates the settings and returns all faults.
func (m Manager) Faults() []document.Fault {
	var c checker
	c.name("Name", string(m.Name))
	c.name("Zone", string(m.Zone))
	c.address("CallerAddress", m.CallerAddress)
	c.address("ReadyAddress", m.ReadyAddress)
	c.address("PeerAddress", m.PeerAddress)
	c.address("MetricsAddress", m.MetricsAddress)
	c.address("StoreAddress", m.StoreAddress)
	for path, n := range map[string]float64{
		"Cores": m.Cores, "LinkMegabits": m.LinkMegabits, "MemoryMegabytes": float64(m.MemoryMegabytes),
		"MaxDescriptors": float64(m.MaxDescriptors),
	} {
		if n < 0 {
			c.add(path, "is %g, must be 0 or more", n)
		}
	}
	inRange(&c, "MaxHeaderBytes", m.MaxHeaderBytes, minHeaderBytes, maxHeaderBytes)
	for path, d := range map[string]fleet.Duration{
		"Bounds.Grace": m.Bounds.Grace, "Bounds.MaxLease": m.Bounds.MaxLease, "Bounds.StatusTime": m.Bounds.StatusTime, "Bounds.MoveTime": m.Bounds.MoveTime,
	} {
		if d <= 0 {
			c.add(path, "is %s, must be above 0s", d)
		}
	}

	if m.Bounds.EvacuationTime < 0 {
		c.add("Bounds.EvacuationTime", "is %s, must be 0s or more", m.Bounds.EvacuationTime)
	}

	return c.faults
}
