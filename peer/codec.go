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
	// Version is the protocol version that this release speaks.
	Version = 1
	// oldestReader is the lowest protocol version that can read the messages of this release.
	oldestReader = 1
	// MaxMessageSize bounds a message, in bytes.
	MaxMessageSize = 1<<20 + 64<<10
	maxElements    = 1 << 16
	maxNesting     = 16
)

// request is the envelope of every request; readers pass over fields that they do not know.
type request struct {
	Version      uint64
	OldestReader uint64
	Kind         Kind
	From         Peer
	Body         cbor.RawMessage
}

// answer is the envelope of every answer.
type answer struct {
	Version      uint64
	OldestReader uint64
	// Code is empty for a request that was carried out.
	Code   string          `cbor:",omitempty"`
	Reason string          `cbor:",omitempty"`
	Body   cbor.RawMessage `cbor:",omitempty"`
}

// answerErrors gives the name on the wire of each error that a peer can answer with.
var answerErrors = []struct {
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

// decode reads exactly one data item from data.
func decode(data []byte, v any) error {
	if err := decoding().Unmarshal(data, v); err != nil {
		return merry.Prependf(ErrMalformed, "decode %T: %v", v, err)
	}

	return nil
}

// readItem reads one data item up to the end of the stream and returns its bytes; anything less or more is an error.
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

// refuse returns the answer for a request that failed.
func refuse(err error) answer {
	a := answer{Version: Version, OldestReader: oldestReader, Code: codeRefused, Reason: err.Error()}
	for _, known := range answerErrors {
		if errors.Is(err, known.err) {
			a.Code = known.name
		}
	}

	return a
}

// result returns the body of an answer or the error that it carries.
func (a answer) result() ([]byte, error) {
	if a.OldestReader > Version {
		return nil, merry.Prependf(ErrVersion, "answer needs version %d", a.OldestReader)
	}
	if a.Code == "" {
		return a.Body, nil
	}
	for _, known := range answerErrors {
		if known.name == a.Code {
			return nil, merry.Prepend(known.err, a.Reason)
		}
	}

	return nil, merry.Prepend(ErrRefused, a.Reason)
}
