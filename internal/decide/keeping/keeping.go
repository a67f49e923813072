// Package keeping decides when an agent writes down what it has learned: when enough of it is new, not too often, not
// while it is busy, not when its neighbours on the same disk do, less and less where writing fails, and once more at the
// end. It does no I/O and reads no clock.
package keeping

import (
	"math/rand/v2"
	"time"

	"ternbeam/internal/decide/learned"
)

// Settings bound the writing.
type Settings struct {
	Look      time.Duration // between two looks at what is new
	Least     time.Duration // between two writes
	Most      time.Duration // after which anything new is written
	Enough    float64       // news, as a share of the servers known, from which it is written before that
	Busy      float64       // calls in hand, as a share of the most, from which a write waits, till twice Most
	MostBytes float64       // a minute, on average
	Change    float64       // worth in servers of a change in a bucket that makes it be written
	Stale     time.Duration // a bucket with any change is written after it
	Retry     time.Duration // after the first failure; it doubles with each further one
	MostRetry time.Duration
}

// Defaults are the settings where none are given.
var Defaults = Settings{Look: time.Second, Least: 5 * time.Second, Most: time.Minute, Enough: 1, Busy: 0.5, MostBytes: 4 << 20,
	Change: 0.25, Stale: 2 * time.Minute, Retry: 5 * time.Second, MostRetry: 10 * time.Minute}

// View is what a look at the agent shows.
type View struct {
	News    uint64 // the module's count of what it learned
	Servers int    // in the list
	Load    float64
}

// Keeper is one agent's. It is not safe for concurrent use.
type Keeper struct {
	set     Settings
	rng     *rand.Rand
	next    time.Duration // the next look
	written time.Duration // the latest write that succeeded, or the start
	news    uint64        // as of it
	taken   uint64        // as of the write under way
	failed  int           // writes in a row
	least   time.Duration // with this write's own jitter
	most    time.Duration
	bytes   float64 // written of late: a bucket that leaks MostBytes a minute
	leaked  time.Duration
	ended   bool
}

// New returns a Keeper that begins now. The first write comes at a time of its own, as agents of one disk may have been
// started together.
func New(set Settings, now time.Duration, seed uint64) *Keeper {
	k := &Keeper{set: set, rng: rand.New(rand.NewPCG(seed, 1)), written: now, leaked: now}
	k.next = now + time.Duration(k.rng.Float64()*float64(set.Look))
	k.draw()
	return k
}

// draw draws the bounds for the next write: from three quarters to five quarters of what is set.
func (k *Keeper) draw() {
	k.least = k.jitter(k.set.Least)
	k.most = k.jitter(k.set.Most)
}

func (k *Keeper) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + k.rng.Float64()/2))
}

// Next is when the next look is due.
func (k *Keeper) Next() time.Duration { return k.next }

// Failed is how many writes failed in a row.
func (k *Keeper) Failed() int { return k.failed }

// Looked takes a look at the agent and says whether to write now. After a write, Wrote must come before the next look.
func (k *Keeper) Looked(now time.Duration, v View) (write bool) {
	k.next = now + k.set.Look
	k.leak(now)
	since := now - k.written
	fresh := v.News - k.news // a count that wraps still differs
	switch {
	case k.ended || fresh == 0:
		return false
	case since < k.least || k.bytes >= k.set.MostBytes:
		return false
	case since < k.most && float64(fresh) < k.set.Enough*float64(max(1, v.Servers)):
		return false
	case v.Load >= k.set.Busy && since < 2*k.most:
		return false
	}
	k.taken = v.News
	return true
}

// leak lets time pass for the bytes that were written.
func (k *Keeper) leak(now time.Duration) {
	k.bytes = max(0, k.bytes-k.set.MostBytes*(now-k.leaked).Minutes())
	k.leaked = now
}

// Wrote takes the end of a write.
func (k *Keeper) Wrote(now time.Duration, bytes int64, err error) {
	k.leak(now)
	k.bytes += float64(bytes)
	if err != nil {
		k.failed++
		wait := k.set.Retry << min(k.failed-1, 20)
		if wait > k.set.MostRetry || wait <= 0 {
			wait = k.set.MostRetry
		}
		k.next = now + k.jitter(wait)
		return
	}
	k.failed, k.written, k.news = 0, now, k.taken
	k.next = now + k.set.Look
	k.draw()
}

// End says that the agent ends, and whether there is something to write for the last time. Nothing is after it.
func (k *Keeper) End(v View) (write bool) {
	if k.ended {
		return false
	}
	k.ended = true
	k.taken = v.News
	return v.News != k.news
}

// Pick says which parts of a State are worth writing, given what was written last: what is shared, and which buckets.
// Without anything written before it is all. It gives way after each bucket.
func Pick(set Settings, last, now learned.State, giveWay func()) (shared bool, buckets []int) {
	if giveWay == nil {
		giveWay = func() {}
	}
	all := last.Shared.Buckets != now.Shared.Buckets || last.Shared.Agent != now.Shared.Agent
	shared = all || learned.DifferShared(last.Shared, now.Shared) >= set.Change || stale(set, last.Shared.At, now.Shared.At)
	for i := range now.Buckets {
		giveWay()
		if all {
			buckets = append(buckets, i)
			continue
		}
		differs := learned.DifferBucket(last.Buckets[i], now.Buckets[i])
		known := len(last.Buckets[i].Servers)+len(now.Buckets[i].Servers) > 0
		if differs >= set.Change || known && stale(set, last.Buckets[i].At, now.Buckets[i].At) {
			buckets = append(buckets, i)
		}
	}
	return shared, buckets
}

// stale reports whether what was written then has lost too much of its worth by its age alone.
func stale(set Settings, then, now learned.Clock) bool {
	if then.BootID == "" {
		return now.Wall-then.Wall >= set.Stale
	}
	return now.Boot-then.Boot >= set.Stale || then.BootID != now.BootID
}

// Steps follows the clocks of a machine: it sums up by how much the wall clock stepped against the one that cannot be set.
type Steps struct {
	last   learned.Clock
	Unsure time.Duration
}

// step is what counts as one: clocks are slewed by less between two looks.
const step = 500 * time.Millisecond

// Saw takes a reading of the clocks and returns it with all steps seen so far.
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
