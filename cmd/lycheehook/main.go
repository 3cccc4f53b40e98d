// Command lycheehook is every process of lycheehook: the entry host, the
// operators' command line, and a sample estate to try it on.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	os.Exit(run())
}

// run returns the exit code of the command line.
func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()

	if err := newRoot().ExecuteContext(ctx); err != nil {
		return 1
	}

	return 0
}
