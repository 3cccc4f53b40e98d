// Package refusal defines the errors for work that is refused or whose outcome is unknown.
//
// A NotRunError guarantees that no part of the request reached an endpoint.
// An UnknownError means that a byte may have been sent, so the work may have run.
// They are distinct types so that code that has sent bytes has no value that
// it could turn into a NotRunError by accident.
package refusal
