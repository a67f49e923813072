package choice

import (
	"slices"
	"time"
)

// maxStalls is the maximum number of stalls that are remembered.
const maxStalls = 16

// stall is a time in which this process did not run.
type stall struct {
	end    time.Duration // when it was found to be over
	length time.Duration // at least
}

// detectStall checks whether a tick is overdue: then this process was stalled, and could not see what
// servers did in that time.
func (b *Balancer) detectStall() {
	overdue := b.now - b.nextTick
	if b.nextTick == 0 || overdue <= b.horizon/ticksPerHorizon {
		return
	}
	if len(b.stalls) == maxStalls {
		b.stalls = slices.Delete(b.stalls, 0, 1)
	}
	b.stalls = append(b.stalls, stall{b.now, overdue})
	b.nextTick = b.now
}

// runningSince returns how long this process has run since t: the time since then without its stalls.
func (b *Balancer) runningSince(t time.Duration) time.Duration {
	running := b.now - t
	for i := len(b.stalls) - 1; i >= 0 && b.stalls[i].end > t; i-- {
		running -= min(b.stalls[i].length, b.stalls[i].end-t)
	}
	return running
}
