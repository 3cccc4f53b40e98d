package main

import (
	"os"
	"os/signal"
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
