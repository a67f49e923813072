// Package shutdown plans the shutdown of a process: until when it accepts connections, by when it has answered every request that
// it has received, and by when it exits. It does no I/O and reads no clock.
package shutdown

import "time"

// The platform sends SIGKILL no sooner after SIGTERM than the longest deadline in the settings, capped at MaxDeadline, plus
// KillMargin.
const (
	MaxDeadline = 3 * time.Second
	KillMargin  = 700 * time.Millisecond

	// MaxStall is how long a process may be stalled at any point: when it receives SIGTERM, and again when it writes an answer.
	MaxStall = 150 * time.Millisecond
)

const (
	// writeTime is the time to write the last answers.
	writeTime = 50 * time.Millisecond
	// closeMargin is the time that is left until SIGKILL when the last connections are closed.
	closeMargin = 100 * time.Millisecond
	// idleDuration is how long idle connections stay open after SIGTERM, as clients learn of the shutdown only that late.
	// New connections are accepted for acceptDuration, which is longer, so that a client whose request crossed the close of its idle
	// connection can connect again.
	idleDuration   = 400 * time.Millisecond
	acceptDuration = 500 * time.Millisecond
)

// Schedule holds the ends of the stages of a shutdown. Times count from SIGTERM.
type Schedule struct {
	Accept   time.Duration // until then new connections are accepted
	Idle     time.Duration // until then idle connections stay open
	AnswerBy time.Duration // by then every request has its final answer; a request received later is answered at once
	CloseBy  time.Duration // by then all connections are closed and the process exits
}

// KillAfter returns the earliest time after SIGTERM at which the platform sends SIGKILL.
func KillAfter(longestDeadline time.Duration) time.Duration {
	return min(longestDeadline, MaxDeadline) + KillMargin
}

// Plan returns the schedule for settings with the given longest deadline. A process that is replaced accepts no more connections,
// as its replacement accepts on the same socket.
func Plan(longestDeadline time.Duration, replaced bool) Schedule {
	kill := KillAfter(longestDeadline)
	plan := Schedule{Idle: idleDuration, AnswerBy: kill - 2*MaxStall - writeTime, CloseBy: kill - closeMargin}
	if !replaced {
		plan.Accept = acceptDuration
	}
	return plan
}
