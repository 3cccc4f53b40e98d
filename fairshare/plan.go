package fairshare

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"lycheehook.example/lycheehook/fleet"
)

const (
	// startMargin is how long before its latest start a step is taken for one that may end late. It covers the latency of a start: two
	// passes of the owner, the write to the log and the call to the worker.
	startMargin = 100 * time.Millisecond
	// lengthMargin is the part of the remaining time that is added to the margin: the longest of eight tasks takes about 1.2 times
	// their mean where they deviate by 0.15, and declared times are off.
	lengthMargin = 0.3
	// plannedFraction is the part of the pool that a plan divides. The rest is for steps that arrive meanwhile.
	plannedFraction = 0.8
	// meanUseWindow is the time for which a plan counts the mean use of a workspace beside the work that it plans.
	meanUseWindow = 3 * time.Second
)

// spare is the time for which a step may wait and still surely be on time.
func (s *Step) spare() time.Duration {
	return s.Slack - startMargin - time.Duration(lengthMargin*float64(s.Length))
}

// keeps reports whether a step is planned in any case. A late one isn't, since it would delay those that can be on time.
func (s *Step) keeps() bool { return s.Kept && s.Slack >= 0 }

// mustStart reports whether a step can still be on time, but may end late if it waits.
func (s *Step) mustStart() bool { return s.Work > 0 && s.Slack >= 0 && s.spare() <= 0 }

// share is the planned part of a workspace.
type share struct {
	weight float64
	// use is what the workspace has had lately and is to get, in seconds of the pool.
	use float64
	// steps has the planned steps, the one to give up first at the root.
	steps stepHeap
}

// plan divides steps, which are ordered by priority and slack, into those that can all be on time, and the rest. Where a step would
// be late, the workspace with the most use for its weight gives up its largest step of the lowest priority (as in
// Moore's algorithm for the least number of late jobs, Management Science 15, 1968). Kept steps are planned in any case.
func (o *order) plan(indexes []int) (planned, rest []int) {
	shares := map[fleet.WorkspaceName]*share{}
	var list []*share
	total := 0.0
	givenUp := make([]bool, len(o.steps))
	for _, i := range indexes {
		s := &o.steps[i]
		spare := s.spare().Seconds()
		if s.Work <= 0 || spare <= 0 && !s.keeps() {
			givenUp[i] = true
			continue
		}
		sh, ok := shares[s.Workspace]
		if !ok {
			sh = &share{weight: o.weight(s.Workspace), use: o.account(s.Workspace).mean * meanUseWindow.Seconds(), steps: stepHeap{steps: o.steps}}
			shares[s.Workspace] = sh
			list = append(list, sh)
		}
		sh.use += s.Work
		total += s.Work
		if s.keeps() {
			continue
		}
		heap.Push(&sh.steps, i)
		for total > plannedFraction*spare {
			i := giveUp(list)
			if i < 0 {
				break
			}
			givenUp[i] = true
			total -= o.steps[i].Work
		}
	}
	o.replanUrgent(indexes, givenUp)
	for _, i := range indexes {
		if givenUp[i] {
			rest = append(rest, i)
		} else {
			planned = append(planned, i)
		}
	}

	return planned, rest
}

// replanUrgent replaces planned steps of lower priorities by given-up steps of the same workspace that must start now, so that none of
// those is late because of its own workspace's less important work.
func (o *order) replanUrgent(indexes []int, givenUp []bool) {
	if !slices.ContainsFunc(indexes, func(i int) bool { return givenUp[i] && o.steps[i].mustStart() }) {
		return
	}
	last := map[fleet.WorkspaceName]int{}
	left := map[fleet.WorkspaceName]float64{}
	for _, i := range indexes {
		if s := &o.steps[i]; !givenUp[i] {
			last[s.Workspace] = max(last[s.Workspace], s.Priority)
			left[s.Workspace] += s.Work
		}
	}
	for _, i := range indexes {
		s := &o.steps[i]
		if givenUp[i] && (!s.mustStart() || s.Priority >= last[s.Workspace]) {
			continue
		}
		givenUp[i] = left[s.Workspace] <= 0 && !s.keeps()
		left[s.Workspace] -= s.Work
	}
}

// giveUp removes a step of the workspace with the most use for its weight, and returns its index, or -1 if there is none.
func giveUp(list []*share) int {
	var most *share
	for _, sh := range list {
		if len(sh.steps.indexes) > 0 && (most == nil || sh.use/sh.weight > most.use/most.weight) {
			most = sh
		}
	}
	if most == nil {
		return -1
	}
	i, _ := heap.Pop(&most.steps).(int)
	most.use -= most.steps.steps[i].Work

	return i
}

// stepHeap is a heap of steps by the lowest priority and the most work.
type stepHeap struct {
	steps   []Step
	indexes []int
}

func (h *stepHeap) Len() int      { return len(h.indexes) }
func (h *stepHeap) Swap(i, j int) { h.indexes[i], h.indexes[j] = h.indexes[j], h.indexes[i] }
func (h *stepHeap) Push(x any) {
	i, _ := x.(int)
	h.indexes = append(h.indexes, i)
}

func (h *stepHeap) Less(i, j int) bool {
	a, b := &h.steps[h.indexes[i]], &h.steps[h.indexes[j]]

	return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(b.Work, a.Work), cmp.Compare(h.indexes[j], h.indexes[i])) < 0
}

func (h *stepHeap) Pop() any {
	last := len(h.indexes) - 1
	i := h.indexes[last]
	h.indexes = h.indexes[:last]

	return i
}

// bySlack orders steps by urgency, priority and slack.
func (o *order) bySlack(indexes []int) {
	slices.SortFunc(indexes, func(i, j int) int {
		a, b := &o.steps[i], &o.steps[j]

		return cmp.Or(
			cmp.Compare(a.Urgency, b.Urgency), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Slack, b.Slack), cmp.Compare(i, j),
		)
	})
}
