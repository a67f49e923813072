package discovery

import (
	"fmt"
	"sync/atomic"
	"time"
)

// standstill is by how much later than set a timer fires that shows that the process stood still, and what it takes then to
// read what has come.
const standstill = 500 * time.Millisecond

// silenceError is how a watch ends on which nothing has come for so long.
type silenceError time.Duration

func (s silenceError) Error() string { return fmt.Sprintf("silent for %v", time.Duration(s)) }

// silenceTimer tells when nothing has come on a watch for as long as it may be silent. What has come while the process stood still is
// read first.
type silenceTimer struct {
	last  atomic.Pointer[pause]
	timer *time.Timer
	tell  func(most time.Duration)
}

// pause is a time in which nothing has come, and how long it may be.
type pause struct {
	since time.Time
	most  time.Duration
}

// newSilenceTimer returns a silenceTimer that runs. It calls tell once, on a goroutine of its own.
func newSilenceTimer(most time.Duration, tell func(most time.Duration)) *silenceTimer {
	s := &silenceTimer{tell: tell}
	s.last.Store(&pause{time.Now(), most})
	s.timer = time.AfterFunc(most, s.fired)
	return s
}

// reset notes that something has come, and how long nothing may come from now on.
func (s *silenceTimer) reset(most time.Duration) {
	s.last.Store(&pause{time.Now(), most})
	s.timer.Reset(most)
}

func (s *silenceTimer) stop() { s.timer.Stop() }

func (s *silenceTimer) fired() {
	before := s.last.Load()
	passed := time.Since(before.since)
	switch {
	case passed < before.most: // something came at this moment, and the timer is set anew
	case passed < before.most+standstill:
		s.tell(before.most)
	default: // the process stood still itself, and has not read yet what has come meanwhile
		time.AfterFunc(standstill, func() {
			if s.last.Load() == before {
				s.tell(before.most)
			}
		})
	}
}
