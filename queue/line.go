package queue

import (
	"math/bits"

	"lycheehook.example/lycheehook/fleet"
)

// exactLines is the number of lines of a team up to which each size has its own line, so that no item waits
// behind one of another size. Beyond it, sizes that differ by less than a factor of two in each resource share one,
// which bounds the cost of a caller that invents sizes.
const exactLines = 64

// class is a size rounded up to a power of two in each resource.
type class [4]uint8

// line is a doubly linked list of the items of one team, queue and size, oldest first.
type line struct {
	team       *teamLines
	queue      fleet.QueueName
	size       fleet.Resources
	urgent     bool
	idempotent bool
	head, tail *Item
}

func classOf(r fleet.Resources) class {
	return class{magnitude(r.Slots), magnitude(int64(r.Cores)), magnitude(int64(r.Memory)), magnitude(r.Accelerators)}
}

func magnitude(n int64) uint8 {
	return uint8(bits.Len64(uint64(max(n, 0)))) //nolint:gosec // At most 64.
}

func (l *line) push(it *Item) {
	it.line, it.prev, it.next = l, l.tail, nil
	if l.tail == nil {
		l.head = it
	} else {
		l.tail.next = it
	}
	l.tail = it
}

func (l *line) remove(it *Item) {
	if it.prev == nil {
		l.head = it.next
	} else {
		it.prev.next = it.next
	}
	if it.next == nil {
		l.tail = it.prev
	} else {
		it.next.prev = it.prev
	}
	it.line, it.prev, it.next = nil, nil, nil
	if l.head == nil {
		l.team.drop(l)
	}
}

// line returns the line that it belongs to.
func (t *teamLines) line(it *Item) *line {
	for _, l := range t.lines {
		if l.takes(it) && l.size == it.Size {
			return l
		}
	}
	if len(t.lines) >= exactLines {
		for _, l := range t.lines {
			if l.takes(it) && classOf(l.size) == classOf(it.Size) {
				return l
			}
		}
	}
	l := &line{team: t, queue: it.Queue, size: it.Size, urgent: it.Urgent, idempotent: it.Idempotent}
	t.lines = append(t.lines, l)

	return l
}

// takes reports whether an item differs from those of the line at most in size.
func (l *line) takes(it *Item) bool {
	return l.queue == it.Queue && l.urgent == it.Urgent && l.idempotent == it.Idempotent
}

func (t *teamLines) drop(l *line) {
	last := len(t.lines) - 1
	for i := range t.lines {
		if t.lines[i] == l {
			t.lines[i], t.lines[last] = t.lines[last], nil
			t.lines = t.lines[:last]

			return
		}
	}
}

func (t *teamLines) urgent() bool {
	for _, l := range t.lines {
		if l.urgent {
			return true
		}
	}

	return false
}

// offer tries the head of each line, urgent ones first and then by age, until one is taken.
func (t *teamLines) offer(p *Pool, onlyUrgent bool, try func(*Item) Verdict) Verdict {
	var last uint64
	for urgent := true; ; urgent = false {
		for it := t.oldest(urgent, last); it != nil; it = t.oldest(urgent, last) {
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
			return Unfit
		}
		last = 0
	}
}

// oldest returns the oldest head after the given sequence among the lines that are urgent or not.
func (t *teamLines) oldest(urgent bool, after uint64) *Item {
	var best *Item
	for _, l := range t.lines {
		if l.urgent == urgent && l.head.sequence > after && (best == nil || l.head.sequence < best.sequence) {
			best = l.head
		}
	}

	return best
}

func (t *teamLines) newest(q fleet.QueueName) *Item {
	var best *Item
	for _, l := range t.lines {
		if l.queue == q && (best == nil || l.tail.sequence > best.sequence) {
			best = l.tail
		}
	}

	return best
}
