package entry

import (
	"fmt"
	"time"

	"lycheehook.example/lycheehook/audit"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/move"
	"lycheehook.example/lycheehook/wave"
)

// hostAudit records what the control path did to hosts; records of budgets only keep count of this and are left out.
func hostAudit(t *audit.Trail, who fleet.EntryName) func(fleet.Action) {
	return func(a fleet.Action) {
		e := audit.Entry{Who: string(who), Subject: "Hosts/" + a.Subject(), Result: audit.Accepted}
		switch a := a.(type) {
		case move.WriteHost:
			e.Action = audit.MoveHost
			e.Changes = []string{fmt.Sprintf("pool %s, state %s", a.Record.Pool, a.Record.State)}
			if i := a.Record.Intent; i != nil {
				e.Changes = append(e.Changes, fmt.Sprintf("on its way to pool %s, phase %s", i.To, i.Phase))
			}
		case move.CallHost:
			e.Action = callActions[a.Kind]
			e.Changes = []string{string(a.Kind)}
		default:
			return
		}
		t.Record(e)
	}
}

// callActions gives the action of the trail for each call of the platform.
var callActions = map[move.CallKind]audit.Action{
	move.CallDrain:       audit.DrainHost,
	move.CallCancelDrain: audit.DrainHost,
	move.CallReboot:      audit.RebootHost,
}

// waveAudit records the steps of waves.
func waveAudit(t *audit.Trail, who fleet.EntryName) func(from, to wave.Record, err error) {
	return func(from, to wave.Record, err error) {
		e := audit.Entry{Who: string(who), Action: waveActions[to.State], Subject: fmt.Sprintf("Waves/%d", to.Number), Result: audit.Accepted}
		e.Changes = []string{fmt.Sprintf("state %s -> %s, starts at %s", from.State, to.State, to.StartsAt.UTC().Format(time.RFC3339))}
		if err != nil {
			e.Result, e.Reason = audit.Unknown, err.Error()
		}
		t.Record(e)
	}
}

// waveActions gives the action of the trail for each state that a wave comes to.
var waveActions = map[wave.State]audit.Action{
	wave.Planned: audit.PlanWave,
	wave.Running: audit.StartWave,
	wave.Done:    audit.EndWave,
}
