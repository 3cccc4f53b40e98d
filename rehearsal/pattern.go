package rehearsal

import (
	"math"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrUnknownPattern means that no pattern has the given name.
var ErrUnknownPattern = merry.Sentinel("rehearsal: unknown pattern")

// Pattern is a sequence of demand and events.
type Pattern struct {
	// Name identifies the pattern in reports.
	Name string
	// About describes the pattern in one sentence.
	About string
	// rate returns the arrival rate of a pool's jobs at a time since the start, as a multiple of its mean rate.
	rate func(pool int, at time.Duration) float64
	// largeJobs multiplies the tasks of each job and divides the rate by the same number; zero means one.
	largeJobs int
	// floodFactor multiplies the jobs of one workspace between floodFrom and floodUntil.
	floodFactor           float64
	floodFrom, floodUntil time.Duration
	// waveAt is when a maintenance wave over half of the hosts is requested; zero means never.
	waveAt time.Duration
	// rackLossAt is when the rack with the most runs stops responding for rackLossTime.
	rackLossAt time.Duration
	// ownerLossAt is when the owner fails; a new one starts after ownerGap.
	ownerLossAt time.Duration
}

const (
	rackLossTime = 7 * time.Second
	ownerGap     = 2500 * time.Millisecond
	waveTime     = 28 * time.Second
	// turnTime is the time from one pool's peak to that of the next.
	turnTime = 5 * time.Second
	// quietRate and peakRate are the rates outside and at the top of a peak.
	quietRate = 0.1
	peakRate  = 3.5
)

// Patterns returns the patterns that a rehearsal can play.
func Patterns() []Pattern {
	steady := func(int, time.Duration) float64 { return 1 }
	turns := turnsOf(func(at time.Duration) float64 { return at.Seconds() / turnTime.Seconds() })

	return []Pattern{
		{Name: "steady", About: "constant rates; a pool ought to make next to no moves", rate: steady},
		{Name: "turns", About: "the pools peak one after the other in equal times", rate: turns},
		{
			Name: "shifting turns", About: "the pools peak one after the other, each turn shorter than the last",
			rate: turnsOf(func(at time.Duration) float64 { return at.Seconds() / turnTime.Seconds() * (1 + at.Seconds()/60) }),
		},
		{
			Name: "peaks together", About: "two pools peak at once, then the other two",
			rate: func(pool int, at time.Duration) float64 { return turns(pool/2*2, at) },
		},
		{
			Name: "ramp", About: "demand rises from nothing to twice the mean",
			rate: func(_ int, at time.Duration) float64 { return 2 * at.Seconds() / loadTime.Seconds() },
		},
		{
			Name: "lull and burst", About: "nothing for two thirds of the time, then three times the mean in all pools",
			rate: func(_ int, at time.Duration) float64 {
				if at > loadTime/2 && at < loadTime*5/6 {
					return 3
				}

				return 0
			},
		},
		{Name: "large jobs", About: "constant rates of few jobs with four times the tasks", rate: steady, largeJobs: 4},
		{
			Name: "flood", About: "one workspace sends many times its usual while the others are steady",
			rate: steady, floodFactor: 12, floodFrom: 2 * time.Second, floodUntil: 16 * time.Second,
		},
		{Name: "rack loss", About: "a rack stops to answer amid a turn", rate: turns, rackLossAt: 11 * time.Second},
		{Name: "wave", About: "half of the hosts are due for maintenance amid turns", rate: turns, waveAt: 2 * time.Second},
		{Name: "owner change", About: "the owner ends amid a turn, and the next one has the ledger only", rate: turns, ownerLossAt: 12 * time.Second},
	}
}

// Select returns the patterns with the given names, or all of them if there are no names; it returns ErrUnknownPattern for
// a name that no pattern has.
func Select(names []string) ([]Pattern, error) {
	all := Patterns()
	if len(names) == 0 {
		return all, nil
	}
	var list []Pattern
	for _, name := range names {
		i := slices.IndexFunc(all, func(p Pattern) bool { return p.Name == name })
		if i < 0 {
			return nil, merry.Prepend(ErrUnknownPattern, name)
		}
		list = append(list, all[i])
	}

	return list, nil
}

// turnsOf returns rates that peak in one pool after the other; turn converts a time to the number of completed turns.
func turnsOf(turn func(at time.Duration) float64) func(int, time.Duration) float64 {
	return func(pool int, at time.Duration) float64 {
		phase := math.Mod(turn(at)-float64(pool)+2*poolCount, poolCount)
		if phase > 2 {
			return quietRate
		}

		return quietRate + peakRate*math.Pow(math.Sin(math.Pi*phase/2), 2)
	}
}
