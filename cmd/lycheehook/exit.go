package main

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/plan"
	"lycheehook.example/lycheehook/settings"
)

// exitCode is the exit code of the process. The numbers are part of the documented interface.
type exitCode int

// The exit codes.
const (
	exitOK          exitCode = 0
	exitFailure     exitCode = 1
	exitUsage       exitCode = 2
	exitConflict    exitCode = 3
	exitUnavailable exitCode = 4
	exitUnknown     exitCode = 5
	exitRefused     exitCode = 6
	exitNotFound    exitCode = 7
	exitDifferent   exitCode = 8
	exitNotInForce  exitCode = 9
)

// Errors of the command line.
var (
	// errInput means that a file is invalid. Its faults have been printed.
	errInput = merry.Sentinel("faults found")
	// errUnavailable means that no entry host responded.
	errUnavailable = merry.Sentinel("unavailable")
	// errUnknown means that a change may or may not have been accepted.
	errUnknown = merry.Sentinel("outcome unknown")
	// errDifferent means that a file differs from the list in force.
	errDifferent = merry.Sentinel("the file differs from what is in force")
	// errNotInForce means that a change was accepted but is not in force on all entry hosts yet.
	errNotInForce = merry.Sentinel("accepted, but not yet in force everywhere")
)

// answerCodes is the exit code for each error code of the operators' API.
var answerCodes = map[string]exitCode{
	"OperatorUnknown":  exitRefused,
	"RequestInvalid":   exitUsage,
	"RequestTooLarge":  exitUsage,
	"ListInvalid":      exitUsage,
	"Conflict":         exitConflict,
	"NotFound":         exitNotFound,
	"StoreUnavailable": exitUnavailable,
	"OutcomeUnknown":   exitUnknown,
}

// exitCodeOf returns the exit code for the error of a command. An error before the command started is a usage error.
func exitCodeOf(err error, started bool) exitCode {
	var answer *answerError
	switch {
	case err == nil:
		return exitOK
	case !started, errors.Is(err, errUsage), errors.Is(err, errInput), errors.Is(err, plan.ErrInvalid), errors.Is(err, settings.ErrInvalid):
		return exitUsage
	case errors.As(err, &answer):
		return answer.exitCode()
	case errors.Is(err, errUnavailable), errors.Is(err, context.DeadlineExceeded):
		return exitUnavailable
	case errors.Is(err, errUnknown):
		return exitUnknown
	case errors.Is(err, errDifferent):
		return exitDifferent
	case errors.Is(err, errNotInForce):
		return exitNotInForce
	default:
		return exitFailure
	}
}
