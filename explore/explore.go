package explore

import (
	"fmt"
	"strings"
)

// Step is a transition to the state Next; Label names it in a trace.
type Step[S any] struct {
	Label string
	Next  S
}

// Model is a transition system with an invariant.
type Model[S any, K comparable] struct {
	// Initial is the state in which the search starts.
	Initial S
	// Steps returns all transitions from a state.
	Steps func(S) []Step[S]
	// Key returns the same value for states that are equivalent.
	Key func(S) K
	// Check returns an error for a state that violates the invariant.
	Check func(S) error
}

// Report is the coverage of a search.
type Report struct {
	// States is the number of distinct states checked.
	States int
	// Steps is the number of transitions taken.
	Steps int
	// Depth is the largest distance of a state from the initial state, in steps.
	Depth int
	// Complete means that every reachable state was expanded.
	Complete bool
}

// ViolationError reports a state that violates the invariant, with a shortest path to it.
type ViolationError struct {
	Trace []string
	Err   error
}

// Error implements error.
func (v *ViolationError) Error() string {
	return fmt.Sprintf("invariant broken after %d steps: %v\n  %s", len(v.Trace), v.Err, strings.Join(v.Trace, "\n  "))
}

// Unwrap returns the error of Check.
func (v *ViolationError) Unwrap() error {
	return v.Err
}

// node is a visited state; parent is an index into the search's nodes.
type node[S any] struct {
	state  S
	parent int
	depth  int
	label  string
}

// Run searches all states within maxDepth steps and returns a *ViolationError for the first that violates the invariant.
func (m Model[S, K]) Run(maxDepth int) (Report, error) {
	nodes := []node[S]{{state: m.Initial, parent: -1}}
	seen := map[K]struct{}{m.Key(m.Initial): {}}
	report := Report{States: 1, Complete: true}
	if err := m.Check(m.Initial); err != nil {
		return report, &ViolationError{Err: err}
	}

	for i := 0; i < len(nodes); i++ {
		if nodes[i].depth >= maxDepth {
			report.Complete = false
			break
		}

		for _, s := range m.Steps(nodes[i].state) {
			report.Steps++
			k := m.Key(s.Next)
			if _, ok := seen[k]; ok {
				continue
			}
			seen[k] = struct{}{}

			nodes = append(nodes, node[S]{state: s.Next, parent: i, depth: nodes[i].depth + 1, label: s.Label})
			report.States++
			report.Depth = nodes[i].depth + 1
			if err := m.Check(s.Next); err != nil {
				return report, &ViolationError{Trace: trace(nodes), Err: err}
			}
		}
		var zero S
		nodes[i].state = zero
	}

	return report, nil
}

// trace returns the labels on the path to the last node.
func trace[S any](nodes []node[S]) []string {
	last := nodes[len(nodes)-1]
	labels := make([]string, last.depth)
	for n := last; n.parent >= 0; n = nodes[n.parent] {
		labels[n.depth-1] = n.label
	}

	return labels
}
