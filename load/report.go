package load

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/refusal"
)

// Verdicts counts the requests that violated a guarantee.
type Verdicts struct {
	// Doubled ran more than once although they were not idempotent.
	Doubled int
	// Lost were reported as done but never ran.
	Lost int
	// FalseNotRun were reported as not run but ran.
	FalseNotRun int
	// Mixed got the response of another request.
	Mixed int
	// Cut got a truncated response without an error.
	Cut int
	// Audited means that the outcomes were compared with the run counts of the endpoints.
	Audited bool
}

// Latency is the percentiles of the time from the intended start to the complete response.
type Latency struct {
	P50, P90, P99, P999, Max fleet.Duration
}

// Window is the results of a team in one window of the run.
type Window struct {
	Sent, Done, NotRun, Unknown int
	MeanLatency                 fleet.Duration
	MaxLatency                  fleet.Duration
	// Due is the team's fair share of all requests completed in the window.
	Due float64
}

// TeamReport is the results of a team over the whole run.
type TeamReport struct {
	Team     fleet.TeamName
	Share    int64
	Sent     int
	Skipped  int
	Outcomes map[Outcome]int
	Refusals map[refusal.Code]int
	Latency  Latency
	Windows  []Window
}

// Report is the results of a run.
type Report struct {
	Window   fleet.Duration
	Teams    []TeamReport
	Verdicts Verdicts
}

// Broken returns ErrBroken if any guarantee was violated.
func (r Report) Broken() error {
	v := r.Verdicts
	if v.Doubled+v.Lost+v.FalseNotRun+v.Mixed+v.Cut == 0 {
		return nil
	}

	return merry.Prependf(ErrBroken, "doubled %d, lost %d, false not run %d, mixed %d, cut %d",
		v.Doubled, v.Lost, v.FalseNotRun, v.Mixed, v.Cut)
}

// report summarises the run. runCounts is how often each request ID ran, or nil if that is unknown.
func (r *recorder) report(runCounts map[string]int) Report {
	r.mu.Lock()
	defer r.mu.Unlock()

	rep := Report{Window: fleet.Duration(r.window), Verdicts: r.verdicts(runCounts)}
	for i, t := range r.counts {
		rep.Teams = append(rep.Teams, TeamReport{
			Team: r.streams[i].Team, Share: r.streams[i].Share, Sent: t.sent, Skipped: t.skipped,
			Outcomes: t.outcomes, Refusals: t.codes,
			Latency: Latency{
				P50:  fleet.Duration(t.latency.ValueAtQuantile(50)),
				P90:  fleet.Duration(t.latency.ValueAtQuantile(90)),
				P99:  fleet.Duration(t.latency.ValueAtQuantile(99)),
				P999: fleet.Duration(t.latency.ValueAtQuantile(99.9)),
				Max:  fleet.Duration(t.latency.Max()),
			},
			Windows: summarise(t.windows),
		})
	}
	rep.computeFairShares()

	return rep
}

func summarise(counts []windowCounts) []Window {
	ws := make([]Window, len(counts))
	for i, c := range counts {
		ws[i] = Window{Sent: c.sent, Done: c.done, NotRun: c.notRun, Unknown: c.unknown, MaxLatency: fleet.Duration(c.latencyMax)}
		if c.done > 0 {
			ws[i].MeanLatency = fleet.Duration(c.latencySum / time.Duration(c.done))
		}
	}

	return ws
}

// verdicts compares the outcomes of requests with how often the endpoints ran them.
func (r *recorder) verdicts(runCounts map[string]int) Verdicts {
	v := Verdicts{Audited: runCounts != nil}
	for _, t := range r.counts {
		v.Mixed += t.outcomes[Mixed]
		v.Cut += t.outcomes[Cut]
	}
	if runCounts == nil {
		return v
	}

	for id, t := range r.observations {
		switch {
		case runCounts[id] > 1 && !t.idempotent:
			v.Doubled++
		case runCounts[id] == 0 && t.outcome == Done:
			v.Lost++
		case runCounts[id] > 0 && t.outcome == NotRun:
			v.FalseNotRun++
		}
	}

	return v
}

// computeFairShares sets each team's fair share of the requests completed in each window.
func (r *Report) computeFairShares() {
	longest := 0
	for _, t := range r.Teams {
		longest = max(longest, len(t.Windows))
	}
	for w := range longest {
		demand, weight, done := make([]float64, len(r.Teams)), make([]float64, len(r.Teams)), 0.0
		for i, t := range r.Teams {
			weight[i] = float64(t.Share)
			if w < len(t.Windows) {
				demand[i] = float64(max(t.Windows[w].Sent, t.Windows[w].Done))
				done += float64(t.Windows[w].Done)
			}
		}
		for i, d := range maxMinFair(done, demand, weight) {
			if w < len(r.Teams[i].Windows) {
				r.Teams[i].Windows[w].Due = d
			}
		}
	}
}

// WriteText writes the report as a human-readable table.
func (r Report) WriteText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "TEAM\tSHARE\tSENT\tDONE\tNOT RUN\tUNKNOWN\tP50\tP99\tMAX\tREFUSALS")
	for _, t := range r.Teams {
		_, _ = fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\n", t.Team, t.Share, t.Sent,
			t.Outcomes[Done], t.Outcomes[NotRun], t.Outcomes[Unknown],
			round(t.Latency.P50), round(t.Latency.P99), round(t.Latency.Max), refusals(t.Refusals))
	}
	if err := tw.Flush(); err != nil {
		return err
	}

	v := r.Verdicts
	_, err := fmt.Fprintf(w, "doubled %d, lost %d, false not run %d, mixed %d, cut %d (run counts checked: %t)\n",
		v.Doubled, v.Lost, v.FalseNotRun, v.Mixed, v.Cut, v.Audited)

	return err
}

// Refusals returns the number of refusals by code over all teams, sorted by code.
func (r Report) Refusals() string {
	all := map[refusal.Code]int{}
	for _, t := range r.Teams {
		for code, n := range t.Refusals {
			all[code] += n
		}
	}

	return refusals(all)
}

func round(d fleet.Duration) time.Duration {
	return d.Std().Round(10 * time.Microsecond)
}

func refusals(codes map[refusal.Code]int) string {
	parts := make([]string, 0, len(codes))
	for code, n := range codes {
		parts = append(parts, fmt.Sprintf("%s=%d", code, n))
	}
	slices.Sort(parts)

	return strings.Join(parts, " ")
}
