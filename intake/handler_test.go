package intake

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/go-cmp/cmp"

	"lycheehook.example/lycheehook/inquiry"
	"lycheehook.example/lycheehook/ledger"
	"lycheehook.example/lycheehook/standin"
	"lycheehook.example/lycheehook/store"
	"lycheehook.example/lycheehook/work"
)

// A host that has not read the log yet (harambee-ledgers-large, all hosts start at once) must not call a job queued that may
// be done: without the owner's word it says that it can't tell, and a cancelled job is told from its record.
func TestStateBeforeTheLogIsRead(t *testing.T) {
	tests := []struct {
		name      string
		read      bool
		owner     bool
		cancelled bool
		status    int
	}{
		{"the log is read", true, false, false, http.StatusOK},
		{"it is not, and the owner is silent", false, false, false, http.StatusServiceUnavailable},
		{"it is not, and the owner tells", false, true, false, http.StatusOK},
		{"it is not, and the job is cancelled", false, false, true, http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := standin.NewStore().Client()
				j := work.Job{ID: "00000000000000a1", Steps: []work.Step{{Count: 1}}, Cancelled: tt.cancelled}
				value, err := ledger.Encode(j)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := c.Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: ledger.JobKey(j.ID), Value: value}}}); err != nil {
					t.Fatal(err)
				}
				wait := time.Minute
				if tt.read {
					wait = 0
				}
				f := ledger.NewFollower(c, log.New(io.Discard), ledger.WithPatience(func() time.Duration { return wait }))
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() { defer close(done); f.Run(ctx) }()
				time.Sleep(10 * time.Millisecond)
				h := NewHandler(c, f, log.New(io.Discard), func(Answered) {}, WithInquiry(func(context.Context, inquiry.Job) (ledger.State, bool) {
					return ledger.Completed, tt.owner
				}))
				h.SetConfig(work.Config{Queues: []work.Queue{{Name: "q", Host: "a.example", PathPrefix: "/q/", Open: true}}})
				w := httptest.NewRecorder()
				h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://a.example/q/"+string(j.ID), nil))
				if diff := cmp.Diff(tt.status, w.Code); diff != "" {
					t.Errorf("status of %s (-want +got):\n%s", w.Body, diff)
				}
				if comeBack := w.Header().Get("Retry-After") != ""; comeBack != (tt.status == http.StatusServiceUnavailable) {
					t.Errorf("Retry-After is %q", w.Header().Get("Retry-After"))
				}
				cancel()
				<-done
			})
		})
	}
}
