package main

import (
	"context"
	"runtime"
	"runtime/debug"
	"testing"
	"time"
)

// Guards against a heap that fills up to its first goal of 16 MB over minutes, which from outside is a leak: on the day of
// constant replacement each of 80 quiet agents grew from 3 to 17 MB.
func TestHeapOfAQuietAgentSettles(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(400))
	const step, steps = 256 << 10, 40 // 10 MB in all
	fill := func(tick func()) (most uint64) {
		runtime.GC()
		var before, now runtime.MemStats
		runtime.ReadMemStats(&before)
		for i := range steps {
			for range step / 1024 {
				garbage = make([]byte, 1024)
			}
			if i%4 == 3 {
				tick()
			}
			runtime.ReadMemStats(&now)
			most = max(most, now.HeapAlloc-min(now.HeapAlloc, before.HeapAlloc))
		}
		return most
	}
	if most := fill(func() {}); most < step*steps/2 {
		t.Skipf("the runtime collects by itself: the heap grew by %d bytes at most", most)
	}
	ticks := make(chan time.Time)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); collectWhenIdle(ctx, ticks) }()
	most := fill(func() {
		ticks <- time.Time{}
		ticks <- time.Time{} // taken once the first is done
	})
	stop()
	<-ended
	if most > 8*step {
		t.Errorf("the heap grew by %d bytes between ticks that are %d apart", most, 4*step)
	}
}

var garbage []byte // so that it is on the heap
