// Package endpoint tracks the slots and connections of endpoints and sends
// requests to them. A request that is not idempotent is sent at most once.
//
// An attempt begins as Unsent and becomes Sent once a byte may have been written
// to the connection. Only Unsent creates a refusal.NotRunError and only Sent a
// refusal.UnknownError, so the types keep the reported outcome truthful.
package endpoint
