// Package relay reaches the platform's store through other entry hosts while
// the store turns this one away, and does the same for them.
package relay
