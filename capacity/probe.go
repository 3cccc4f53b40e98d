package capacity

import (
	"context"
	"runtime"
	"syscall"
	"time"
)

// heapOf returns the heap size of build's value, in MiB.
func heapOf(build func() any) float64 {
	before := liveHeap()
	v := build()
	after := liveHeap()
	runtime.KeepAlive(v)

	return max(float64(after)-float64(before), 0) / (1 << 20)
}

// liveHeap returns the bytes of live heap objects after a garbage collection.
func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)

	return m.HeapAlloc
}

// processorTime returns the CPU time of this process in user and system mode.
func processorTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, err
	}

	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// processorPercent returns the CPU usage of this process during d, in percent of a core.
func processorPercent(ctx context.Context, d time.Duration) (float64, error) {
	before, err := processorTime()
	if err != nil {
		return 0, err
	}
	began := time.Now()
	if err := sleep(ctx, d); err != nil {
		return 0, err
	}
	after, err := processorTime()

	return 100 * float64(after-before) / float64(time.Since(began)), err
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
