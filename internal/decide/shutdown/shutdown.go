// Package shutdown plans the end of a process: until when it accepts connections, by when every request it has taken is
// answered, and by when it is gone. It does no I/O and reads no clock.
package shutdown

import "time"

// The platform's terms. SIGKILL comes no sooner after SIGTERM than the longest deadline of the settings, of which
// LongestDeadline counts at the most, and KillMargin.
const (
	LongestDeadline = 3 * time.Second
	KillMargin      = 700 * time.Millisecond

	// Stall is how long a process may be held up at any point: when it is told to end, and again when it writes an answer.
	Stall = 150 * time.Millisecond
)

const (
	// writeTime is what writing the last answers takes.
	writeTime = 50 * time.Millisecond
	// closeTime is what is left before the kill when the last connections are closed.
	closeTime = 100 * time.Millisecond
	// lingering is how long new connections are accepted, and idle ones left open where another process takes over: clients
	// hear of the end up to 0.4 s late.
	lingering = 500 * time.Millisecond
)

// Situation is what the plan depends on beside the settings.
type Situation struct {
	Replaceable bool // another process may take this one's place: idle connections stay open for a while
	Replaced    bool // one has, and accepts at the same socket
}

// Schedule says when each stage of the end is over. Times count from SIGTERM.
type Schedule struct {
	Accept   time.Duration // new connections are accepted for so long
	Idle     time.Duration // idle connections stay open for so long
	AnswerBy time.Duration // every request has its final answer; one taken later is answered at once
	CloseBy  time.Duration // all connections are closed and the process is gone
}

// KillAfter is the earliest time after SIGTERM at which the process is killed.
func KillAfter(longestDeadline time.Duration) time.Duration {
	return min(longestDeadline, LongestDeadline) + KillMargin
}

// Plan makes the schedule for settings with a longest deadline.
func Plan(longestDeadline time.Duration, now Situation) Schedule {
	kill := KillAfter(longestDeadline)
	plan := Schedule{Accept: lingering, AnswerBy: kill - 2*Stall - writeTime, CloseBy: kill - closeTime}
	if now.Replaceable {
		plan.Idle = lingering
	}
	if now.Replaced {
		plan.Accept = 0
	}
	return plan
}
