package peer

import (
	"bytes"
	"compress/flate"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
)

const (
	// MaxReportSize is the maximum size of one report, in bytes before compression.
	MaxReportSize = 64 << 10
	// maxReportsSize is the maximum size of all reports of a heartbeat, in bytes before compression.
	maxReportsSize = 128 << 10
	// maxPackedSize is the maximum size of all reports of a heartbeat, in bytes after compression.
	maxPackedSize = 32 << 10
)

// Report adds a named report to one heartbeat per report interval. Reports larger than MaxReportSize are dropped and counted.
func Report[T any](m *Mesh, name string, produce func() T) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reports[name] = func() ([]byte, error) { return encode(produce()) }
}

// OnReport registers f for reports of that name from peers; outdated reports are skipped.
func OnReport[T any](m *Mesh, name string, f func(from Peer, report T)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onReport[name] = func(from Peer, data []byte) {
		var report T
		if err := decode(data, &report); err != nil {
			m.counters.dropped("Malformed")
			return
		}
		f(from, report)
	}
}

// packed returns the compressed reports for a heartbeat, cached for half a report interval and shared by all peers.
func (m *Mesh) packed(now time.Time) []byte {
	m.packMu.Lock()
	defer m.packMu.Unlock()
	if m.packedReports != nil && now.Sub(m.packedAt) < m.reportInterval/2 {
		return m.packedReports
	}

	m.mu.Lock()
	sources := maps.Clone(m.reports)
	m.mu.Unlock()
	m.packedReports, m.packedAt = m.pack(sources), now

	return m.packedReports
}

func (m *Mesh) pack(sources map[string]func() ([]byte, error)) []byte {
	size, all := 0, make(map[string]cbor.RawMessage, len(sources))
	for _, name := range slices.Sorted(maps.Keys(sources)) {
		data, err := sources[name]()
		if err != nil || len(data) > MaxReportSize || size+len(data) > maxReportsSize {
			m.counters.dropped("TooLarge")
			continue
		}
		size += len(data)
		all[name] = data
	}

	packed, err := deflate(all)
	if err != nil || len(packed) > maxPackedSize {
		m.counters.dropped("TooLarge")
		return nil
	}

	return packed
}

func deflate(reports map[string]cbor.RawMessage) ([]byte, error) {
	data, err := encode(reports)
	if err != nil {
		return nil, err
	}

	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}

	return out.Bytes(), nil
}

// unpack decompresses and decodes reports, with a limit on their uncompressed size.
func unpack(packed []byte) (map[string]cbor.RawMessage, error) {
	const bound = 2 * maxReportsSize
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), bound+1))
	if err != nil {
		return nil, merry.Prepend(ErrMalformed, err.Error())
	}
	if len(data) > bound {
		return nil, merry.Prepend(ErrTooLarge, "reports")
	}

	var reports map[string]cbor.RawMessage
	err = decode(data, &reports)

	return reports, err
}
