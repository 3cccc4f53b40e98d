package main

import (
	"os"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"lycheehook.example/lycheehook/platform"
	"lycheehook.example/lycheehook/telemetry"
)

func newExplain() *cobra.Command {
	var f askFlags
	cmd := &cobra.Command{
		Use:   "explain {JOB LOGFILE... | --manager ADDRESS --queue NAME [--workspace NAME] JOBFILE}",
		Short: "Print the history of a job from the logs of several entry hosts, or where a job would go now",
		Args: func(cmd *cobra.Command, args []string) error {
			if f.manager != "" {
				return cobra.ExactArgs(1)(cmd, args)
			}

			return cobra.MinimumNArgs(2)(cmd, args)
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			if f.manager != "" {
				return f.run(cmd, args[0])
			}
			if !platform.ValidJobID(args[0]) {
				return merry.Prependf(errUsage, "%q is not the ID of a job: 16 hexadecimal digits", args[0])
			}
			story := telemetry.Story{Job: args[0]}
			for _, path := range args[1:] {
				if err := readLog(&story, path); err != nil {
					return err
				}
			}

			return story.Write(cmd.OutOrStdout())
		},
	}
	f.add(cmd)

	return cmd
}

func readLog(s *telemetry.Story, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return merry.Prepend(err, "log")
	}
	// A failure to close a file after reading is harmless.
	defer func() { _ = f.Close() }()

	return s.Read(path, f)
}
