package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"lycheehook.example/lycheehook/rehearsal"
)

// Limits of the flags.
const (
	maxPlays = 1000
	maxScale = 30
)

func newRehearse() *cobra.Command {
	var plays, scale int
	var seed uint64
	var asJSON bool
	var svg string
	cmd := &cobra.Command{
		Use:   "rehearse [PATTERN...]",
		Short: "Play load patterns to the scheduler in virtual time and compare with the best possible cost",
		RunE: func(cmd *cobra.Command, names []string) error {
			if plays < 1 || plays > maxPlays {
				return merry.Errorf("--plays must be from 1 to %d", maxPlays)
			}
			if scale < 1 || scale > maxScale {
				return merry.Errorf("--scale must be from 1 to %d", maxScale)
			}
			patterns, err := rehearsal.Select(names)
			if err != nil {
				return err
			}
			var all []rehearsal.Report
			for _, p := range patterns {
				list := play(p, seed, plays, scale)
				if svg != "" {
					if err := writeSVG(svg, list[0]); err != nil {
						return err
					}
				}
				all = append(all, rehearsal.Mean(list))
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(all)
			}

			return rehearsal.WriteTable(cmd.OutOrStdout(), all)
		},
	}
	cmd.Flags().IntVar(&plays, "plays", 6, "number of plays of each pattern, each with its own seed")
	cmd.Flags().IntVar(&scale, "scale", 1, "factor for the numbers of hosts and jobs")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the first play")
	cmd.Flags().BoolVar(&asJSON, "json", false, "write the mean of each pattern as JSON")
	cmd.Flags().StringVar(&svg, "svg", "", "file for a plot of the first play of the last pattern")

	return cmd
}

// play plays a pattern with consecutive seeds, concurrently.
func play(p rehearsal.Pattern, seed uint64, plays, scale int) []rehearsal.Report {
	list := make([]rehearsal.Report, plays)
	var wg sync.WaitGroup
	for i := range list {
		wg.Go(func() { list[i] = rehearsal.New(p, seed+uint64(i), rehearsal.WithScale(scale)).Play() })
	}
	wg.Wait()

	return list
}

func writeSVG(name string, r rehearsal.Report) error {
	f, err := os.Create(name)
	if err != nil {
		return merry.Prepend(err, "create the plot")
	}
	if err := r.WriteSVG(f); err != nil {
		return merry.Prepend(err, fmt.Sprintf("write %s", name))
	}

	return f.Close()
}
