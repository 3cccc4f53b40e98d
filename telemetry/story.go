package telemetry

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-logfmt/logfmt"
)

// maxLine is the maximum length of a log line, in bytes.
const maxLine = 1 << 20

// Event is a log line about a job or a change of the owner.
type Event struct {
	Time   time.Time
	Source string
	// Fields are the line's keys and values except its time.
	Fields map[string]string
	Text   string
}

// Story is the history of one job, collected from the logs of several hosts.
type Story struct {
	Job    string
	Events []Event
}

// Read adds the lines of a log that are about the job or a change of the owner. Malformed lines are skipped, and anything
// before a line's time key, such as the prefix of a log collector, is ignored.
func (s *Story) Read(source string, r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		line := lines.Text()
		at := strings.Index(line, "time=")
		if at < 0 || !strings.Contains(line, s.Job) && !strings.Contains(line, "owns the workers") {
			continue
		}
		if e, ok := parseEvent(source, line[at:]); ok {
			s.Events = append(s.Events, e)
		}
	}

	return merry.Prepend(lines.Err(), source)
}

func parseEvent(source, line string) (Event, bool) {
	e := Event{Source: source, Fields: map[string]string{}, Text: line}
	d := logfmt.NewDecoder(strings.NewReader(line))
	if !d.ScanRecord() {
		return e, false
	}
	for d.ScanKeyval() {
		e.Fields[string(d.Key())] = string(d.Value())
	}
	t, err := time.Parse(TimeFormat, e.Fields["time"])
	if d.Err() != nil || err != nil {
		return e, false
	}
	delete(e.Fields, "time")
	e.Time = t

	return e, true
}

// Write writes the events in order of time, from the job's first event until the job is over, followed by what is missing
// from the logs.
func (s *Story) Write(w io.Writer) error {
	slices.SortStableFunc(s.Events, func(a, b Event) int { return a.Time.Compare(b.Time) })
	var text strings.Builder
	var start time.Time
	for _, e := range s.Events {
		own := e.Fields["job"] == s.Job
		if start.IsZero() && !own {
			continue
		}
		if start.IsZero() {
			start = e.Time
		}
		fmt.Fprintf(&text, "%9.3fs %s %s\n", e.Time.Sub(start).Seconds(), e.Source, withoutTime(e.Text))
		if own && e.Fields["msg"] == "JobOver" {
			break
		}
	}
	for _, m := range s.Missing() {
		fmt.Fprintf(&text, "missing: %s\n", m)
	}
	_, err := io.WriteString(w, text.String())

	return err
}

func withoutTime(line string) string {
	_, rest, _ := strings.Cut(line, " ")

	return rest
}

// Missing describes the expected events that the logs lack.
func (s *Story) Missing() []string {
	has := func(key, value string) bool {
		return slices.ContainsFunc(s.Events, func(e Event) bool { return e.Fields["job"] == s.Job && e.Fields[key] == value })
	}
	var list []string
	if !has("method", "POST") {
		list = append(list, "no host answered its submission: logs of some host are not here, or it was never sent")
	}
	switch {
	case has("msg", "JobOver"):
	case has("msg", "Assigned"):
		list = append(list, "it is not over: it runs, waits for its next step, or the owner's log ends here")
	default:
		list = append(list, "no task was ever assigned: it waits for room or its limit, or the owner's log is not here")
	}

	return list
}
