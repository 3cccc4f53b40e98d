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
	// Owner wrote the batch in the term that began at store revision Term.
	Owner fleet.EntryName `cbor:"2,keyasint"`
	Term  uint64          `cbor:"3,keyasint"`
	At    time.Time       `cbor:"4,keyasint"`
	// Uptime is a steady clock of the owner in its term.
	Uptime  time.Duration `cbor:"6,keyasint"`
	Changes []Change      `cbor:"5,keyasint"`
}

// The first byte of a stored batch says what follows: the batch as it is encoded, or that deflated.
const (
	formPlain    = 0
	formDeflated = 1
)

const (
	// deflateFrom is the size in bytes below which deflation saves less than it costs.
	deflateFrom = 256
	// maxBatchSize bounds a batch after inflation, in bytes; the store bounds it before.
	maxBatchSize = 32 << 20
)

// deflaters keeps writers between batches, since each has about a megabyte of tables.
var deflaters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		// The level is a constant of the package itself.
		panic(err)
	}

	return w
}}

// EncodeBatch returns the form in which a batch is stored. Every entry host reads every batch, and the links of some are
// slow, so that a large one is deflated.
func EncodeBatch(b Batch) ([]byte, error) {
	data, err := Encode(b)
	if err != nil {
		return nil, err
	}
	if len(data) < deflateFrom {
		return append([]byte{formPlain}, data...), nil
	}
	out := bytes.NewBuffer([]byte{formDeflated})
	w := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(w)
	w.Reset(out)
	if _, err := w.Write(data); err != nil {
		return nil, merry.Prepend(err, "deflate batch")
	}
	if err := w.Close(); err != nil {
		return nil, merry.Prepend(err, "deflate batch")
	}

	return out.Bytes(), nil
}

// DecodeBatch reads a stored batch.
func DecodeBatch(key string, value []byte) (Batch, error) {
	if len(value) == 0 {
		return Batch{}, merry.Prependf(ErrMalformed, "%s: empty", key)
	}
	switch data := value[1:]; value[0] {
	case formPlain:
		return Decode[Batch](key, data)
	case formDeflated:
		plain, err := inflate(data)
		if err != nil {
			return Batch{}, merry.Prependf(ErrMalformed, "%s: %v", key, err)
		}

		return Decode[Batch](key, plain)
	default:
		return Batch{}, merry.Prependf(ErrMalformed, "%s: unknown form %d", key, value[0])
	}
}

func inflate(data []byte) ([]byte, error) {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxBatchSize+1))
	if err == nil && len(plain) > maxBatchSize {
		err = merry.Errorf("larger than %d bytes", maxBatchSize)
	}

	return plain, err
}
