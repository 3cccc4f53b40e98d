package main

import (
	"context"
	"io"
	"strconv"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/rogpeppe/go-internal/testscript"

	"lycheehook.example/lycheehook/estate"
	"lycheehook.example/lycheehook/settings"
	"lycheehook.example/lycheehook/standin"
)

type estateKey struct{}

// TestScripts runs the command line against sample estates on loopback. The scripts have these additional commands:
//
//	estate N             starts an estate with N entry hosts and sets the environment variables for its operators
//	store down|up        makes the store unavailable or available
//	lycheehook ARG...    runs a command line in this process
//	exits CODE ARG...    runs a command line that must exit with CODE
//	remember NAME WORD   sets the variable NAME to the word after WORD in the last standard output
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			env.Values[estateKey{}] = new(*estate.Estate)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"estate":     startEstate,
			"store":      setStore,
			"remember":   remember,
			"lycheehook": func(ts *testscript.TestScript, neg bool, args []string) { expectExit(ts, neg, 0, args) },
			"exits": func(ts *testscript.TestScript, neg bool, args []string) {
				code, err := strconv.Atoi(args[0])
				ts.Check(err)
				expectExit(ts, neg, exitCode(code), args[1:])
			},
		},
	})
}

func expectExit(ts *testscript.TestScript, neg bool, want exitCode, args []string) {
	got := run(context.Background(), args, environment{out: ts.Stdout(), err: ts.Stderr(), getenv: ts.Getenv})
	if (got == want) == neg {
		ts.Fatalf("lycheehook %s: exit code %d, want %d (negated: %t)", strings.Join(args, " "), got, want, neg)
	}
}

func startEstate(ts *testscript.TestScript, _ bool, args []string) {
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	e := estate.New(log.New(io.Discard), estate.WithEntries(n))
	ts.Check(e.Start(context.Background()))
	ts.Defer(e.Stop)
	*ts.Value(estateKey{}).(**estate.Estate) = e
	ts.Setenv(envOperator, operatorAddresses(e.Entries()))
	ts.Setenv(envToken, estate.DevOperatorToken)
}

func operatorAddresses(entries []settings.Settings) string {
	addresses := make([]string, len(entries))
	for i, s := range entries {
		addresses[i] = s.OperatorAddress.String()
	}

	return strings.Join(addresses, ",")
}

func setStore(ts *testscript.TestScript, _ bool, args []string) {
	faults := map[string]standin.Fault{"down": standin.FaultDown, "up": standin.FaultNone}
	fault, ok := faults[args[0]]
	if !ok {
		ts.Fatalf("store is neither down nor up")
	}
	(*ts.Value(estateKey{}).(**estate.Estate)).Store.SetFault(fault)
}

func remember(ts *testscript.TestScript, _ bool, args []string) {
	words := strings.Fields(ts.ReadFile("stdout"))
	for i, w := range words[:len(words)-1] {
		if w == args[1] {
			ts.Setenv(args[0], words[i+1])
			return
		}
	}
	ts.Fatalf("no word after %q in the output", args[1])
}
