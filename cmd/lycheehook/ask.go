package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"lycheehook.example/lycheehook/explain"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/platform"
	"lycheehook.example/lycheehook/schedule"
)

// maxJobFile is the limit of a message between hosts, less 4 KiB for its other fields.
const maxJobFile = 1<<20 - 4<<10

// askFlags are the flags with which explain asks a manager where a job would go now.
type askFlags struct {
	manager, queue, workspace string
}

func (f *askFlags) add(cmd *cobra.Command) {
	fl := cmd.Flags()
	fl.StringVar(&f.manager, "manager", "", "peer address of any manager, as IP:port; asks where the job in JOBFILE would go now")
	fl.StringVar(&f.queue, "queue", "", "queue of the job (with --manager)")
	fl.StringVar(&f.workspace, "workspace", "", "workspace of the job; empty on an open queue (with --manager)")
}

// run asks the manager and writes the answer.
func (f *askFlags) run(cmd *cobra.Command, path string) error {
	at, err := netip.ParseAddrPort(f.manager)
	if err != nil {
		return merry.Prependf(errUsage, "--manager %q is not an IP address with a port", f.manager)
	}
	if f.queue == "" {
		return merry.Prepend(errUsage, "--queue must name the queue of the job")
	}
	body, err := readJob(cmd.InOrStdin(), path)
	if err != nil {
		return err
	}
	a, err := f.ask(cmd.Context(), platform.NewTransport().To(at.String()), body)
	if err != nil {
		return err
	}

	return writeExplanation(cmd.OutOrStdout(), a)
}

func (f *askFlags) ask(ctx context.Context, to platform.Exchange, body []byte) (explain.Answer, error) {
	a, err := explain.Ask(ctx, to, explain.Question{Queue: fleet.QueueName(f.queue), Workspace: fleet.WorkspaceName(f.workspace), Body: body})
	switch {
	case err != nil:
		return a, merry.Prependf(errUnavailable, "%s: %v", f.manager, err)
	case a.Code == explain.Unavailable:
		return a, merry.Prepend(errUnavailable, a.Reason)
	case a.Code != "":
		return a, &answerError{Code: string(a.Code), Reason: a.Reason}
	default:
		return a, nil
	}
}

// readJob reads a submission from a file, or from in if path is "-".
func readJob(in io.Reader, path string) ([]byte, error) {
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, merry.Prependf(errUsage, "JOBFILE: %v", err)
		}
		// A failure to close a file after reading is harmless.
		defer func() { _ = f.Close() }()
		in = f
	}
	body, err := io.ReadAll(io.LimitReader(in, maxJobFile+1))
	if len(body) > maxJobFile {
		return nil, merry.Prependf(errUsage, "%s: more than %d bytes", path, maxJobFile)
	}
	if err == nil {
		_, err = platform.DecodeJob(body)
	}
	if err != nil {
		return nil, merry.Prependf(errUsage, "%s: %v", path, err)
	}

	return body, nil
}

// writeExplanation writes an answer as text.
func writeExplanation(w io.Writer, a explain.Answer) error {
	x := a.Explanation
	placed := "none"
	if x.PlacedBefore >= 0 {
		placed = x.PlacedBefore.Round(time.Millisecond).String() + " ago"
	}
	_, _ = fmt.Fprintf(w, "owner %s, term %d (confirmed: %t), last placement: %s\n", a.Owner, x.Term, x.Confirmed, placed)
	_, _ = fmt.Fprintf(w, "workspace %q uses %s of %s (at its limit: %t)\n", x.Workspace, resources(x.WorkspaceInUse), limit(x.WorkspaceLimit), x.WorkspaceAtLimit)
	if x.DueIn > 0 {
		_, _ = fmt.Fprintf(w, "nothing is ready: the job is due in %s\n", x.DueIn.Round(time.Millisecond))
	}
	for _, s := range x.Steps {
		_, _ = fmt.Fprintf(w, "step %d: %d of %d tasks would start now, %d waiting steps before it\n", s.Step, s.Starting, s.Tasks, s.Before)
		for _, l := range s.Workers {
			_, _ = fmt.Fprintf(w, "  %d on %s, pool %s, zone %s, free %s\n", l.Tasks, l.Worker, l.Pool, l.Zone, resources(l.Free))
		}
		if s.Reason != "" {
			_, _ = fmt.Fprintf(w, "  the others would wait: %s\n", s.Words)
		}
	}
	_, err := fmt.Fprintf(w, "%d reservations hold room in pool %s\n", x.ReservationCount, x.Pool)
	for _, r := range x.Reservations {
		_, err = fmt.Fprintln(w, " ", reservation(r))
	}

	return err
}

func reservation(r schedule.ReservedRoom) string {
	if r.Job == "" {
		return fmt.Sprintf("%s on %s for lasting tasks", resources(r.Room), r.Worker)
	}

	return fmt.Sprintf("%s on %s for step %d of job %s, due in %s", resources(r.Room), r.Worker, r.Step, r.Job, r.In.Round(time.Millisecond))
}

func resources(r fleet.Resources) string {
	return fmt.Sprintf("%d millicores, %d MiB, %d accelerators", r.Cores, r.Memory, r.Accelerators)
}

// limit returns an upper limit in words, of which a zero component means no limit.
func limit(r fleet.Resources) string {
	if r.IsZero() {
		return "no limit"
	}

	return resources(r) + " (0: no limit)"
}
