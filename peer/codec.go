package peer

import (
	"bytes"
	"errors"
	"io"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
)

const (
	// Version is the protocol version of this release.
	Version = 1
	// oldestReader is the oldest protocol version that can decode messages of this release.
	oldestReader = 1
	// MaxMessageSize is the maximum size of a message, in bytes.
	MaxMessageSize = 1<<20 + 64<<10
	maxElements    = 1 << 16
	maxNesting     = 16
)

// request is the envelope of a request; unknown fields are ignored.
type request struct {
	Version      uint64
	OldestReader uint64
	Kind         Kind
	From         Peer
	Body         cbor.RawMessage
}

// response is the envelope of a response.
type response struct {
	Version      uint64
	OldestReader uint64
	// Code is the error code; it is empty on success.
	Code   string          `cbor:",omitempty"`
	Reason string          `cbor:",omitempty"`
	Body   cbor.RawMessage `cbor:",omitempty"`
}

// wireErrors maps errors to their codes on the wire.
var wireErrors = []struct {
	err  error
	name string
}{
	{ErrUnknownKind, "UnknownKind"},
	{ErrVersion, "Version"},
	{ErrMalformed, "Malformed"},
	{ErrTooLarge, "TooLarge"},
	{ErrBusy, "Busy"},
}

const codeRefused = "Refused"

var decoding = sync.OnceValue(func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxArrayElements: maxElements, MaxMapPairs: maxElements, MaxNestedLevels: maxNesting,
	}.DecMode()
	if err != nil {
		panic(err)
	}

	return mode
})

// encode returns v as one CBOR data item.
func encode(v any) ([]byte, error) {
	data, err := cbor.Marshal(v)
	if err != nil {
		return nil, merry.Prependf(ErrMalformed, "encode %T: %v", v, err)
	}
	if len(data) > MaxMessageSize {
		return nil, merry.Prependf(ErrTooLarge, "%T of %d bytes", v, len(data))
	}

	return data, nil
}

// decode decodes data, which must be exactly one CBOR data item.
func decode(data []byte, v any) error {
	if err := decoding().Unmarshal(data, v); err != nil {
		return merry.Prependf(ErrMalformed, "decode %T: %v", v, err)
	}

	return nil
}

// readItem reads a stream that must consist of exactly one CBOR data item, and returns its bytes.
func readItem(r io.Reader) ([]byte, error) {
	bounded := &io.LimitedReader{R: r, N: MaxMessageSize + 1}
	dec := decoding().NewDecoder(bounded)
	var item cbor.RawMessage
	if err := dec.Decode(&item); err != nil {
		if bounded.N <= 0 {
			return nil, merry.Wrap(ErrTooLarge)
		}

		return nil, merry.Prependf(ErrMalformed, "read item: %v", err)
	}
	if len(item) > MaxMessageSize {
		return nil, merry.Wrap(ErrTooLarge)
	}

	rest, err := io.Copy(io.Discard, io.LimitReader(io.MultiReader(dec.Buffered(), r), 1))
	if err != nil {
		return nil, merry.Prependf(ErrMalformed, "read end of item: %v", err)
	}
	if rest > 0 {
		return nil, merry.Prepend(ErrMalformed, "data after the item")
	}

	return bytes.Clone(item), nil
}

// errorResponse returns the response for a failed request.
func errorResponse(err error) response {
	a := response{Version: Version, OldestReader: oldestReader, Code: codeRefused, Reason: err.Error()}
	for _, known := range wireErrors {
		if errors.Is(err, known.err) {
			a.Code = known.name
		}
	}

	return a
}

// result returns the body of a response, or its error.
func (a response) result() ([]byte, error) {
	if a.OldestReader > Version {
		return nil, merry.Prependf(ErrVersion, "response needs version %d", a.OldestReader)
	}
	if a.Code == "" {
		return a.Body, nil
	}
	for _, known := range wireErrors {
		if known.name == a.Code {
			return nil, merry.Prepend(known.err, a.Reason)
		}
	}

	return nil, merry.Prepend(ErrRefused, a.Reason)
}
