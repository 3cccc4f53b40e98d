package dispatch

import (
	"sync"

	"lycheehook.example/lycheehook/work"
)

// jobBuffer buffers jobs until the scheduler is ready to receive them.
type jobBuffer struct {
	mu       sync.Mutex
	buffered []bufferedJob
	forward  func(j work.Job, revision uint64)
}

type bufferedJob struct {
	job      work.Job
	revision uint64
}

func (b *jobBuffer) add(j work.Job, revision uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.forward != nil {
		b.forward(j, revision)
		return
	}
	b.buffered = append(b.buffered, bufferedJob{j, revision})
}

func (b *jobBuffer) forwardTo(forward func(j work.Job, revision uint64)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, a := range b.buffered {
		forward(a.job, a.revision)
	}
	b.buffered, b.forward = nil, forward
}
