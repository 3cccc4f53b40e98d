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

func newAudit(p environment) *cobra.Command {
	f := &clientFlags{process: p}
	var who, subject, action, since string
	var limit int
	cmd := &cobra.Command{
		Use:   "audit",
		Short: "Show the audit trail, oldest entry first",
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
	cmd.Flags().StringVar(&who, "who", "", "only changes by this operator or entry host")
	cmd.Flags().StringVar(&subject, "subject", "", "only changes of subjects with this prefix, such as Keys/ or Hosts/worker-01")
	cmd.Flags().StringVar(&action, "action", "", "only changes of this kind, such as ApplyLists")
	cmd.Flags().StringVar(&since, "since", "", "only changes since a time, such as 2026-03-01T08:00:00Z, or within a duration, such as 24h")
	cmd.Flags().IntVar(&limit, "limit", defaultAuditLimit, "maximum number of entries; the newest are shown")

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
