package schedule

import (
	"fmt"
	"time"

	"lycheehook.example/lycheehook/fairshare"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

// chargeShares charges the workspaces for what they have held since the last placement.
func (s *Scheduler) chargeShares(sets map[fleet.PoolName]*workerSet, now time.Time) {
	for name, p := range sets {
		s.shares.Charge(name, p.capacity, now)
	}
}

// placeByShare places the steps of lasting jobs, or all others, in the order of their workspaces' shares of each pool.
func (s *Scheduler) placeByShare(ready []*readyStep, lastingJobs bool, sets map[fleet.PoolName]*workerSet, now time.Time) {
	for from := 0; from < len(ready); {
		pool := ready[from].queue.Pool
		if sets[pool] == nil {
			sets[pool] = &workerSet{}
		}
		var list []*readyStep
		for ; from < len(ready) && ready[from].queue.Pool == pool; from++ {
			if (ready[from].rank.urgency == lasting) == lastingJobs {
				list = append(list, ready[from])
			}
		}
		order := s.shares.Order
		if lastingJobs {
			order = s.shares.Plain
		}
		for i := range order(pool, sets[pool].capacity, s.shareSteps(list, sets[pool].capacity, now), s.weight) {
			s.placeStep(list[i], sets[pool], now)
		}
		if !lastingJobs {
			s.observeShortage(pool, now)
		}
	}
}

// observeShortage observes that a pool was short of room in this placement, at most once a second.
func (s *Scheduler) observeShortage(pool fleet.PoolName, now time.Time) {
	if r, short := s.shares.Report(pool, now); short {
		s.observe(Decision{Kind: DecidedPoolShort, Reason: fmt.Sprintf("%s: of %d steps that wait, %d can be on time together", pool, r.Waiting, r.OnTime)})
	}
}

// shareSteps returns what the order by shares considers of steps of one pool.
func (s *Scheduler) shareSteps(list []*readyStep, capacity fleet.Resources, now time.Time) []fairshare.Step {
	steps := make([]fairshare.Step, len(list))
	asked := map[fleet.WorkspaceName]fleet.Resources{}
	reserving := s.reservingSteps(list, now)
	open := newOpenWork(capacity)
	for i, r := range list {
		ws, step := r.job.entry.Job.Workspace, &r.job.entry.Job.Steps[r.step.Step]
		steps[i] = fairshare.Step{
			Workspace: ws, Urgency: int(r.rank.urgency), Priority: r.rank.priority,
			Slack: r.rank.latestStart.Sub(now), Length: r.rank.remaining, Work: open.of(r),
			Kept: r.rank.begun || reserving[r.stepID()],
		}
		// What the workspace's limit excludes is no shortage of the pool.
		if size := asked[ws].Plus(step.Size.Times(int64(r.tasks.len()))); s.withinLimit(ws, size) {
			asked[ws] = size
			steps[i].Need = step.Reserved().Times(int64(r.tasks.len()))
		}
	}

	return steps
}

// openWork determines the work of occurrences that is left, in seconds of a whole pool.
type openWork struct {
	capacity fleet.Resources
	// steps has the work of the steps that are not done, as if none of their tasks were.
	steps map[occurrence]float64
}

func newOpenWork(capacity fleet.Resources) *openWork {
	return &openWork{capacity: capacity, steps: map[occurrence]float64{}}
}

// of returns the work of a step's waiting tasks and of the other steps of its occurrence that are not done.
func (o *openWork) of(r *readyStep) float64 {
	at := occurrence{r.job, r.step.Occurrence}
	all, ok := o.steps[at]
	if !ok {
		all = o.sum(at)
		o.steps[at] = all
	}

	return all - o.work(r.spec(), r.spec().Count-r.tasks.len())
}

func (o *openWork) sum(at occurrence) float64 {
	sum := 0.0
	e := at.job.entry
	for i := range e.Job.Steps {
		if !e.StepDone(ledger.StepKey{Occurrence: at.number, Step: i}) {
			sum += o.work(&e.Job.Steps[i], e.Job.Steps[i].Count)
		}
	}

	return sum
}

// work returns the work of a number of tasks of a step.
func (o *openWork) work(step *work.Step, tasks int) float64 {
	return step.Reserved().DominantShare(o.capacity) * float64(tasks) * step.Estimate.Seconds()
}

// weight returns a workspace's weight.
func (s *Scheduler) weight(ws fleet.WorkspaceName) float64 { return fairshare.Weight(s.workspaces, ws) }
