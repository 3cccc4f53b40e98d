package refusal

import (
	"fmt"
	"time"
)

// Code is a stable, machine-readable identifier of a reason.
type Code string

// Codes of refusals of work that did not run.
const (
	KeyMissing       Code = "KeyMissing"
	KeyUnknown       Code = "KeyUnknown"
	QueueUnknown     Code = "QueueUnknown"
	PlanForbids      Code = "PlanForbids"
	UpperLimit       Code = "UpperLimit"
	QueueFull        Code = "QueueFull"
	WaitTooLong      Code = "WaitTooLong"
	DeadlinePassed   Code = "DeadlinePassed"
	NotFresh         Code = "NotFresh"
	NoEndpoint       Code = "NoEndpoint"
	Stopping         Code = "Stopping"
	Overloaded       Code = "Overloaded"
	StoreUnavailable Code = "StoreUnavailable"
	RequestInvalid   Code = "RequestInvalid"
	RequestTooLarge  Code = "RequestTooLarge"
	RequestExpired   Code = "RequestExpired"
	NeverRuns        Code = "NeverRuns"
	Cancelled        Code = "Cancelled"
)

// Codes of answers about work that may have run.
const (
	OutcomeUnknown    Code = "OutcomeUnknown"
	InProgress        Code = "InProgress"
	AlreadyDone       Code = "AlreadyDone"
	AnswerIncomplete  Code = "AnswerIncomplete"
	EndpointTimedOut  Code = "EndpointTimedOut"
	CallerInterrupted Code = "CallerInterrupted"
)

// NotRunError is the refusal of work of which no byte was sent to an endpoint.
type NotRunError struct {
	Code   Code
	Reason string
	// RetryAfter is the time after which a retry is likely to be accepted; zero if unknown.
	RetryAfter time.Duration
}

// Error implements error.
func (r *NotRunError) Error() string {
	return fmt.Sprintf("%s: %s (not run)", r.Code, r.Reason)
}

// Is reports whether target is a NotRunError with the same code.
func (r *NotRunError) Is(target error) bool {
	t, ok := target.(*NotRunError)
	return ok && t.Code == r.Code
}

// WithRetryAfter returns a copy of the refusal with its RetryAfter set to d.
func (r *NotRunError) WithRetryAfter(d time.Duration) *NotRunError {
	c := *r
	c.RetryAfter = d

	return &c
}

// Refuse returns a NotRunError with the code and a formatted reason.
func Refuse(code Code, format string, args ...any) *NotRunError {
	return &NotRunError{Code: code, Reason: fmt.Sprintf(format, args...)}
}

// UnknownError is the error for work of which a byte may have reached an endpoint.
type UnknownError struct {
	Code   Code
	Reason string
}

// Error implements error.
func (u *UnknownError) Error() string {
	return fmt.Sprintf("%s: %s (may have run)", u.Code, u.Reason)
}

// Is reports whether target is an UnknownError with the same code.
func (u *UnknownError) Is(target error) bool {
	t, ok := target.(*UnknownError)
	return ok && t.Code == u.Code
}

// Uncertain returns an UnknownError with the code and a formatted reason.
func Uncertain(code Code, format string, args ...any) *UnknownError {
	return &UnknownError{Code: code, Reason: fmt.Sprintf(format, args...)}
}
