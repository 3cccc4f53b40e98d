package manager

import (
	"context"
	"sync"
)

// compete competes for terms until ctx ends, and then gives up the lease at once: while callers' requests are completed, the other
// hosts must not wait for this one to take the workers. The lease is kept until background ends at the latest.
func (m *Manager) compete(ctx, background context.Context) {
	keeping, stop := context.WithCancel(background)
	var wg sync.WaitGroup
	wg.Go(func() { m.session.Run(keeping) })
	m.candidate.Run(ctx, m.serveTerm)
	stop()
	wg.Wait()
	m.session.Leave(background)
}
