package main

import (
	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"
)

func newRoot(p environment) *cobra.Command {
	root := &cobra.Command{
		Use:           "lycheehook",
		Short:         "Fleet capacity and maintenance manager",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		newEntry(), newManager(), newExplain(), newDev(), newLoad(), newExperiment(), newRehearse(), newCapacity(),
		newCheck(), newList(customersList, p), newList(plansList, p), newKeys(p), newRevisions(p), newStatus(p), newAudit(p), newSettings(),
	)

	return root
}

// newGroup returns a command that only groups subcommands.
func newGroup(use, short string, subcommands ...*cobra.Command) *cobra.Command {
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.ArbitraryArgs,
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				return merry.Prependf(errUsage, "%s needs a subcommand, see --help", cmd.CommandPath())
			}

			return merry.Prependf(errUsage, "%s has no subcommand %q", cmd.CommandPath(), args[0])
		},
	}
	cmd.AddCommand(subcommands...)

	return cmd
}
