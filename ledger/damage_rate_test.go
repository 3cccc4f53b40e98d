package ledger_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/standin"
)

// Guards against a host that follows the log and reads the whole ledger more often than every five seconds while a batch is damaged,
// and against an owner that starts with a damaged log and does not learn of it.
func TestFullReadsOfDamagedLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := standin.NewStore().Client()
		putBatch(t, c, ledger.Batch{Number: 0})
		reads := 0
		counting := countReads(c, &reads)
		f := ledger.NewFollower(counting, log.New(io.Discard))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		time.Sleep(time.Second)
		putDamaged(t, c, 1)
		time.Sleep(time.Second)
		before := reads
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			put(t, c, ledger.OwnerKey, ledger.Owner{Host: "e1"})
		}
		check(t, "at most one full read in five seconds", true, reads-before <= 4)
		cancel()
		<-done

		f = ledger.NewFollower(c, log.New(io.Discard))
		ctx, cancel = context.WithCancel(t.Context())
		done = make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		time.Sleep(time.Second)
		n, damaged := f.Damaged()
		check(t, "damaged after a failed first read", true, damaged)
		check(t, "number of the damaged batch", uint64(1), n)
		cancel()
		<-done
	})
}
