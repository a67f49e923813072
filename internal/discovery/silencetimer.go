package discovery

import (
	"fmt"
	"sync/atomic"
	"time"
)

// suspensionMargin is how late a timer must be to show that the process was suspended, and also how long the process then has to read data
// received meanwhile.
const suspensionMargin = 500 * time.Millisecond

// silenceError ends a watch on which nothing was received for this long.
type silenceError time.Duration

func (s silenceError) Error() string { return fmt.Sprintf("silent for %v", time.Duration(s)) }

// silenceTimer calls expired when nothing was received on a watch for longer than allowed. Data received while the process was
// suspended is read first.
type silenceTimer struct {
	last    atomic.Pointer[quietPeriod]
	timer   *time.Timer
	expired func(limit time.Duration)
}

// quietPeriod is a time in which nothing was received, and its limit.
type quietPeriod struct {
	since time.Time
	limit time.Duration
}

// newSilenceTimer returns a running silenceTimer. It calls expired at most once for each quiet period, on a goroutine of its own.
func newSilenceTimer(limit time.Duration, expired func(limit time.Duration)) *silenceTimer {
	s := &silenceTimer{expired: expired}
	s.last.Store(&quietPeriod{time.Now(), limit})
	s.timer = time.AfterFunc(limit, s.fired)
	return s
}

// reset records that data was received, and sets the limit for the next quiet period.
func (s *silenceTimer) reset(limit time.Duration) {
	s.last.Store(&quietPeriod{time.Now(), limit})
	s.timer.Reset(limit)
}

func (s *silenceTimer) stop() { s.timer.Stop() }

func (s *silenceTimer) fired() {
	last := s.last.Load()
	passed := time.Since(last.since)
	switch {
	case passed < last.limit: // data was received at this moment, and the timer has been reset
	case passed < last.limit+suspensionMargin:
		s.expired(last.limit)
	default: // the process was suspended, and may not have read what was received meanwhile
		time.AfterFunc(suspensionMargin, func() {
			if s.last.Load() == last {
				s.expired(last.limit)
			}
		})
	}
}
