package claim

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/google/uuid"
)

// maxHeadSize is the upper bound for the encoded size of a head or a segment, in bytes.
const maxHeadSize = 256 << 10

func testEntry(n byte) Entry {
	return Entry{
		ID: uuid.UUID{0, 0, 0, 0, 1, n, 0x70, 1, 0x80, n}, State: Done, Sum: Sum{n, 2, 3},
		Token: Token{Owner: "entry-07#0a1b2c3d", Attempt: 123_456}, At: 1_790_000_000_000,
		Answer: &Answer{Status: 200, ContentType: "text/plain", Body: []byte("posted")},
	}
}

func TestHeadRoundTrip(t *testing.T) {
	want := Head{Floor: 7}.With(testEntry(1)).WithSealed(12).With(testEntry(2)).With(Entry{ID: testEntry(3).ID, State: Claimed})
	value, err := want.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeHead(value)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got, cmpopts.IgnoreUnexported(Entry{}, Answer{}, Token{}, Segment{})); diff != "" {
		t.Error(diff)
	}
}

// TestHeadSizeEstimate checks that the encoded size of a head doesn't exceed its estimate, and that a head that is
// just below the threshold for sealing stays below maxHeadSize with one more write.
func TestHeadSizeEstimate(t *testing.T) {
	var head Head
	for range 1000 {
		e := testEntry(byte(len(head.Entries)))
		if len(head.Entries)%2 == 0 {
			e = e.WithState(Claimed).WithAnswer(nil)
		}
		head = head.With(e)
	}
	value, err := head.Encode()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d bytes per entry, estimated %d", len(value)/1000, head.size()/1000)
	if len(value) > head.size()+1000 {
		t.Errorf("%d bytes, estimated %d", len(value), head.size())
	}

	timing := DefaultTiming()
	largest := timing.SealThreshold + timing.MaxBatchSize + timing.AnswerSize + testEntry(1).size()
	if largest >= maxHeadSize {
		t.Errorf("a head can grow to %d bytes, want less than %d", largest, maxHeadSize)
	}
}

func FuzzDecodeHead(f *testing.F) {
	value, err := Head{Floor: 7}.With(testEntry(1)).WithSealed(12).With(testEntry(2)).Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(value)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, value []byte) {
		head, err := DecodeHead(value)
		if err != nil {
			return
		}
		if _, err := head.Encode(); err != nil {
			t.Errorf("encode head decoded from %x: %v", value, err)
		}
	})
}
