// Package admission decides whether a caller's request may run now: its key,
// its team, the customer's plan, the queue, the team's upper limit, and a slot.
package admission
