package notice

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/emicklei/go-restful/v3"
	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/platform"
	"lycheehook.example/lycheehook/store"
)

var record = store.Record{Key: ledger.JobPrefix + "00000000000000a1", Value: []byte("job"), Revision: 7}

var owner = ledger.Owner{PeerAddress: "owner:1"}

// inbox is an owner that records the messages it receives, after a delay.
type inbox struct {
	delay    time.Duration
	messages []wireMessage
	paths    []string
}

func (i *inbox) exchange(address string) platform.Exchange {
	return func(_ context.Context, r platform.Request) (platform.Response, error) {
		time.Sleep(i.delay)
		m, err := ledger.Decode[wireMessage](address, r.Body)
		if err != nil {
			return platform.Response{}, err
		}
		i.messages, i.paths = append(i.messages, m), append(i.paths, address+r.Path)

		return platform.Response{Status: http.StatusOK}, nil
	}
}

// TestBurst checks that records stored while a message is in flight share the next message. Such a burst occurs when
// demand shifts to the newest entry host and many callers submit at once.
func TestBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := &inbox{delay: 5 * time.Millisecond}
		start := time.Now()
		s := NewSender(in.exchange, func() (ledger.Owner, uint64) { return owner, 3 }, func() time.Duration { return time.Since(start) }, log.New(io.Discard))
		s.Notify(record)
		time.Sleep(time.Millisecond)
		for range 20 {
			s.Notify(record)
		}
		time.Sleep(time.Second)
		synctest.Wait()

		var sizes []int
		for _, m := range in.messages {
			sizes = append(sizes, len(m.Records))
		}
		if diff := cmp.Diff([]int{1, 20}, sizes); diff != "" {
			t.Errorf("records of each message (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff([]string{"owner:1" + Path, "owner:1" + Path}, in.paths); diff != "" {
			t.Errorf("messages went to (-want +got):\n%s", diff)
		}
	})
}

// TestDelayedSend checks that, after a delay such as a suspension, the sender drops records so old that the job's record
// may have been removed.
func TestDelayedSend(t *testing.T) {
	tests := []struct {
		name  string
		term  uint64
		delay time.Duration
		want  int
	}{
		{"at once", 3, 0, 1},
		{"at the maximum age", 3, maxAge, 1},
		{"after a suspension", 3, maxAge + time.Millisecond, 0},
		{"no owner", 0, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			in := &inbox{}
			uptime := time.Hour
			s := NewSender(in.exchange, func() (ledger.Owner, uint64) { return owner, tt.term }, func() time.Duration { return uptime }, log.New(io.Discard))
			batch := []queuedRecord{{record, uptime}}
			uptime += tt.delay
			if err := s.send(batch); err != nil && tt.term != 0 {
				t.Fatal(err)
			}
			got := 0
			for _, m := range in.messages {
				got += len(m.Records)
			}
			if got != tt.want {
				t.Errorf("sent %d records, want %d", got, tt.want)
			}
		})
	}
}

// TestReceive checks that an entry host accepts only records of jobs, and only for the term in which it owns the workers.
func TestReceive(t *testing.T) {
	message := func(m wireMessage) []byte {
		body, err := ledger.Encode(m)
		if err != nil {
			t.Fatal(err)
		}

		return body
	}
	tests := []struct {
		name    string
		body    []byte
		status  int
		applied int
	}{
		{"a job record", message(wireMessage{3, []wireRecord{wireRecord(record)}}), http.StatusOK, 1},
		{"nothing", message(wireMessage{Term: 3}), http.StatusOK, 0},
		{"an earlier term", message(wireMessage{2, []wireRecord{wireRecord(record)}}), http.StatusConflict, 0},
		{"another record", message(wireMessage{3, []wireRecord{{Key: ledger.OwnerKey, Revision: 1}}}), http.StatusBadRequest, 0},
		{"no revision", message(wireMessage{3, []wireRecord{{Key: record.Key}}}), http.StatusBadRequest, 0},
		{"malformed message", []byte("{"), http.StatusBadRequest, 0},
		{"too large", bytes.Repeat([]byte{1}, 2<<20), http.StatusBadRequest, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			applied := 0
			c := restful.NewContainer()
			c.Add(NewServer(func(term uint64) bool { return term == 3 }, func(store.Record) { applied++ }, log.New(io.Discard)).Service())
			r := httptest.NewRequest(http.MethodPost, Path, bytes.NewReader(tt.body))
			w := httptest.NewRecorder()
			c.ServeHTTP(w, r)
			if w.Code != tt.status || applied != tt.applied {
				t.Errorf("status %d and %d records applied, want %d and %d", w.Code, applied, tt.status, tt.applied)
			}
		})
	}
}

func FuzzMessage(f *testing.F) {
	f.Add([]byte("{"))
	f.Add([]byte{0xa2, 1, 3, 2, 0x80})
	f.Fuzz(func(t *testing.T, body []byte) {
		m, err := ledger.Decode[wireMessage]("message", body)
		if err != nil || m.validate() != nil {
			return
		}
		for _, r := range m.Records {
			if r.Revision == 0 {
				t.Errorf("a record without a revision was accepted: %+v", r)
			}
		}
	})
}
