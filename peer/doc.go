// Package peer implements the protocol between entry hosts: typed requests and
// periodic heartbeats, encoded as CBOR, over QUIC with mutual TLS.
//
// Each request uses its own stream, and the end of the stream marks the end of
// the message. A response therefore can't be matched to another request, and a
// truncated message is detected. Callers retry requests, so handlers have to be
// idempotent.
package peer
