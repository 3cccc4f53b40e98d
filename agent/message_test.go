package agent

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/work"
)

// Reading a truncated, oversized or malformed frame returns an error.
func TestFrames(t *testing.T) {
	var whole bytes.Buffer
	call := wireCall{ID: 1, Deadline: time.Second, Worker: "i-1", Address: "a", Start: &work.Start{Attempt: task, Spec: "s"}}
	if err := writeFrame(&whole, wireCalls{Calls: []wireCall{call}}); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name string
		data []byte
		want error
	}{
		{"complete", whole.Bytes(), nil},
		{"empty", nil, io.EOF},
		{"truncated", whole.Bytes()[:whole.Len()-1], io.ErrUnexpectedEOF},
		{"oversized", []byte{0xff, 0, 0, 0}, ErrFrame},
		{"malformed", []byte{0, 0, 0, 1, 0xff}, ErrFrame},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var got wireCalls
			if err := readFrame(bytes.NewReader(tt.data), &got); !errors.Is(err, tt.want) {
				t.Fatalf("error %v, want %v", err, tt.want)
			}
			if tt.want != nil {
				return
			}
			if diff := cmp.Diff(wireCalls{Calls: []wireCall{call}}, got); diff != "" {
				t.Errorf("message (-want +got):\n%s", diff)
			}
		})
	}
}

// FuzzFrames reads arbitrary bytes as frames, both as an agent and as an owner.
func FuzzFrames(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 0xa0})
	f.Add([]byte{0, 0, 0, 5, 0xa1, 1, 0x81, 0xa1, 1})
	f.Fuzz(func(_ *testing.T, data []byte) {
		server := &Server{uptime: func() time.Duration { return 0 }}
		var calls wireCalls
		if readFrame(bytes.NewReader(data), &calls) == nil {
			for _, c := range calls.Calls {
				if c.Start == nil && c.Stop == nil && c.Pace == nil && c.Poll == nil {
					server.makeCall(c)
				}
			}
		}
		var replies wireReplies
		if readFrame(bytes.NewReader(data), &replies) == nil {
			for _, r := range replies.Replies {
				_ = r.err()
			}
		}
	})
}
