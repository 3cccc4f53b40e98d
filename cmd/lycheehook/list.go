package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"lycheehook.example/lycheehook/plan"
)

// list describes one of the two lists for the commands.
type list struct {
	name string
	// this returns this list.
	this func(plan.Lists) any
	// only returns both lists with the other one empty.
	only func(plan.Lists) plan.Lists
	// edit returns the request that applies this list.
	edit func(base uint64, l plan.Lists) any
	// hasOther reports whether the other list is not empty.
	hasOther func(plan.Lists) bool
}

// The two lists.
var (
	customersList = list{
		name: "customers",
		this: func(l plan.Lists) any { return l.CustomersList },
		only: func(l plan.Lists) plan.Lists { return plan.Lists{CustomersList: l.CustomersList} },
		edit: func(base uint64, l plan.Lists) any {
			return struct {
				Base uint64
				plan.CustomersList
			}{base, l.CustomersList}
		},
		hasOther: func(l plan.Lists) bool { return len(l.Plans)+len(l.Queues)+len(l.Pools)+len(l.Budgets) > 0 },
	}
	plansList = list{
		name: "plans",
		this: func(l plan.Lists) any { return l.PlansList },
		only: func(l plan.Lists) plan.Lists { return plan.Lists{PlansList: l.PlansList} },
		edit: func(base uint64, l plan.Lists) any {
			return struct {
				Base uint64
				plan.PlansList
			}{base, l.PlansList}
		},
		hasOther: func(l plan.Lists) bool { return len(l.Customers) > 0 },
	}
)

// listsAnswer is both lists with their revision.
type listsAnswer struct {
	Base  uint64
	Lists plan.Lists
}

type acceptedAnswer struct {
	Revision     uint64
	Changes      []plan.Change
	AuditPending bool
}

func newList(l list, p environment) *cobra.Command {
	f := &clientFlags{process: p}
	cmd := newGroup(l.name, "Show and edit the list of "+l.name, l.newGet(f), l.newDiff(f), l.newApply(f))
	f.add(cmd)

	return cmd
}

func (l list) newGet(f *clientFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "get",
		Short: "Print the list in force, as JSON for apply",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, cur, err := l.current(cmd, f)
			if err != nil {
				return err
			}
			_, _ = fmt.Fprintf(cmd.ErrOrStderr(), "revision %d\n", cur.Base)

			return writeJSON(cmd.OutOrStdout(), l.this(cur.Lists))
		},
	}
}

func (l list) newDiff(f *clientFlags) *cobra.Command {
	var exit bool
	cmd := &cobra.Command{
		Use:   "diff FILE",
		Short: "Print what apply would change",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			_, cur, err := l.current(cmd, f)
			if err != nil {
				return err
			}
			next, err := l.read(cmd, f, args[0])
			if err != nil {
				return err
			}
			changes := plan.Diff(l.only(cur.Lists), next)
			if err := printChanges(cmd, f.output, cur.Base, changes); err != nil {
				return err
			}
			if exit && len(changes) > 0 {
				return errDifferent
			}

			return nil
		},
	}
	cmd.Flags().BoolVar(&exit, "exit-code", false, "exit with 8 if there are changes")

	return cmd
}

func (l list) newApply(f *clientFlags) *cobra.Command {
	var base uint64
	var w waitFlags
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Apply the list in a file",
		Long: "Apply the list in a file, which replaces the whole list. With --base, edits by others since that revision are kept, " +
			"and conflicting edits are refused; without it, the current revision is the base.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, cur, err := l.current(cmd, f)
			if err != nil {
				return err
			}
			next, err := l.read(cmd, f, args[0])
			if err != nil {
				return err
			}
			if !cmd.Flags().Changed("base") {
				base = cur.Base
			}

			var a acceptedAnswer
			if err := c.change(cmd.Context(), http.MethodPost, "/v1/lists/"+l.name, l.edit(base, next), &a); err != nil {
				return err
			}
			if err := printChanges(cmd, f.output, a.Revision, a.Changes); err != nil {
				return err
			}

			return w.wait(cmd, c, a.Revision)
		},
	}
	cmd.Flags().Uint64Var(&base, "base", 0, "revision on which the edit is based")
	w.add(cmd)

	return cmd
}

func (l list) current(cmd *cobra.Command, f *clientFlags) (*client, listsAnswer, error) {
	var cur listsAnswer
	c, err := f.client()
	if err != nil {
		return nil, cur, err
	}

	return c, cur, c.get(cmd.Context(), "/v1/lists", &cur)
}

// read returns the list in a file. It prints the file's faults.
func (l list) read(cmd *cobra.Command, f *clientFlags, name string) (plan.Lists, error) {
	next, faults := readLists([]string{name})
	if len(faults) > 0 {
		return next, reportFaults(cmd, f.output, faults, "")
	}
	if l.hasOther(next) {
		return next, merry.Prependf(errUsage, "%s contains more than the list of %s", name, l.name)
	}

	return next, nil
}

func printChanges(cmd *cobra.Command, output string, revision uint64, changes []plan.Change) error {
	if output == outputJSON {
		return writeJSON(cmd.OutOrStdout(), struct {
			Revision uint64
			Changes  []plan.Change
		}{revision, append([]plan.Change{}, changes...)})
	}

	for _, c := range changes {
		_, _ = fmt.Fprintln(cmd.OutOrStdout(), c)
	}
	if len(changes) == 0 {
		_, _ = fmt.Fprintln(cmd.OutOrStdout(), "no changes")
	}
	_, _ = fmt.Fprintf(cmd.OutOrStdout(), "revision %d\n", revision)

	return nil
}

// waitFlags are the flags of commands that can wait until a change is in force.
type waitFlags struct {
	enabled bool
	limit   time.Duration
}

func (w *waitFlags) add(cmd *cobra.Command) {
	cmd.Flags().BoolVar(&w.enabled, "wait", false, "wait until the change is in force on all entry hosts")
	cmd.Flags().DurationVar(&w.limit, "wait-time", 30*time.Second, "timeout of --wait")
}
