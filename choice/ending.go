package choice

import (
	"maps"
	"slices"
	"time"
)

// endAll has every open request end by some time at the latest, as the process does. Requests that come
// later bring such a deadline themselves.
func (b *Balancer) endAll(by time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(b.requests)) { // in an order that does not vary
		r := b.requests[id]
		if r.closed || r.Deadline <= by {
			continue
		}
		delete(b.timers, r.due)
		r.Deadline = by
		r.due = b.timerFor(r, max(0, by-b.now))
	}
}
