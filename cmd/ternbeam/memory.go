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

// limit keeps the runtime within what the platform grants. The live heap is small, so rare collections cost
// little memory; near the limit they come more often.
func limit(l config.Limits) {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(l.Cores)))
	}
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(l.HeapLimit())
		debug.SetGCPercent(400)
	}
}

// settleEvery is the longest time without a collection. One of the small live heap takes under a millisecond.
const settleEvery = 5 * time.Second

// settle collects at each tick, unless the runtime has done so since the last. With 400 % the first collection waits for
// a heap of 16 MB (the runtime's least of 4 MB times four): a quiet agent fills that over minutes, and what looks like a
// leak from outside is memory that it never needed.
func settle(ctx context.Context, ticks <-chan time.Time) {
	seen := collections()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
		if collections() == seen {
			runtime.GC()
		}
		seen = collections()
	}
}

// collections is how many there were so far.
func collections() uint64 {
	sample := []metrics.Sample{{Name: "/gc/cycles/total:gc-cycles"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}
