// Package writepolicy decides when an agent writes its learned state to disk: when enough of it has changed, not too
// often, not while the agent is busy, not at the same time as other agents on the same disk, with growing delays after
// failures, and once more at shutdown. It does no I/O and reads no clock.
package keeping

import (
	"math/rand/v2"
	"time"

	"ternbeam/internal/decide/learned"
)

// Settings bound the writes.
type Settings struct {
	Look      time.Duration // between two checks for updates
	Least     time.Duration // shortest time between two writes
	Most      time.Duration // time after which any update is written
	Enough    float64       // updates, relative to the number of known servers, from which on they are written earlier
	Busy      float64       // calls in progress, as a share of the maximum, from which on a write is deferred, up to twice MaxInterval
	MostBytes float64       // bytes written per minute, on average
	Change    float64       // distance, in units of one server, from which on a changed bucket is written
	Stale     time.Duration // time after which a bucket that holds any server is written, even if nothing in it changed
	Retry     time.Duration // delay after the first failure; doubles with each further one
	MostRetry time.Duration
}

// Defaults are the settings where none are configured.
var Defaults = Settings{Look: time.Second, Least: 5 * time.Second, Most: time.Minute, Enough: 1, Busy: 0.5, MostBytes: 4 << 20,
	Change: 0.25, Stale: 2 * time.Minute, Retry: 5 * time.Second, MostRetry: 10 * time.Minute}

// View is the state of the agent at a check.
type View struct {
	News    uint64  // the module's count of what it learned
	Servers int     // in the list
	Load    float64 // calls in progress, as a share of the maximum
}

// Policy decides for one agent. It is not safe for concurrent use.
type Keeper struct {
	settings       Settings
	rng            *rand.Rand
	nextCheck      time.Duration // time of the next check
	writtenAt      time.Duration // when the latest write succeeded, or the start
	writtenUpdates uint64        // View.Updates at that write
	pendingUpdates uint64        // View.Updates at the write in progress
	failures       int           // number of failed writes in a row
	minInterval    time.Duration // for the next write, with jitter
	maxInterval    time.Duration
	recentBytes    float64 // leaky bucket of bytes written, which drains by BytesPerMinute
	leakedAt       time.Duration
	ended          bool
}

// New returns a Policy that starts now. The first check is at a random time, as agents on one disk may have been started
// together.
func New(set Settings, now time.Duration, seed uint64) *Keeper {
	p := &Keeper{settings: set, rng: rand.New(rand.NewPCG(seed, 1)), writtenAt: now, leakedAt: now}
	p.nextCheck = now + time.Duration(p.rng.Float64()*float64(set.Look))
	p.drawIntervals()
	return p
}

// drawIntervals draws the bounds for the next write: from 3/4 to 5/4 of those configured.
func (p *Keeper) drawIntervals() {
	p.minInterval = p.jitter(p.settings.Least)
	p.maxInterval = p.jitter(p.settings.Most)
}

func (p *Keeper) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + p.rng.Float64()/2))
}

// NextCheck returns when the next check is due.
func (p *Keeper) Next() time.Duration { return p.nextCheck }

// Failures returns the number of failed writes in a row.
func (p *Keeper) Failed() int { return p.failures }

// Check decides whether to write now. After a write, WriteDone must be called before the next Check.
func (p *Keeper) Looked(now time.Duration, v View) (write bool) {
	p.nextCheck = now + p.settings.Look
	p.leak(now)
	since := now - p.writtenAt
	updates := v.News - p.writtenUpdates // a count that wraps around still differs
	switch {
	case p.ended || updates == 0:
		return false
	case since < p.minInterval || p.recentBytes >= p.settings.MostBytes:
		return false
	case since < p.maxInterval && float64(updates) < p.settings.Enough*float64(max(1, v.Servers)):
		return false
	case v.Load >= p.settings.Busy && since < 2*p.maxInterval:
		return false
	}
	p.pendingUpdates = v.News
	return true
}

// leak drains the bucket of bytes written for the time passed.
func (p *Keeper) leak(now time.Duration) {
	p.recentBytes = max(0, p.recentBytes-p.settings.MostBytes*(now-p.leakedAt).Minutes())
	p.leakedAt = now
}

// WriteDone notes the end of a write.
func (p *Keeper) Wrote(now time.Duration, bytes int64, err error) {
	p.leak(now)
	p.recentBytes += float64(bytes)
	if err != nil {
		p.failures++
		wait := p.settings.Retry << min(p.failures-1, 20)
		if wait > p.settings.MostRetry || wait <= 0 {
			wait = p.settings.MostRetry
		}
		p.nextCheck = now + p.jitter(wait)
		return
	}
	p.failures, p.writtenAt, p.writtenUpdates = 0, now, p.pendingUpdates
	p.nextCheck = now + p.settings.Look
	p.drawIntervals()
}

// End notes that the agent shuts down, and reports whether there is something to write for the last time. There is no
// further write after it.
func (p *Keeper) End(v View) (write bool) {
	if p.ended {
		return false
	}
	p.ended = true
	p.pendingUpdates = v.News
	return v.News != p.writtenUpdates
}

// SelectChanged returns which parts of a State to write, given what was written last: whether the shared data, and which
// buckets. If nothing was written before, that is all. It calls yield after each bucket; yield may be nil.
func Pick(set Settings, last, now learned.State, yield func()) (shared bool, buckets []int) {
	if yield == nil {
		yield = func() {}
	}
	everything := last.Shared.Buckets != now.Shared.Buckets || last.Shared.Agent != now.Shared.Agent
	shared = everything || learned.DifferShared(last.Shared, now.Shared) >= set.Change || tooOld(set, last.Shared.At, now.Shared.At)
	for i := range now.Buckets {
		yield()
		if everything {
			buckets = append(buckets, i)
			continue
		}
		distance := learned.DifferBucket(last.Buckets[i], now.Buckets[i])
		nonEmpty := len(last.Buckets[i].Servers)+len(now.Buckets[i].Servers) > 0
		if distance >= set.Change || nonEmpty && tooOld(set, last.Buckets[i].At, now.Buckets[i].At) {
			buckets = append(buckets, i)
		}
	}
	return shared, buckets
}

// tooOld reports whether what was written then has lost too much weight by its age alone.
func tooOld(set Settings, then, now learned.Clock) bool {
	if then.BootID == "" {
		return now.Wall-then.Wall >= set.Stale
	}
	return now.Boot-then.Boot >= set.Stale || then.BootID != now.BootID
}

// ClockSteps follows the clocks of a machine: it sums up by how much the wall clock stepped against the time since boot.
type Steps struct {
	last   learned.Clock
	Unsure time.Duration
}

// minClockStep is the least drift that counts as a step: between two checks clocks are slewed by less.
const step = 500 * time.Millisecond

// Observe takes a reading of the clocks and returns it with the sum of all steps observed so far.
func (s *Steps) Saw(now learned.Clock) learned.Clock {
	if s.last.BootID != "" && s.last.BootID == now.BootID {
		if drift := ((now.Wall - s.last.Wall) - (now.Boot - s.last.Boot)).Abs(); drift >= step {
			s.Unsure += drift
		}
	}
	s.last = now
	now.Unsure = s.Unsure
	return now
}
