package entry

import (
	"fmt"
	"time"

	"lycheehook.example/lycheehook/audit"
	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/move"
	"lycheehook.example/lycheehook/wave"
)

// hostAuditor returns a function that records the control loop's actions on hosts in the audit trail. Writes of budget
// records are left out, because they only account for these actions.
func hostAuditor(t *audit.Trail, who fleet.EntryName) func(fleet.Action) {
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
			e.Action = callAuditActions[a.Kind]
			e.Changes = []string{string(a.Kind)}
		default:
			return
		}
		t.Record(e)
	}
}

// callAuditActions maps each call to the platform to its audit action.
var callAuditActions = map[move.CallKind]audit.Action{
	move.CallDrain:       audit.DrainHost,
	move.CallCancelDrain: audit.DrainHost,
	move.CallReboot:      audit.RebootHost,
}

// waveAuditor returns a function that records the state changes of waves in the audit trail.
func waveAuditor(t *audit.Trail, who fleet.EntryName) func(from, to wave.Record, err error) {
	return func(from, to wave.Record, err error) {
		e := audit.Entry{Who: string(who), Action: waveAuditActions[to.State], Subject: fmt.Sprintf("Waves/%d", to.Number), Result: audit.Accepted}
		e.Changes = []string{fmt.Sprintf("state %s -> %s, starts at %s", from.State, to.State, to.StartsAt.UTC().Format(time.RFC3339))}
		if err != nil {
			e.Result, e.Reason = audit.Unknown, err.Error()
		}
		t.Record(e)
	}
}

// waveAuditActions maps the state that a wave enters to its audit action.
var waveAuditActions = map[wave.State]audit.Action{
	wave.Planned: audit.PlanWave,
	wave.Running: audit.StartWave,
	wave.Done:    audit.EndWave,
}
