// Command lycheehook is every process of lycheehook: the entry host, the
// operators' command line, and a sample estate to try it on.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/ansel1/merry/v2"
)

func main() {
	os.Exit(run())
}

// run returns the exit code of the command line.
func run() int {
	// Refusals are ordinary answers here; a stack for each would cost more than the decision.
	merry.SetStackCaptureEnabled(false)

	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()

	if err := newRoot().ExecuteContext(ctx); err != nil {
		return 1
	}

	return 0
}
