package queue

import (
	"math/bits"

	"lycheehook.example/lycheehook/fleet"
)

// maxExactSizes is the number of FIFOs of a team up to which each size has its own, so that no item waits behind one
// of another size. Above it, sizes that differ by less than a factor of two in each resource share a FIFO, which
// bounds the cost of callers that send many different sizes.
const maxExactSizes = 64

// sizeClass has the bit length of each resource of a size, so sizes between two powers of two have the same class.
type sizeClass [4]uint8

// fifo is a doubly linked list of the items of one team, queue and size, oldest first.
type fifo struct {
	team       *teamFIFOs
	queue      fleet.QueueName
	size       fleet.Resources
	urgent     bool
	idempotent bool
	head, tail *Item
}

func sizeClassOf(r fleet.Resources) sizeClass {
	return sizeClass{bitLen(r.Slots), bitLen(int64(r.Cores)), bitLen(int64(r.Memory)), bitLen(r.Accelerators)}
}

func bitLen(n int64) uint8 {
	return uint8(bits.Len64(uint64(max(n, 0)))) //nolint:gosec // At most 64.
}

func (f *fifo) push(it *Item) {
	it.fifo, it.prev, it.next = f, f.tail, nil
	if f.tail == nil {
		f.head = it
	} else {
		f.tail.next = it
	}
	f.tail = it
}

func (f *fifo) remove(it *Item) {
	if it.prev == nil {
		f.head = it.next
	} else {
		it.prev.next = it.next
	}
	if it.next == nil {
		f.tail = it.prev
	} else {
		it.next.prev = it.prev
	}
	it.fifo, it.prev, it.next = nil, nil, nil
	if f.head == nil {
		f.team.removeFIFO(f)
	}
}

// fifoFor returns the FIFO for an item, and creates it if necessary.
func (t *teamFIFOs) fifoFor(it *Item) *fifo {
	for _, f := range t.fifos {
		if f.matches(it) && f.size == it.Size {
			return f
		}
	}
	if len(t.fifos) >= maxExactSizes {
		for _, f := range t.fifos {
			if f.matches(it) && sizeClassOf(f.size) == sizeClassOf(it.Size) {
				return f
			}
		}
	}
	f := &fifo{team: t, queue: it.Queue, size: it.Size, urgent: it.Urgent, idempotent: it.Idempotent}
	t.fifos = append(t.fifos, f)

	return f
}

// matches reports whether an item differs from those in the FIFO at most in size.
func (f *fifo) matches(it *Item) bool {
	return f.queue == it.Queue && f.urgent == it.Urgent && f.idempotent == it.Idempotent
}

func (t *teamFIFOs) removeFIFO(f *fifo) {
	last := len(t.fifos) - 1
	for i := range t.fifos {
		if t.fifos[i] == f {
			t.fifos[i], t.fifos[last] = t.fifos[last], nil
			t.fifos = t.fifos[:last]

			return
		}
	}
}

func (t *teamFIFOs) hasUrgent() bool {
	for _, f := range t.fifos {
		if f.urgent {
			return true
		}
	}

	return false
}

// offer calls try for the head of each FIFO, urgent ones first and then by age, until one is taken.
func (t *teamFIFOs) offer(p *Pool, onlyUrgent bool, try func(*Item) OfferResult) OfferResult {
	var last uint64
	for urgent := true; ; urgent = false {
		for it := t.oldestHead(urgent, last); it != nil; it = t.oldestHead(urgent, last) {
			last = it.sequence
			switch v := try(it); v {
			case Taken:
				p.Remove(it)
				return v
			case TeamBlocked, PoolFull:
				return v
			}
		}
		if !urgent || onlyUrgent {
			return ItemBlocked
		}
		last = 0
	}
}

// oldestHead returns the oldest head with a higher sequence number than after among the FIFOs that are urgent or not.
func (t *teamFIFOs) oldestHead(urgent bool, after uint64) *Item {
	var best *Item
	for _, f := range t.fifos {
		if f.urgent == urgent && f.head.sequence > after && (best == nil || f.head.sequence < best.sequence) {
			best = f.head
		}
	}

	return best
}

func (t *teamFIFOs) newest(q fleet.QueueName) *Item {
	var best *Item
	for _, f := range t.fifos {
		if f.queue == q && (best == nil || f.tail.sequence > best.sequence) {
			best = f.tail
		}
	}

	return best
}
