package main

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"lycheehook.example/lycheehook/audit"
)

const defaultAuditLimit = 100

type auditAnswer struct {
	Entries []audit.Entry
}

func newAudit(p process) *cobra.Command {
	f := &clientFlags{process: p}
	var who, subject, action, since string
	var limit int
	cmd := &cobra.Command{
		Use:   "audit",
		Short: "Show the trail of changes, oldest first",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := f.client()
			if err != nil {
				return err
			}
			query := url.Values{
				"who": {who}, "subject": {subject}, "action": {action}, "since": {since}, "limit": {strconv.Itoa(limit)},
			}
			var a auditAnswer
			if err := c.get(cmd.Context(), "/v1/audit?"+query.Encode(), &a); err != nil {
				return err
			}
			if f.output == outputJSON {
				return writeJSON(cmd.OutOrStdout(), a)
			}

			return auditTable(a.Entries).write(cmd.OutOrStdout())
		},
	}
	f.add(cmd)
	cmd.Flags().StringVar(&who, "who", "", "changes of this operator or entry host only")
	cmd.Flags().StringVar(&subject, "subject", "", "changes of subjects that start with this only, such as Keys/ or Hosts/worker-01")
	cmd.Flags().StringVar(&action, "action", "", "changes of this kind only, such as ApplyLists")
	cmd.Flags().StringVar(&since, "since", "", "changes since a time such as 2026-03-01T08:00:00Z, or in the last 24h")
	cmd.Flags().IntVar(&limit, "limit", defaultAuditLimit, "show the newest of them, at most this many")

	return cmd
}

func auditTable(entries []audit.Entry) *table {
	t := &table{header: []string{"Time", "Who", "Action", "Subject", "Base", "Revision", "Result", "Changes"}}
	for _, e := range entries {
		what := strings.Join(e.Changes, "; ")
		if e.Reason != "" {
			what = e.Reason
		}
		t.add(e.Time.Format(time.RFC3339), e.Who, e.Action, e.Subject, e.Base, e.Revision, e.Result, what)
	}

	return t
}
