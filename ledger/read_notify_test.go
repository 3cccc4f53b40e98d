package ledger_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"

	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/standin"
	"lycheehook.example/lycheehook/store"
	"lycheehook.example/lycheehook/work"
)

// A process that accepted jobs while it told its dispatcher of the jobs of a full read could end with "concurrent map iteration
// and map write".
func TestJobAcceptedDuringFullRead(t *testing.T) {
	const jobs = 300
	c := standin.NewStore().Client()
	for i := range jobs {
		putJob(t, c, fleet.JobID(fmt.Sprintf("old%03d", i)))
	}
	f := ledger.NewFollower(c, log.New(io.Discard))
	ctx, cancel := context.WithCancel(t.Context())
	told, accepted := make(chan struct{}), make(chan struct{})
	f.OnJob(func(work.Job, uint64) {
		select {
		case told <- struct{}{}:
		case <-accepted:
		}
	})
	var running sync.WaitGroup
	running.Go(func() { f.Run(ctx) })
	for i := range jobs / 2 {
		<-told
		id := fleet.JobID(fmt.Sprintf("new%03d", i))
		value, err := ledger.Encode(sampleJob(id))
		if err != nil {
			t.Error(err)
		}
		go f.Learn(store.Record{Key: ledger.JobKey(id), Value: value, Revision: uint64(1000 + i)})
	}
	close(accepted)
	cancel()
	running.Wait()
}
