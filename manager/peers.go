package manager

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"lycheehook.example/lycheehook/ledger"
)

// peers returns the peer addresses of the other entry hosts in order of preference.
func (m *Manager) peers() []string {
	hosts := m.hosts()
	for _, a := range m.settings.SeedAddresses {
		hosts = append(hosts, ledger.Host{PeerAddress: a.String()})
	}

	return sortPeers(hosts, m.settings.PeerAddress.String())
}

// widerRatio is how many times wider the link of a peer must be that reads for this host: it carries a response once for itself, and compressed
// for several others.
const widerRatio = 4

// widerPeers returns the peer addresses of the hosts whose links are far wider than this one's, in random order.
func (m *Manager) widerPeers() []string {
	return wider(m.hosts(), m.settings.LinkMegabits)
}

// wider returns the peer addresses of the hosts whose links are far wider than a bandwidth, in random order; none if that is not known.
func wider(hosts []ledger.Host, megabits float64) []string {
	if megabits == 0 {
		return nil
	}
	var list []string
	for _, i := range rand.Perm(len(hosts)) {
		if hosts[i].LinkMegabits >= widerRatio*megabits {
			list = append(list, hosts[i].PeerAddress)
		}
	}

	return list
}

// hosts returns the entry hosts that are known to be alive.
func (m *Manager) hosts() []ledger.Host {
	b := m.follower.Replica()
	if b == nil {
		return nil
	}

	return b.Hosts()
}

// sortPeers returns the distinct addresses of the hosts without self, by descending link bandwidth, because a forwarded call
// crosses the peer's link twice. Hosts with equal bandwidth are in random order, which spreads the load.
func sortPeers(hosts []ledger.Host, self string) []string {
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
