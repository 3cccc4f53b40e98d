package estate

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/load"
	"lycheehook.example/lycheehook/pause"
	"lycheehook.example/lycheehook/standin"
)

const (
	loadDuration  = 3 * time.Second
	loadTimeout   = 8 * time.Second
	outage        = 5 * time.Second
	leavingSettle = 3 * time.Second
	// inProgressTime is how long requests remain in progress after the stop has begun.
	inProgressTime = 1500 * time.Millisecond
	// startLimit is the timeout for requests to be in progress on endpoints.
	startLimit     = 10 * time.Second
	startPoll      = 5 * time.Millisecond
	inProgressWork = 6
)

func (e *Estate) checkPrepare(ctx context.Context) (string, error) {
	if err := e.Prepare(ctx); err != nil {
		return "", err
	}

	return fmt.Sprintf("%d teams on %d entry hosts", len(e.Keys), len(e.Entries())), nil
}

// Streams returns a stream for each team on its first queue, with bursts that don't coincide.
func (e *Estate) Streams(rate float64) []load.Stream {
	var streams []load.Stream
	for i, t := range e.Sample.Lists.Teams() {
		streams = append(streams, load.Stream{
			Team: t.Name, Secret: e.Keys[t.Name], Queue: e.queueOf(t), Share: t.Share, Rate: rate, BodySize: 512, Idempotent: 0.5,
			Turns: load.Turns{Burst: time.Second, BurstFactor: 5, LullFactor: 0.05, Offset: time.Duration(i) * time.Second},
		})
	}

	return streams
}

// runLoad sends load to all entry hosts and verifies the responses against the run counts of the endpoints.
func (e *Estate) runLoad(ctx context.Context, streams []load.Stream, d time.Duration) (load.Report, error) {
	l, err := load.New(
		load.WithTargets(e.CallerAddresses()...), load.WithEndpoints(e.EndpointAddresses()...),
		load.WithStreams(streams...), load.WithDuration(d), load.WithTimeout(loadTimeout),
	)
	if err != nil {
		return load.Report{}, err
	}

	return l.Run(ctx)
}

func (e *Estate) checkFullFleet(ctx context.Context) (string, error) {
	report, err := e.runLoad(ctx, e.Streams(400)[:2], loadDuration)
	if err != nil {
		return "", err
	}

	return summarise(report)
}

// summarise returns a summary of a report, or an error if no request succeeded.
func summarise(r load.Report) (string, error) {
	sent, done, notRun, unknown := 0, 0, 0, 0
	for _, t := range r.Teams {
		sent += t.Sent
		done += t.Outcomes[load.Done]
		notRun += t.Outcomes[load.NotRun]
		unknown += t.Outcomes[load.Unknown]
	}
	saw := strings.TrimSpace(fmt.Sprintf("%d sent, %d done, %d refused as not run, %d unknown %s", sent, done, notRun, unknown, r.Refusals()))
	if done == 0 {
		return "", merry.Prepend(ErrGuaranteeViolated, saw)
	}

	return saw, nil
}

func (e *Estate) checkWrongKey(ctx context.Context) (string, error) {
	t := e.Sample.Lists.Teams()[0]
	for _, s := range e.Entries() {
		a, err := e.work(ctx, s, e.queueOf(t), "lh.wrong.key", "wrong")
		if err != nil {
			return "", err
		}
		if a.status != http.StatusUnauthorized {
			return "", merry.Prependf(ErrGuaranteeViolated, "%s answers %d %s", s.Name, a.status, a.body)
		}
	}

	return fmt.Sprintf("status %d on every entry host", http.StatusUnauthorized), nil
}

func (e *Estate) checkEdit(ctx context.Context) (string, error) {
	entries := e.Entries()
	t := e.Sample.Lists.Teams()[0]
	q := e.queueOf(t)

	edited := e.Sample.Lists
	edited.Plans = append([]fleet.Plan(nil), edited.Plans...)
	for i, p := range edited.Plans {
		if p.Name == t.Plan {
			edited.Plans[i].Queues = p.Queues[1:]
		}
	}
	if err := e.applyLists(ctx, entries[0], edited); err != nil {
		return "", err
	}
	began := time.Now()
	for _, s := range entries {
		if err := e.awaitStatus(ctx, s, q, e.Keys[t.Name], http.StatusForbidden, inForceLimit); err != nil {
			return "", err
		}
	}
	took := time.Since(began)

	if err := e.applyLists(ctx, entries[0], e.Sample.Lists); err != nil {
		return "", err
	}
	for _, s := range entries {
		if err := e.awaitStatus(ctx, s, q, e.Keys[t.Name], http.StatusOK, inForceLimit); err != nil {
			return "", err
		}
	}

	return fmt.Sprintf("in force everywhere %d ms after it was accepted", took.Milliseconds()), nil
}

func (e *Estate) checkWithdrawnKey(ctx context.Context) (string, error) {
	entries := e.Entries()
	t := e.Sample.Lists.Teams()[0]
	k, err := e.issueKey(ctx, entries[0], t.Name)
	if err != nil {
		return "", err
	}
	for _, s := range entries {
		if err := e.awaitStatus(ctx, s, e.queueOf(t), k.Secret, http.StatusOK, inForceLimit); err != nil {
			return "", err
		}
	}

	a, err := e.operate(ctx, entries[len(entries)-1], http.MethodDelete, operatorKeys+"/"+string(k.ID), nil)
	if err != nil || a.status != http.StatusOK {
		return "", merry.Prependf(ErrGuaranteeViolated, "key not withdrawn: %d %s %v", a.status, a.body, err)
	}
	began := time.Now()
	for _, s := range entries {
		if err := e.awaitStatus(ctx, s, e.queueOf(t), k.Secret, http.StatusUnauthorized, inForceLimit); err != nil {
			return "", err
		}
	}

	return fmt.Sprintf("refused everywhere %d ms after it was withdrawn", time.Since(began).Milliseconds()), nil
}

// checkLeaving checks that an endpoint that is marked as leaving gets no requests.
func (e *Estate) checkLeaving(ctx context.Context) (string, error) {
	leaving := e.Sample.Endpoints[0]
	e.Platform.PutEndpoint(leaving.WithLeaving(true))
	defer e.Platform.PutEndpoint(leaving)
	time.Sleep(leavingSettle)

	before := e.Endpoints[0].Total()
	report, err := e.runLoad(ctx, e.Streams(50), time.Second)
	if err != nil {
		return "", err
	}
	if after := e.Endpoints[0].Total(); after != before {
		return "", merry.Prependf(ErrGuaranteeViolated, "endpoint %s got %d requests while leaving", leaving.Name, after-before)
	}

	return summarise(report)
}

// awaitRunning waits until the given number of requests are in progress on the endpoints.
func (e *Estate) awaitRunning(ctx context.Context, requests int) error {
	deadline := time.Now().Add(startLimit)
	for {
		running := 0
		for _, ep := range e.Endpoints {
			running += ep.Running()
		}
		if running >= requests {
			return nil
		}
		if time.Now().After(deadline) || !pause.For(ctx, startPoll) {
			return merry.Prependf(ErrGuaranteeViolated, "%d of %d requests are in progress after %s", running, requests, startLimit)
		}
	}
}

// checkGracefulStop checks that an entry host which is stopped completes the requests in progress.
func (e *Estate) checkGracefulStop(ctx context.Context) (string, error) {
	s := e.Entries()[0]
	t := e.Sample.Lists.Teams()[0]
	release := e.holdRequests()
	defer release()

	var whole atomic.Int64
	var wg sync.WaitGroup
	for range inProgressWork {
		wg.Go(func() {
			a, err := e.work(ctx, s, e.queueOf(t), e.Keys[t.Name], "in progress")
			if err == nil && a.status == http.StatusOK {
				whole.Add(1)
			}
		})
	}
	if err := e.awaitRunning(ctx, inProgressWork); err != nil {
		return "", err
	}
	time.AfterFunc(inProgressTime, release)
	e.StopEntry()
	wg.Wait()
	if whole.Load() != inProgressWork {
		return "", merry.Prependf(ErrGuaranteeViolated, "%d of %d requests in progress were answered", whole.Load(), inProgressWork)
	}
	if _, err := e.AddEntry(ctx); err != nil {
		return "", err
	}

	return fmt.Sprintf("%d requests in progress were answered, then the entry host left and was replaced", inProgressWork), nil
}

func (e *Estate) checkStoreOutage(ctx context.Context) (string, error) {
	time.AfterFunc(loadDuration/3, func() { e.Store.SetFault(standin.FaultDown) })
	time.AfterFunc(loadDuration/3+outage, func() { e.Store.SetFault(standin.FaultNone) })
	report, err := e.runLoad(ctx, e.Streams(100), loadDuration+outage)
	if err != nil {
		return "", err
	}

	t := e.Sample.Lists.Teams()[0]
	for _, s := range e.Entries() {
		if err := e.awaitStatus(ctx, s, e.queueOf(t), e.Keys[t.Name], http.StatusOK, prepareLimit); err != nil {
			return "", err
		}
	}

	return summarise(report)
}

// holdRequests blocks requests at all endpoints until release is called.
func (e *Estate) holdRequests() (release func()) {
	hold := make(chan struct{})
	for _, ep := range e.Endpoints {
		ep.SetHold(hold)
	}

	return sync.OnceFunc(func() {
		for _, ep := range e.Endpoints {
			ep.SetHold(nil)
		}
		close(hold)
	})
}
