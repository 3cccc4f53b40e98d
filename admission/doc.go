// Package admission decides whether and when a caller's request may run, by its
// key, its team, the customer's plan, the queue, the upper limits, the team's share
// and the free slots.
package admission
