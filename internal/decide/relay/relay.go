// Package relay decides how long an answer is held, that is buffered, before it is relayed to the client while the server is
// still sending it. It does no I/O and reads no clock.
//
// A held answer can be replaced: if the server breaks it off, the request is sent to another server, or the client gets an error. An
// answer that is being relayed is final: if it breaks off, the client's connection has to be closed. So an answer is held for as long
// as it fits into memory and the client's deadline allows. A long answer must not be held for long, as its client takes seconds to
// read it: a long answer whose body has started is never given up, as its server may just be slow in sending it.
//
// An answer whose body has not started is waited for until the client's deadline, as its server may be slow in sending and another
// one no faster. If it takes long, another server is asked besides, as far as package choice allows, because its server may also have
// stopped.
package relay

import (
	"math"
	"time"
)

const (
	// MaxHold is the longest time that an answer of unknown length is held. Such an answer may be short and soon complete.
	MaxHold = 500 * time.Millisecond
	// MaxHoldLong is the longest time that an answer known to be long is held. It is short, as clients measure the time to the
	// first byte.
	MaxHoldLong = 100 * time.Millisecond
	// HedgeDelay is the time from the head of an answer after which another server is asked too, if the body has not started.
	HedgeDelay = 500 * time.Millisecond
	// MaxPause is the longest time since data was last received after which the answer to a first attempt still starts to be
	// relayed. A server that makes progress sends something at least that often; one that does not has probably stopped.
	MaxPause = 300 * time.Millisecond
	// LongAnswerBytes is the number of bytes from which on an answer of unknown length is taken to be long.
	LongAnswerBytes = 4 << 10
	// RelayMargin is how long before the client's deadline a long answer is relayed at the latest: its first bytes are due by then.
	RelayMargin = 50 * time.Millisecond
)

// AttemptPosition is the position of an attempt among those of its call.
type AttemptPosition int

// The positions of an attempt.
const (
	FirstAttempt   AttemptPosition = iota // another one can follow
	OnlyAttempt                           // the first, and none can follow
	FurtherAttempt                        // not the first
)

// Verdict tells what to do with a held answer.
type Verdict int

// The verdicts.
const (
	Hold    Verdict = iota // keep holding it until NextCheck
	Relay                  // start to relay it
	Replace                // it has stopped or is too late: send the request to another server, or answer the client with an error
	Hedge                  // keep holding it until NextCheck, and send the request to another server besides
)

// HeldAnswer is the state of a held answer. All times are on one monotonic clock with an arbitrary origin. It is not safe for
// concurrent use.
type HeldAnswer struct {
	deadline       time.Duration // of the client
	hedgeAt        time.Duration // when Check returns Hedge, if the body has not started; the deadline once it has done so
	until          time.Duration // when holding ends at the latest, if the body has started by then
	endsAtDeadline bool          // until is the client's deadline
	nextCheck      time.Duration // when to check whether data is still arriving; equal to until if that is the only check
	maxPause       time.Duration // longest allowed time without data at a check
	limit          int           // maximum number of bytes held
	position       AttemptPosition
	knownLong      bool          // the head says that it is long
	received       int           // bytes
	lastReceived   time.Duration // when data was last received; initially when the head was received
}

// NewHeldAnswer starts to hold an answer of unknown length whose head was received at now. left is the time until the client's
// deadline, limit the maximum number of bytes to hold. If the answer to a first attempt has stopped by half of left it is replaced. The
// answer may also be long and its server slow, and then further attempts would do no better, so that their answers are not replaced. If
// no attempt can follow, an answer that has stopped is held until it continues. An answer that is not complete at the client's deadline
// is relayed only if it has brought more than LongAnswerBytes.
func NewHeldAnswer(now, left time.Duration, limit int, position AttemptPosition) *HeldAnswer {
	left = max(left, 0)
	hold := min(MaxHold, left)
	h := newHeld(now, left, hold, limit)
	h.endsAtDeadline, h.position = hold == left, position
	if position != FurtherAttempt {
		// The other half is left for an attempt at another server. A pause of half of the time until the check means that the
		// answer has stopped.
		untilCheck := min(MaxHold, left/2)
		h.nextCheck, h.maxPause = now+untilCheck, min(MaxPause, untilCheck/2)
	}
	return h
}

// NewHeldLong is like NewHeldAnswer, for an answer that is known to be longer than limit. It is held for half of left at most, and relayed at
// the client's deadline even if its body has not started.
func NewHeldLong(now, left time.Duration, limit int) *HeldAnswer {
	left = max(left, 0)
	hold := min(MaxHoldLong, left/2)
	h := newHeld(now, left, hold, limit)
	h.position, h.knownLong = FurtherAttempt, true
	h.hedgeAt = min(h.hedgeAt, h.bodyDue())
	return h
}

// newHeld starts to hold an answer for the time hold once its body has started. left is not negative.
func newHeld(now, left, hold time.Duration, limit int) *HeldAnswer {
	deadline := addTime(now, left)
	return &HeldAnswer{deadline: deadline, hedgeAt: min(addTime(now, HedgeDelay), deadline), until: now + hold, nextCheck: now + hold,
		limit: limit, lastReceived: now}
}

// addTime returns now + left, or the latest time if the sum is out of range. Left is not negative.
func addTime(now, left time.Duration) time.Duration {
	if left > math.MaxInt64-max(now, 0) {
		return math.MaxInt64
	}
	return now + left
}

// Received records that further bytes were received. It returns Relay if the limit is exceeded, else Hold.
func (h *HeldAnswer) Received(now time.Duration, bytes int) Verdict {
	h.received += bytes
	h.lastReceived = now
	h.nextCheck = min(h.nextCheck, h.until) // it may have been later because of a pause
	if h.received > h.limit {
		return Relay
	}
	if h.isLong() {
		h.endsAtDeadline = false
		h.until = min(h.until, h.latestRelay())
		h.nextCheck = h.until
	}
	return Hold
}

// isLong reports whether the answer is known or taken to be long.
func (h *HeldAnswer) isLong() bool { return h.knownLong || h.received > LongAnswerBytes }

// bodyDue returns until when a body that has not started is waited for.
func (h *HeldAnswer) bodyDue() time.Duration {
	if h.knownLong {
		return h.latestRelay()
	}
	return h.deadline
}

// latestRelay returns when a long answer is relayed at the latest.
func (h *HeldAnswer) latestRelay() time.Duration { return max(0, h.deadline-RelayMargin) }

// NextCheck returns the time at which Check is to be called.
func (h *HeldAnswer) NextCheck() time.Duration {
	if h.received == 0 {
		return h.hedgeAt
	}
	return h.nextCheck
}

// Check returns what to do with an answer that is not complete at now. After Hold and Hedge, NextCheck returns the time of the next
// call. It returns Hedge at most once.
func (h *HeldAnswer) Check(now time.Duration) Verdict {
	switch {
	case now < h.NextCheck():
		return Hold
	case h.received == 0 && now < h.bodyDue():
		h.hedgeAt = h.bodyDue()
		return Hedge
	case h.received == 0 && h.knownLong:
		return Relay
	case h.received == 0:
		return Replace
	case h.isLong():
		return Relay
	case h.position != FurtherAttempt && now-h.lastReceived > h.maxPause:
		if h.position == FirstAttempt || now >= h.deadline {
			return Replace
		}
		h.nextCheck = h.deadline
		return Hold
	case now < h.until:
		h.nextCheck = h.until
		return Hold
	case h.endsAtDeadline:
		return Replace
	}
	return Relay
}
