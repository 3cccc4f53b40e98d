package manager

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/dispatch"
	"lycheehook.example/lycheehook/pause"
	"lycheehook.example/lycheehook/platform"
	"lycheehook.example/lycheehook/store"
	"lycheehook.example/lycheehook/work"
)

const (
	// rosterWait is how long a watch may be held back; a connection that has gone silent is noticed only after it.
	rosterWait = time.Second
	// rosterPause between watches lets heartbeats gather, since the store counts each call.
	rosterPause = 300 * time.Millisecond
)

// followRoster returns a function that tells of the registered workers until its context ends.
func followRoster(c *store.Client, l *log.Logger) func(ctx context.Context, tell func(dispatch.Roster)) {
	return func(ctx context.Context, tell func(dispatch.Roster)) {
		var after uint64
		for ctx.Err() == nil {
			if after == 0 {
				after = readRoster(ctx, c, l, tell)
				continue
			}
			ev, err := c.Watch(ctx, platform.RegistrationPrefix, after, rosterWait)
			switch {
			case errors.Is(err, store.ErrCompacted):
				after = 0
			case err != nil:
				l.Warn("watch of the workers failed", "error", err)
				pause.For(ctx, retryPause)
			case len(ev.Events) > 0:
				tell(rosterOf(ev.Events, l))
				after = ev.Revision
				pause.For(ctx, rosterPause)
			}
		}
	}
}

// readRoster tells of all workers and returns the revision from which to follow; zero after a failure.
func readRoster(ctx context.Context, c *store.Client, l *log.Logger, tell func(dispatch.Roster)) uint64 {
	list, err := c.List(ctx, platform.RegistrationPrefix)
	if err != nil {
		l.Warn("read of the workers failed", "error", err)
		pause.For(ctx, retryPause)

		return 0
	}
	events := make([]store.Event, 0, len(list.Records))
	for _, r := range list.Records {
		events = append(events, store.Event{Record: r})
	}
	r := rosterOf(events, l)
	r.Whole = true
	tell(r)

	return list.Revision
}

func rosterOf(events []store.Event, l *log.Logger) dispatch.Roster {
	var r dispatch.Roster
	for _, ev := range events {
		key := ev.Record.Key
		if ev.Deleted {
			r.Gone = append(r.Gone, work.WorkerID(strings.TrimPrefix(key, platform.RegistrationPrefix)))
			continue
		}
		reg, err := platform.DecodeRegistration(key, ev.Record.Value)
		if err != nil {
			// An entry of another writer names no worker to use.
			l.Debug("registration passed over", "error", err)
			continue
		}
		r.Present = append(r.Present, reg)
	}

	return r
}
