package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"lycheehook.example/lycheehook/load"
)

// totals is the sums and extremes of a report over its teams.
type totals struct {
	sent, done, notRun, unknown int
	worstP50, worstP99          time.Duration
	worstShare                  float64
}

// WriteMarkdown writes a table with a row for each result; the first result is the baseline of the latency ratio.
func WriteMarkdown(w io.Writer, results []Result) error {
	tw := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	_, _ = fmt.Fprintln(tw, "| Set-up\t| Sent\t| Done\t| Not run\t| Unknown\t| Worst p50\t| Worst p99\t| p99 to first\t"+
		"| Worst share of due\t| Store calls per 1,000 sent\t| Doubled, lost, false not run, mixed, cut\t|")
	_, _ = fmt.Fprintln(tw, "| ---\t| ---:\t| ---:\t| ---:\t| ---:\t| ---:\t| ---:\t| ---:\t| ---:\t| ---:\t| ---\t|")

	var first totals
	for i, r := range results {
		t := sum(r.Report)
		if i == 0 {
			first = t
		}
		v := r.Report.Verdicts
		_, _ = fmt.Fprintf(tw, "| %s\t| %d\t| %d\t| %d\t| %d\t| %v\t| %v\t| %.1f\t| %.2f\t| %.0f\t| %d, %d, %d, %d, %d\t|\n",
			r.SetUp, t.sent, t.done, t.notRun, t.unknown, t.worstP50, t.worstP99, ratio(t.worstP99, first.worstP99), t.worstShare,
			1000*float64(r.StoreCalls)/float64(max(t.sent, 1)), v.Doubled, v.Lost, v.FalseNotRun, v.Mixed, v.Cut)
	}

	return tw.Flush()
}

func sum(r load.Report) totals {
	t := totals{worstShare: 1}
	for _, team := range r.Teams {
		t.sent += team.Sent
		t.done += team.Outcomes[load.Done]
		t.notRun += team.Outcomes[load.NotRun]
		t.unknown += team.Outcomes[load.Unknown]
		t.worstP50 = max(t.worstP50, team.Latency.P50.Std().Round(10*time.Microsecond))
		t.worstP99 = max(t.worstP99, team.Latency.P99.Std().Round(10*time.Microsecond))
		t.worstShare = min(t.worstShare, fractionOfFair(team))
	}

	return t
}

// fractionOfFair returns a team's completed requests as a fraction of its fair share over the whole run, at most 1.
func fractionOfFair(t load.TeamReport) float64 {
	got, fair := 0.0, 0.0
	for _, w := range t.Windows {
		got += float64(w.Done)
		fair += w.Due
	}
	if fair == 0 {
		return 1
	}

	return min(got/fair, 1)
}

func ratio(a, b time.Duration) float64 {
	if b == 0 {
		return 0
	}

	return float64(a) / float64(b)
}
