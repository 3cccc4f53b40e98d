package manager

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/charmbracelet/log"

	"lycheehook.example/lycheehook/dispatch"
	"lycheehook.example/lycheehook/platform"
	"lycheehook.example/lycheehook/store"
	"lycheehook.example/lycheehook/work"
)

const (
	// rosterListInterval is the time between two lists of all workers, since a watch may miss changes.
	rosterListInterval = 15 * time.Second
	// rosterWatchDelay is the delay between watches. It lets heartbeats accumulate, because the store counts each call.
	rosterWatchDelay = 300 * time.Millisecond
)

// watchRoster returns a function that watches the registrations of workers and calls notify with each change until its
// context ends.
func watchRoster(c *store.Client, l *log.Logger) func(ctx context.Context, notify func(dispatch.Roster)) {
	return func(ctx context.Context, notify func(dispatch.Roster)) {
		apply := func(u store.Update) error {
			r := rosterOf(u.Events, l)
			r.Whole = u.Full
			notify(r)

			return nil
		}
		store.NewReflector(
			c, platform.RegistrationPrefix, l, apply, store.WithListInterval(rosterListInterval), store.WithWatchDelay(rosterWatchDelay),
		).Run(ctx)
	}
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
