package main

import (
	"github.com/charmbracelet/log"
	"github.com/spf13/cobra"

	"lycheehook.example/lycheehook/entry"
	"lycheehook.example/lycheehook/settings"
)

func newEntry() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "entry",
		Short: "Run the process of an entry host",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.Read(path)
			if err != nil {
				return err
			}

			return entry.New(s, log.New(cmd.ErrOrStderr())).Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "file with the settings, as JSON")
	_ = cmd.MarkFlagRequired("settings")

	return cmd
}
