package ledger

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"lycheehook.example/lycheehook/fleet"
)

// Batch is one record of the log.
type Batch struct {
	Number uint64 `cbor:"1,keyasint"`
	// Owner is the host that wrote the batch, in the term that began at store revision Term.
	Owner fleet.EntryName `cbor:"2,keyasint"`
	Term  uint64          `cbor:"3,keyasint"`
	At    time.Time       `cbor:"4,keyasint"`
	// Uptime is the owner's monotonic time since its term began.
	Uptime  time.Duration `cbor:"6,keyasint"`
	Changes []Change      `cbor:"5,keyasint"`
}

// The first byte of a stored batch tells whether the encoded batch that follows is compressed.
const (
	formatPlain    = 0
	formatDeflated = 1
)

const (
	// minDeflateSize is the size in bytes below which compression costs more than it saves.
	minDeflateSize = 256
	// maxBatchSize limits the size of a decompressed batch in bytes; the store limits the compressed size.
	maxBatchSize = 32 << 20
)

// flateWriters reuses compressors, since each allocates about a megabyte of tables.
var flateWriters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		// NewWriter only fails for an invalid level.
		panic(err)
	}

	return w
}}

// EncodeBatch returns the stored form of a batch. Large batches are compressed, since every entry host reads every batch
// and some have slow links.
func EncodeBatch(b Batch) ([]byte, error) {
	data, err := Encode(b)
	if err != nil {
		return nil, err
	}
	if len(data) < minDeflateSize {
		return append([]byte{formatPlain}, data...), nil
	}
	out := bytes.NewBuffer([]byte{formatDeflated})
	w := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
	w.Reset(out)
	if _, err := w.Write(data); err != nil {
		return nil, merry.Prepend(err, "deflate batch")
	}
	if err := w.Close(); err != nil {
		return nil, merry.Prepend(err, "deflate batch")
	}

	return out.Bytes(), nil
}

// DecodeBatch decodes a stored batch; key is only used in errors.
func DecodeBatch(key string, value []byte) (Batch, error) {
	if len(value) == 0 {
		return Batch{}, merry.Prependf(ErrMalformed, "%s: empty batch", key)
	}
	switch data := value[1:]; value[0] {
	case formatPlain:
		return Decode[Batch](key, data)
	case formatDeflated:
		plain, err := inflate(data)
		if err != nil {
			return Batch{}, merry.Prependf(ErrMalformed, "%s: %v", key, err)
		}

		return Decode[Batch](key, plain)
	default:
		return Batch{}, merry.Prependf(ErrMalformed, "%s: unknown batch format %d", key, value[0])
	}
}

func inflate(data []byte) ([]byte, error) {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxBatchSize+1))
	if err == nil && len(plain) > maxBatchSize {
		err = merry.Errorf("larger than %d bytes", maxBatchSize)
	}

	return plain, err
}
