// Package endpoint keeps the slots and connections of endpoints and sends
// requests to them, each at most once unless the request is idempotent.
//
// A request begins as Unsent; the first byte that leaves turns it into Sent.
// Only Unsent can make a refusal.NotRunError and only Sent a
// refusal.UnknownError, so what a caller is told follows from what was done.
package endpoint
