package rehearsal

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"lycheehook.example/lycheehook/fleet"
)

// Prices of a second of a host in a pool and of a move, and the value of a host-second of work that meets its objective.
const (
	HostPrice = 1.0
	MovePrice = 1.15
	WorkPrice = 15.0
)

// Report is the results of a play, or their means over several plays.
type Report struct {
	Pattern string
	Seed    uint64
	// Jobs counts the batch jobs, Late those that missed their objective.
	Jobs, Late int
	// InTime is the fraction of the work, in host-seconds, that belongs to jobs within their objective, and
	// WorstWorkspace and WorstWindow the lowest such fractions of one workspace and of two seconds.
	InTime, WorstWorkspace, WorstWindow float64
	// HostSeconds is the time of hosts in pools, and WorkedSeconds the part of it that was in use.
	HostSeconds, WorkedSeconds float64
	Moves                      int
	// Cost is the price of the hosts and their moves, BestCost the cost of the offline planner.
	Cost, BestCost float64
	// MedianWait and LongWait are the median and the 95th percentile of the times from submission to the first start.
	MedianWait, LongWait time.Duration
	Samples              []Sample
	waits                []time.Duration
}

// Sample is the state of the fleet at a time.
type Sample struct {
	At time.Duration
	// Hosts is the number of hosts in each pool, and Used the sum of the used fractions of its hosts.
	Hosts, Used [poolCount]float64
}

// sample adds the current state of the fleet to the report.
func (r *Rehearsal) sample() {
	if r.now < settleTime || r.now >= settleTime+loadTime || !r.every(sampleTime) {
		return
	}
	s := Sample{At: r.now - settleTime}
	for _, m := range r.cloud.machines {
		for i := range poolCount {
			if m.status.Pool != poolName(i) {
				continue
			}
			s.Hosts[i]++
			s.Used[i] += r.used(m).DominantShare(hostCapacity)
		}
	}
	for i := range poolCount {
		r.report.HostSeconds += s.Hosts[i] * sampleTime.Seconds()
		r.report.WorkedSeconds += s.Used[i] * sampleTime.Seconds()
	}
	r.report.Samples = append(r.report.Samples, s)
}

// used returns the resources that the runs on a machine reserve.
func (r *Rehearsal) used(m *machine) fleet.Resources {
	var used fleet.Resources
	for a := range m.runs {
		used = used.Plus(r.jobs[a.Job].job.Steps[a.Step].Reserved())
	}

	return used
}

// tally is the sum of all work and of the work of jobs that met their objective.
type tally struct{ all, inTime float64 }

func (t tally) share() float64 {
	if t.all == 0 {
		return 1
	}

	return t.inTime / t.all
}

// summarise computes the results after the end of the play.
func (r *Report) summarise(of *Rehearsal) {
	const window = 2 * time.Second
	var total tally
	workspaces, windows := map[fleet.WorkspaceName]tally{}, map[time.Duration]tally{}
	for i := range of.arrivals {
		p := of.jobs[of.arrivals[i].job.ID]
		if p.job.Lasting() {
			continue
		}
		r.Jobs++
		t := tally{all: p.hostSeconds()}
		if p.finished > 0 && p.finished <= p.at+p.objective() {
			t.inTime = t.all
		} else {
			r.Late++
		}
		add := func(o tally) tally { return tally{o.all + t.all, o.inTime + t.inTime} }
		total = add(total)
		workspaces[p.job.Workspace] = add(workspaces[p.job.Workspace])
		windows[p.at/window] = add(windows[p.at/window])
	}
	lowest := func(share float64, t tally) float64 { return min(share, t.share()) }
	r.InTime, r.WorstWorkspace, r.WorstWindow = total.share(), 1, 1
	for _, t := range workspaces {
		r.WorstWorkspace = lowest(r.WorstWorkspace, t)
	}
	for _, t := range windows {
		r.WorstWindow = lowest(r.WorstWindow, t)
	}
	r.Cost = r.HostSeconds*HostPrice + float64(r.Moves)*MovePrice
	slices.Sort(r.waits)
	r.MedianWait, r.LongWait = quantile(r.waits, 0.5), quantile(r.waits, 0.95)
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}

	return sorted[int(q*float64(len(sorted)-1))]
}

// Worth returns the value of the work in time less the cost, as a fraction of the value of all work.
func (r Report) Worth() float64 {
	all := WorkPrice * r.workSeconds()

	return r.InTime - r.Cost/all
}

// BestWorth returns the worth of the offline planner, which completes all work in time.
func (r Report) BestWorth() float64 {
	return 1 - r.BestCost/(WorkPrice*r.workSeconds())
}

func (r Report) workSeconds() float64 {
	return max(1, r.WorkedSeconds)
}

// Mean returns the means of several plays of one pattern.
func Mean(list []Report) Report {
	m := Report{Pattern: list[0].Pattern}
	n := float64(len(list))
	for _, r := range list {
		m.Jobs, m.Late, m.Moves = m.Jobs+r.Jobs, m.Late+r.Late, m.Moves+r.Moves
		m.InTime, m.WorstWorkspace, m.WorstWindow = m.InTime+r.InTime/n, m.WorstWorkspace+r.WorstWorkspace/n, m.WorstWindow+r.WorstWindow/n
		m.HostSeconds, m.WorkedSeconds = m.HostSeconds+r.HostSeconds/n, m.WorkedSeconds+r.WorkedSeconds/n
		m.Cost, m.BestCost = m.Cost+r.Cost/n, m.BestCost+r.BestCost/n
		m.waits = append(m.waits, r.waits...)
	}
	m.Jobs, m.Late, m.Moves = m.Jobs/len(list), m.Late/len(list), m.Moves/len(list)
	slices.Sort(m.waits)
	m.MedianWait, m.LongWait = quantile(m.waits, 0.5), quantile(m.waits, 0.95)

	return m
}

// WriteTable writes one line for each report.
func WriteTable(w io.Writer, list []Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "pattern\tjobs\tlate\tin time\tworst workspace\tworst window\thost-s\tworked\tmoves\twait p50\tp95\tcost\tbest\tworth\tbest\t")
	for _, r := range list {
		_, _ = fmt.Fprintf(
			t, "%s\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t%d\t%v\t%v\t%.0f\t%.0f\t%.3f\t%.3f\t\n", r.Pattern, r.Jobs, r.Late, r.InTime, r.WorstWorkspace, r.WorstWindow,
			r.HostSeconds, r.WorkedSeconds, r.Moves, r.MedianWait.Round(time.Millisecond), r.LongWait.Round(time.Millisecond), r.Cost, r.BestCost, r.Worth(), r.BestWorth(),
		)
	}

	return t.Flush()
}
