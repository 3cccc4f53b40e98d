package manager

import (
	"context"
	"errors"
	"slices"
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
	// rosterWatchWait is the maximum wait of a watch of the workers; a connection that stopped responding is noticed only
	// after it.
	rosterWatchWait = time.Second
	// rosterWatchDelay is the delay between watches. It lets heartbeats accumulate, because the store counts each call.
	rosterWatchDelay = 300 * time.Millisecond
)

// watchRoster returns a function that watches the registrations of workers and calls notify with each change until its
// context ends.
func watchRoster(c *store.Client, l *log.Logger) func(ctx context.Context, notify func(dispatch.Roster)) {
	return func(ctx context.Context, notify func(dispatch.Roster)) {
		var after uint64
		for ctx.Err() == nil {
			if after == 0 {
				after = readRoster(ctx, c, l, notify)
				continue
			}
			ev, err := c.Watch(ctx, platform.RegistrationPrefix, after, rosterWatchWait)
			switch {
			case errors.Is(err, store.ErrCompacted):
				after = 0
			case err != nil:
				l.Warn("failed to watch the worker registrations", "error", err)
				pause.For(ctx, retryDelay)
			case len(ev.Events) > 0:
				notify(rosterOf(ev.Events, l))
				after = ev.Revision
				pause.For(ctx, rosterWatchDelay)
			}
		}
	}
}

// readRoster calls notify with all workers and returns the revision to watch from, or zero after a failure.
func readRoster(ctx context.Context, c *store.Client, l *log.Logger, notify func(dispatch.Roster)) uint64 {
	list, err := c.List(ctx, platform.RegistrationPrefix)
	if err != nil {
		l.Warn("failed to list the worker registrations", "error", err)
		pause.For(ctx, retryDelay)

		return 0
	}
	events := make([]store.Event, 0, len(list.Records))
	for _, r := range list.Records {
		events = append(events, store.Event{Record: r})
	}
	r := rosterOf(events, l)
	r.Whole = true
	notify(r)

	return list.Revision
}

// rosterOf returns what became of the workers by some changes. Registrations that were removed later are kept, since they tell
// whether the worker announced its end.
func rosterOf(events []store.Event, l *log.Logger) dispatch.Roster {
	var r dispatch.Roster
	for _, ev := range events {
		key := ev.Record.Key
		id := work.WorkerID(strings.TrimPrefix(key, platform.RegistrationPrefix))
		if ev.Deleted {
			r.Gone = append(r.Gone, id)
			continue
		}
		reg, err := platform.DecodeRegistration(key, ev.Record.Value)
		if err != nil {
			// Records of other writers under this prefix do not identify usable workers.
			l.Debug("ignoring malformed worker registration", "error", err)
			continue
		}
		r.Present = append(r.Present, reg)
		r.Gone = slices.DeleteFunc(r.Gone, func(gone work.WorkerID) bool { return gone == id })
	}

	return r
}
