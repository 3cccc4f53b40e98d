// Package relay sends calls to the platform's store through other entry hosts
// while direct calls fail, and forwards such calls for them. It also exchanges
// messages between entry hosts.
package relay
