package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"
)

const waitInterval = 100 * time.Millisecond

// wait waits until the revision is in force on all entry hosts and writes progress to the error output.
func (w *waitFlags) wait(cmd *cobra.Command, c *client, revision uint64) error {
	if !w.enabled {
		return nil
	}

	ctx, cancel := context.WithTimeout(cmd.Context(), w.limit)
	defer cancel()
	last := ""
	for {
		missing, total := c.missing(ctx, revision)
		if line := progress(revision, total-len(missing), total); line != last && ctx.Err() == nil {
			_, _ = fmt.Fprintln(cmd.ErrOrStderr(), line)
			last = line
		}
		if len(missing) == 0 {
			return nil
		}

		select {
		case <-ctx.Done():
			return merry.Prependf(errNotInForce, "revision %d, missing on %s", revision, strings.Join(missing, ", "))
		case <-time.After(waitInterval):
		}
	}
}

func progress(revision uint64, done, total int) string {
	bar := strings.Repeat("#", done) + strings.Repeat(".", total-done)
	return fmt.Sprintf("revision %d [%s] in force on %d of %d entry hosts", revision, bar, done, total)
}

// missing returns the entry hosts on which a revision is not in force yet, and the total number of entry hosts: the configured
// ones and those that they know of.
func (c *client) missing(ctx context.Context, revision uint64) (missing []string, total int) {
	inForce := map[string]bool{}
	for _, a := range c.addresses {
		s, err := c.status(ctx, a)
		if err != nil {
			inForce[a.String()] = false
			continue
		}
		for _, e := range s.Entries {
			// An entry host's report about itself takes precedence over reports by others.
			if _, known := inForce[e.Name]; !known || e.Name == s.Name {
				inForce[e.Name] = e.Revision >= revision && e.InForce
			}
		}
	}
	for name, ok := range inForce {
		if !ok {
			missing = append(missing, name)
		}
	}

	return missing, len(inForce)
}

func (c *client) status(ctx context.Context, from netip.AddrPort) (statusAnswer, error) {
	var s statusAnswer
	err := c.do(ctx, from, http.MethodGet, "/v1/status", nil, &s)

	return s, err
}
