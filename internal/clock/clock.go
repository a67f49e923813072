// Package clock is the clock of the agent. It counts as Unix time does, so that times which other processes state can be
// compared with it, and it is monotonic: a step of the wall clock changes neither deadlines nor waits.
package clock

import (
	"sync"
	"time"
)

// origin has both readings, of the wall clock and of the monotonic one.
var origin = time.Now()

// Now is the time since the Unix epoch by the wall clock at the start of the process, and by the monotonic clock since.
func Now() time.Duration { return Of(time.Now()) }

// Of turns a time that was read in this process, with its monotonic reading, into one of this clock.
func Of(t time.Time) time.Duration {
	return time.Duration(origin.UnixNano()) + t.Sub(origin)
}

// At turns a time of this clock into one that timers and deadlines of connections take.
func At(t time.Duration) time.Time {
	return origin.Add(t - time.Duration(origin.UnixNano()))
}

// LeastStep is the smallest difference between the clocks that counts as a step: the wall clock may be slewed by 0.5 ms a second.
const LeastStep = 500 * time.Millisecond

// Steps notices steps of the wall clock. It is safe for concurrent use.
type Steps struct {
	mu     sync.Mutex
	offset time.Duration // of the wall clock from this one, when it was last read
}

// Read compares both clocks and returns by how much the wall clock was stepped since the last Read, 0 where it was not.
func (s *Steps) Read() time.Duration {
	now := time.Now()
	return s.read(time.Duration(now.UnixNano()) - Of(now))
}

func (s *Steps) read(offset time.Duration) (step time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	step = offset - s.offset
	s.offset = offset
	if step.Abs() < LeastStep {
		return 0
	}
	return step
}
