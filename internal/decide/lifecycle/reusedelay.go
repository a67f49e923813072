package lifecycle

import "time"

// ReuseDelay determines how long an HTTP connection must stay silent after an answer before it carries the next request. HTTP/1.1 does not
// match answers to requests: a second answer, which a server may send late, would be taken for the answer to the next request. The delay
// grows with the latest second answer seen at any server, and does not shrink again. It is not safe for concurrent use.
type ReuseDelay struct {
	delay time.Duration
}

const (
	// reuseDelayFactor is the least ratio of the delay to how late a second answer was seen.
	reuseDelayFactor = 4

	// maxSecondAnswerDelay is the time after an answer from which on further data is not taken for a second answer. A server that is about
	// to close an idle connection may say so much later, for example with status 408.
	maxSecondAnswerDelay = time.Second
)

// NewReuseDelay returns a ReuseDelay with an initial delay.
func NewReuseDelay(initial time.Duration) *ReuseDelay { return &ReuseDelay{initial} }

// Left returns how long a connection that has been idle for a time must still stay idle. It may be negative.
func (r *ReuseDelay) Left(idle time.Duration) time.Duration { return r.delay - idle }

// RecordUnsolicited records data that arrived on an idle connection some time after the answer to its last request. It returns the delay
// from now on, and whether it has grown.
func (r *ReuseDelay) RecordUnsolicited(after time.Duration) (delay time.Duration, grown bool) {
	if wanted := reuseDelayFactor * after; after < maxSecondAnswerDelay && wanted > r.delay {
		r.delay, grown = wanted, true
	}
	return r.delay, grown
}
