package share

import (
	"math"
	"time"

	"lycheehook.example/lycheehook/fleet"
)

const (
	// DefaultHalfLife is the half-life of recorded usage.
	DefaultHalfLife = 20 * time.Second
	// reportHalfLife is the half-life of a peer's report once it is older than reportGrace.
	reportHalfLife = 2 * time.Second
	// reportGrace is the age up to which a peer's report has full weight.
	reportGrace = time.Second
	// runningFactor is the weight of running work relative to past usage. Above 1, past usage
	// influences the order of teams without starving a team that was recently busy.
	runningFactor = 2
)

// TeamLoad is the load of one team on one entry host.
type TeamLoad struct {
	Team    fleet.TeamName
	Running fleet.Resources
	// Demand is the sum of running and queued work.
	Demand fleet.Resources
	// Usage is the decayed integral of the dominant share, in share-seconds, as of the report.
	Usage float64
}

// Report is the load of all teams on one entry host, as sent to its peers.
type Report struct {
	Entry fleet.EntryName
	// Age is the time since the standings were recorded.
	Age   time.Duration
	Teams []TeamLoad
}

// Account is the load of one team on this entry host, with the totals that its peers reported.
type Account struct {
	Team      fleet.TeamName
	weight    float64
	limit     fleet.Resources
	running   fleet.Resources
	waiting   fleet.Resources
	usage     float64
	accruedAt time.Time

	peerRunning fleet.Resources
	peerDemand  fleet.Resources
	peerUsage   float64
	fair        float64
	target      float64
	rate        float64
}

// Ledger keeps the accounts of all teams; it is not safe for concurrent use.
type Ledger struct {
	halfLife time.Duration
	total    fleet.Resources
	// quantum is the dominant share of a single slot.
	quantum  float64
	accounts map[fleet.TeamName]*Account
	order    []*Account
	refresh  time.Time
}

// Option configures a Ledger.
type Option func(*Ledger)

// WithHalfLife sets the half-life of recorded usage.
func WithHalfLife(d time.Duration) Option {
	return func(l *Ledger) { l.halfLife = d }
}

// New returns a ledger without accounts.
func New(opts ...Option) *Ledger {
	l := &Ledger{halfLife: DefaultHalfLife, accounts: map[fleet.TeamName]*Account{}}
	for _, opt := range opts {
		opt(l)
	}

	return l
}

// Open returns the account of a team, created if missing, and updates its weight and upper limit.
func (l *Ledger) Open(t fleet.Team, now time.Time) *Account {
	a, ok := l.accounts[t.Name]
	if !ok {
		a = &Account{Team: t.Name, accruedAt: now}
		l.accounts[t.Name] = a
		l.order = append(l.order, a)
		l.refresh = time.Time{}
	}
	a.weight = float64(max(t.Share, 1))
	a.limit = t.UpperLimit

	return a
}

// Total returns the total capacity that dominant shares are computed against.
func (l *Ledger) Total() fleet.Resources {
	return l.total
}

// Start adds size to what a has running.
func (l *Ledger) Start(a *Account, size fleet.Resources, now time.Time) {
	l.accrue(a, now)
	a.running = a.running.Plus(size)
}

// End subtracts size from what a has running.
func (l *Ledger) End(a *Account, size fleet.Resources, now time.Time) {
	l.accrue(a, now)
	a.running = a.running.Minus(size)
}

// AddWaiting adds size to what a has queued.
func (l *Ledger) AddWaiting(a *Account, size fleet.Resources) {
	a.waiting = a.waiting.Plus(size)
}

// RemoveWaiting subtracts size from what a has queued.
func (l *Ledger) RemoveWaiting(a *Account, size fleet.Resources) {
	a.waiting = a.waiting.Minus(size)
}

// Score ranks a among the teams that compete for a resource on this entry host; the lowest score is scheduled next.
// It divides what a has running here, plus half a slot, by its local target. The half slot is Webster's method, which
// favours neither small nor large shares in rounding. Work on other entry hosts is left out, because entry hosts that
// react to the same delayed reports would all pick the same team at once.
func (l *Ledger) Score(a *Account) float64 {
	return (a.running.DominantShare(l.total) + l.quantum/2) / a.target
}

// UnderShare reports whether a has less running on all entry hosts together than its fair share.
func (l *Ledger) UnderShare(a *Account) bool {
	return a.running.Plus(a.peerRunning).DominantShare(l.total) < a.fair-epsilon
}

// Rate returns the fraction of the capacity, from 0 to 1, that a can rely on while it has queued work.
func (l *Ledger) Rate(a *Account) float64 {
	return a.rate
}

// Refresh merges the peers' reports and recomputes every team's fair share of total.
func (l *Ledger) Refresh(total fleet.Resources, reports []Report, now time.Time) {
	for _, a := range l.order {
		l.accrue(a, now)
		a.peerRunning, a.peerDemand, a.peerUsage = fleet.Resources{}, fleet.Resources{}, 0
	}
	l.total, l.refresh = total, now
	l.quantum = max(fleet.Resources{Slots: 1}.DominantShare(total), epsilon)
	for _, r := range reports {
		l.merge(r)
	}

	demands := make([]Demand, len(l.order))
	var weights float64
	for i, a := range l.order {
		demands[i] = Demand{Weight: int64(a.weight), Wanted: a.wanted(), Used: l.lambda() * (a.usage + a.peerUsage)}
		if !demands[i].Wanted.IsZero() {
			weights += a.weight
		}
	}
	l.setFair(Allocate(total, demands), weights)
}

// Refreshed returns the time of the last Refresh.
func (l *Ledger) Refreshed() time.Time {
	return l.refresh
}

// Report returns the load of all active teams on this entry host, for its peers.
func (l *Ledger) Report(entry fleet.EntryName, now time.Time) Report {
	r := Report{Entry: entry}
	for _, a := range l.order {
		l.accrue(a, now)
		if a.running.IsZero() && a.waiting.IsZero() && a.usage < epsilon {
			continue
		}
		r.Teams = append(r.Teams, TeamLoad{
			Team: a.Team, Running: a.running, Demand: a.running.Plus(a.waiting), Usage: a.usage,
		})
	}

	return r
}

func (l *Ledger) merge(r Report) {
	discount := 1.0
	if r.Age > reportGrace {
		discount = math.Exp2(-(r.Age - reportGrace).Seconds() / reportHalfLife.Seconds())
	}
	for _, s := range r.Teams {
		a, ok := l.accounts[s.Team]
		if !ok {
			continue
		}
		a.peerRunning = a.peerRunning.Plus(scaled(s.Running, discount))
		a.peerDemand = a.peerDemand.Plus(scaled(s.Demand, discount))
		a.peerUsage += l.decayed(s.Usage, scaled(s.Running, discount), r.Age.Seconds())
	}
}

func (l *Ledger) setFair(fair []float64, weights float64) {
	spare := 1.0
	for _, d := range fair {
		spare -= d
	}
	for i, a := range l.order {
		floor := a.weight / max(weights, a.weight)
		a.fair = fair[i]
		localFraction := 1.0
		if a.peerDemand != (fleet.Resources{}) {
			localFraction = a.demand().DominantShare(l.total) / max(a.demand().Plus(a.peerDemand).DominantShare(l.total), epsilon)
		}
		a.target = max(a.fair*localFraction, floor*l.quantum)
		a.rate = min(1, max(floor, fair[i]+max(spare, 0)))
	}
}

// wanted returns the team's demand on all entry hosts, capped at its upper limit.
func (a *Account) wanted() fleet.Resources {
	wanted := a.demand().Plus(a.peerDemand)
	if a.limit.IsZero() {
		return wanted
	}

	return wanted.Min(a.limit)
}

// demand returns the sum of running and queued work on this entry host.
func (a *Account) demand() fleet.Resources {
	return a.running.Plus(a.waiting)
}

// accrue adds the usage since the last call to a.
func (l *Ledger) accrue(a *Account, now time.Time) {
	a.usage = l.decayed(a.usage, a.running, now.Sub(a.accruedAt).Seconds())
	a.accruedAt = now
}

// decayed returns usage after elapsed seconds with running constantly in use.
func (l *Ledger) decayed(usage float64, running fleet.Resources, elapsed float64) float64 {
	if elapsed <= 0 || usage == 0 && running.IsZero() {
		return usage
	}
	decay := math.Exp(-l.lambda() * elapsed)

	return usage*decay + running.DominantShare(l.total)*(1-decay)/l.lambda()
}

// lambda is the decay constant of usage, per second.
func (l *Ledger) lambda() float64 {
	return math.Ln2 / l.halfLife.Seconds()
}

func scaled(r fleet.Resources, f float64) fleet.Resources {
	if f == 1 {
		return r
	}

	return fleet.Resources{
		Slots:        int64(math.Round(float64(r.Slots) * f)),
		Cores:        fleet.MilliCores(math.Round(float64(r.Cores) * f)),
		Memory:       fleet.Mebibytes(math.Round(float64(r.Memory) * f)),
		Accelerators: int64(math.Round(float64(r.Accelerators) * f)),
	}
}
