package ledger_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/standin"
	"lycheehook.example/lycheehook/store"
)

// Guards against a follower that learns of changes of the owner and of the entry hosts only when a full read has ended, or
// forgets them then, and against one that reads the entry hosts without a pause meanwhile.
func TestHostsDuringFullRead(t *testing.T) {
	tests := []struct {
		name  string
		fails bool
	}{
		{"long read", false},
		{"failing reads", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := standin.NewStore().Client()
				put(t, c, ledger.OwnerKey, ledger.Owner{Host: "e1"})
				var lists atomic.Int64
				slow := *c
				slow.List = func(ctx context.Context, prefix string) (store.Listing, error) {
					if prefix != ledger.Prefix {
						lists.Add(1)
						return c.List(ctx, prefix)
					}
					if tt.fails {
						return store.Listing{}, store.ErrUnavailable
					}
					l, err := c.List(ctx, prefix)
					time.Sleep(9 * time.Second)

					return l, err
				}
				slow.Watch = func(ctx context.Context, prefix string, after uint64, wait time.Duration) (store.Events, error) {
					time.Sleep(300 * time.Millisecond)

					return c.Watch(ctx, prefix, after, wait)
				}
				f := ledger.NewFollower(&slow, log.New(io.Discard))
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() { defer close(done); f.Run(ctx) }()
				time.Sleep(2 * time.Second)
				put(t, c, ledger.HostPrefix+"e2", ledger.Host{Name: "e2", PeerAddress: "e2:1"})
				put(t, c, ledger.OwnerKey, ledger.Owner{Host: "e2"})
				time.Sleep(500 * time.Millisecond)
				for range 80 {
					if o, _ := f.Replica().Owner(); o.Host != "e2" || len(f.Replica().Hosts()) != 1 {
						t.Errorf("got owner %v and hosts %v", o, f.Replica().Hosts())
						break
					}
					time.Sleep(100 * time.Millisecond)
				}
				if n := lists.Load(); n > 60 {
					t.Errorf("the hosts were read %d times in ten seconds", n)
				}
				cancel()
				<-done
			})
		})
	}
}
