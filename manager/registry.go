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
	// registryListInterval is the time between two lists of all workers, since a watch may miss changes.
	registryListInterval = 15 * time.Second
	// registryWatchDelay is the delay between watches. It lets heartbeats accumulate, because the store counts each call.
	registryWatchDelay = 300 * time.Millisecond
)

// watchRegistry returns a function that watches the registrations of workers and calls notify with each change until its
// context ends. It calls onMalformed for each entry that does not describe a usable worker, once until that changes.
func watchRegistry(c *store.Client, l *log.Logger, onMalformed func()) func(ctx context.Context, notify func(dispatch.RegistryChange)) {
	return func(ctx context.Context, notify func(dispatch.RegistryChange)) {
		reader := newRegistryReader(l, onMalformed)
		apply := func(u store.Update) error {
			notify(reader.read(u))
			return nil
		}
		store.NewReflector(
			c, platform.RegistrationPrefix, l, apply, store.WithListInterval(registryListInterval), store.WithWatchDelay(registryWatchDelay),
		).Run(ctx)
	}
}

// registryReader reads changes of the registrations. Entries may come from other writers; those that do not describe a usable
// worker are named once.
type registryReader struct {
	log         *log.Logger
	onMalformed func()
	// malformed has the workers whose entries are known to be malformed.
	malformed map[work.WorkerID]bool
}

func newRegistryReader(l *log.Logger, onMalformed func()) *registryReader {
	return &registryReader{log: l, onMalformed: onMalformed, malformed: map[work.WorkerID]bool{}}
}

// read returns what became of the workers by an update. Registrations that were removed later are kept, since they tell
// whether the worker announced its end.
func (m *registryReader) read(u store.Update) dispatch.RegistryChange {
	r := dispatch.RegistryChange{Full: u.Full}
	known := m.malformed
	if u.Full {
		m.malformed = map[work.WorkerID]bool{}
	}
	for _, ev := range u.Events {
		key := ev.Record.Key
		id := work.WorkerID(strings.TrimPrefix(key, platform.RegistrationPrefix))
		if ev.Deleted {
			delete(m.malformed, id)
			r.Deregistered = append(r.Deregistered, id)
			continue
		}
		reg, err := platform.DecodeRegistration(key, ev.Record.Value)
		if err != nil {
			m.noteMalformed(id, err, known[id])
			r.Unreadable = append(r.Unreadable, id)
			continue
		}
		delete(m.malformed, id)
		r.Registered = append(r.Registered, reg)
		r.Deregistered = slices.DeleteFunc(r.Deregistered, func(gone work.WorkerID) bool { return gone == id })
	}

	return r
}

func (m *registryReader) noteMalformed(id work.WorkerID, err error, known bool) {
	m.malformed[id] = true
	if known {
		return
	}
	m.onMalformed()
	m.log.Warn("ignoring malformed worker registration", "worker", id, "error", err)
}
