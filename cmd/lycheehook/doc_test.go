package main

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// commandLine matches command lines in the docs.
var commandLine = regexp.MustCompile(`(?m)^    (?:go run \./cmd/)?lycheehook (.*)$`)

// The command lines in the docs name existing commands with valid flags and arguments.
func TestCommandsInDocsAreValid(t *testing.T) {
	total := 0
	for _, page := range []string{"../../README.md", "../../docs/INTERFACE.md", "../../docs/OPERATIONS.md"} {
		data, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, line := range commandLine.FindAllStringSubmatch(string(data), -1) {
			words, _, _ := strings.Cut(line[1], " > ")
			words, _, _ = strings.Cut(words, " #")
			if err := checkCommandLine(strings.Fields(words)); err != nil {
				t.Errorf("%s: lycheehook %s: %v", page, line[1], err)
			}
			total++
		}
	}
	if total < 20 {
		t.Errorf("only %d commands found", total)
	}
}

func checkCommandLine(words []string) error {
	root := newRoot(environment{getenv: func(string) string { return "" }})
	root.InitDefaultCompletionCmd()
	cmd, rest, err := root.Find(words)
	if err != nil {
		return err
	}
	if cmd.HasSubCommands() || !cmd.Runnable() {
		return fmt.Errorf("%s needs a subcommand", cmd.CommandPath())
	}
	if err := cmd.ParseFlags(rest); err != nil {
		return err
	}

	return cmd.ValidateArgs(cmd.Flags().Args())
}

func TestEveryExitCodeIsDocumented(t *testing.T) {
	data, err := os.ReadFile("../../docs/INTERFACE.md")
	if err != nil {
		t.Fatal(err)
	}
	for code := exitOK; code <= exitNotInForce; code++ {
		if !strings.Contains(string(data), fmt.Sprintf("\n| %d | ", code)) {
			t.Errorf("docs/INTERFACE.md lacks exit code %d", code)
		}
	}
}

func TestEveryFlagIsExplained(t *testing.T) {
	var walk func(cmd *cobra.Command)
	walk = func(cmd *cobra.Command) {
		if cmd.Short == "" {
			t.Errorf("%s has no explanation", cmd.CommandPath())
		}
		cmd.LocalFlags().VisitAll(func(f *pflag.Flag) {
			if f.Usage == "" {
				t.Errorf("%s --%s has no explanation", cmd.CommandPath(), f.Name)
			}
		})
		for _, sub := range cmd.Commands() {
			walk(sub)
		}
	}
	walk(newRoot(environment{}))
}
