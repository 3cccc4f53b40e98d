package main

import (
	"github.com/spf13/cobra"
)

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:          "lycheehook",
		Short:        "Fleet capacity and maintenance manager",
		SilenceUsage: true,
	}
	root.AddCommand(newEntry(), newDev(), newLoad(), newExperiment(), newCapacity())

	return root
}
