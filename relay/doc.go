// Package relay sends calls to the platform's store through other entry hosts
// while direct calls fail, sends overdue reads by another way, and forwards such
// calls for other hosts. It also exchanges messages between entry hosts.
package relay
