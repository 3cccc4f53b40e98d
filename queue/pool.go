package queue

import (
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/refusal"
	"lycheehook.example/lycheehook/share"
)

// Verdict is what became of an item that was offered capacity.
type Verdict int

// The verdicts on an item.
const (
	// Taken says that the item left the lines to run or to be refused.
	Taken Verdict = iota
	// Unfit says that this item can't start now, but another of the same team might.
	Unfit
	// TeamBlocked says that nothing of the item's team can start now.
	TeamBlocked
	// PoolFull says that nothing can start now.
	PoolFull
)

// Item is one piece of work that waits; its fields are set before Add and not changed after.
type Item struct {
	Account *share.Account
	Queue   fleet.QueueName
	Urgent  bool
	// Idempotent work may start where other work may not, so it has lines of its own.
	Idempotent bool
	Size       fleet.Resources
	// Entered is the time of arrival.
	Entered time.Time
	// Value belongs to the caller of Add.
	Value any

	sequence   uint64
	line       *line
	prev, next *Item
}

// Waiting reports whether the item is in a line.
func (it *Item) Waiting() bool {
	return it.line != nil
}

// Pool holds the lines of the queues that one pool serves; it is not safe for concurrent use.
type Pool struct {
	teams    map[*share.Account]*teamLines
	order    []*teamLines
	lengths  map[fleet.QueueName]int
	length   int
	sequence uint64
	scratch  []candidate
}

// teamLines are the lines of one team.
type teamLines struct {
	account *share.Account
	weight  int64
	lines   []*line
	lengths map[fleet.QueueName]int
	length  int
}

// candidate is a team that may be next, with its score.
type candidate struct {
	team  *teamLines
	score float64
	tried bool
}

// New returns a pool without lines.
func New() *Pool {
	return &Pool{teams: map[*share.Account]*teamLines{}, lengths: map[fleet.QueueName]int{}}
}

// Len returns the number of items that wait.
func (p *Pool) Len() int {
	return p.length
}

// Ahead returns the number of items of the account that wait.
func (p *Pool) Ahead(a *share.Account) int {
	if t, ok := p.teams[a]; ok {
		return t.length
	}

	return 0
}

// Add puts an item at the end of its line. When the queue is full, it returns the item that was shed to make
// room: the newest of the team that has the most waiting for its weight; a QueueFull refusal says that this
// would be the newcomer's own team.
func (p *Pool) Add(it *Item, q fleet.Queue, weight int64) (*Item, error) {
	var shed *Item
	if p.lengths[q.Name] >= max(q.MaxLength, 1) {
		shed = p.shed(it, q.Name, weight)
		if shed == nil {
			return nil, refusal.Refuse(refusal.QueueFull, "queue %s has %d waiting", q.Name, p.lengths[q.Name])
		}
		p.Remove(shed)
	}

	t, ok := p.teams[it.Account]
	if !ok {
		t = &teamLines{account: it.Account, lengths: map[fleet.QueueName]int{}}
		p.teams[it.Account] = t
		p.order = append(p.order, t)
	}
	t.weight = max(weight, 1)
	p.sequence++
	it.sequence = p.sequence
	t.line(it).push(it)
	p.count(t, it, 1)

	return shed, nil
}

// Remove takes an item out of its line and reports whether it was in one.
func (p *Pool) Remove(it *Item) bool {
	l := it.line
	if l == nil {
		return false
	}
	l.remove(it)
	p.count(l.team, it, -1)

	return true
}

// All calls f for each waiting item until it returns false; f must not change the pool.
func (p *Pool) All(f func(*Item) bool) {
	for _, t := range p.order {
		for _, l := range t.lines {
			for it := l.head; it != nil; it = it.next {
				if !f(it) {
					return
				}
			}
		}
	}
}

// Oldest returns the oldest item among the heads of lines for which f holds, or nil.
func (p *Pool) Oldest(f func(*Item) bool) *Item {
	var best *Item
	for _, t := range p.order {
		for _, l := range t.lines {
			if f(l.head) && (best == nil || l.head.sequence < best.sequence) {
				best = l.head
			}
		}
	}

	return best
}

// Next offers capacity to the waiting items, in the order in which they should have it, until try takes one or
// nothing can start, and reports whether one was taken. Urgent work of teams that are under their share goes
// first; then the team with the lowest score, and of its work the urgent first and then the oldest.
func (p *Pool) Next(l *share.Ledger, try func(*Item) Verdict) bool {
	if p.length == 0 {
		return false
	}
	p.rank(l)
	urgent := func(t *teamLines) bool { return t.urgent() && l.UnderShare(t.account) }
	all := func(*teamLines) bool { return true }

	for _, pass := range []struct {
		eligible   func(*teamLines) bool
		onlyUrgent bool
	}{{urgent, true}, {all, false}} {
		for {
			t := p.lowest(pass.eligible)
			if t == nil {
				break
			}
			switch t.offer(p, pass.onlyUrgent, try) {
			case Taken:
				return true
			case PoolFull:
				return false
			}
		}
		p.retry()
	}

	return false
}

// rank fills scratch with the teams that have work waiting.
func (p *Pool) rank(l *share.Ledger) {
	p.scratch = p.scratch[:0]
	for _, t := range p.order {
		if t.length > 0 {
			p.scratch = append(p.scratch, candidate{team: t, score: l.Score(t.account)})
		}
	}
}

// lowest returns the eligible team with the lowest score that was not tried yet.
func (p *Pool) lowest(eligible func(*teamLines) bool) *teamLines {
	best := -1
	for i, c := range p.scratch {
		if !c.tried && (best < 0 || c.score < p.scratch[best].score) && eligible(c.team) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	p.scratch[best].tried = true

	return p.scratch[best].team
}

func (p *Pool) retry() {
	for i := range p.scratch {
		p.scratch[i].tried = false
	}
}

// shed returns the newest item in the queue of the team that has the most there for its weight, or nil if that
// is the team of the newcomer.
func (p *Pool) shed(newcomer *Item, q fleet.QueueName, weight int64) *Item {
	own := 1.0
	if t, ok := p.teams[newcomer.Account]; ok {
		own += float64(t.lengths[q])
	}
	own /= float64(max(weight, 1))

	var most *teamLines
	for _, t := range p.order {
		load := float64(t.lengths[q]) / float64(max(t.weight, 1))
		if t.account != newcomer.Account && load > own {
			most, own = t, load
		}
	}
	if most == nil {
		return nil
	}

	return most.newest(q)
}

func (p *Pool) count(t *teamLines, it *Item, n int) {
	p.length += n
	p.lengths[it.Queue] += n
	t.length += n
	t.lengths[it.Queue] += n
}
