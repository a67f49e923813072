package choice

import (
	"maps"
	"slices"
	"time"
)

// handleShutdown moves the deadline of every open request to the given time, if it is later. Requests that
// arrive after it already have such a deadline.
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
