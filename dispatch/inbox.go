package dispatch

import (
	"sync"

	"lycheehook.example/lycheehook/work"
)

// inbox keeps jobs until there is someone to take them.
type inbox struct {
	mu      sync.Mutex
	waiting []arrival
	tell    func(j work.Job, revision uint64)
}

type arrival struct {
	job      work.Job
	revision uint64
}

func (i *inbox) put(j work.Job, revision uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.tell != nil {
		i.tell(j, revision)
		return
	}
	i.waiting = append(i.waiting, arrival{j, revision})
}

func (i *inbox) deliver(tell func(j work.Job, revision uint64)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, a := range i.waiting {
		tell(a.job, a.revision)
	}
	i.waiting, i.tell = nil, tell
}
