package ingress

import (
	"bytes"
	"slices"
)

// headerEnd ends the header of a request.
const headerEnd = "\r\n\r\n"

// lastChunk ends a chunked body without trailers; its first two bytes belong to what is before.
var lastChunk = []byte("\r\n0\r\n\r\n")

// extent follows how much has been received of a request and beyond it. Its zero value has received nothing.
type extent struct {
	// matched is the length of the part of headerEnd that the bytes so far end with.
	matched int
	// rest is the number of bytes after the header, once matched is the whole of headerEnd.
	rest int64
	// ends counts the places after the header that may be the end of a chunked body, tail is the last bytes received.
	ends int
	tail []byte
	// unknown is set if the first bytes of the request were received along with the request before it.
	unknown bool
}

// add adds received bytes.
func (e *extent) add(p []byte) {
	for i, b := range p {
		switch {
		case e.matched == len(headerEnd):
			e.addRest(p[i:])
			return
		case b == headerEnd[e.matched]:
			e.matched++
		case b == headerEnd[0]:
			e.matched = 1
		default:
			e.matched = 0
		}
	}
}

// addRest adds bytes received after the header.
func (e *extent) addRest(p []byte) {
	if e.rest == 0 {
		e.tail = append(e.tail, headerEnd[len(headerEnd)-2:]...)
	}
	e.rest += int64(len(p))
	// Ends lie across the border, or in p.
	before, after := e.tail[max(0, len(e.tail)-len(lastChunk)+1):], p[:min(len(p), len(lastChunk)-1)]
	e.ends += bytes.Count(slices.Concat(before, after), lastChunk) + bytes.Count(p, lastChunk)
	e.tail = append(e.tail, p[max(0, len(p)-len(lastChunk)):]...)
	e.tail = bytes.Clone(e.tail[max(0, len(e.tail)-len(lastChunk)):])
}

// goesBeyond reports whether bytes of another request may have been received after a body of the given length; a negative length means
// that it is chunked.
func (e *extent) goesBeyond(length int64) bool {
	switch {
	case e.unknown || e.matched < len(headerEnd):
		return true
	case length < 0:
		return e.ends != 1 || !bytes.Equal(e.tail, lastChunk)
	default:
		return e.rest > length
	}
}
