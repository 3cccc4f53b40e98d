package main

import (
	"fmt"
	"io"

	"github.com/charmbracelet/log"
	"github.com/spf13/cobra"

	"lycheehook.example/lycheehook/estate"
)

func newDev() *cobra.Command {
	var check bool
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "Run a sample estate on loopback",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runDev(cmd, check)
		},
	}
	cmd.Flags().BoolVar(&check, "check", false, "run the main job, say what was seen of each promise, and stop")

	return cmd
}

func runDev(cmd *cobra.Command, check bool) error {
	logs := cmd.ErrOrStderr()
	if check {
		logs = io.Discard
	}

	e := estate.New(log.New(logs))
	if err := e.Start(cmd.Context()); err != nil {
		return err
	}
	defer e.Stop()

	if check {
		return e.Check(cmd.Context(), cmd.OutOrStdout())
	}

	for _, s := range e.Entries {
		_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%s: callers http://%s operators http://%s\n", s.Name, s.CallerAddress, s.OperatorAddress)
	}
	<-cmd.Context().Done()

	return nil
}
