package ledger_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"lycheehook.example/lycheehook/fleet"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/work"
)

// assignments returns the assignments of n tasks, in jobs of eight tasks each.
func assignments(n int) []ledger.Change {
	changes := make([]ledger.Change, n)
	for i := range changes {
		task := work.Task{Job: fleet.JobID(fmt.Sprintf("%016x", 0x9e3779b97f4a7c15*uint64(i/8+1))), Index: i % 8}
		changes[i] = ledger.Change{
			Kind: ledger.Assigned, Attempt: work.Attempt{Task: task, Number: 1}, Worker: work.WorkerID(fmt.Sprintf("i-%010x", i*2654435761)), Life: 1_790_000_000_123,
		}
	}

	return changes
}

func TestBatch(t *testing.T) {
	for _, n := range []int{0, 1, 8, 1000} {
		want := ledger.Batch{Number: 7, Owner: "a", Term: 3, At: time.UnixMicro(1).UTC(), Uptime: time.Minute, Changes: assignments(n)}
		value, err := ledger.EncodeBatch(want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := ledger.DecodeBatch("k", value)
		if err != nil {
			t.Fatal(err)
		}
		got.At = got.At.UTC()
		if n == 0 {
			want.Changes = got.Changes
		}
		check(t, fmt.Sprint(n, " changes"), want, got)
	}
}

// A batch of 1000 starts (a burst of demand with 85 workers in each pool), in base64, must pass a 10 Mbit/s link within
// 50 ms, the most that the scheduler's changes wait to be batched.
func TestBatchSize(t *testing.T) {
	value, err := ledger.EncodeBatch(ledger.Batch{Number: 7, Owner: "entry-1", Term: 3, Changes: assignments(1000)})
	if err != nil {
		t.Fatal(err)
	}
	const link, most = 10_000_000 / 8, 50 * time.Millisecond
	if took := time.Duration(len(value) * 4 / 3 * int(time.Second) / link); took > most {
		t.Errorf("%d bytes take %s, more than %s", len(value), took, most)
	}
}

func TestMalformedBatch(t *testing.T) {
	for _, value := range []string{"", "\x00", "\x01x", "\x02", "\x00\xff"} {
		if _, err := ledger.DecodeBatch("k", []byte(value)); !errors.Is(err, ledger.ErrMalformed) {
			t.Errorf("%q: %v", value, err)
		}
	}
}

func FuzzDecodeBatch(f *testing.F) {
	value, err := ledger.EncodeBatch(ledger.Batch{Changes: assignments(8)})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(value)
	f.Add([]byte{0, 0xa0})
	f.Fuzz(func(t *testing.T, value []byte) {
		if _, err := ledger.DecodeBatch("k", value); err != nil && !errors.Is(err, ledger.ErrMalformed) {
			t.Error(err)
		}
	})
}

// BenchmarkBatch encodes and decodes the starts of a burst of demand.
func BenchmarkBatch(b *testing.B) {
	changes := assignments(1000)
	for b.Loop() {
		value, err := ledger.EncodeBatch(ledger.Batch{Changes: changes})
		if err != nil {
			b.Fatal(err)
		}
		if _, err := ledger.DecodeBatch("k", value); err != nil {
			b.Fatal(err)
		}
	}
}
