package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/key"
	"lycheehook.example/lycheehook/settings"
)

func newSettings() *cobra.Command {
	var ofManager bool
	check := &cobra.Command{
		Use:   "check FILE",
		Short: "Check the settings of an entry host or a manager and list all faults",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			name, err := checkSettings(args[0], ofManager)
			if err != nil {
				return err
			}
			_, _ = fmt.Fprintf(cmd.OutOrStdout(), "settings of %s are valid\n", name)

			return nil
		},
	}
	check.Flags().BoolVar(&ofManager, "manager", false, "the file is for lycheehook manager")
	token := &cobra.Command{
		Use:   "token NAME",
		Short: "Generate a token for an operator and print the entry for Operators in the settings",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			hash, secret := key.NewSecret()
			_, _ = fmt.Fprintf(cmd.ErrOrStderr(), "token  %s\n", secret)

			return writeJSON(cmd.OutOrStdout(), settings.Operator{Name: args[0], TokenHash: hash})
		},
	}

	return newGroup("settings", "Check settings and generate operators' tokens", check, token)
}

// checkSettings returns the name of the host in valid settings.
func checkSettings(path string, ofManager bool) (fleet.EntryName, error) {
	if ofManager {
		m, err := settings.ReadManager(path)
		return m.Name, err
	}
	s, err := settings.Read(path)

	return s.Name, err
}
