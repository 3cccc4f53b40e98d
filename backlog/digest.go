package backlog

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lycheehook.example/lycheehook/fleet"
)

const (
	// minWait is the least wait that a digest has. No target is so short that a shorter one matters.
	minWait = time.Second
	// maxEntries and maxLevels bound the size of a digest to about 3 kB, which at four a second is below 1% of a link of 10 Mbit/s.
	maxEntries = 24
	maxLevels  = 4
)

// Digest has the waits of the workspaces with a backlog that new jobs have to wait for; others need not wait.
type Digest struct {
	Entries []Entry `cbor:"1,keyasint,omitempty"`
}

// Entry is the backlog of a workspace in a pool at one priority.
type Entry struct {
	_         struct{} `cbor:",toarray"`
	Pool      fleet.PoolName
	Workspace fleet.WorkspaceName
	Priority  int
	// Capacity is that of the pool.
	Capacity fleet.Resources
	// Levels have the waits by the size of a job, smallest first.
	Levels []Level
}

// Level is the expected wait of a job whose work is at least Work, in seconds of the whole pool.
type Level struct {
	_                  struct{} `cbor:",toarray"`
	Work               float64
	WaitInMilliseconds uint32
}

// Wait returns the expected wait of the level.
func (l Level) Wait() time.Duration { return time.Duration(l.WaitInMilliseconds) * time.Millisecond }

// Step is a step that waits and goes before a new job of the same size or more.
type Step struct {
	Workspace fleet.WorkspaceName
	Priority  int
	// Work is the work that is left of its job, in seconds of the whole pool.
	Work float64
}

// Of returns the entries for one pool with the steps that wait there, the shares of the pool that workspaces hold, and their weights.
func Of(
	pool fleet.PoolName, capacity fleet.Resources, steps []Step, shares map[fleet.WorkspaceName]float64, weight func(fleet.WorkspaceName) float64,
) []Entry {
	type key struct {
		workspace fleet.WorkspaceName
		priority  int
	}
	works := map[key][]float64{}
	holdings := map[fleet.WorkspaceName]holding{}
	for ws, share := range shares {
		holdings[ws] = holding{share: share, weight: weight(ws)}
	}
	for _, s := range steps {
		k := key{s.Workspace, s.Priority}
		works[k] = append(works[k], s.Work)
		holdings[s.Workspace] = holding{share: shares[s.Workspace], weight: weight(s.Workspace), waits: true}
	}
	var list []Entry
	for k, w := range works {
		levels := levelsOf(w, rate(k.workspace, holdings))
		if len(levels) > 0 {
			list = append(list, Entry{Pool: pool, Workspace: k.workspace, Priority: k.priority, Capacity: capacity, Levels: levels})
		}
	}

	return list
}

// holding is what a workspace holds of a pool, its weight, and whether steps of it wait.
type holding struct {
	share, weight float64
	waits         bool
}

// NewDigest returns a digest of the entries with the longest waits.
func NewDigest(entries []Entry) Digest {
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(
			cmp.Compare(b.longest(), a.longest()), cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Priority, b.Priority),
		)
	})

	return Digest{Entries: entries[:min(len(entries), maxEntries)]}
}

// longest returns the longest wait of an entry.
func (e Entry) longest() time.Duration { return e.Levels[len(e.Levels)-1].Wait() }

// rate returns the largest part of the pool that a workspace may get for its backlog: what it is due by weight, or all that others don't
// take if that is more. Others take what they are due if they have a backlog, and else at most what they hold.
func rate(ws fleet.WorkspaceName, holdings map[fleet.WorkspaceName]holding) float64 {
	sum := 0.0
	for _, h := range holdings {
		sum += h.weight
	}
	free := 1.0
	for name, h := range holdings {
		due := h.weight / sum
		switch {
		case name == ws:
		case h.waits:
			free -= due
		default:
			free -= min(due, h.share)
		}
	}

	return max(free, holdings[ws].weight/sum)
}

// levelsOf returns the levels of a backlog that is worked off at a rate: a job waits for all smaller ones.
func levelsOf(works []float64, rate float64) []Level {
	slices.Sort(works)
	ahead := make([]float64, len(works)+1)
	for i, w := range works {
		ahead[i+1] = ahead[i] + w
	}
	var levels []Level
	for n := 1; n <= maxLevels; n++ {
		last := n*len(works)/maxLevels - 1
		if last < 0 {
			continue
		}
		wait := ahead[last+1] / rate
		if wait >= minWait.Seconds() {
			ms := min(wait*1000, math.MaxUint32)
			levels = append(levels, Level{Work: works[last], WaitInMilliseconds: uint32(ms)})
		}
	}

	return levels
}
