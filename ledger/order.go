package ledger

import (
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/work"
)

// HostOrder is an announced order to a host.
type HostOrder struct {
	By fleet.EntryName
	// Age is a lower bound of the time since the announcement, by the monotonic clocks of the owners since then.
	Age time.Duration
	// Worker is the worker that the host had then; empty means unknown.
	Worker work.WorkerID
}

// announcement is the announcement of an order to a host, with its time on the clock of the term.
type announcement struct {
	by     fleet.EntryName
	term   uint64
	uptime time.Duration
	worker work.WorkerID
}

func newAnnouncement(c Change, from Batch) announcement {
	a := announcement{by: from.Owner, term: from.Term, uptime: from.Uptime}
	if len(c.Live) > 0 {
		a.worker = c.Live[0].Worker
	}

	return a
}

// termSpan has the times of the first and the last batch of a term, on the clock of the term.
type termSpan struct {
	term        uint64
	first, last time.Duration
}

// extend adds the time of a batch.
func (s *termSpan) extend(b Batch) {
	if b.Term != s.term {
		*s = termSpan{term: b.Term, first: b.Uptime}
	}
	s.last = max(s.last, b.Uptime)
}

// HostOrders returns the last announced order to each host. It is not safe for concurrent use.
func (b *Replica) HostOrders() map[fleet.HostName]HostOrder {
	orders := make(map[fleet.HostName]HostOrder, len(b.orders))
	for name, o := range b.orders {
		age := b.newestTerm.last - o.uptime
		if o.term != b.newestTerm.term {
			age = b.newestTerm.last - b.newestTerm.first
		}
		orders[name] = HostOrder{By: o.by, Age: age, Worker: o.worker}
	}

	return orders
}
