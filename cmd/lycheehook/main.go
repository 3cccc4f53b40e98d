// Command lycheehook runs entry hosts and job managers, and provides the
// operators' command line, a sample estate, and measurement tools.
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
	// Errors are part of normal operation, such as refused requests, and capturing stacks is expensive.
	merry.SetStackCaptureEnabled(false)

	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], environment{out: os.Stdout, err: os.Stderr, getenv: os.Getenv})
	stop()
	os.Exit(int(code))
}

// environment is the environment of a command line.
type environment struct {
	out    io.Writer
	err    io.Writer
	getenv func(name string) string
}

// run executes a command line and returns its exit code.
func run(ctx context.Context, args []string, p environment) exitCode {
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
