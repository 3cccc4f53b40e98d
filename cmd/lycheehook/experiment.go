package main

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"lycheehook.example/lycheehook/experiment"
)

func newExperiment() *cobra.Command {
	var entries int
	var duration time.Duration
	var seed uint64
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "experiment",
		Short: "Run several set-ups of load and faults and write a report",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			x := experiment.New(
				experiment.WithEntries(entries), experiment.WithDuration(duration), experiment.WithSeed(seed),
				experiment.WithProgress(func(s string) { _, _ = fmt.Fprintf(cmd.ErrOrStderr(), "running: %s\n", s) }),
			)
			results, err := x.Run(cmd.Context())
			if asJSON {
				if encErr := json.NewEncoder(cmd.OutOrStdout()).Encode(results); encErr != nil {
					return encErr
				}

				return err
			}
			if writeErr := experiment.WriteMarkdown(cmd.OutOrStdout(), results); writeErr != nil {
				return writeErr
			}

			return err
		},
	}
	cmd.Flags().IntVar(&entries, "entries", 7, "number of entry hosts")
	cmd.Flags().DurationVar(&duration, "duration", 10*time.Second, "how long each set-up sends requests")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the loads")
	cmd.Flags().BoolVar(&asJSON, "json", false, "write the full results as JSON")

	return cmd
}
