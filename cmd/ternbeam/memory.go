package main

import (
	"context"
	"math"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"ternbeam/internal/settings/config"
)

// applyLimits sets the processor and memory limits of the Go runtime to those of the platform. The live heap is small, so rare
// collections cost little memory; near the limit they are more frequent.
func applyLimits(l config.Limits) {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(l.Cores)))
	}
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(l.HeapLimit())
		debug.SetGCPercent(400)
	}
}

// idleGCInterval is the maximum time without a garbage collection. One takes under a millisecond, since the live heap is small.
const idleGCInterval = 5 * time.Second

// collectWhenIdle runs a garbage collection at each tick, unless the runtime has run one since the last tick. With GOGC at 400 %
// the first collection waits for a heap of 16 MB (the runtime's minimum of 4 MB times four): an idle agent fills that over
// minutes with memory that it does not need, which looks like a leak from outside.
func collectWhenIdle(ctx context.Context, ticks <-chan time.Time) {
	seen := gcCycles()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
		if gcCycles() == seen {
			runtime.GC()
		}
		seen = gcCycles()
	}
}

// gcCycles returns the number of garbage collections so far.
func gcCycles() uint64 {
	sample := []metrics.Sample{{Name: "/gc/cycles/total:gc-cycles"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}
