package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"lycheehook.example/lycheehook/document"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/plan"
)

// fileFault is a fault and the file that contains it.
type fileFault struct {
	File string
	document.Fault
}

func newCheck() *cobra.Command {
	var output string
	cmd := &cobra.Command{
		Use:   "check FILE...",
		Short: "Check lists in files offline",
		Long: "Check lists in files without contacting an entry host. All files together form the two lists; " +
			"if no file contains plans, the plans that customers name are assumed to exist.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := checkOutput(output); err != nil {
				return err
			}
			_, faults := readLists(args)

			return reportFaults(cmd, output, faults, "%d files are valid\n", len(args))
		},
	}
	cmd.Flags().StringVarP(&output, "output", "o", outputTable, "output format: table or json")

	return cmd
}

// reportFaults prints the faults and returns errInput, or prints the line valid if there are none.
func reportFaults(cmd *cobra.Command, output string, faults []fileFault, validLine string, args ...any) error {
	switch {
	case output == outputJSON:
		if err := writeJSON(cmd.OutOrStdout(), struct{ Faults []fileFault }{append([]fileFault{}, faults...)}); err != nil {
			return err
		}
	case len(faults) == 0:
		_, _ = fmt.Fprintf(cmd.OutOrStdout(), validLine, args...)
	}
	if len(faults) == 0 {
		return nil
	}

	for _, f := range faults {
		if output == outputTable {
			_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%s: %s\n", f.File, f.Fault)
		}
	}

	return merry.Prependf(errInput, "%d", len(faults))
}

// listFile is a file and the positions of its elements in the combined lists of all files.
type listFile struct {
	name  string
	lines document.Lines
	// first is the index of the file's first element in each list, and count the number of its elements.
	first, count map[string]int
}

// readLists reads files as parts of the two lists and returns all faults.
func readLists(names []string) (plan.Lists, []fileFault) {
	var all plan.Lists
	var files []listFile
	var faults []fileFault
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			faults = append(faults, fileFault{name, document.Fault{Reason: err.Error()}})
			continue
		}
		var l plan.Lists
		lines, found := document.Decode(data, &l)
		for _, f := range found {
			faults = append(faults, fileFault{name, f})
		}
		files = append(files, listFile{name: name, lines: lines, first: counts(all), count: counts(l)})
		all.Customers = append(all.Customers, l.Customers...)
		all.Plans = append(all.Plans, l.Plans...)
		all.Queues = append(all.Queues, l.Queues...)
		all.Pools = append(all.Pools, l.Pools...)
		all.Budgets = append(all.Budgets, l.Budgets...)
	}
	if len(faults) > 0 {
		// Lists that were not decoded completely would yield spurious faults.
		return all, faults
	}

	for _, f := range faultsOf(all) {
		faults = append(faults, locate(files, document.Fault{Path: f.Path, Reason: f.Reason}))
	}

	return all, faults
}

func counts(l plan.Lists) map[string]int {
	return map[string]int{
		"Customers": len(l.Customers), "Plans": len(l.Plans), "Queues": len(l.Queues), "Pools": len(l.Pools), "Budgets": len(l.Budgets),
	}
}

// faultsOf validates the lists. If the plans' list is empty, the plans that customers name are assumed to exist.
func faultsOf(l plan.Lists) []plan.Fault {
	if len(l.Plans)+len(l.Queues)+len(l.Pools)+len(l.Budgets) > 0 {
		return l.Faults()
	}

	named := map[fleet.PlanName]bool{}
	for _, c := range l.Customers {
		if c.Plan != "" && !named[c.Plan] {
			named[c.Plan] = true
			l.Plans = append(l.Plans, fleet.Plan{Name: c.Plan})
		}
	}
	var faults []plan.Fault
	for _, f := range l.Faults() {
		if strings.HasPrefix(f.Path, "Customers") {
			faults = append(faults, f)
		}
	}

	return faults
}

// locate returns the file and line of a fault in the combined lists.
func locate(files []listFile, f document.Fault) fileFault {
	list, rest, _ := strings.Cut(f.Path, "[")
	number, rest, found := strings.Cut(rest, "]")
	index, err := strconv.Atoi(number)
	if !found || err != nil {
		return fileFault{Fault: f}
	}

	for _, file := range files {
		if i := index - file.first[list]; i >= 0 && i < file.count[list] {
			f.Path = fmt.Sprintf("%s[%d]%s", list, i, rest)
			f.Line = file.lines.Of(f.Path)

			return fileFault{file.name, f}
		}
	}

	return fileFault{Fault: f}
}
