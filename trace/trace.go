package trace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"lycheehook.example/lycheehook/fleet"
)

// The shape of demand: turns of some seconds at about five times the mean, and a twentieth of it in between.
const (
	burstFactor = 5.0
	lullFactor  = 0.05
	// burstPart is the part of the time in bursts, so that the mean over turns is one.
	burstPart   = (1 - lullFactor) / (burstFactor - lullFactor)
	minBurst    = 3 * time.Second
	maxBurst    = 12 * time.Second
	day         = 24 * time.Hour
	swing       = 0.35
	shiftEvery  = 6 * time.Hour
	shiftRange  = 0.4
	sampleEvery = time.Second
)

// The shape of host events.
const (
	meanTimeBetweenLosses = 60 * day
	lossTime              = 20 * time.Minute
)

// hostsPerRack is the number of workers in a rack, and zones the number of availability zones.
const (
	hostsPerRack = 4
	zones        = 4
)

// Size is the size of a fleet.
type Size struct {
	Hosts, Pools int
}

// Loss is an unplanned outage of one host.
type Loss struct {
	Host  fleet.HostName
	Begin time.Duration
	End   time.Duration
}

// Trace is the demand of each pool and the losses of hosts over some hours.
type Trace struct {
	Tick time.Duration
	// Demand has for each pool the mean demand during each tick, in hosts.
	Demand map[fleet.PoolName][]float64
	// Ticks is the length of the trace, in ticks.
	Ticks  int
	Losses []Loss
}

// PoolNames returns the pools of a fleet of the given size; the first is the spare.
func PoolNames(s Size) []fleet.PoolName {
	names := make([]fleet.PoolName, s.Pools)
	for i := range names {
		names[i] = fleet.PoolName(fmt.Sprintf("pool-%03d", i))
	}

	return names
}

// Hosts returns the hosts of a fleet of the given size, spread over zones and racks, with the pools they start in.
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

// New generates a trace of the given length, in which the pools together ask for load of the fleet on average.
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

// poolDemand multiplies turns by a daily curve and by shifts of some hours.
func poolDemand(rng *rand.Rand, mean float64, ticks int, tick time.Duration) []float64 {
	phase := rng.Float64() * 2 * math.Pi
	base := mean * (0.6 + 0.8*rng.Float64())
	turns := newTurns(rng)
	perTick := int(tick / sampleEvery)
	demand := make([]float64, ticks)
	shift := 1.0
	for i := range demand {
		at := time.Duration(i) * tick
		if at%shiftEvery < tick {
			shift = 1 + shiftRange*(2*rng.Float64()-1)
		}
		daily := 1 + swing*math.Sin(2*math.Pi*at.Hours()/day.Hours()+phase)
		sum := 0.0
		for range perTick {
			sum += turns.next()
		}
		demand[i] = base * daily * shift * sum / float64(perTick)
	}

	return demand
}

// turns alternates bursts and lulls, one sample a second.
type turns struct {
	rng   *rand.Rand
	left  int
	burst bool
}

func newTurns(rng *rand.Rand) *turns {
	return &turns{rng: rng, burst: rng.Float64() < burstPart}
}

func (t *turns) next() float64 {
	if t.left == 0 {
		t.burst = !t.burst
		seconds := (minBurst + time.Duration(t.rng.Int64N(int64(maxBurst-minBurst)))).Seconds()
		if !t.burst {
			seconds *= (1 - burstPart) / burstPart
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

// Mean returns the mean demand of each pool over the window that ends with tick i, in hosts.
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
