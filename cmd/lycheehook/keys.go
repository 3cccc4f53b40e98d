package main

import (
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/spf13/cobra"
)

type giveKeyRequest struct {
	Team string
}

type giveKeyAnswer struct {
	ID       string
	Team     string
	Secret   string
	Revision uint64
}

type keyAnswer struct {
	ID    string
	Team  string
	Given time.Time
}

type keysAnswer struct {
	Revision uint64
	Keys     []keyAnswer
}

func newKeys(p environment) *cobra.Command {
	f := &clientFlags{process: p}
	cmd := newGroup("keys", "Issue, revoke and list the keys of teams", newKeysGive(f), newKeysWithdraw(f), newKeysList(f))
	f.add(cmd)

	return cmd
}

func newKeysGive(f *clientFlags) *cobra.Command {
	var w waitFlags
	cmd := &cobra.Command{
		Use:   "give TEAM",
		Short: "Issue a key for a team and print its secret, which can't be shown again",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := f.client()
			if err != nil {
				return err
			}
			var a giveKeyAnswer
			if err := c.change(cmd.Context(), http.MethodPost, "/v1/keys", giveKeyRequest{Team: args[0]}, &a); err != nil {
				return err
			}
			if f.output == outputJSON {
				err = writeJSON(cmd.OutOrStdout(), a)
			} else {
				_, err = fmt.Fprintf(cmd.OutOrStdout(), "ID      %s\nsecret  %s\nrevision %d\n", a.ID, a.Secret, a.Revision)
			}
			if err != nil {
				return err
			}

			return w.wait(cmd, c, a.Revision)
		},
	}
	w.add(cmd)

	return cmd
}

func newKeysWithdraw(f *clientFlags) *cobra.Command {
	var w waitFlags
	cmd := &cobra.Command{
		Use:   "withdraw ID",
		Short: "Revoke a key",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := f.client()
			if err != nil {
				return err
			}
			var a acceptedAnswer
			if err := c.change(cmd.Context(), http.MethodDelete, "/v1/keys/"+url.PathEscape(args[0]), nil, &a); err != nil {
				return err
			}
			if f.output == outputJSON {
				err = writeJSON(cmd.OutOrStdout(), struct{ Revision uint64 }{a.Revision})
			} else {
				_, err = fmt.Fprintf(cmd.OutOrStdout(), "key %s withdrawn\nrevision %d\n", args[0], a.Revision)
			}
			if err != nil {
				return err
			}

			return w.wait(cmd, c, a.Revision)
		},
	}
	w.add(cmd)

	return cmd
}

func newKeysList(f *clientFlags) *cobra.Command {
	var team string
	cmd := &cobra.Command{
		Use:   "list",
		Short: "List the keys in force, without their secrets",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := f.client()
			if err != nil {
				return err
			}
			var a keysAnswer
			if err := c.get(cmd.Context(), "/v1/keys?team="+url.QueryEscape(team), &a); err != nil {
				return err
			}
			if f.output == outputJSON {
				return writeJSON(cmd.OutOrStdout(), a)
			}
			t := table{header: []string{"ID", "Team", "Given"}}
			for _, k := range a.Keys {
				t.add(k.ID, k.Team, k.Given.Format(time.RFC3339))
			}

			return t.write(cmd.OutOrStdout())
		},
	}
	cmd.Flags().StringVar(&team, "team", "", "list the keys of this team only")

	return cmd
}
