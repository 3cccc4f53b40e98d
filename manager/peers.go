package manager

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"lycheehook.example/lycheehook/ledger"
)

// peers returns where the other entry hosts can be reached, those that should be asked first before the others.
func (m *Manager) peers() []string {
	hosts := m.hosts()
	for _, a := range m.settings.SeedAddresses {
		hosts = append(hosts, ledger.Host{PeerAddress: a.String()})
	}

	return helpers(hosts, m.settings.PeerAddress.String())
}

// hosts returns the entry hosts that are known to live.
func (m *Manager) hosts() []ledger.Host {
	b := m.follower.Book()
	if b == nil {
		return nil
	}

	return b.Hosts()
}

// helpers returns the addresses of hosts but self, each once: the widest links first, since what is passed on crosses a
// helper's link twice, and those alike in random order, so that none helps all.
func helpers(hosts []ledger.Host, self string) []string {
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	slices.SortStableFunc(hosts, func(a, b ledger.Host) int { return cmp.Compare(b.LinkMegabits, a.LinkMegabits) })
	var list []string
	for _, h := range hosts {
		if h.PeerAddress != self && !slices.Contains(list, h.PeerAddress) {
			list = append(list, h.PeerAddress)
		}
	}

	return list
}
