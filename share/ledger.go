package share

import (
	"math"
	"time"

	"lycheehook.example/lycheehook/fleet"
)

const (
	// DefaultHalfLife is the time after which usage counts half.
	DefaultHalfLife = 20 * time.Second
	// reportHalfLife is the age at which a peer's report of running work counts half.
	reportHalfLife = 2 * time.Second
	// reportGrace is the age up to which a report counts in full.
	reportGrace = time.Second
	// runningFactor weighs what runs now against the remembered rate of use, so that
	// memory tilts the choice between teams but does not starve a team that was busy.
	runningFactor = 2
)

// Standing is what one entry host knows of one team's work on it.
type Standing struct {
	Team    fleet.TeamName
	Running fleet.Resources
	// Demand is what runs and what waits together.
	Demand fleet.Resources
	// Usage is the decayed integral of the dominant share, in share-seconds at the time of the report.
	Usage float64
}

// Report is what one entry host tells its peers of the teams' work on it.
type Report struct {
	Entry fleet.EntryName
	// Age is the time since the standings were true.
	Age   time.Duration
	Teams []Standing
}

// Account is the running tally of one team on this entry host, with what the peers reported.
type Account struct {
	Team    fleet.TeamName
	weight  float64
	limit   fleet.Resources
	running fleet.Resources
	waiting fleet.Resources
	usage   float64
	at      time.Time

	peerRunning fleet.Resources
	peerDemand  fleet.Resources
	peerUsage   float64
	due         float64
	target      float64
	rate        float64
}

// Ledger keeps the accounts of all teams; it is not safe for concurrent use.
type Ledger struct {
	halfLife time.Duration
	total    fleet.Resources
	// quantum is the dominant share of one slot.
	quantum  float64
	accounts map[fleet.TeamName]*Account
	order    []*Account
	refresh  time.Time
}

// Option configures a Ledger.
type Option func(*Ledger)

// WithHalfLife sets the time after which usage counts half.
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

// Open returns the account of a team and brings its weight and upper limit up to date.
func (l *Ledger) Open(t fleet.Team, now time.Time) *Account {
	a, ok := l.accounts[t.Name]
	if !ok {
		a = &Account{Team: t.Name, at: now}
		l.accounts[t.Name] = a
		l.order = append(l.order, a)
		l.refresh = time.Time{}
	}
	a.weight = float64(max(t.Share, 1))
	a.limit = t.UpperLimit

	return a
}

// Total returns the capacity that shares are of.
func (l *Ledger) Total() fleet.Resources {
	return l.total
}

// Start counts size as running for a.
func (l *Ledger) Start(a *Account, size fleet.Resources, now time.Time) {
	l.settle(a, now)
	a.running = a.running.Plus(size)
}

// End counts size as no longer running for a.
func (l *Ledger) End(a *Account, size fleet.Resources, now time.Time) {
	l.settle(a, now)
	a.running = a.running.Minus(size)
}

// Wait counts size as waiting for a.
func (l *Ledger) Wait(a *Account, size fleet.Resources) {
	a.waiting = a.waiting.Plus(size)
}

// Unwait counts size as no longer waiting for a.
func (l *Ledger) Unwait(a *Account, size fleet.Resources) {
	a.waiting = a.waiting.Minus(size)
}

// Score ranks a among teams that want the same resource here; the lowest is next. It is what a has running here
// and half a slot more, for what it is due here: the half makes rounding favour neither small nor large parts
// (Webster's method). It uses what is due here and not what runs elsewhere, because entry hosts that follow the
// same late news would all turn to the same team at once.
func (l *Ledger) Score(a *Account) float64 {
	return (a.running.DominantShare(l.total) + l.quantum/2) / a.target
}

// UnderShare reports whether a has less running over all entry hosts than it is due.
func (l *Ledger) UnderShare(a *Account) bool {
	return a.running.Plus(a.peerRunning).DominantShare(l.total) < a.due-epsilon
}

// Rate returns the part of the capacity, from 0 to 1, that a can count on while it has work waiting.
func (l *Ledger) Rate(a *Account) float64 {
	return a.rate
}

// Refresh merges the peers' reports and computes anew what each team is due of total.
func (l *Ledger) Refresh(total fleet.Resources, reports []Report, now time.Time) {
	for _, a := range l.order {
		l.settle(a, now)
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
	l.setDue(Allocate(total, demands), weights)
}

// Refreshed returns the time of the last Refresh.
func (l *Ledger) Refreshed() time.Time {
	return l.refresh
}

// Report returns the standings on this entry host, for its peers.
func (l *Ledger) Report(entry fleet.EntryName, now time.Time) Report {
	r := Report{Entry: entry}
	for _, a := range l.order {
		l.settle(a, now)
		if a.running.IsZero() && a.waiting.IsZero() && a.usage < epsilon {
			continue
		}
		r.Teams = append(r.Teams, Standing{
			Team: a.Team, Running: a.running, Demand: a.running.Plus(a.waiting), Usage: a.usage,
		})
	}

	return r
}

func (l *Ledger) merge(r Report) {
	fade := 1.0
	if r.Age > reportGrace {
		fade = math.Exp2(-(r.Age - reportGrace).Seconds() / reportHalfLife.Seconds())
	}
	for _, s := range r.Teams {
		a, ok := l.accounts[s.Team]
		if !ok {
			continue
		}
		a.peerRunning = a.peerRunning.Plus(scaled(s.Running, fade))
		a.peerDemand = a.peerDemand.Plus(scaled(s.Demand, fade))
		a.peerUsage += l.decayed(s.Usage, scaled(s.Running, fade), r.Age.Seconds())
	}
}

func (l *Ledger) setDue(due []float64, weights float64) {
	spare := 1.0
	for _, d := range due {
		spare -= d
	}
	for i, a := range l.order {
		floor := a.weight / max(weights, a.weight)
		a.due = due[i]
		here := 1.0
		if a.peerDemand != (fleet.Resources{}) {
			here = a.demand().DominantShare(l.total) / max(a.demand().Plus(a.peerDemand).DominantShare(l.total), epsilon)
		}
		a.target = max(a.due*here, floor*l.quantum)
		a.rate = min(1, max(floor, due[i]+max(spare, 0)))
	}
}

// wanted returns the team's demand over all entry hosts within its upper limit.
func (a *Account) wanted() fleet.Resources {
	wanted := a.demand().Plus(a.peerDemand)
	if a.limit.IsZero() {
		return wanted
	}

	return wanted.Min(a.limit)
}

// demand returns what runs and waits here.
func (a *Account) demand() fleet.Resources {
	return a.running.Plus(a.waiting)
}

// settle charges a for what ran since its last change.
func (l *Ledger) settle(a *Account, now time.Time) {
	a.usage = l.decayed(a.usage, a.running, now.Sub(a.at).Seconds())
	a.at = now
}

// decayed returns usage after elapsed seconds in which running was in use throughout.
func (l *Ledger) decayed(usage float64, running fleet.Resources, elapsed float64) float64 {
	if elapsed <= 0 || usage == 0 && running.IsZero() {
		return usage
	}
	keep := math.Exp(-l.lambda() * elapsed)

	return usage*keep + running.DominantShare(l.total)*(1-keep)/l.lambda()
}

// lambda is the rate of decay per second.
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
