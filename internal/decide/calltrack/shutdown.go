package calltrack

import (
	"time"

	"ternbeam/choice"
)

// Shutdown limits the time to answer calls, as the process shuts down: each call, including those still to come, gets its final
// answer by the given time, even if its own deadline, or one set later by RequestComplete, is later. If Shutdown is called
// several times, the earliest time applies.
func (t *Tracker) Shutdown(now, by time.Duration) []Command {
	t.startStep(now)
	if t.shutdownBy > 0 && t.shutdownBy <= by {
		return t.commands
	}
	t.shutdownBy = by
	for _, call := range t.calls {
		if call.Finished() || call.Deadline <= by {
			continue
		}
		call.Deadline = by
		for _, at := range call.attempts {
			if at != nil && at.Deadline > by {
				at.Deadline = by
				t.emit(Command{Kind: ShortenDeadline, Attempt: at, At: by})
			}
		}
	}
	t.handle(choice.Shutdown{Deadline: by})
	return t.commands
}

// clampDeadline returns deadline, or the time set by Shutdown if that is earlier.
func (t *Tracker) clampDeadline(deadline time.Duration) time.Duration {
	if t.shutdownBy > 0 {
		return min(deadline, t.shutdownBy)
	}
	return deadline
}
