package peer

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"testing/iotest"

	"github.com/fxamacker/cbor/v2"
)

type text struct {
	Text string
}

func echoMesh() *Mesh {
	m := New(Peer{Name: "b", Incarnation: "b-1"})
	Handle(m, "Echo", func(_ context.Context, _ Peer, q text) (text, error) { return q, nil })

	return m
}

func mustEncode(tb testing.TB, v any) []byte {
	tb.Helper()
	data, err := cbor.Marshal(v)
	if err != nil {
		tb.Fatal(err)
	}

	return data
}

// TestVersionSkew guards against requests of other releases that are rejected although they can be read, or the reverse.
func TestVersionSkew(t *testing.T) {
	body := cbor.RawMessage(mustEncode(t, text{"x"}))
	for _, c := range []struct {
		name string
		req  any
		want error
	}{
		{"this release", request{Version: 1, OldestReader: 1, Kind: "Echo", Body: body}, nil},
		{"a later release that this one can read", request{Version: 9, OldestReader: 1, Kind: "Echo", Body: body}, nil},
		{"a later release that this one cannot read", request{Version: 9, OldestReader: 2, Kind: "Echo", Body: body}, ErrVersion},
		{"an envelope with fields unknown here", map[string]any{
			"Version": 2, "OldestReader": 1, "Kind": "Echo", "Body": body, "Trace": "abc",
		}, nil},
		{"a body with fields unknown here", request{
			OldestReader: 1, Kind: "Echo", Body: mustEncode(t, map[string]any{"Text": "x", "Colour": 3}),
		}, nil},
		{"a kind unknown here", request{Version: 2, OldestReader: 1, Kind: "Later", Body: body}, ErrUnknownKind},
		{"a body of another shape", request{OldestReader: 1, Kind: "Echo", Body: mustEncode(t, 7)}, ErrMalformed},
		{"no envelope", 7, ErrMalformed},
	} {
		var a response
		if err := decode(echoMesh().Serve(t.Context(), mustEncode(t, c.req)), &a); err != nil {
			t.Fatal(err)
		}
		if _, err := a.result(); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}

	if _, err := (response{Version: 9, OldestReader: 2}).result(); !errors.Is(err, ErrVersion) {
		t.Errorf("response of a later release: %v", err)
	}
}

// TestItemsAreComplete guards against truncated messages, and messages with trailing data, that are accepted as complete.
func TestItemsAreComplete(t *testing.T) {
	whole := mustEncode(t, request{Version: 1, Kind: "Echo", Body: mustEncode(t, text{"a longer text"})})
	got, err := readItem(iotest.OneByteReader(bytes.NewReader(whole)))
	if err != nil || !bytes.Equal(got, whole) {
		t.Fatalf("complete item: %v", err)
	}
	for n := range whole {
		if _, err := readItem(bytes.NewReader(whole[:n])); !errors.Is(err, ErrMalformed) {
			t.Errorf("truncated after %d bytes: %v", n, err)
		}
	}
	for _, c := range []struct {
		name string
		data []byte
		want error
	}{
		{"two items", append(bytes.Clone(whole), whole...), ErrMalformed},
		{"too large", mustEncode(t, make([]byte, MaxMessageSize+1)), ErrTooLarge},
		{"duplicate field", []byte{0xa2, 0x61, 'A', 1, 0x61, 'A', 2}, nil},
		{"unbounded nesting", bytes.Repeat([]byte{0x81}, 1000), ErrMalformed},
		{"length that exceeds memory", []byte{0x5b, 0x7f, 255, 255, 255, 255, 255, 255, 255}, ErrMalformed},
	} {
		if _, err := readItem(bytes.NewReader(c.data)); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
	if err := decode([]byte{0xa2, 0x64, 'T', 'e', 'x', 't', 0x61, 'a', 0x64, 'T', 'e', 'x', 't', 0x61, 'b'}, &text{}); !errors.Is(err, ErrMalformed) {
		t.Errorf("duplicate field: %v", err)
	}
}

func FuzzServe(f *testing.F) {
	f.Add(mustEncode(f, request{Version: 1, OldestReader: 1, Kind: "Echo", Body: mustEncode(f, text{"x"})}))
	f.Add(mustEncode(f, request{Version: 1, OldestReader: 1, Kind: kindHeartbeat, Body: mustEncode(f, heartbeat{Sequence: 3})}))
	f.Add(mustEncode(f, request{Version: 9, OldestReader: 9}))
	f.Add([]byte{0xa1})
	m := echoMesh()
	f.Fuzz(func(t *testing.T, data []byte) {
		item, err := readItem(bytes.NewReader(data))
		if err == nil && !bytes.Equal(item, data) {
			t.Fatal("the item differs from the data")
		}
		var a response
		if err := decode(m.Serve(t.Context(), data), &a); err != nil {
			t.Fatalf("response is malformed: %v", err)
		}
	})
}
