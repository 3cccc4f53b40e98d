// Package agent delegates an owner's calls to workers to other entry hosts, its agents, when the owner's own CPU or link
// can't handle them. All decisions and sequence numbers come from the owner; an agent makes a call only before the deadline
// that the owner set for it, and returns the result.
package agent
