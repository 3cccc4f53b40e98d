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

// storeWrites is how many writes a second the claims may take of the several hundred that the store handles.
const storeWrites = 300

// fastest is the highest rate of TestWriteRate, in requests a second.
var fastest = flag.Int("fastest", 1000, "highest rate of requests a second in TestWriteRate")

// TestWriteRate counts the store's calls as requests grow; one write for each request is the rate that it replaces.
func TestWriteRate(t *testing.T) {
	const lasts = 3 * time.Second
	for _, books := range []int{1, 7} {
		for _, rate := range []int{10, 100, *fastest} {
			t.Run(fmt.Sprintf("%d books, %d requests a second", books, rate), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					names := []string{"a", "b", "c", "d", "e", "f", "g"}[:books]
					d := newDesk(t, 1, names...)
					defer d.stop()
					d.store.SetDelay(3 * time.Millisecond)

					told, waited := d.stream(names, rate, lasts)
					calls := d.store.Calls()
					writes := float64(calls["CompareAndSwap"]) / lasts.Seconds()
					t.Logf("writes %.0f/s against %.0f/s with one each, reads %.0f/s, mean wait %v, most %v, told %v",
						writes, d.oneWriteEach(rate, lasts), float64(calls["Get"])/lasts.Seconds(), waited.mean(), waited.most, told)
					if writes > storeWrites {
						t.Errorf("%.0f writes a second, the store takes %d", writes, storeWrites)
					}
					if d.violated != nil {
						t.Error(d.violated)
					}
				})
			})
		}
	}
}

// waits sums up how long claims took.
type waits struct {
	sum, most time.Duration
	n         int
}

func (w waits) mean() time.Duration {
	return w.sum / time.Duration(max(w.n, 1))
}

// stream posts requests at an even rate, through each entry host in turn, and waits for all of them.
func (d *desk) stream(names []string, rate int, lasts time.Duration) (map[refusal.Code]int, waits) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	told := map[refusal.Code]int{}
	var waited waits
	total := int(lasts.Seconds() * float64(rate))
	start := time.Now()
	for i := range total {
		time.Sleep(time.Until(start.Add(lasts * time.Duration(i) / time.Duration(total))))
		wg.Go(func() {
			began := time.Now()
			code := d.say(names[i%len(names)], newID(), 0)
			took := time.Since(began)
			mu.Lock()
			defer mu.Unlock()
			told[code]++
			waited = waits{sum: waited.sum + took, most: max(waited.most, took), n: waited.n + 1}
		})
	}
	wg.Wait()

	return told, waited
}

// oneWriteEach measures the plain way to the same end, in which every request writes a key of its own.
func (d *desk) oneWriteEach(rate int, lasts time.Duration) float64 {
	client := d.store.Client()
	before := d.store.Calls()["CompareAndSwap"]
	var wg sync.WaitGroup
	for i := range int(lasts.Seconds() * float64(rate)) {
		wg.Go(func() {
			_, err := client.CompareAndSwap(d.ctx, store.Write{Key: fmt.Sprintf("plain/%d", i)})
			d.check(err == nil, "plain write: %v", err)
		})
	}
	wg.Wait()

	return float64(d.store.Calls()["CompareAndSwap"]-before) / lasts.Seconds()
}
