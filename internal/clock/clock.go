// Package clock provides the agent's clock. Its times are durations since the Unix epoch, so that they can be compared with times from other
// processes. It is monotonic: a step of the wall clock changes neither deadlines nor waits.
package clock

import (
	"sync"
	"time"
)

// origin holds a wall clock reading and a monotonic reading of the same moment.
var origin = time.Now()

// Now returns the time since the Unix epoch: the wall clock at the start of the process plus the monotonic time since then.
func Now() time.Duration { return FromTime(time.Now()) }

// FromTime converts a time that was read in this process, with its monotonic reading, to this clock.
func FromTime(t time.Time) time.Duration {
	return time.Duration(origin.UnixNano()) + t.Sub(origin)
}

// ToTime converts a time of this clock to a time.Time for timers and connection deadlines.
func ToTime(t time.Duration) time.Time {
	return origin.Add(t - time.Duration(origin.UnixNano()))
}

// MinStep is the smallest difference between the clocks that counts as a step. The wall clock may be slewed by 0.5 ms per second.
const MinStep = 500 * time.Millisecond

// Steps detects steps of the wall clock. It is safe for concurrent use.
type Steps struct {
	mu     sync.Mutex
	offset time.Duration // wall clock minus this clock, at the last Read
}

// Read compares both clocks and returns by how much the wall clock was stepped since the last Read, or 0 if it was not.
func (s *Steps) Read() time.Duration {
	now := time.Now()
	return s.read(time.Duration(now.UnixNano()) - FromTime(now))
}

func (s *Steps) read(offset time.Duration) (step time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	step = offset - s.offset
	s.offset = offset
	if step.Abs() < MinStep {
		return 0
	}
	return step
}
