package entryapi_test

import (
	"runtime"
	"runtime/metrics"
	"sync"
	"time"
)

const (
	// processMemory is that of a small entry host, and maxHeapGrowth the part of it at which the
	// runtime begins to collect garbage at any cost.
	processMemory = 284 << 20
	maxHeapGrowth = processMemory * 60 / 100
)

// heapPeak samples the bytes of the heap until the returned function is called, which returns by how
// much they have grown at most.
func heapPeak() (stop func() int64) {
	read := func() int64 {
		sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
		metrics.Read(sample)
		return int64(sample[0].Value.Uint64()) //nolint:gosec // bytes of a heap
	}
	runtime.GC()
	before, peak := read(), int64(0)
	stopped := make(chan struct{})
	var sampling sync.WaitGroup
	sampling.Go(func() {
		for {
			peak = max(peak, read()-before)
			select {
			case <-stopped:
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	})
	return func() int64 {
		close(stopped)
		sampling.Wait()
		return peak
	}
}
