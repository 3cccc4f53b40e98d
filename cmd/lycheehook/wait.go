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

// wait returns when the revision is in force on every entry host, and shows progress on the error output.
func (w *waitFlags) wait(cmd *cobra.Command, c *client, revision uint64) error {
	if !w.enabled {
		return nil
	}

	ctx, cancel := context.WithTimeout(cmd.Context(), w.limit)
	defer cancel()
	shown := ""
	for {
		missing, total := c.missing(ctx, revision)
		if line := progress(revision, total-len(missing), total); line != shown && ctx.Err() == nil {
			_, _ = fmt.Fprintln(cmd.ErrOrStderr(), line)
			shown = line
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

// missing returns the entry hosts on which a revision is not in force yet, and how many there are: those that were named
// and those that these know of.
func (c *client) missing(ctx context.Context, revision uint64) (missing []string, total int) {
	inForce := map[string]bool{}
	for _, a := range c.addresses {
		s, err := c.status(ctx, a)
		if err != nil {
			inForce[a.String()] = false
			continue
		}
		for _, e := range s.Entries {
			// What an entry host says of itself counts for more than what another heard of it.
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
	err := c.ask(ctx, from, http.MethodGet, "/v1/status", nil, &s)

	return s, err
}
