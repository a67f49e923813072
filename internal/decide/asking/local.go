package asking

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// The times of calls to a discovery service beside the agent. It has nobody else to serve, and asking it costs nothing. What it has heard
// while it was down counts as told from its return on, and a call that it took before may never be answered. So a further call is made
// beside those that are not answered, however long these may still take.
const (
	// intervalParts is how many intervals between calls are in the grace of a drain. Of a grace of 0.5 s, one interval with its
	// jitter takes 0.125 s; the agent may be held up for 0.15 s as it listens, and for as long again as it sends. It is no shorter, as
	// a whole list of thousands of servers takes tens of milliseconds to be read.
	intervalParts = 5
	// intervalJitter is by how much of itself an interval is shorter or longer by chance.
	intervalJitter = 0.25
	// shortestInterval bounds the calls where the grace is very short.
	shortestInterval = 20 * time.Millisecond
	// deliveryParts is how many times longer than a list took to come the next call waits at the least: a service that is slow, or shares
	// its machine with many agents, is not made slower by further calls. longestInterval bounds that.
	deliveryParts   = 2
	longestInterval = time.Second
	// wholeAfter is from how many ends on, of a watch and of calls behind it, the whole list is asked for: a service may take no watch, and
	// still have drains to tell.
	wholeAfter = 2
	// usualGrace is the grace of a drain where the settings do not say it.
	usualGrace = 500 * time.Millisecond

	// MostPending is how many calls may be pending at a time. The oldest is kept for up to CallWait, for a service that is slow;
	// of the others the oldest makes room, after some 0.7 s.
	MostPending = 8
)

// LocalCall says how a call is made.
type LocalCall struct {
	Whole  bool          // the whole list is asked for before the watch: it is answered at once, whatever has changed
	Within time.Duration // in which it is to be answered
}

// LocalSchedule decides when an agent calls the discovery service that stands beside it. A watch is established once something has come
// on it, or has been opened behind a whole list. It does no I/O and reads no clock.
type LocalSchedule struct {
	rng      *rand.Rand
	shortest time.Duration // between two calls, but for its jitter
	interval time.Duration // the same at present
	doubt    bool          // a watch fell silent, and none has been established since
	failures int           // calls that have ended since there was a watch, its own end included
}

// NewLocalSchedule returns a LocalSchedule for a grace of drains, 0 for the usual one. Its random numbers follow from the seed alone.
func NewLocalSchedule(grace time.Duration, seed uint64) *LocalSchedule {
	shortest := max(shortestInterval, cmp.Or(grace, usualGrace)/intervalParts)
	return &LocalSchedule{rng: rand.New(rand.NewPCG(seed, 2)), shortest: shortest, interval: shortest}
}

// Interval returns how long after a call, or after the end of a watch, the next call is made while no watch is established.
func (s *LocalSchedule) Interval() time.Duration {
	return time.Duration(float64(s.interval) * (1 + intervalJitter*(2*s.rng.Float64()-1)))
}

// Call returns how the next call is made beside those that are pending.
func (s *LocalSchedule) Call(pending int) LocalCall {
	return LocalCall{Whole: s.doubt || pending > 0 || s.failures >= wholeAfter, Within: CallWait}
}

// Established notes that there is a watch.
func (s *LocalSchedule) Established() { s.doubt, s.failures, s.interval = false, 0, s.shortest }

// Delivered notes that a call has brought a list, and how long after it began. Until there is a watch the next calls are no closer
// than the service can bear.
func (s *LocalSchedule) Delivered(took time.Duration) {
	s.interval = max(s.shortest, min(deliveryParts*took, longestInterval))
}

// Ended notes that a call or a watch has ended, and whether by silence.
func (s *LocalSchedule) Ended(silent bool) {
	s.doubt = s.doubt || silent
	s.failures++
}
