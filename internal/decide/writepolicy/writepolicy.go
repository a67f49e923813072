// Package writepolicy decides when an agent writes its learned state to disk: when enough of it has changed, not too
// often, not while the agent is busy, not at the same time as other agents on the same disk, with growing delays after
// failures, and once more at shutdown. It does no I/O and reads no clock.
package writepolicy

import (
	"math/rand/v2"
	"time"

	"ternbeam/internal/decide/learned"
)

// Settings bound the writes.
type Settings struct {
	CheckInterval  time.Duration // time between two checks for updates
	MinInterval    time.Duration // minimum time between two writes
	MaxInterval    time.Duration // time after which any update is written
	UpdateShare    float64       // updates, relative to the number of known servers, from which they are written earlier
	BusyLoad       float64       // calls in progress, as a share of the maximum, from which a write is deferred, up to twice MaxInterval
	BytesPerMinute float64       // bytes written per minute, on average
	MinDistance    float64       // distance, in units of one server, from which a changed bucket is written
	StaleAfter     time.Duration // time after which a bucket that holds any server is written, even if nothing in it changed
	RetryDelay     time.Duration // delay after the first failure; doubles with each further one
	MaxRetryDelay  time.Duration
}

// Defaults are the settings where none are configured.
var Defaults = Settings{CheckInterval: time.Second, MinInterval: 5 * time.Second, MaxInterval: time.Minute, UpdateShare: 1, BusyLoad: 0.5, BytesPerMinute: 4 << 20,
	MinDistance: 0.25, StaleAfter: 2 * time.Minute, RetryDelay: 5 * time.Second, MaxRetryDelay: 10 * time.Minute}

// AgentState is the state of the agent at a check.
type AgentState struct {
	Updates uint64  // the module's count of what it learned
	Servers int     // in the list
	Load    float64 // calls in progress, as a share of the maximum
}

// Policy decides when one agent writes. It is not safe for concurrent use.
type Policy struct {
	settings       Settings
	rng            *rand.Rand
	nextCheck      time.Duration // time of the next check
	writtenAt      time.Duration // when the latest write succeeded, or the start
	writtenUpdates uint64        // AgentState.Updates at that write
	pendingUpdates uint64        // AgentState.Updates at the write in progress
	failures       int           // number of failed writes in a row
	minInterval    time.Duration // for the next write, with jitter
	maxInterval    time.Duration // likewise
	recentBytes    float64       // leaky bucket of bytes written, which drains by BytesPerMinute
	leakedAt       time.Duration // when recentBytes was last drained
	ended          bool          // End was called
}

// New returns a Policy that starts now. The first check is at a random time, as agents on one disk may have been started
// together.
func New(set Settings, now time.Duration, seed uint64) *Policy {
	p := &Policy{settings: set, rng: rand.New(rand.NewPCG(seed, 1)), writtenAt: now, leakedAt: now}
	p.nextCheck = now + time.Duration(p.rng.Float64()*float64(set.CheckInterval))
	p.drawIntervals()
	return p
}

// drawIntervals draws the bounds for the next write: from 3/4 to 5/4 of those configured.
func (p *Policy) drawIntervals() {
	p.minInterval = p.jitter(p.settings.MinInterval)
	p.maxInterval = p.jitter(p.settings.MaxInterval)
}

func (p *Policy) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + p.rng.Float64()/2))
}

// NextCheck returns when the next check is due.
func (p *Policy) NextCheck() time.Duration { return p.nextCheck }

// Failures returns the number of failed writes in a row.
func (p *Policy) Failures() int { return p.failures }

// Check decides whether to write now. After a write, WriteDone must be called before the next Check.
func (p *Policy) Check(now time.Duration, v AgentState) (write bool) {
	p.nextCheck = now + p.settings.CheckInterval
	p.leak(now)
	since := now - p.writtenAt
	updates := v.Updates - p.writtenUpdates // right even if the count has wrapped around
	switch {
	case p.ended || updates == 0:
		return false
	case since < p.minInterval || p.recentBytes >= p.settings.BytesPerMinute:
		return false
	case since < p.maxInterval && float64(updates) < p.settings.UpdateShare*float64(max(1, v.Servers)):
		return false
	case v.Load >= p.settings.BusyLoad && since < 2*p.maxInterval:
		return false
	}
	p.pendingUpdates = v.Updates
	return true
}

// leak drains the bucket of bytes written for the time passed.
func (p *Policy) leak(now time.Duration) {
	p.recentBytes = max(0, p.recentBytes-p.settings.BytesPerMinute*(now-p.leakedAt).Minutes())
	p.leakedAt = now
}

// WriteDone notes the end of a write.
func (p *Policy) WriteDone(now time.Duration, bytes int64, err error) {
	p.leak(now)
	p.recentBytes += float64(bytes)
	if err != nil {
		p.failures++
		wait := p.settings.RetryDelay << min(p.failures-1, 20) // the 20 bounds the shift
		if wait > p.settings.MaxRetryDelay || wait <= 0 {      // at or below 0 it has overflowed
			wait = p.settings.MaxRetryDelay
		}
		p.nextCheck = now + p.jitter(wait)
		return
	}
	p.failures, p.writtenAt, p.writtenUpdates = 0, now, p.pendingUpdates
	p.nextCheck = now + p.settings.CheckInterval
	p.drawIntervals()
}

// End records that the agent shuts down, and reports whether there is something to write for the last time. There is no
// further write after it.
func (p *Policy) End(v AgentState) (write bool) {
	if p.ended {
		return false
	}
	p.ended = true
	p.pendingUpdates = v.Updates
	return v.Updates != p.writtenUpdates
}

// SelectChanged returns which parts of a State to write, given what was written last: whether the shared data, and which
// buckets. If nothing was written before, that is all. It calls yield after each bucket; yield may be nil.
func SelectChanged(set Settings, last, now learned.State, yield func()) (shared bool, buckets []int) {
	if yield == nil {
		yield = func() {}
	}
	everything := last.Shared.Buckets != now.Shared.Buckets || last.Shared.Agent != now.Shared.Agent
	shared = everything || learned.SharedDistance(last.Shared, now.Shared) >= set.MinDistance || tooOld(set, last.Shared.At, now.Shared.At)
	for i := range now.Buckets {
		yield()
		if everything {
			buckets = append(buckets, i)
			continue
		}
		distance := learned.BucketDistance(last.Buckets[i], now.Buckets[i])
		nonEmpty := len(last.Buckets[i].Servers)+len(now.Buckets[i].Servers) > 0
		if distance >= set.MinDistance || nonEmpty && tooOld(set, last.Buckets[i].At, now.Buckets[i].At) {
			buckets = append(buckets, i)
		}
	}
	return shared, buckets
}

// tooOld reports whether data written at the moment then is to be written again, as it loses weight by its age alone.
func tooOld(set Settings, then, now learned.Clock) bool {
	if then.BootID == "" {
		return now.Wall-then.Wall >= set.StaleAfter
	}
	return now.Boot-then.Boot >= set.StaleAfter || then.BootID != now.BootID
}

// ClockSteps follows the clocks of a machine: it sums up by how much the wall clock stepped against the time since boot.
type ClockSteps struct {
	last   learned.Clock // the latest reading
	Unsure time.Duration // sum of the steps so far
}

// minClockStep is the least drift that counts as a step: between two checks clocks are slewed by less.
const minClockStep = 500 * time.Millisecond

// Observe takes a reading of the clocks and returns it with the sum of all steps observed so far.
func (s *ClockSteps) Observe(now learned.Clock) learned.Clock {
	if s.last.BootID != "" && s.last.BootID == now.BootID {
		if drift := ((now.Wall - s.last.Wall) - (now.Boot - s.last.Boot)).Abs(); drift >= minClockStep {
			s.Unsure += drift
		}
	}
	s.last = now
	now.Unsure = s.Unsure
	return now
}
