package endpoint

import (
	"net/http"
	"strings"
)

// Headers of the exchange with an endpoint.
const (
	// HeaderRequestID carries the caller's request ID to the endpoint and may be echoed by it.
	HeaderRequestID = "X-Request-Id"
	// HeaderTimeout carries the time left until the caller's deadline.
	HeaderTimeout = "Request-Timeout"
	// HeaderIdempotent says whether the endpoint may receive the request more than once.
	HeaderIdempotent = "Idempotent"
	// HeaderState carries the state of the endpoint; any answer may have it.
	HeaderState = "Endpoint-State"
	// StateLeaving is the value of HeaderState that asks for no new work.
	StateLeaving = "Leaving"
)

// hopByHop are the headers that belong to one connection (RFC 9110, section 7.6.1) or to lycheehook itself.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", HeaderState,
}

// EndToEnd returns a copy of h without the headers that belong to one connection, the ones that its Connection
// header names, and the further names.
func EndToEnd(h http.Header, further ...string) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	for _, name := range further {
		out.Del(name)
	}

	return out
}
