// Command standin-2 plays the cases of review/REPORT-2.md on a small deployment: the platform, its machines and runners and the
// clients are stand-ins in this process, the managers are processes of the project's own program.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// limit ends a case that hangs.
const limit = 110 * time.Second

// cases are the cases by name. Each returns what breaks the rule, or an error if it could not run.
var cases = map[string]func(w *world) ([]string, error){
	"late-start": lateStart, "late-start-takeover": lateStartTakeover, "late-upkeep": lateUpkeep, "lost-with-owner": lostWithOwner,
}

func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin-2 CASE FOLDER")
		return notRun
	}
	w, err := newWorld(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println(err)
		return notRun
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(limit):
		}
		w.note("the case is cut off")
		w.close()
		os.Exit(notRun)
	}()
	faults, err := cases[os.Args[1]](w)
	defer w.close()
	if err != nil {
		w.note("the case could not run: %v", err)
		fmt.Println("could not run:", err)

		return notRun
	}
	for _, f := range faults {
		w.note("BROKEN: %s", f)
		fmt.Println("broken:", f)
	}
	if len(faults) > 0 {
		return broken
	}
	w.note("the rule held")
	fmt.Println("the rule held")

	return held
}
