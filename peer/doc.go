// Package peer is the protocol between entry hosts: typed requests with whole
// answers and a periodic heartbeat, in CBOR over QUIC with mutual TLS.
//
// Each request has a stream of its own, whose end marks the end of the message,
// so an answer can neither meet another request nor pass for whole when it was
// cut. Requests may arrive twice when a caller repeats one, so every handler is
// idempotent.
package peer
