package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"lycheehook.example/lycheehook/key"
	"lycheehook.example/lycheehook/settings"
)

func newSettings() *cobra.Command {
	check := &cobra.Command{
		Use:   "check FILE",
		Short: "Check the settings of an entry host and name every fault",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := settings.Read(args[0])
			if err != nil {
				return err
			}
			_, _ = fmt.Fprintf(cmd.OutOrStdout(), "settings of %s hold together\n", s.Name)

			return nil
		},
	}
	token := &cobra.Command{
		Use:   "token NAME",
		Short: "Make a token for an operator and print the entry for Operators in the settings",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			hash, secret := key.NewSecret()
			_, _ = fmt.Fprintf(cmd.ErrOrStderr(), "token  %s\n", secret)

			return writeJSON(cmd.OutOrStdout(), settings.Operator{Name: args[0], TokenHash: hash})
		},
	}

	return newGroup("settings", "Check settings and make operators' tokens", check, token)
}
