package trace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"lycheehook.example/lycheehook/fleet"
)

// Parameters of demand: bursts of a few seconds at five times the mean, and a twentieth of the mean in between.
const (
	burstFactor = 5.0
	lullFactor  = 0.05
	// burstFraction is the fraction of time spent in bursts, chosen so that the long-term mean is 1.
	burstFraction  = (1 - lullFactor) / (burstFactor - lullFactor)
	minBurst       = 3 * time.Second
	maxBurst       = 12 * time.Second
	day            = 24 * time.Hour
	dailyAmplitude = 0.35
	shiftEvery     = 6 * time.Hour
	shiftAmplitude = 0.4
	sampleEvery    = time.Second
)

// Parameters of host failures.
const (
	meanTimeBetweenLosses = 60 * day
	lossTime              = 20 * time.Minute
)

// hostsPerRack is the number of workers in a rack; zones is the number of availability zones.
const (
	hostsPerRack = 4
	zones        = 4
)

// Size is the size of a fleet.
type Size struct {
	Hosts, Pools int
}

// Loss is an unplanned outage of one host, as offsets from the start of the trace.
type Loss struct {
	Host  fleet.HostName
	Begin time.Duration
	End   time.Duration
}

// Trace is a time series of the demand of each pool, and the host failures in the same period.
type Trace struct {
	Tick time.Duration
	// Demand is the mean demand of each pool in each tick, in hosts.
	Demand map[fleet.PoolName][]float64
	// Ticks is the number of ticks in the trace.
	Ticks  int
	Losses []Loss
}

// PoolNames returns the pools of a fleet of the given size; the first is the spare pool.
func PoolNames(s Size) []fleet.PoolName {
	names := make([]fleet.PoolName, s.Pools)
	for i := range names {
		names[i] = fleet.PoolName(fmt.Sprintf("pool-%03d", i))
	}

	return names
}

// Hosts returns the hosts of a fleet of the given size, distributed over availability zones and racks, with their initial pools.
func Hosts(s Size) []fleet.Host {
	pools := PoolNames(s)
	hosts := make([]fleet.Host, s.Hosts)
	for i := range hosts {
		rack := i / hostsPerRack
		hosts[i] = fleet.Host{
			Name: fleet.HostName(fmt.Sprintf("worker-%04d", i)), Pool: pools[i%s.Pools], State: fleet.HostLive,
			Zone: fleet.ZoneName(fmt.Sprintf("zone-%d", rack%zones)), Rack: fleet.RackName(fmt.Sprintf("rack-%03d", rack)),
		}
	}

	return hosts
}

// New generates a trace of the given length. The mean demand of all pools together is load, as a fraction of the fleet.
func New(s Size, seed uint64, length, tick time.Duration, load float64) Trace {
	rng := rand.New(rand.NewPCG(seed, 1))
	t := Trace{Tick: tick, Ticks: int(length / tick), Demand: map[fleet.PoolName][]float64{}}
	perPool := load * float64(s.Hosts) / float64(s.Pools-1)
	for _, name := range PoolNames(s)[1:] {
		t.Demand[name] = poolDemand(rng, perPool, t.Ticks, tick)
	}
	t.Losses = losses(rng, s, length)

	return t
}

// poolDemand generates the demand of one pool: bursts, scaled by a daily sine curve and by a random level that changes every shiftEvery.
func poolDemand(rng *rand.Rand, mean float64, ticks int, tick time.Duration) []float64 {
	phase := rng.Float64() * 2 * math.Pi
	base := mean * (0.6 + 0.8*rng.Float64())
	bursts := newOnOff(rng)
	perTick := int(tick / sampleEvery)
	demand := make([]float64, ticks)
	shift := 1.0
	for i := range demand {
		at := time.Duration(i) * tick
		if at%shiftEvery < tick {
			shift = 1 + shiftAmplitude*(2*rng.Float64()-1)
		}
		daily := 1 + dailyAmplitude*math.Sin(2*math.Pi*at.Hours()/day.Hours()+phase)
		sum := 0.0
		for range perTick {
			sum += bursts.next()
		}
		demand[i] = base * daily * shift * sum / float64(perTick)
	}

	return demand
}

// onOff generates alternating bursts and lulls, one sample a second.
type onOff struct {
	rng   *rand.Rand
	left  int
	burst bool
}

func newOnOff(rng *rand.Rand) *onOff {
	return &onOff{rng: rng, burst: rng.Float64() < burstFraction}
}

func (t *onOff) next() float64 {
	if t.left == 0 {
		t.burst = !t.burst
		seconds := (minBurst + time.Duration(t.rng.Int64N(int64(maxBurst-minBurst)))).Seconds()
		if !t.burst {
			seconds *= (1 - burstFraction) / burstFraction
		}
		t.left = max(1, int(seconds))
	}
	t.left--
	if t.burst {
		return burstFactor
	}

	return lullFactor
}

func losses(rng *rand.Rand, s Size, length time.Duration) []Loss {
	var all []Loss
	for _, h := range Hosts(s) {
		at := time.Duration(rng.ExpFloat64() * float64(meanTimeBetweenLosses))
		if at < length {
			all = append(all, Loss{Host: h.Name, Begin: at, End: at + lossTime})
		}
	}

	return all
}

// Mean returns the moving average of each pool's demand over the window that ends with tick i, in hosts.
func (t Trace) Mean(i int, window time.Duration) map[fleet.PoolName]float64 {
	first := max(0, i+1-int(window/t.Tick))
	mean := make(map[fleet.PoolName]float64, len(t.Demand))
	for name, d := range t.Demand {
		sum := 0.0
		for _, v := range d[first : i+1] {
			sum += v
		}
		mean[name] = sum / float64(i+1-first)
	}

	return mean
}
