// Package throttle decides how long a connection rests before its next request is read, after requests that were answered without a server,
// and how long the answer to a request that can't be read waits. Such answers cost a client nothing, so one that sends at full speed would get
// most of the processor time. No answer to a request that has been read is delayed. The package does no I/O and reads no clock.
package throttle

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// A connection has freeAnswers at once, and answersPerSecond in the long run, before it has to rest.
	freeAnswers      = 10
	answersPerSecond = 200

	// All connections beyond that, and all that have sent further requests before their answers, share sharedAnswersPerCore a second for each
	// processor core.
	sharedAnswersPerCore = 4000
	minSharedAnswers     = 500

	// MaxRest is the longest rest. A request behind it has been waiting for its time to be read since it arrived.
	MaxRest = 250 * time.Millisecond

	// Requests that can't be read are answered at this rate for each processor core, as each takes a connection and its client can return at
	// once. The answer waits for MaxUnsoundWait at most.
	unsoundPerCore = 400
	minUnsoundRate = 100
	freeUnsound    = 50
	MaxUnsoundWait = 500 * time.Millisecond
)

// Throttle is shared by all connections of an agent. It is safe for concurrent use.
type Throttle struct{ shared, unsound *rate.Limiter }

// New returns a Throttle for an agent that may use the given number of cores, 0 if that is not limited.
func New(cores float64) *Throttle {
	if cores <= 0 {
		cores = 1
	}
	return &Throttle{
		shared:  rate.NewLimiter(rate.Limit(max(minSharedAnswers, sharedAnswersPerCore*cores)), freeAnswers),
		unsound: rate.NewLimiter(rate.Limit(max(minUnsoundRate, unsoundPerCore*cores)), freeUnsound),
	}
}

// Unsound returns how long the answer to a request that can't be read waits, after which its connection ends.
func (t *Throttle) Unsound(now time.Time) time.Duration {
	return waitFor(t.unsound, now, MaxUnsoundWait)
}

// waitFor takes an event from a limiter and returns how long it has to wait, most at most. One that would wait for longer takes nothing, so
// that the waits of later ones do not grow beyond that.
func waitFor(l *rate.Limiter, now time.Time, most time.Duration) time.Duration {
	reservation := l.ReserveN(now, 1)
	wait := reservation.DelayFrom(now)
	if wait <= most {
		return wait
	}
	reservation.CancelAt(now)
	return most
}

// Connection is the state of one connection. It is not safe for concurrent use.
type Connection struct {
	paidUntil time.Time // the time at which all answers so far are within answersPerSecond
}

// Rest records that a request on the connection was answered without a server at the given time. It returns how long the connection rests
// before the next one is read. Pipelined is whether further requests wait on the connection.
func (t *Throttle) Rest(c *Connection, now time.Time, pipelined bool) time.Duration {
	const interval = time.Second / answersPerSecond
	if c.paidUntil.Before(now) {
		c.paidUntil = now
	}
	c.paidUntil = c.paidUntil.Add(interval)
	own := max(0, c.paidUntil.Sub(now)-freeAnswers*interval)
	if own == 0 && !pipelined {
		return 0
	}
	rest := min(max(own, waitFor(t.shared, now, MaxRest)), MaxRest)
	if rest > 0 {
		c.paidUntil = now.Add(rest + freeAnswers*interval) // resting earns no free answers
	}
	return rest
}
