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
	// idleFor is how long idle connections are left open: clients hear of the end so late. New ones are accepted for longer, also for clients
	// whose request has crossed the end of an idle connection.
	idleFor   = 400 * time.Millisecond
	acceptFor = 500 * time.Millisecond
)

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

// Plan makes the schedule for settings with a longest deadline. Where the process is replaced, another accepts at the same socket.
func Plan(longestDeadline time.Duration, replaced bool) Schedule {
	kill := KillAfter(longestDeadline)
	plan := Schedule{Idle: idleFor, AnswerBy: kill - 2*Stall - writeTime, CloseBy: kill - closeTime}
	if !replaced {
		plan.Accept = acceptFor
	}
	return plan
}
