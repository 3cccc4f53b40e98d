package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"lycheehook.example/lycheehook/plan"
)

// list is one of the two lists, as a command.
type list struct {
	name string
	// part returns this list out of both.
	part func(plan.Lists) any
	// alone returns both lists with the other one empty.
	alone func(plan.Lists) plan.Lists
	// edit is the request that puts this list in force.
	edit func(base uint64, l plan.Lists) any
	// foreign reports whether the lists have anything of the other list.
	foreign func(plan.Lists) bool
}

// The two lists.
var (
	customersList = list{
		name:  "customers",
		part:  func(l plan.Lists) any { return l.CustomersList },
		alone: func(l plan.Lists) plan.Lists { return plan.Lists{CustomersList: l.CustomersList} },
		edit: func(base uint64, l plan.Lists) any {
			return struct {
				Base uint64
				plan.CustomersList
			}{base, l.CustomersList}
		},
		foreign: func(l plan.Lists) bool { return len(l.Plans)+len(l.Queues)+len(l.Pools)+len(l.Budgets) > 0 },
	}
	plansList = list{
		name:  "plans",
		part:  func(l plan.Lists) any { return l.PlansList },
		alone: func(l plan.Lists) plan.Lists { return plan.Lists{PlansList: l.PlansList} },
		edit: func(base uint64, l plan.Lists) any {
			return struct {
				Base uint64
				plan.PlansList
			}{base, l.PlansList}
		},
		foreign: func(l plan.Lists) bool { return len(l.Customers) > 0 },
	}
)

// listsAnswer is both lists with the revision that they are.
type listsAnswer struct {
	Base  uint64
	Lists plan.Lists
}

type acceptedAnswer struct {
	Revision     uint64
	Changes      []plan.Change
	AuditPending bool
}

func newList(l list, p process) *cobra.Command {
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

			return writeJSON(cmd.OutOrStdout(), l.part(cur.Lists))
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
			changes := plan.Diff(l.alone(cur.Lists), next)
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
		Short: "Put the list in a file in force",
		Long: "Put the list in a file in force. The file replaces the whole list. With --base, what others edited " +
			"since that revision is kept, and an edit of the same entries is refused; without, it is made from the revision in force now.",
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
	cmd.Flags().Uint64Var(&base, "base", 0, "revision that the edit was made from")
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

// read returns the list in a file, whose faults it prints.
func (l list) read(cmd *cobra.Command, f *clientFlags, name string) (plan.Lists, error) {
	next, faults := readLists([]string{name})
	if len(faults) > 0 {
		return next, reportFaults(cmd, f.output, faults, "")
	}
	if l.foreign(next) {
		return next, merry.Prependf(errUsage, "%s has more than the list of %s", name, l.name)
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
	cmd.Flags().BoolVar(&w.enabled, "wait", false, "wait until the change is in force on every entry host that --operator names")
	cmd.Flags().DurationVar(&w.limit, "wait-time", 30*time.Second, "longest time to wait")
}
