package pacing

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// Timing of calls to a discovery service on the agent's machine. It serves nobody else, and calling it costs nothing. Changes
// that it received while it was down count as known to the agent from its return on, and a call that it accepted before
// may never be answered. So another call is made beside the unanswered ones, however long these may still take.
const (
	// intervalsPerGrace is how many intervals between calls fit into the grace period of a drain, in which a draining
	// server still accepts requests. Of a grace of 0.5 s, one interval with its jitter takes 0.125 s; the agent may be
	// stalled for 0.15 s while it receives, and for as long again while it sends. The interval is no shorter, as
	// reading a full list of thousands of servers takes tens of milliseconds.
	intervalsPerGrace = 5
	// intervalJitter is the part of an interval by which it is randomly shorter or longer.
	intervalJitter = 0.25
	// shortestInterval bounds the rate of calls where the grace is very short.
	shortestInterval = 20 * time.Millisecond
	// deliveryFactor is how many times longer than a list took to arrive the next call waits at least: a service that
	// is slow, or shares its machine with many agents, is not slowed down by further calls. longestInterval bounds that
	// wait.
	deliveryFactor  = 2
	longestInterval = time.Second
	// fullListAfter is the number of failures, the end of a watch and the calls after it, from which the full list is
	// requested: a service may accept no watch and still have drains to report.
	fullListAfter = 2
	// defaultGrace is the grace of a drain where the settings give none.
	defaultGrace = 500 * time.Millisecond

	// MaxPending is how many calls may be pending at a time. The oldest is kept for up to CallTimeout, as the service may
	// be slow. Of the others, the oldest is canceled for a new one, after some 0.7 s.
	MaxPending = 8
)

// LocalCall describes how a call is made.
type LocalCall struct {
	Full    bool          // request the full list before the watch: the service answers that at once, whatever has changed
	Timeout time.Duration // for the response to begin
}

// LocalSchedule decides when an agent calls the discovery service that runs on its machine. A watch is established once
// something was received on it, or once it was opened after a full list. It does no I/O and reads no clock, and is not
// safe for concurrent use.
type LocalSchedule struct {
	rng        *rand.Rand
	shortest   time.Duration // least time between two calls, before jitter
	interval   time.Duration // current time between two calls, before jitter
	fellSilent bool          // a watch fell silent, and none was established since
	failures   int           // calls that have ended since a watch was last established, including the one that opened it
}

// NewLocalSchedule returns a LocalSchedule for the grace of drains, 0 for the default. Its random numbers follow from
// the seed alone.
func NewLocalSchedule(grace time.Duration, seed uint64) *LocalSchedule {
	shortest := max(shortestInterval, cmp.Or(grace, defaultGrace)/intervalsPerGrace)
	return &LocalSchedule{rng: rand.New(rand.NewPCG(seed, 2)), shortest: shortest, interval: shortest}
}

// Interval returns the time from a call, or from the end of a watch, to the next call while no watch is established.
func (s *LocalSchedule) Interval() time.Duration {
	return time.Duration(float64(s.interval) * (1 + intervalJitter*(2*s.rng.Float64()-1)))
}

// NextCall returns how to make the next call beside the given number of pending ones.
func (s *LocalSchedule) NextCall(pending int) LocalCall {
	return LocalCall{Full: s.fellSilent || pending > 0 || s.failures >= fullListAfter, Timeout: CallTimeout}
}

// Established records that a watch is established.
func (s *LocalSchedule) Established() { s.fellSilent, s.failures, s.interval = false, 0, s.shortest }

// ListReceived records that a call has brought a list, and how long that took. Until a watch is established, the next
// calls are spaced for the speed of the service.
func (s *LocalSchedule) ListReceived(took time.Duration) {
	s.interval = max(s.shortest, min(deliveryFactor*took, longestInterval))
}

// Ended records that a call or a watch has ended, and whether because nothing was received.
func (s *LocalSchedule) Ended(silent bool) {
	s.fellSilent = s.fellSilent || silent
	s.failures++
}
