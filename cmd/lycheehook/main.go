// Command lycheehook is every process of lycheehook: the entry host, the
// operators' command line, and a sample estate to try it on.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"
)

func main() {
	// Refusals are ordinary answers here; a stack for each would cost more than the decision.
	merry.SetStackCaptureEnabled(false)

	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], process{out: os.Stdout, err: os.Stderr, getenv: os.Getenv})
	stop()
	os.Exit(int(code))
}

// process is what a run of the command line has around it.
type process struct {
	out    io.Writer
	err    io.Writer
	getenv func(name string) string
}

// run carries out one command line and returns its exit code.
func run(ctx context.Context, args []string, p process) exitCode {
	started := false
	root := newRoot(p) //nolint:contextcheck // Each command gets its context from ExecuteContext.
	root.PersistentPreRun = func(*cobra.Command, []string) { started = true }
	root.SetArgs(args)
	root.SetOut(p.out)
	root.SetErr(p.err)

	err := root.ExecuteContext(ctx)
	if err != nil {
		_, _ = fmt.Fprintln(p.err, "lycheehook:", err)
	}

	return exitCodeOf(err, started)
}
