package main

import (
	"encoding/json"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/charmbracelet/log"
	"github.com/spf13/cobra"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/load"
)

// loadFlags are the flags of the load command.
type loadFlags struct {
	dev        devFlags
	targets    []string
	endpoints  []string
	keys       map[string]string
	shares     map[string]int64
	queue      string
	rate       float64
	bodySize   int
	idempotent float64
	steady     bool
	burst      time.Duration
	duration   time.Duration
	timeout    time.Duration
	seed       uint64
	output     string
	plot       string
	remote     bool
}

func newLoad() *cobra.Command {
	var f loadFlags
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send load to entry hosts and verify every response",
		Long: "Send open-loop load to entry hosts and verify that each response is complete, belongs to its request, and was run once.\n" +
			"Without --target it starts a sample estate of its own.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	f.dev.add(cmd)
	fl := cmd.Flags()
	fl.StringSliceVar(&f.targets, "target", nil, "callers' address of an entry host, as IP:port; repeat for several")
	fl.StringSliceVar(&f.endpoints, "endpoint", nil, "address of a stand-in endpoint whose run counts are checked, as IP:port; repeat for several")
	fl.StringToStringVar(&f.keys, "key", nil, "key of a team, as TEAM=KEY; repeat for several")
	fl.StringToInt64Var(&f.shares, "share", nil, "share of a team for the report, as TEAM=N; 1 if not set")
	fl.StringVar(&f.queue, "queue", "", "queue that the teams of --key submit to")
	fl.Float64Var(&f.rate, "rate", 100, "mean requests per second of each team")
	fl.IntVar(&f.bodySize, "body-size", 512, "size of a request body in bytes")
	fl.Float64Var(&f.idempotent, "idempotent", 0.5, "fraction of requests that are marked as idempotent")
	fl.BoolVar(&f.steady, "steady", false, "steady load instead of bursts and lulls")
	fl.DurationVar(&f.burst, "burst", time.Second, "length of a burst of five times the mean")
	fl.DurationVar(&f.duration, "duration", 10*time.Second, "how long requests are sent")
	fl.DurationVar(&f.timeout, "timeout", 10*time.Second, "timeout of a request")
	fl.Uint64Var(&f.seed, "seed", 1, "seed of arrivals and bodies")
	fl.StringVar(&f.output, "output", "text", "format of the report: text or json")
	fl.StringVar(&f.plot, "plot", "", "file for a plot of the run, as SVG")
	fl.BoolVar(&f.remote, "remote", false, "allow targets that are not on loopback")

	return cmd
}

func (f *loadFlags) run(cmd *cobra.Command) error {
	if f.output != "text" && f.output != "json" {
		return merry.Prependf(errUsage, "--output %q is neither text nor json", f.output)
	}

	opts := []load.Option{load.WithDuration(f.duration), load.WithTimeout(f.timeout), load.WithSeed(f.seed)}
	if f.remote {
		opts = append(opts, load.WithAnyAddress())
	}
	more, stop, err := f.target(cmd)
	if err != nil {
		return err
	}
	defer stop()

	l, err := load.New(append(opts, more...)...)
	if err != nil {
		return err
	}
	report, runErr := l.Run(cmd.Context())
	if err := f.write(cmd.OutOrStdout(), report); err != nil {
		return err
	}

	return runErr
}

// target returns the options for targets and streams, and a function that stops the sample estate if one was started.
func (f *loadFlags) target(cmd *cobra.Command) ([]load.Option, func(), error) {
	if len(f.targets) == 0 {
		return f.targetSample(cmd)
	}

	targets, err := parseAddresses(f.targets)
	if err != nil {
		return nil, nil, err
	}
	endpoints, err := parseAddresses(f.endpoints)
	if err != nil {
		return nil, nil, err
	}

	var streams []load.Stream
	for team, secret := range f.keys {
		streams = append(streams, f.stream(fleet.TeamName(team), secret, fleet.QueueName(f.queue), max(f.shares[team], 1), len(streams)))
	}
	if len(streams) == 0 {
		streams = append(streams, f.stream("", "", fleet.QueueName(f.queue), 1, 0))
	}

	return []load.Option{load.WithTargets(targets...), load.WithEndpoints(endpoints...), load.WithStreams(streams...)}, func() {}, nil
}

func (f *loadFlags) targetSample(cmd *cobra.Command) ([]load.Option, func(), error) {
	e, err := f.dev.newEstate(log.New(io.Discard))
	if err != nil {
		return nil, nil, err
	}
	if err := e.Start(cmd.Context()); err != nil {
		return nil, nil, err
	}
	if err := e.Prepare(cmd.Context()); err != nil {
		e.Stop()
		return nil, nil, err
	}

	streams := e.Streams(f.rate)
	for i, s := range streams {
		streams[i] = f.stream(s.Team, s.Secret, s.Queue, s.Share, i)
	}

	return []load.Option{
		load.WithTargets(e.CallerAddresses()...), load.WithEndpoints(e.EndpointAddresses()...), load.WithStreams(streams...),
	}, e.Stop, nil
}

func (f *loadFlags) stream(team fleet.TeamName, secret string, q fleet.QueueName, share int64, n int) load.Stream {
	s := load.Stream{
		Team: team, Secret: secret, Queue: q, Share: share, Rate: f.rate, BodySize: f.bodySize, Idempotent: f.idempotent,
	}
	if !f.steady {
		s.Turns = load.Turns{Burst: f.burst, BurstFactor: 5, LullFactor: 0.05, Offset: time.Duration(n) * f.burst}
	}

	return s
}

func (f *loadFlags) write(out io.Writer, r load.Report) error {
	if f.plot != "" {
		if err := writePlot(f.plot, r); err != nil {
			return err
		}
	}
	if f.output == "json" {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")

		return enc.Encode(r)
	}

	return r.WriteText(out)
}

func writePlot(path string, r load.Report) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := r.WriteSVG(file); err != nil {
		_ = file.Close()
		return err
	}

	return file.Close()
}

func parseAddresses(texts []string) ([]netip.AddrPort, error) {
	addrs := make([]netip.AddrPort, 0, len(texts))
	for _, t := range texts {
		a, err := netip.ParseAddrPort(strings.TrimSpace(t))
		if err != nil {
			return nil, merry.Prependf(errUsage, "address %q is not IP:port", t)
		}
		addrs = append(addrs, a)
	}

	return addrs, nil
}
