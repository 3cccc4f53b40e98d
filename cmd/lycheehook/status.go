package main

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/spf13/cobra"

	"lycheehook.example/lycheehook/audit"
	"lycheehook.example/lycheehook/fleet"
)

type statusAnswer struct {
	Name     string
	Region   string
	Zone     string
	Revision uint64
	Fresh    bool
	Stopping bool
	Entries  []entryAnswer
	Pools    []poolAnswer
	Teams    []teamAnswer
	Queues   []queueAnswer
	Audit    audit.Counts
}

type entryAnswer struct {
	Name     string
	Revision uint64
	InForce  bool
}

type poolAnswer struct {
	Name     string
	Spare    bool
	MinHosts int
	Queues   []string
	Slots    int64
	Waiting  int
}

type teamAnswer struct {
	Name       string
	Customer   string
	Plan       string
	Share      int64
	UpperLimit fleet.Resources
	Keys       int
	Running    fleet.Resources
	Waiting    fleet.Resources
}

type queueAnswer struct {
	Name string
	Pool string
	Open bool
}

// hostAnswer is the status of an entry host, or the error of the request.
type hostAnswer struct {
	Address string
	Error   string `json:",omitempty"`
	Status  *statusAnswer
}

func newStatus(p environment) *cobra.Command {
	f := &clientFlags{process: p}
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the state of each entry host, and the pools, teams and queues",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runStatus(cmd, f)
		},
	}
	f.add(cmd)

	return cmd
}

func runStatus(cmd *cobra.Command, f *clientFlags) error {
	c, err := f.client()
	if err != nil {
		return err
	}

	var hosts []hostAnswer
	var newest *statusAnswer
	for _, a := range c.addresses {
		var s statusAnswer
		h := hostAnswer{Address: a.String()}
		if askErr := c.do(cmd.Context(), a, http.MethodGet, "/v1/status", nil, &s); askErr != nil {
			h.Error, err = askErr.Error(), askErr
		} else {
			h.Status = &s
			if newest == nil || s.Revision > newest.Revision {
				newest = &s
			}
		}
		hosts = append(hosts, h)
	}

	if f.output == outputJSON {
		if writeErr := writeJSON(cmd.OutOrStdout(), struct{ Hosts []hostAnswer }{hosts}); writeErr != nil {
			return writeErr
		}
	} else if writeErr := writeStatus(cmd, hosts, newest); writeErr != nil {
		return writeErr
	}

	return err
}

func writeStatus(cmd *cobra.Command, hosts []hostAnswer, newest *statusAnswer) error {
	w := cmd.OutOrStdout()
	entries := table{header: []string{"Entry host", "Zone", "Operators", "Revision", "State"}}
	for _, h := range hosts {
		if h.Status == nil {
			entries.add("-", "-", h.Address, "-", h.Error)
			continue
		}
		entries.add(h.Status.Name, h.Status.Zone, h.Address, h.Status.Revision, stateOf(h.Status))
	}
	if err := entries.write(w); err != nil || newest == nil {
		return err
	}

	pools := table{header: []string{"Pool", "Spare", "Least hosts", "Slots", "Waiting", "Queues"}}
	for _, p := range newest.Pools {
		pools.add(p.Name, p.Spare, p.MinHosts, p.Slots, sumOf(hosts, func(s *statusAnswer) int64 { return waitingFor(s, p.Name) }),
			strings.Join(p.Queues, " "))
	}
	teams := table{header: []string{"Team", "Customer", "Plan", "Share", "Limit", "Running", "Waiting", "Keys"}}
	for _, t := range newest.Teams {
		running := sumOf(hosts, func(s *statusAnswer) int64 { return teamOf(s, t.Name).Running.Slots })
		waiting := sumOf(hosts, func(s *statusAnswer) int64 { return teamOf(s, t.Name).Waiting.Slots })
		teams.add(t.Name, t.Customer, t.Plan, t.Share, t.UpperLimit.Slots, running, waiting, t.Keys)
	}
	for _, t := range []*table{&pools, &teams} {
		_, _ = fmt.Fprintln(w)
		if err := t.write(w); err != nil {
			return err
		}
	}

	return nil
}

func stateOf(s *statusAnswer) string {
	switch {
	case s.Stopping:
		return "stopping"
	case s.Fresh:
		return "in force"
	default:
		return "not fresh"
	}
}

// sumOf returns the sum of a value over the entry hosts that responded, because each reports only its own work.
func sumOf(hosts []hostAnswer, figure func(*statusAnswer) int64) int64 {
	total := int64(0)
	for _, h := range hosts {
		if h.Status != nil {
			total += figure(h.Status)
		}
	}

	return total
}

func waitingFor(s *statusAnswer, pool string) int64 {
	for _, p := range s.Pools {
		if p.Name == pool {
			return int64(p.Waiting)
		}
	}

	return 0
}

func teamOf(s *statusAnswer, name string) teamAnswer {
	for _, t := range s.Teams {
		if t.Name == name {
			return t
		}
	}

	return teamAnswer{}
}
