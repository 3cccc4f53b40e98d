// Package load drives running entry hosts with requests over real sockets and
// checks every answer while it measures.
//
// The load is open: each request has an intended start that does not wait for
// earlier answers, and latency counts from there, so a stall of the system
// shows in full instead of silencing the load.
package load
