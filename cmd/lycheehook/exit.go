package main

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/plan"
	"lycheehook.example/lycheehook/settings"
)

// exitCode is what the process returns; the numbers are part of the interface.
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

// Sentinel errors of the command line.
var (
	// errInput says that a file does not hold together; its faults have been printed.
	errInput = merry.Sentinel("faults found")
	// errUnavailable says that no entry host answered, or none reaches the store.
	errUnavailable = merry.Sentinel("unavailable")
	// errUnknown says that a change may or may not have been accepted.
	errUnknown = merry.Sentinel("outcome unknown")
	// errDifferent says that a file differs from what is in force.
	errDifferent = merry.Sentinel("the file differs from what is in force")
	// errNotInForce says that a change was accepted but is not in force everywhere yet.
	errNotInForce = merry.Sentinel("accepted, but not yet in force everywhere")
)

// answerCodes gives the exit code of each code of the operators' interface.
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

// exitCodeOf returns the exit code for the error of a command; a command that did not start was called wrongly.
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
