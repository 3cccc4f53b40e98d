package queue

import (
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/refusal"
	"lycheehook.example/lycheehook/share"
)

// OfferResult is the result of offering capacity to an item.
type OfferResult int

const (
	// Taken means that the item leaves the pool, to run or to be refused.
	Taken OfferResult = iota
	// ItemBlocked means that the item can't start now, but another one of the same team might.
	ItemBlocked
	// TeamBlocked means that no item of the team can start now.
	TeamBlocked
	// PoolFull means that no item can start now.
	PoolFull
)

// Item is a unit of waiting work; its exported fields must not change after Add.
type Item struct {
	Account *share.Account
	Queue   fleet.QueueName
	Urgent  bool
	// Idempotent work may start on endpoints where other work may not, so it has its own FIFOs.
	Idempotent bool
	Size       fleet.Resources
	// Enqueued is the time at which the item began to wait.
	Enqueued time.Time
	// Value belongs to the caller of Add.
	Value any

	sequence   uint64
	fifo       *fifo
	prev, next *Item
}

// Waiting reports whether the item is in a pool.
func (it *Item) Waiting() bool {
	return it.fifo != nil
}

// Pool holds the waiting items of all queues that one pool serves; it isn't safe for concurrent use.
type Pool struct {
	teams      map[*share.Account]*teamFIFOs
	order      []*teamFIFOs
	lengths    map[fleet.QueueName]int
	length     int
	sequence   uint64
	candidates []candidate
}

// teamFIFOs holds the waiting items of one team.
type teamFIFOs struct {
	account *share.Account
	weight  int64
	fifos   []*fifo
	lengths map[fleet.QueueName]int
	length  int
}

// candidate is a team with waiting items, with its score.
type candidate struct {
	team  *teamFIFOs
	score float64
	tried bool
}

// New returns an empty pool.
func New() *Pool {
	return &Pool{teams: map[*share.Account]*teamFIFOs{}, lengths: map[fleet.QueueName]int{}}
}

// Len returns the number of waiting items.
func (p *Pool) Len() int {
	return p.length
}

// AccountLen returns the number of waiting items of an account.
func (p *Pool) AccountLen(a *share.Account) int {
	if t, ok := p.teams[a]; ok {
		return t.length
	}

	return 0
}

// Add appends an item to its FIFO. If the queue is full, Add removes and returns another item to make room: the newest
// one of the team with the most waiting items in the queue relative to its weight. If that is the team of the new
// item, Add returns a QueueFull refusal instead.
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
		t = &teamFIFOs{account: it.Account, lengths: map[fleet.QueueName]int{}}
		p.teams[it.Account] = t
		p.order = append(p.order, t)
	}
	t.weight = max(weight, 1)
	p.sequence++
	it.sequence = p.sequence
	t.fifoFor(it).push(it)
	p.addCount(t, it, 1)

	return shed, nil
}

// Remove removes an item and reports whether it was in the pool.
func (p *Pool) Remove(it *Item) bool {
	f := it.fifo
	if f == nil {
		return false
	}
	f.remove(it)
	p.addCount(f.team, it, -1)

	return true
}

// All calls visit for each waiting item until it returns false; visit must not change the pool.
func (p *Pool) All(visit func(*Item) bool) {
	for _, t := range p.order {
		for _, f := range t.fifos {
			for it := f.head; it != nil; it = it.next {
				if !visit(it) {
					return
				}
			}
		}
	}
}

// Oldest returns the oldest item for which match returns true among the heads of all FIFOs, or nil.
func (p *Pool) Oldest(match func(*Item) bool) *Item {
	var best *Item
	for _, t := range p.order {
		for _, f := range t.fifos {
			if match(f.head) && (best == nil || f.head.sequence < best.sequence) {
				best = f.head
			}
		}
	}

	return best
}

// Next offers capacity to the waiting items in scheduling order until try takes one or no item can start, and reports
// whether one was taken. Urgent items of teams below their share come first. Then the teams follow by ascending
// score, with the urgent items of a team before its others, each by age.
func (p *Pool) Next(l *share.Ledger, try func(*Item) OfferResult) bool {
	if p.length == 0 {
		return false
	}
	p.collectCandidates(l)
	urgent := func(t *teamFIFOs) bool { return t.hasUrgent() && l.UnderShare(t.account) }
	all := func(*teamFIFOs) bool { return true }

	for _, pass := range []struct {
		eligible   func(*teamFIFOs) bool
		onlyUrgent bool
	}{{urgent, true}, {all, false}} {
		for {
			t := p.lowestScore(pass.eligible)
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
		p.resetTried()
	}

	return false
}

// collectCandidates sets candidates to the teams that have waiting items.
func (p *Pool) collectCandidates(l *share.Ledger) {
	p.candidates = p.candidates[:0]
	for _, t := range p.order {
		if t.length > 0 {
			p.candidates = append(p.candidates, candidate{team: t, score: l.Score(t.account)})
		}
	}
}

// lowestScore returns the eligible team with the lowest score among those not tried yet, and marks it as tried.
func (p *Pool) lowestScore(eligible func(*teamFIFOs) bool) *teamFIFOs {
	best := -1
	for i, c := range p.candidates {
		if !c.tried && (best < 0 || c.score < p.candidates[best].score) && eligible(c.team) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	p.candidates[best].tried = true

	return p.candidates[best].team
}

func (p *Pool) resetTried() {
	for i := range p.candidates {
		p.candidates[i].tried = false
	}
}

// shed returns the newest item in the queue of the team with the most items there relative to its weight, or nil if
// that is the team of the newcomer.
func (p *Pool) shed(newcomer *Item, q fleet.QueueName, weight int64) *Item {
	maxLoad := 1.0
	if t, ok := p.teams[newcomer.Account]; ok {
		maxLoad += float64(t.lengths[q])
	}
	maxLoad /= float64(max(weight, 1))

	var heaviest *teamFIFOs
	for _, t := range p.order {
		load := float64(t.lengths[q]) / float64(max(t.weight, 1))
		if t.account != newcomer.Account && load > maxLoad {
			heaviest, maxLoad = t, load
		}
	}
	if heaviest == nil {
		return nil
	}

	return heaviest.newest(q)
}

func (p *Pool) addCount(t *teamFIFOs, it *Item, n int) {
	p.length += n
	p.lengths[it.Queue] += n
	t.length += n
	t.lengths[it.Queue] += n
}
