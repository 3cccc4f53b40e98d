// Package refusal defines the two ways in which work is turned away.
//
// A NotRunError is a promise that nothing of the request reached an endpoint.
// An UnknownError says that a byte may have left, so the work may have run.
// The two are distinct types on purpose: code that has sent bytes holds no
// value from which it could make a NotRunError by accident.
package refusal
