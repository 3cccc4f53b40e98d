package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"lycheehook.example/lycheehook/capacity"
)

func newCapacity() *cobra.Command {
	return &cobra.Command{
		Use:   "capacity",
		Short: "Measure how costs grow and extrapolate them to the target size",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var results []capacity.Result
			for _, m := range capacity.Measures() {
				_, _ = fmt.Fprintf(cmd.ErrOrStderr(), "measuring: %s, %s\n", m.Role, m.Cost)
				r, err := capacity.Run(cmd.Context(), m)
				if err != nil {
					return err
				}
				results = append(results, r)
			}

			return capacity.WriteMarkdown(cmd.OutOrStdout(), results)
		},
	}
}
