package peer

import (
	"context"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/fleet"
)

// Handle registers the handler for a kind of request. Q and A are encoded as CBOR maps, keyed by field name.
func Handle[Q, A any](m *Mesh, kind Kind, h func(ctx context.Context, from Peer, req Q) (A, error)) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.handlers[kind] = func(ctx context.Context, from Peer, body []byte) ([]byte, error) {
		var q Q
		if err := decode(body, &q); err != nil {
			return nil, err
		}
		a, err := h(ctx, from, q)
		if err != nil {
			return nil, err
		}

		return encode(a)
	}
}

// Call sends a request to a peer and returns the response. After ErrUnknownPeer, and after ErrBusy of this process, nothing was sent.
func Call[A, Q any](ctx context.Context, m *Mesh, to fleet.EntryName, kind Kind, q Q) (A, error) {
	var a A
	l, err := m.link(to)
	if err != nil {
		return a, err
	}

	select {
	case l.outstanding <- struct{}{}:
		defer func() { <-l.outstanding }()
	default:
		return a, merry.Prepend(ErrBusy, string(to))
	}

	return send[A](ctx, m, l.peer, kind, q)
}

// CallAt is like Call for a process that is not a peer of the mesh, such as a seed; it doesn't limit outstanding requests.
func CallAt[A, Q any](ctx context.Context, m *Mesh, to Peer, kind Kind, q Q) (A, error) {
	return send[A](ctx, m, to, kind, q)
}

func send[A, Q any](ctx context.Context, m *Mesh, to Peer, kind Kind, q Q) (A, error) {
	var a A
	body, err := encode(q)
	if err != nil {
		return a, err
	}

	ctx, cancel := context.WithTimeout(ctx, m.timeout)
	defer cancel()
	reply, err := m.roundTrip(ctx, to, request{
		Version: Version, OldestReader: oldestReader, Kind: kind, From: m.Self(), Body: body,
	})
	m.counters.request(kind, err)
	if err != nil {
		return a, merry.Prependf(err, "%s to %s", kind, to.Name)
	}

	return a, decode(reply, &a)
}

func (m *Mesh) roundTrip(ctx context.Context, to Peer, req request) ([]byte, error) {
	out, err := encode(req)
	if err != nil {
		return nil, err
	}
	in, err := m.exchange(ctx, to, out)
	if err != nil {
		return nil, err
	}

	var a response
	if err := decode(in, &a); err != nil {
		return nil, err
	}

	return a.result()
}

// Serve handles one encoded request and returns the encoded response; transports call it.
func (m *Mesh) Serve(ctx context.Context, data []byte) []byte {
	body, err := m.handle(ctx, data)
	a := response{Version: Version, OldestReader: oldestReader, Body: body}
	if err != nil {
		a = errorResponse(err)
	}

	out, err := encode(a)
	if err != nil {
		out, _ = encode(errorResponse(err))
	}

	return out
}

func (m *Mesh) handle(ctx context.Context, data []byte) ([]byte, error) {
	var req request
	if err := decode(data, &req); err != nil {
		return nil, err
	}
	if req.OldestReader > Version {
		return nil, merry.Prependf(ErrVersion, "request needs version %d, this is %d", req.OldestReader, Version)
	}

	m.mu.Lock()
	h, ok := m.handlers[req.Kind]
	m.mu.Unlock()
	if !ok {
		return nil, merry.Prepend(ErrUnknownKind, string(req.Kind))
	}

	return h(ctx, req.From, req.Body)
}
