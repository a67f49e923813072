package main

import (
	"context"
	"runtime"
	"runtime/debug"
	"testing"
	"time"
)

// Guards against an idle agent's heap growing over minutes to the first GC goal of 16 MB, which looks like a leak from outside: in the scenario of
// constant replacement each of 80 idle agents grew from 3 to 17 MB.
func TestHeapOfAnIdleAgentStaysBounded(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(400))
	const step, steps = 256 << 10, 40 // 10 MB in all
	fill := func(tick func()) (maxGrowth uint64) {
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
			maxGrowth = max(maxGrowth, now.HeapAlloc-min(now.HeapAlloc, before.HeapAlloc))
		}
		return maxGrowth
	}
	if maxGrowth := fill(func() {}); maxGrowth < step*steps/2 {
		t.Skipf("the runtime collects garbage by itself: the heap grew by at most %d bytes", maxGrowth)
	}
	ticks := make(chan time.Time)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); collectWhenIdle(ctx, ticks) }()
	maxGrowth := fill(func() {
		ticks <- time.Time{}
		ticks <- time.Time{} // received once the first has been handled
	})
	stop()
	<-ended
	if maxGrowth > 8*step {
		t.Errorf("the heap grew by %d bytes between ticks that are %d apart", maxGrowth, 4*step)
	}
}

var garbage []byte // package-level, so that it is allocated on the heap
