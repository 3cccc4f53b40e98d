package main

import (
	"net/http"
	"time"

	"github.com/spf13/cobra"
)

type revisionAnswer struct {
	Number uint64
	By     string
	At     time.Time
}

type revisionsAnswer struct {
	Revisions []revisionAnswer
}

func newRevisions(p environment) *cobra.Command {
	f := &clientFlags{process: p}
	cmd := newGroup("revisions", "List accepted edits and restore earlier lists", newRevisionsList(f), newRevisionsRestore(f))
	f.add(cmd)

	return cmd
}

func newRevisionsList(f *clientFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the accepted edits, the newest first",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := f.client()
			if err != nil {
				return err
			}
			var a revisionsAnswer
			if err := c.get(cmd.Context(), "/v1/revisions", &a); err != nil {
				return err
			}
			if f.output == outputJSON {
				return writeJSON(cmd.OutOrStdout(), a)
			}
			t := table{header: []string{"Revision", "By", "At"}}
			for _, r := range a.Revisions {
				t.add(r.Number, r.By, r.At.Format(time.RFC3339))
			}

			return t.write(cmd.OutOrStdout())
		},
	}
}

func newRevisionsRestore(f *clientFlags) *cobra.Command {
	var w waitFlags
	cmd := &cobra.Command{
		Use:   "restore NUMBER",
		Short: "Restore the lists of an earlier revision as a new one; keys don't change",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := f.client()
			if err != nil {
				return err
			}
			var a acceptedAnswer
			if err := c.change(cmd.Context(), http.MethodPost, "/v1/revisions/"+args[0]+"/restore", nil, &a); err != nil {
				return err
			}
			if err := printChanges(cmd, f.output, a.Revision, a.Changes); err != nil {
				return err
			}

			return w.wait(cmd, c, a.Revision)
		},
	}
	w.add(cmd)

	return cmd
}
