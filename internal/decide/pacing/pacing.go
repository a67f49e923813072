// Package pacing decides when an agent calls the discovery service for the list of servers. One service may serve the
// list to all agents: it works through its callers in order and drops those that have waited too long, but does the
// work for them all the same. If the agents call faster than it can answer for long, it answers nobody any more. Agents
// know neither the state of the others nor how fast the service is.
//
// Each agent therefore calls in its own time slot: an offset into a period, derived from its index and from the clock
// that all agents share. So the fleet calls at an even rate, with at most one call per agent and period, whatever caused
// the calls: a cold start, an outage of the service, agents killed one after the other. docs/design/cold-start.md
// derives the period. The package does no I/O and reads no clock.
//
// The platform's rules say from when on a change of the list counts as known to an agent, whether or not the agent has
// received it. After that and the grace of a drain (Settings.Grace), the agent must not send to a server that drains.
package pacing

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// Settings configure a Scheduler.
type Settings struct {
	Shared  bool          // one service answers all agents; otherwise each agent has one on its machine, which costs nothing to call
	Agents  int           // number of agents, as far as known
	Me      int           // index of this agent, from 0; out of range where unknown
	MustAsk time.Duration // a list change counts as known to an agent that has not called for this long; 0 for no limit
	Grace   time.Duration // how long an agent may still send to a server after it learned of its drain; 0 where not configured
}

const (
	// WatchSilenceTimeout is how long a watch may stay silent: the service sends a line at least every 2 s, and a watch
	// whose next line is late by half of that counts as broken. The changes that it misses may remain unknown for
	// knownAfterSilence at most, and within that time all agents that watched may have to call one service, each in its
	// slot.
	WatchSilenceTimeout = 3 * time.Second
	// knownAfterSilence is the time from when a watch falls silent until the changes that it misses count as known to the
	// agent, whether or not they arrived.
	knownAfterSilence = 6 * time.Second
	// CallTimeout is how long a call to a service that all agents call may wait for its answer before it counts as lost.
	// The service drops callers by itself after a wait that it does not announce; work for a caller that gives up earlier
	// is done all the same.
	CallTimeout = 4500 * time.Millisecond
	// usualCallTime is how long a call takes where the service keeps up with its callers.
	usualCallTime = 500 * time.Millisecond

	// minQueueWait is how long a caller waits at least before the service drops it.
	minQueueWait = 2 * time.Second
	// defaultPeriod is the time in which all agents call once, where nothing better is known. A service that needs up to
	// defaultPeriod + minQueueWait for all agents serves each at its first call, and one that needs 1.7 times the period
	// at its second call at the latest.
	defaultPeriod = 5 * time.Second
	// minPeriod is the period where the service was measured to be fast, and maxFailurePeriod the one to which it grows
	// while calls fail.
	minPeriod        = 500 * time.Millisecond
	maxFailurePeriod = 3 * time.Second
	// crowdPatience is for how long agents call a service that drops them, but has kept up with all of them, as often as one that fails: the
	// platform's service is out of reach for up to 23 s, and when it is back changes count as known after knownAfterSilence.
	crowdPatience = 30 * time.Second
	// maxPeriod is the period of agents that a service that is not known to keep up, or no longer, has dropped again and again.
	maxPeriod = 24 * time.Second
	// backoffFactor is by how much the period grows with each call that such a service drops, from the second on.
	backoffFactor = 3
	// slowdownMargin is how much slower the service may have become than it was measured to be.
	slowdownMargin = 1.5
	// maxWaits is how many waits for a response are remembered; the longest of them counts.
	maxWaits = 4
)

// Scheduler decides when one agent calls the service. Times are those of a clock that all agents share, exact to a small
// part of a period; an agent whose clock is off merely calls in another agent's slot. It is not safe for concurrent use.
type Scheduler struct {
	settings Settings
	rng      *rand.Rand
	offset   float64 // of this agent's slot in the period, from 0 to below 1

	calledAt    time.Duration   // when the latest call began
	answered    bool            // a response to the latest call has begun, whatever its content
	delivered   bool            // the latest call brought a list that was accepted
	unreachable bool            // no connection to the service could be established for the latest call
	failures    int             // calls in a row that brought no list though they were not dropped
	rejections  int             // calls in a row that the service dropped
	crowdSince  time.Duration   // when the first of them began
	backoffs    int             // those of them that lengthen the period
	keepsUp     bool            // the service was measured to be fast enough for calls of all agents in each defaultPeriod
	silences    int             // calls in a row that got no response at all
	waits       []time.Duration // of recent calls until their response began
	silentSince time.Duration   // when a watch fell silent, if no list has been received since; 0 otherwise
	local       *LocalSchedule  // for a service on the agent's machine
}

// New returns a Scheduler. Its random numbers follow from the seed alone.
func New(set Settings, seed uint64) *Scheduler {
	s := &Scheduler{settings: set, rng: rand.New(rand.NewPCG(seed, 1)), local: NewLocalSchedule(set.Grace, seed)}
	s.settings.Agents, s.settings.Grace = max(1, set.Agents), cmp.Or(set.Grace, defaultGrace)
	if s.offset = s.rng.Float64(); set.Me >= 0 && set.Me < set.Agents {
		s.offset = float64(set.Me) / float64(set.Agents)
	}
	return s
}

// Local returns the schedule of calls to a service on the agent's machine, nil where one service answers all agents.
func (s *Scheduler) Local() *LocalSchedule {
	if s.settings.Shared {
		return nil
	}
	return s.local
}

// FirstCall returns when to make the first call.
func (s *Scheduler) FirstCall(now time.Duration) time.Duration {
	if !s.settings.Shared {
		return now
	}
	return s.nextSlot(now, s.basePeriod(0))
}

// CallStarted records that a call begins.
func (s *Scheduler) CallStarted(now time.Duration) {
	s.calledAt, s.answered, s.delivered, s.unreachable = now, false, false, false
}

// CallUnreachable records that no connection to the service could be established for the call. CallEnded follows.
func (s *Scheduler) CallUnreachable() { s.unreachable = true }

// ResponseStarted records that a response to the call has begun: the service has worked through the calls before it.
func (s *Scheduler) ResponseStarted(now time.Duration) {
	if s.answered {
		return
	}
	s.answered, s.rejections, s.backoffs, s.silences = true, 0, 0, 0
	if len(s.waits) == maxWaits {
		s.waits = s.waits[1:]
	}
	wait := now - s.calledAt
	s.waits = append(s.waits, wait)
	s.keepsUp = s.keepsUp || time.Duration(s.settings.Agents)*wait <= defaultPeriod // a wait includes the agent's own work, and maybe a queue
}

// ListReceived records that the call has brought a list that was accepted.
func (s *Scheduler) ListReceived() { s.delivered, s.failures, s.silentSince = true, 0, 0 }

// CallEnded records that the call has failed, or that the watch that it opened has ended, and that nothing was received
// for the time silent before that. It returns when to make the next call.
func (s *Scheduler) CallEnded(now, silent time.Duration) time.Duration {
	if !s.settings.Shared {
		return now + s.local.Interval()
	}
	if silent > 0 && s.delivered {
		s.silentSince = now - silent
	}
	hung := !s.answered && silent > 0
	if hung {
		s.silences++
	}
	switch {
	case s.delivered:
	case s.unreachable: // no sign of a queue: no caller got into one
		s.failures++
		s.rejections, s.backoffs, s.silences = 0, 0, 0
	case hung && s.silences == 1: // a service with a queue reports sooner or later that it drops a caller; a first silence is a broken link
		s.failures++
	case s.answered || now-s.calledAt < minQueueWait/2: // a service that drops callers lets them wait for longer, without an answer
		s.failures++
	default:
		if s.rejections == 0 {
			s.crowdSince = s.calledAt
		}
		s.rejections++
		s.keepsUp = s.keepsUp && now-s.crowdSince < crowdPatience
		if !s.keepsUp && s.rejections > 1 {
			s.backoffs++
		}
		s.waits = nil // the service is slower than it was measured to be
	}
	period := s.basePeriod(silent)
	if s.backoffs > 0 {
		// Calls in the usual slots may be what makes the queue: a call in the next slot would meet the same queue, and each call makes it longer. After 8 steps the period is
		// maxPeriod in any case. The next call is not made before half of the period has passed since the latest one.
		for range min(s.backoffs, 8) {
			period = min(period*backoffFactor, maxPeriod)
		}
		return s.nextSlot(max(now, s.calledAt+period/2), period)
	}
	// After a watch fell silent, a call that fails in whatever way leaves time for another one before the drains that it
	// missed count as known.
	if left := s.silentSince + knownAfterSilence + s.settings.Grace - usualCallTime - now; s.silentSince > 0 && left > 0 {
		period = min(period, max(left, minPeriod))
	}
	// The service may have been back since the call began, and the list has to arrive before its changes count as known.
	left := max(s.calledAt+knownAfterSilence+s.settings.Grace-usualCallTime-now, minPeriod)
	if s.unreachable {
		return s.nextSlot(now, min(period, left))
	}
	next := s.nextSlot(now, period)
	if s.rejections > 0 && s.keepsUp && next > now+left { // the usual slot is kept where it is early enough, as the service may have a queue
		return s.nextSlot(now, left)
	}
	return next
}

// basePeriod returns the period without the backoff for dropped calls, after nothing was received for the time silent.
func (s *Scheduler) basePeriod(silent time.Duration) time.Duration {
	// A caller that is served has waited minQueueWait at most: few agents cannot build a queue of that length.
	most := min(defaultPeriod, time.Duration(s.settings.Agents-1)*minQueueWait)
	if must := s.settings.MustAsk; must > 0 {
		// The list has to arrive before its changes count as known: the time spent in silence, the duration of the call and
		// a margin of a twentieth are subtracted, but a quarter of the time is left to spread the calls.
		most = min(most, max(must-silent-minQueueWait-must/20, must/4))
	}
	if silent > 0 { // what a watch or a call without a response missed has to arrive before the drains among it count as known
		most = min(most, max(knownAfterSilence+s.settings.Grace-silent-usualCallTime, minPeriod))
	}
	if len(s.waits) == 0 {
		return most
	}
	// The period allows each agent the longest wait measured, as if all calls were served one after the other.
	slowest := s.waits[0]
	for _, w := range s.waits {
		slowest = max(slowest, w)
	}
	quick := max(minPeriod, time.Duration(slowdownMargin*float64(s.settings.Agents)*float64(slowest)))
	// It doubles with each failed call, up to maxFailurePeriod; the 8 only keeps the shift from overflowing.
	return min(most, max(quick, min(quick<<min(s.failures, 8), maxFailurePeriod)))
}

// NextSlot returns the agent's next slot in periods of the given length, or of the usual length if that is longer.
func (s *Scheduler) NextSlot(now, period time.Duration) time.Duration {
	return s.nextSlot(now, max(period, s.basePeriod(0)))
}

// nextSlot returns the agent's next slot in periods of the given length.
func (s *Scheduler) nextSlot(now, period time.Duration) time.Duration {
	if period <= 0 {
		return now
	}
	next := now - now%period + time.Duration(s.offset*float64(period))
	if next <= now {
		next += period
	}
	return next
}
