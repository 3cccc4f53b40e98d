package main

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/ansel1/merry/v2"
	"github.com/charmbracelet/log"
	"github.com/spf13/cobra"

	"lycheehook.example/lycheehook/manager"
	"lycheehook.example/lycheehook/settings"
	"lycheehook.example/lycheehook/telemetry"
)

// settingsVariable names the settings file where no flag does.
const settingsVariable = "LYCHEEHOOK_SETTINGS"

// memoryShare is the part of its memory from which on a process collects garbage harder; the rest is for what the runtime does
// not count and for bytes that have arrived and were not read yet.
const memoryShare = 0.75

// limitMemory keeps the process from being ended for its memory, as far as collecting garbage can; zero leaves it as it is.
func limitMemory(megabytes int64) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(megabytes<<20)))
	}
}

func newManager() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "manager",
		Short: "Run the manager of jobs on the users' platform",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if path == "" {
				path = os.Getenv(settingsVariable)
			}
			if path == "" {
				return merry.Prependf(errUsage, "--settings or %s must name a file", settingsVariable)
			}
			s, err := settings.ReadManager(path)
			if err != nil {
				return err
			}
			limitMemory(s.MemoryMegabytes)
			out := telemetry.NewWriter(cmd.OutOrStdout())
			defer out.Close()
			l := log.NewWithOptions(out, log.Options{
				Level: log.InfoLevel, Formatter: log.LogfmtFormatter, ReportTimestamp: true, TimeFormat: telemetry.TimeFormat,
			})
			m, err := manager.New(s, l)
			if err != nil {
				return err
			}

			hangup := make(chan os.Signal, 1)
			signal.Notify(hangup, syscall.SIGHUP)
			defer signal.Stop(hangup)

			return m.Run(cmd.Context(), hangup)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "file with the settings, as JSON; "+settingsVariable+" names it where this does not")

	return cmd
}
