package ledger

import (
	"time"

	"ternbeam/choice"
)

// End says that the process ends: every request, also those that come from now on, gets its final answer by some time, also
// where its own deadline or that of a body still to come is later. Of several times the first counts.
func (l *Ledger) End(now, by time.Duration) []Order {
	l.begin(now)
	if l.endBy > 0 && l.endBy <= by {
		return l.orders
	}
	l.endBy = by
	for _, call := range l.calls {
		if call.Over() || call.Deadline <= by {
			continue
		}
		call.Deadline = by
		for _, at := range call.attempts {
			if at != nil && at.End > by {
				at.End = by
				l.order(Order{Kind: Bound, Attempt: at, At: by})
			}
		}
	}
	l.handle(choice.Ending{By: by})
	return l.orders
}

// inTime is a deadline, or an earlier one where the process ends.
func (l *Ledger) inTime(deadline time.Duration) time.Duration {
	if l.endBy > 0 {
		return min(deadline, l.endBy)
	}
	return deadline
}
