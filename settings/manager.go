package settings

import (
	"net/netip"
	"os"
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/document"
	"lycheehook.example/lycheehook/fleet"
)

// Manager is what the manager of jobs on the users' platform is told at its start.
type Manager struct {
	Name fleet.EntryName
	Zone fleet.ZoneName
	// CallerAddress is where callers connect, ReadyAddress where the balancer asks whether they may.
	CallerAddress netip.AddrPort
	ReadyAddress  netip.AddrPort
	// PeerAddress is where the other entry hosts reach this one.
	PeerAddress    netip.AddrPort
	MetricsAddress netip.AddrPort
	// SeedAddresses are peers to begin with; they may be gone.
	SeedAddresses []netip.AddrPort
	StoreAddress  netip.AddrPort
	// CloudAddress and AdviceAddress are empty where the platform has no such service.
	CloudAddress  string `json:",omitempty"`
	AdviceAddress string `json:",omitempty"`
	// Cores is the part of a core that the host has, LinkMegabits what its link carries in a second; zero means unknown.
	Cores        float64 `json:",omitzero"`
	LinkMegabits float64 `json:",omitzero"`
	// MemoryMegabytes is the memory at which the platform ends the process; zero means unknown.
	MemoryMegabytes int64 `json:",omitzero"`
	Bounds          Bounds
}

// Bounds is what the platform promises and asks for.
type Bounds struct {
	// Grace is the time between the request to stop and the kill.
	Grace fleet.Duration `json:",omitzero"`
	// MaxLease bounds the lease of what runs on a worker.
	MaxLease fleet.Duration `json:",omitzero"`
	// StatusTime is how long callers may ask for the state of a job that ended.
	StatusTime fleet.Duration `json:",omitzero"`
	// HandoverQuiet is how long nobody may order a host after its holder has changed.
	HandoverQuiet fleet.Duration `json:",omitzero"`
	// MoveTime is how long a host is away when it changes its pool.
	MoveTime fleet.Duration `json:",omitzero"`
}

// DefaultManager returns the values of the fields that a file may leave out.
func DefaultManager() Manager {
	return Manager{Bounds: Bounds{
		Grace:         fleet.Duration(6 * time.Second),
		MaxLease:      fleet.Duration(6 * time.Second),
		StatusTime:    fleet.Duration(2 * time.Minute),
		HandoverQuiet: fleet.Duration(3 * time.Second),
		MoveTime:      fleet.Duration(1500 * time.Millisecond),
	}}
}

// ReadManager returns the manager's settings in a file; an error of kind ErrInvalid names every fault.
func ReadManager(path string) (Manager, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Manager{}, merry.Prepend(ErrInvalid, err.Error())
	}
	m := DefaultManager()
	lines, faults := document.Decode(data, &m)
	if faults = append(faults, additional(m.Faults(), lines, faults)...); len(faults) > 0 {
		return Manager{}, merry.Append(ErrInvalid, path+"\n"+document.Text(faults))
	}

	return m, nil
}

// Faults returns everything wrong with the settings.
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
	} {
		if n < 0 {
			c.add(path, "is %g, must be 0 or more", n)
		}
	}
	for path, d := range map[string]fleet.Duration{
		"Bounds.Grace": m.Bounds.Grace, "Bounds.MaxLease": m.Bounds.MaxLease, "Bounds.StatusTime": m.Bounds.StatusTime, "Bounds.MoveTime": m.Bounds.MoveTime,
	} {
		if d <= 0 {
			c.add(path, "is %s, must be above 0s", d)
		}
	}

	return c.faults
}
