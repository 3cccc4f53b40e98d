package main

import (
	"cmp"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/ansel1/merry/v2"
	"github.com/charmbracelet/log"
	"github.com/spf13/cobra"

	"lycheehook.example/lycheehook/ingress"
	"lycheehook.example/lycheehook/manager"
	"lycheehook.example/lycheehook/settings"
	"lycheehook.example/lycheehook/telemetry"
)

// settingsVariable is the environment variable with the name of the settings file if the flag is not set.
const settingsVariable = "LYCHEEHOOK_SETTINGS"

const (
	// memoryShare is the runtime's soft memory limit as a fraction of the process's limit. The rest is for memory that the runtime
	// doesn't account for, and for received data in socket buffers.
	memoryShare = 0.75
	// programShare is the same fraction without the pages of the program's file.
	programShare = 0.875
)

// limitMemory sets the runtime's soft memory limit for a process with the given memory; zero sets no limit.
func limitMemory(megabytes int64) {
	if megabytes > 0 {
		debug.SetMemoryLimit(softLimit(megabytes << 20))
	}
}

// softLimit returns the soft limit in bytes for a process with the given memory.
func softLimit(memory int64) int64 {
	least := memory / 2

	return max(least, min(int64(memoryShare*float64(memory)), int64(programShare*float64(memory))-ingress.ProgramBytes))
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
			s.MemoryMegabytes = cmp.Or(s.MemoryMegabytes, ingress.AllowedMegabytes())
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
	cmd.Flags().StringVar(&path, "settings", "", "file with the settings, as JSON (or "+settingsVariable+")")

	return cmd
}
