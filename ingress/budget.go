package ingress

import (
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// headStart is added to the bytes of a request when its rate is computed, so that a request that has just begun is not taken for
// a slow one.
const headStart = 16 << 10

// maxWait is how long a request waits at most until those that were shed have freed their memory; it is shed itself then.
const maxWait = 500 * time.Millisecond

// ErrShed means that a request was given up while it was being received, because memory was needed for faster ones.
var ErrShed = merry.Sentinel("ingress: no memory for the request")

// Budget bounds the memory of the requests of all connections. When it is used up, the account that takes most is found, and of its
// requests the one that has arrived at the lowest rate is shed.
type Budget struct {
	mu    sync.Mutex
	freed *sync.Cond
	limit int64
	used  int64
	// leaving is the part of used that belongs to shed requests.
	leaving int64
	meters  map[*meter]struct{}
	// byAccount has the part of used that belongs to requests of each account which are not shed.
	byAccount map[string]int64

	// heapLimit is what the heap may take with the requests, liveHeap what it takes; nil if that doesn't matter.
	heapLimit int64
	liveHeap  func() int64
	// lowered is the limit that followed from the heap at heapSeen.
	lowered  int64
	heapSeen time.Time
	garbage  garbage
}

// NewBudget returns a budget of the given bytes; zero means no limit.
func NewBudget(limit int64, options ...BudgetOption) *Budget {
	b := &Budget{limit: limit, meters: map[*meter]struct{}{}, byAccount: map[string]int64{}}
	b.freed = sync.NewCond(&b.mu)
	for _, o := range options {
		o(b)
	}

	return b
}

// Used returns the bytes that are charged.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.used
}

// meter is the charge of one request.
type meter struct {
	budget *Budget
	began  time.Time
	// account is whom the request belongs to; empty until that is known.
	account string
	// abort ends a read that waits for more of the request. It must not block.
	abort    func()
	received int64
	charged  int64
	shed     bool
	// settled is set when the request has arrived as a whole; it is then no longer shed, since its outcome may be unknown.
	settled bool
	// released is set when the request is over.
	released bool
}

// newMeter returns the meter of a request that begins now. The budget knows of it from the first charge.
func (b *Budget) newMeter(abort func()) *meter {
	return &meter{budget: b, began: time.Now(), abort: abort}
}

// charge counts received bytes and charges their cost. It waits while shed requests and the collector free memory, and returns ErrShed if this
// request is shed.
func (m *meter) charge(received, cost int64) error {
	b := m.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	m.received += received
	var waitsUntil time.Time
	for {
		limit := b.currentLimit()
		switch {
		case m.shed, m.released:
			m.refund()
			return ErrShed
		case limit == 0 || b.used == m.charged || b.used+cost <= limit && b.fits(cost):
			// A request that is alone is within the limits of the configuration and is served whatever the limit.
			m.charged += cost
			b.used += cost
			b.addTo(m.account, cost)
			b.meters[m] = struct{}{}

			return nil
		case b.used-b.leaving+cost > limit:
			b.shedFor(m)
		case waitsUntil.IsZero():
			b.collectAbove(0)
			waitsUntil = time.Now().Add(maxWait)
			defer time.AfterFunc(maxWait, b.freed.Broadcast).Stop()
		case !time.Now().Before(waitsUntil):
			b.shed(m)
		default:
			b.collectAbove(0)
			b.freed.Wait()
		}
	}
}

// setCost charges what is missing to the given cost, as charge does, or gives back what is charged beyond it.
func (m *meter) setCost(cost int64) error {
	m.budget.mu.Lock()
	missing := cost - m.charged
	if missing < 0 && !m.shed {
		m.charged += missing
		m.budget.used += missing
		m.budget.addTo(m.account, missing)
		m.budget.freed.Broadcast()
	}
	m.budget.mu.Unlock()
	if missing <= 0 {
		return nil
	}

	return m.charge(0, missing)
}

// addTo adds to what the requests of an account take.
func (b *Budget) addTo(account string, bytes int64) {
	if b.byAccount[account] += bytes; b.byAccount[account] == 0 {
		delete(b.byAccount, account)
	}
}

// shedFor sheds one of the requests that hold memory and the given one, which needs some: of the account that takes most, the request
// with the lowest rate.
func (b *Budget) shedFor(needs *meter) {
	now, first := time.Now(), needs
	for m := range b.meters {
		if !m.shed && !m.settled && m.charged > 0 && b.goesBefore(m, first, now) {
			first = m
		}
	}
	b.shed(first)
}

// goesBefore reports whether m is shed before o.
func (b *Budget) goesBefore(m, o *meter, now time.Time) bool {
	if most, others := b.byAccount[m.account], b.byAccount[o.account]; most != others {
		return most > others
	}

	return m.rate(now) < o.rate(now)
}

func (b *Budget) shed(m *meter) {
	m.shed = true
	b.leaving += m.charged
	b.addTo(m.account, -m.charged)
	m.abort()
	b.freed.Broadcast()
}

// rate returns the average bytes per second that the request has arrived with.
func (m *meter) rate(now time.Time) float64 {
	return float64(m.received+headStart) / (now.Sub(m.began) + time.Millisecond).Seconds()
}

// settle marks the request as arrived and reports whether it was not shed before.
func (m *meter) settle() bool {
	m.budget.mu.Lock()
	defer m.budget.mu.Unlock()
	m.settled = true

	return !m.shed
}

// setAccount sets whom the request belongs to.
func (m *meter) setAccount(account string) {
	m.budget.mu.Lock()
	defer m.budget.mu.Unlock()
	if !m.shed {
		m.budget.addTo(m.account, -m.charged)
		m.budget.addTo(account, m.charged)
	}
	m.account = account
}

func (m *meter) isShed() bool {
	m.budget.mu.Lock()
	defer m.budget.mu.Unlock()

	return m.shed
}

// release ends the request and frees its memory.
func (m *meter) release() {
	m.budget.mu.Lock()
	defer m.budget.mu.Unlock()
	m.released = true
	m.refund()
	delete(m.budget.meters, m)
}

func (m *meter) refund() {
	m.budget.used -= m.charged
	if m.shed {
		m.budget.leaving -= m.charged
	} else {
		m.budget.addTo(m.account, -m.charged)
	}
	m.budget.garbage.add(m.charged)
	m.charged = 0
	m.budget.collectAbove(m.budget.limit / collectShare)
	m.budget.freed.Broadcast()
}
