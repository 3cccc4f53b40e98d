// Package admission decides whether a caller's request may run, and when: its key,
// its team, the customer's plan, the queue, the upper limits, its share, and a slot.
package admission
