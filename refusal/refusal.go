package refusal

import (
	"fmt"
	"time"
)

// Code is a stable identifier of a reason, for programs.
type Code string

// The codes of refusals that were surely not run.
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
	StoreUnavailable Code = "StoreUnavailable"
	RequestInvalid   Code = "RequestInvalid"
	RequestTooLarge  Code = "RequestTooLarge"
	RequestExpired   Code = "RequestExpired"
	NeverRuns        Code = "NeverRuns"
	Cancelled        Code = "Cancelled"
)

// The codes of answers about work that may have run.
const (
	OutcomeUnknown    Code = "OutcomeUnknown"
	InProgress        Code = "InProgress"
	AlreadyDone       Code = "AlreadyDone"
	AnswerIncomplete  Code = "AnswerIncomplete"
	EndpointTimedOut  Code = "EndpointTimedOut"
	CallerInterrupted Code = "CallerInterrupted"
)

// NotRunError is a refusal of work of which no byte was sent to an endpoint.
type NotRunError struct {
	Code   Code
	Reason string
	// RetryAfter is the time after which a repeat is likely to be taken; zero if unknown.
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

// WithRetryAfter returns the refusal with another time to come back.
func (r *NotRunError) WithRetryAfter(d time.Duration) *NotRunError {
	c := *r
	c.RetryAfter = d

	return &c
}

// Refuse returns a NotRunError.
func Refuse(code Code, format string, args ...any) *NotRunError {
	return &NotRunError{Code: code, Reason: fmt.Sprintf(format, args...)}
}

// UnknownError is the answer for work of which a byte may have reached an endpoint.
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

// Uncertain returns an UnknownError.
func Uncertain(code Code, format string, args ...any) *UnknownError {
	return &UnknownError{Code: code, Reason: fmt.Sprintf(format, args...)}
}
