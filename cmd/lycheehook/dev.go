package main

import (
	"fmt"
	"io"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/charmbracelet/log"
	"github.com/spf13/cobra"

	"lycheehook.example/lycheehook/estate"
)

// separateLimit is the timeout for the start of entry hosts that run as separate processes.
const separateLimit = 10 * time.Minute

// errUsage means that the arguments of a command line are invalid.
var errUsage = merry.Sentinel("usage")

// devFlags are the flags of commands that run a sample estate.
type devFlags struct {
	sample  string
	entries int
	// separate is the directory for the settings of entry hosts that run as separate processes; empty runs them in this process.
	separate string
}

func (f *devFlags) add(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.sample, "sample", "ledger", "sample to run: ledger or sleeves")
	cmd.Flags().IntVar(&f.entries, "entries", 3, "number of entry hosts")
}

// newEstate returns the sample estate that the flags describe.
func (f *devFlags) newEstate(l *log.Logger) (*estate.Estate, error) {
	samples := map[string]func() estate.Sample{"ledger": estate.Ledger, "sleeves": estate.Sleeves}
	sample, ok := samples[f.sample]
	if !ok {
		return nil, merry.Prependf(errUsage, "--sample %q is neither ledger nor sleeves", f.sample)
	}
	if f.entries < 1 {
		return nil, merry.Prependf(errUsage, "--entries %d is less than 1", f.entries)
	}

	return estate.New(l, estate.WithSample(sample()), estate.WithEntries(f.entries), estate.WithSeparate(f.separate)), nil
}

func newDev() *cobra.Command {
	var flags devFlags
	var check bool
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "Run a sample estate on loopback",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if check {
				return checkDev(cmd, flags)
			}

			return runDev(cmd, flags)
		},
	}
	flags.add(cmd)
	cmd.Flags().StringVar(&flags.separate, "separate", "",
		"write the entry hosts' settings files to this directory and wait until they are started with lycheehook entry")
	cmd.Flags().BoolVar(&check, "check", false, "check the main guarantees, print the results, and stop")

	return cmd
}

func checkDev(cmd *cobra.Command, flags devFlags) error {
	e, err := flags.newEstate(log.New(io.Discard))
	if err != nil {
		return err
	}
	if err := e.Start(cmd.Context()); err != nil {
		return err
	}
	defer e.Stop()

	return e.Check(cmd.Context(), cmd.OutOrStdout())
}

func runDev(cmd *cobra.Command, flags devFlags) error {
	e, err := flags.newEstate(log.New(cmd.ErrOrStderr()))
	if err != nil {
		return err
	}
	if err := e.Start(cmd.Context()); err != nil {
		return err
	}
	defer e.Stop()
	if flags.separate != "" {
		_, _ = fmt.Fprintf(cmd.OutOrStdout(), "settings of %d entry hosts are in %s\n", flags.entries, flags.separate)
		if err := e.AwaitEntries(cmd.Context(), separateLimit); err != nil {
			return err
		}
	}
	if err := e.Prepare(cmd.Context()); err != nil {
		return err
	}

	printEstate(cmd.OutOrStdout(), e)
	<-cmd.Context().Done()

	return nil
}

// printEstate writes the addresses, the keys and an example request.
func printEstate(w io.Writer, e *estate.Estate) {
	for _, s := range e.Entries() {
		_, _ = fmt.Fprintf(w, "%s  callers %s  operators %s\n", s.Name, s.CallerAddress, s.OperatorAddress)
	}
	_, _ = fmt.Fprintf(w, "operators' token  %s\n", estate.DevOperatorToken)
	for _, ep := range e.Sample.Endpoints {
		_, _ = fmt.Fprintf(w, "%s  pool %s  %s\n", ep.Name, ep.Pool, ep.Address)
	}
	for _, t := range e.Sample.Lists.Teams() {
		_, _ = fmt.Fprintf(w, "key of team %-16s  %s\n", t.Name, e.Keys[t.Name])
	}

	t := e.Sample.Lists.Teams()[0]
	_, _ = fmt.Fprintf(w, "\ntry:  curl -H 'Authorization: Bearer %s' -d 'hello' http://%s/v1/queues/%s/work\n",
		e.Keys[t.Name], e.Entries()[0].CallerAddress, e.Sample.Lists.Plans[0].Queues[0])
}
