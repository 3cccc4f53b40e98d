package main

import (
	"cmp"
	"io"

	"github.com/ansel1/merry/v2"
	"github.com/charmbracelet/log"
	"github.com/spf13/cobra"

	"lycheehook.example/lycheehook/entry"
	"lycheehook.example/lycheehook/ingress"
	"lycheehook.example/lycheehook/settings"
)

func newEntry() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "entry",
		Short: "Run the process of an entry host",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if path == "" {
				return merry.Prepend(errUsage, "--settings must name a file")
			}
			s, err := settings.Read(path)
			if err != nil {
				return err
			}
			s.MemoryMegabytes = cmp.Or(s.MemoryMegabytes, ingress.AllowedMegabytes())
			limitMemory(s.MemoryMegabytes)
			l := newLogger(cmd.ErrOrStderr(), s)
			l.Info("starting", "memory_megabytes", s.MemoryMegabytes)

			h, err := entry.New(s, l, entry.KernelSockets())
			if err != nil {
				return err
			}

			return h.Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "file with the settings, as JSON")

	return cmd
}

// newLogger returns a logger with the level and format of the settings.
func newLogger(w io.Writer, s settings.Settings) *log.Logger {
	levels := map[settings.LogLevel]log.Level{
		settings.LogDebug: log.DebugLevel, settings.LogInfo: log.InfoLevel, settings.LogWarn: log.WarnLevel, settings.LogError: log.ErrorLevel,
	}
	formats := map[settings.LogFormat]log.Formatter{settings.LogLogfmt: log.LogfmtFormatter, settings.LogJSON: log.JSONFormatter}

	return log.NewWithOptions(w, log.Options{
		Level: levels[s.Log.Level], Formatter: formats[s.Log.Format], ReportTimestamp: true,
	}).With("entry", s.Name)
}
