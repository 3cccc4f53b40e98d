package claim_test

import (
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lycheehook.example/lycheehook/refusal"
	"lycheehook.example/lycheehook/store"
)

// maxWriteRate is the number of writes per second that claims may use; the store handles several hundred.
const maxWriteRate = 300

var maxRequestRate = flag.Int("fastest", 1000, "highest request rate of TestWriteRate, in requests per second")

// TestWriteRate checks that the rate of store writes stays bounded as the request rate grows, and logs it beside the
// rate of one write per request.
func TestWriteRate(t *testing.T) {
	const length = 3 * time.Second
	for _, processes := range []int{1, 7} {
		for _, rate := range []int{10, 100, *maxRequestRate} {
			t.Run(fmt.Sprintf("%d processes, %d requests per second", processes, rate), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					names := []string{"a", "b", "c", "d", "e", "f", "g"}[:processes]
					cl := newCluster(t, 1, names...)
					defer cl.stop()
					cl.store.SetDelay(3 * time.Millisecond)

					codes, waited := cl.sendAtRate(names, rate, length)
					calls := cl.store.Calls()
					writes := float64(calls["CompareAndSwap"]) / length.Seconds()
					t.Logf("writes %.0f/s (one per request: %.0f/s), reads %.0f/s, mean wait %v, max wait %v, codes %v",
						writes, cl.writePerRequest(rate, length), float64(calls["Get"])/length.Seconds(), waited.mean(), waited.max, codes)
					if writes > maxWriteRate {
						t.Errorf("%.0f writes per second, want at most %d", writes, maxWriteRate)
					}
					if cl.violation != nil {
						t.Error(cl.violation)
					}
				})
			})
		}
	}
}

// waitStats summarises how long claims took.
type waitStats struct {
	sum, max time.Duration
	n        int
}

func (w waitStats) mean() time.Duration {
	return w.sum / time.Duration(max(w.n, 1))
}

// sendAtRate makes attempts at a constant rate, through the entry hosts in turn, and waits for all of them.
func (cl *cluster) sendAtRate(names []string, rate int, length time.Duration) (map[refusal.Code]int, waitStats) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	codes := map[refusal.Code]int{}
	var waited waitStats
	total := int(length.Seconds() * float64(rate))
	start := time.Now()
	for i := range total {
		time.Sleep(time.Until(start.Add(length * time.Duration(i) / time.Duration(total))))
		wg.Go(func() {
			begin := time.Now()
			code := cl.attemptCode(names[i%len(names)], newID(), 0)
			took := time.Since(begin)
			mu.Lock()
			defer mu.Unlock()
			codes[code]++
			waited = waitStats{sum: waited.sum + took, max: max(waited.max, took), n: waited.n + 1}
		})
	}
	wg.Wait()

	return codes, waited
}

// writePerRequest measures the write rate of the simple design in which every request writes its own key.
func (cl *cluster) writePerRequest(rate int, length time.Duration) float64 {
	client := cl.store.Client()
	before := cl.store.Calls()["CompareAndSwap"]
	var wg sync.WaitGroup
	for i := range int(length.Seconds() * float64(rate)) {
		wg.Go(func() {
			_, err := client.CompareAndSwap(cl.ctx, store.Write{Key: fmt.Sprintf("plain/%d", i)})
			cl.check(err == nil, "plain write: %v", err)
		})
	}
	wg.Wait()

	return float64(cl.store.Calls()["CompareAndSwap"]-before) / length.Seconds()
}
