package rehearsal

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/work"
)

const (
	// loadTime is how long jobs arrive, settleTime how long the simulation runs before, and finishTime how long after.
	loadTime   = 34 * time.Second
	settleTime = 8 * time.Second
	finishTime = 8 * time.Second

	poolCount       = 4
	workspaceCount  = 6
	hostCores       = 48000
	hostMemory      = 98304
	rackHosts       = 5
	objectiveFactor = 1.5
	slack           = 800 * time.Millisecond
	lastingPerPool  = 2
	lastingTasks    = 5
)

// jobKind is the distribution of the jobs of a pool.
type jobKind struct {
	hosts     int
	perSecond float64
	steps     float64
	tasks     float64
	cores     float64
	seconds   float64
}

// kinds are the job kinds of the pools, which use about a third of the fleet on average.
var kinds = [poolCount]jobKind{
	{hosts: 10, perSecond: 6, steps: 1.5, tasks: 5, cores: 3000, seconds: 0.9},
	{hosts: 10, perSecond: 1.5, steps: 2.5, tasks: 7, cores: 6000, seconds: 1.2},
	{hosts: 10, perSecond: 6, steps: 1.5, tasks: 5, cores: 3000, seconds: 0.9},
	{hosts: 10, perSecond: 1.5, steps: 2.5, tasks: 7, cores: 6000, seconds: 1.2},
}

const standbyHosts = 8

// arrival is a job with the actual durations of its tasks, which the scheduler doesn't know.
type arrival struct {
	at  time.Duration
	job work.Job
	// trueTimes is the actual duration of each task by step.
	trueTimes [][]time.Duration
}

// demandOf generates the jobs of a play.
func demandOf(p Pattern, scale int, rng *rand.Rand, start time.Time) []arrival {
	var list []arrival
	for pool := range poolCount {
		for range scale * lastingPerPool {
			list = append(list, lastingJob(pool, len(list), start))
		}
	}
	large := float64(max(1, p.largeJobs))
	const grain = 20 * time.Millisecond
	for at := time.Duration(0); at < loadTime; at += grain {
		for pool, k := range kinds {
			mean := float64(scale) * k.perSecond / large * p.rate(pool, at) * grain.Seconds()
			for ws := range workspaceCount {
				n := mean * workspaceShare(ws)
				if ws == 0 && p.floodFactor > 0 && at >= p.floodFrom && at < p.floodUntil {
					n *= p.floodFactor
				}
				for range poisson(rng, n) {
					list = append(list, batchJob(pool, ws, len(list), large, settleTime+at, rng, start))
				}
			}
		}
	}

	return list
}

// workspaceShare returns the fraction of the jobs that a workspace submits; the first workspaces submit the most.
func workspaceShare(ws int) float64 {
	return float64(workspaceCount-ws) / (workspaceCount * (workspaceCount + 1) / 2)
}

func poolName(i int) fleet.PoolName {
	return fleet.PoolName(fmt.Sprint("pool-", i))
}

func workspaceName(i int) fleet.WorkspaceName {
	return fleet.WorkspaceName(fmt.Sprint("workspace-", i))
}

// lastingJob returns a job whose tasks run for the whole play, submitted while the fleet settles.
func lastingJob(pool, number int, start time.Time) arrival {
	at := settleTime / 2
	j := work.Job{
		ID: fleet.JobID(fmt.Sprintf("%016x", number+1)), Queue: fleet.QueueName(poolName(pool)), Pool: poolName(pool),
		Workspace: workspaceName(number % workspaceCount), Submitted: start.Add(at),
		Steps: []work.Step{{
			Count: lastingTasks, Lasting: true, MaxPerWorker: 2, Size: fleet.Resources{Cores: 4000, Memory: 6144},
		}},
	}

	return arrival{at: at, job: j, trueTimes: [][]time.Duration{slices.Repeat([]time.Duration{time.Hour}, lastingTasks)}}
}

// batchJob generates a job of a pool whose steps run in sequence.
func batchJob(pool, ws, number int, large float64, at time.Duration, rng *rand.Rand, start time.Time) arrival {
	k := kinds[pool]
	steps := max(1, int(math.Round(k.steps+0.8*rng.NormFloat64())))
	j := work.Job{
		ID: fleet.JobID(fmt.Sprintf("%016x", number+1)), Queue: fleet.QueueName(poolName(pool)), Pool: poolName(pool),
		Workspace: workspaceName(ws), Submitted: start.Add(at),
	}
	cores, memory := spread(rng, k.cores, 0.45, 3), spread(rng, 2*k.cores, 0.5, 3)
	a := arrival{at: at}
	for i := range steps {
		mean := spread(rng, k.seconds, 0.5, 2.5)
		estimate := time.Duration(spread(rng, mean, 0.2, 2) * float64(time.Second))
		step := work.Step{
			Count: max(1, int(large*spread(rng, k.tasks, 0.6, 4))), Estimate: estimate,
			Size: fleet.Resources{Cores: fleet.MilliCores(cores), Memory: fleet.Mebibytes(memory)},
		}
		if i > 0 {
			step.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, step)
		var times []time.Duration
		for range step.Count {
			times = append(times, time.Duration(spread(rng, mean, 0.15, 2)*float64(time.Second)))
		}
		a.trueTimes = append(a.trueTimes, times)
	}
	a.job = j

	return a
}

// spread samples a log-normal distribution with the given mean and relative deviation, capped at limit times the mean.
func spread(rng *rand.Rand, mean, deviation, limit float64) float64 {
	sigma := math.Sqrt(math.Log(1 + deviation*deviation))

	return min(limit*mean, mean*math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2))
}

// poisson samples a Poisson distribution.
func poisson(rng *rand.Rand, mean float64) int {
	n, limit, product := 0, math.Exp(-mean), rng.Float64()
	for product > limit {
		product *= rng.Float64()
		n++
	}

	return n
}

// objective returns the target duration of a job, derived from the actual length of its critical path.
func (a arrival) objective() time.Duration {
	var chain time.Duration
	for _, times := range a.trueTimes {
		chain += slices.Max(times)
	}

	return time.Duration(objectiveFactor*float64(chain)) + slack
}

// hostSeconds returns the work of a job in host-seconds.
func (a arrival) hostSeconds() float64 {
	sum := 0.0
	for i, times := range a.trueTimes {
		for _, t := range times {
			sum += a.job.Steps[i].Reserved().DominantShare(hostCapacity) * t.Seconds()
		}
	}

	return sum
}

var hostCapacity = fleet.Resources{Cores: hostCores, Memory: hostMemory}
