package choice

import (
	"maps"
	"slices"
	"time"
)

// handleShutdown brings forward the deadlines of open requests that are later than the given time. The host
// itself limits the deadlines of requests that arrive after this event.
func (b *Balancer) handleShutdown(by time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(b.requests)) { // in a deterministic order
		r := b.requests[id]
		if r.closed || r.Deadline <= by {
			continue
		}
		delete(b.timers, r.deadlineTimer)
		r.Deadline = by
		r.deadlineTimer = b.setRequestTimer(r, max(0, by-b.now))
	}
}
