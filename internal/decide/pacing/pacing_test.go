package pacing

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// service models a discovery service that serves calls in order, each in the same time, and drops callers that have
// waited too long; the work for them is done all the same.
type service struct {
	perCall time.Duration
	freeAt  time.Duration
	isDown  func(now time.Duration) bool
}

// call returns when the caller gets a response, and whether that is the list.
func (s *service) call(now time.Duration) (time.Duration, bool) {
	if s.isDown != nil && s.isDown(now) {
		return now + time.Millisecond, false
	}
	s.freeAt = max(s.freeAt, now) + s.perCall
	if s.freeAt > now+minQueueWait {
		return now + minQueueWait, false
	}
	return s.freeAt, true
}

// agent is an agent of the model.
type agent struct {
	scheduler *Scheduler
	nextAt    time.Duration // time of its next event
	calling   bool          // its next event is the start of a call; otherwise the end of one
	served    bool
	calls     int
	calledAt  time.Duration // time of its latest call
	silent    time.Duration // how long its latest watch was silent
}

type queue []*agent

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].nextAt < q[j].nextAt }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(*agent)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// recover simulates agents until all are served or a limit has passed, and returns when the last one was served, how
// many calls were made, and how many agents were not served.
func (s *service) recover(agents []*agent, begin, limit time.Duration) (last time.Duration, calls, left int) {
	var q queue
	for _, a := range agents {
		if !a.served {
			heap.Push(&q, a)
		}
	}
	heap.Init(&q)
	for len(q) > 0 && q[0].nextAt <= begin+limit {
		a := q[0]
		now := a.nextAt
		switch {
		case a.calling:
			calls++
			a.calls++
			a.calledAt = now
			a.scheduler.CallStarted(now)
			a.nextAt, a.served = s.call(now)
			a.calling = false
		case a.served:
			a.scheduler.ResponseStarted(now)
			a.scheduler.ListReceived()
			last = now - begin
			heap.Pop(&q)
			continue
		default:
			a.nextAt, a.calling = a.scheduler.CallEnded(now, a.silent), true
			a.silent = 0
		}
		heap.Fix(&q, 0)
	}
	return last, calls, len(q)
}

// newFleet returns agents that start at a given time. assumed returns the index and the number of agents that agent i
// assumes.
func newFleet(n int, begin time.Duration, mustAsk time.Duration, seed uint64, assumed func(i int) (me, agents int)) []*agent {
	var all []*agent
	for i := range n {
		me, agents := assumed(i)
		a := &agent{scheduler: New(Settings{Shared: true, Agents: agents, Me: me, MustAsk: mustAsk}, seed<<32+uint64(i)), calling: true}
		a.nextAt = a.scheduler.FirstCall(begin)
		all = append(all, a)
	}
	return all
}

const mustAsk = 10 * time.Second

// loseWatches ends the watches of agents at a given time.
func loseWatches(agents []*agent, at time.Duration, silent time.Duration) {
	for _, a := range agents {
		if a.served {
			a.served, a.calling, a.nextAt, a.calls, a.silent = false, false, at, 0, silent
		}
	}
}

// Guards against a fleet that loses the list at once and never recovers it. For any time that the service needs for all
// agents, all have the list within 1.5 times that time or one period, with at most two calls per agent; none is left
// out, and none goes without a call for as long as mustAsk.
func TestFleetRecovers(t *testing.T) {
	begin := 1000*time.Hour + 1234567*time.Microsecond
	for _, n := range []int{10, 80, 300, 1000, 10_000} {
		for _, all := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 6 * time.Second, 8 * time.Second} {
			t.Run(fmt.Sprintf("%d agents, %v for all", n, all), func(t *testing.T) {
				s := &service{perCall: all / time.Duration(n)}
				agents := newFleet(n, begin, mustAsk, 1, func(i int) (int, int) { return i, n })
				check := func(what string, from time.Duration) {
					last, calls, left := s.recover(agents, from, time.Minute)
					t.Logf("%s: all have it after %v and %d calls", what, last, calls)
					most := max(defaultPeriod+all/time.Duration(n)+minQueueWait/10, all*3/2)
					if n == 10 && all == 8*time.Second {
						most = 5 * all // two calls already are the queue that a caller tolerates, so chance decides
					}
					if left > 0 || last > most {
						t.Errorf("%s: %d agents have no list, the last got it after %v, over %v", what, left, last, most)
					}
					if calls > 2*n {
						t.Errorf("%s: %d calls", what, calls)
					}
				}
				check("cold start", begin)
				down := begin + time.Minute
				loseWatches(agents, down, 0)
				s.isDown = func(now time.Duration) bool { return now < down+5*time.Second }
				_, calls, _ := s.recover(agents, down, 5*time.Second-1)
				if calls > 5*n { // two quick ones, as the service was fast, then one every 3 s
					t.Errorf("%d calls to a service that was down for 5 s", calls)
				}
				for _, a := range agents {
					if a.calledAt > down && a.calledAt-down > mustAsk {
						t.Errorf("called %v after it lost the list", a.calledAt-down)
					}
				}
				check("after an outage", down+5*time.Second)
				again := down + time.Minute
				loseWatches(agents[:n*7/10], again, 0)
				for _, a := range agents[:n*7/10] {
					a.scheduler = New(a.scheduler.settings, 1<<40+uint64(a.calls))
					a.nextAt, a.calling = a.scheduler.FirstCall(again), true
				}
				check("seven in ten restarted", again)
			})
		}
	}
}

// With random delays of up to 3 s instead of slots the fleet never recovers the list: the model must reproduce that.
func TestModelReproducesCollapse(t *testing.T) {
	const n = 300
	s := &service{perCall: 8 * time.Second / n}
	rng := rand.New(rand.NewPCG(1, 1))
	next := make([]time.Duration, n)
	served := 0
	for calls := 0; calls < 20*n && served < n; calls++ {
		i := 0
		for j := range next {
			if next[j] < next[i] {
				i = j
			}
		}
		heard, ok := s.call(next[i])
		if next[i] = heard + time.Duration(rng.Float64()*float64(3*time.Second)); ok {
			served++
			next[i] = time.Hour
		}
	}
	if served > n/2 {
		t.Errorf("%d of %d are served", served, n)
	}
}

// Unknown or wrong indexes, numbers of agents that are ten times too high or too low, and clocks that are off cost no
// more than random slots.
func TestWrongIndexesAndAgentCounts(t *testing.T) {
	const n = 300
	begin := 1000 * time.Hour
	for name, assumed := range map[string]func(i int) (int, int){
		"unknown":            func(int) (int, int) { return -1, n },
		"ten times too many": func(i int) (int, int) { return -1, 10 * n },
		"ten times too few":  func(i int) (int, int) { return -1, n / 10 },
		"two at each index":  func(i int) (int, int) { return i / 2 * 2, n },
	} {
		for _, all := range []time.Duration{time.Second, 4 * time.Second, 6 * time.Second, 8 * time.Second} {
			t.Run(fmt.Sprintf("%s, %v for all", name, all), func(t *testing.T) {
				s := &service{perCall: all / n}
				agents := newFleet(n, begin, mustAsk, 1, assumed)
				for _, what := range []string{"cold start", "lost"} {
					last, calls, left := s.recover(agents, begin, time.Minute)
					t.Logf("%s: all have it after %v and %d calls", what, last, calls)
					if left > 0 || last > 3*max(defaultPeriod, all) || calls > 3*n {
						t.Errorf("%s: %d agents have no list, the last got it after %v, %d calls", what, left, last, calls)
					}
					begin += time.Hour
					loseWatches(agents, begin, 0)
				}
			})
		}
	}
}

// A service that needs far longer than the period is designed for still serves all agents in the end, as the call rate
// falls.
func TestVerySlowService(t *testing.T) {
	const n = 300
	begin := 1000 * time.Hour
	for _, all := range []time.Duration{10 * time.Second, 12 * time.Second, 16 * time.Second, 20 * time.Second} {
		s := &service{perCall: all / n}
		last, calls, left := s.recover(newFleet(n, begin, mustAsk, 1, func(i int) (int, int) { return i, n }), begin, 3*time.Minute)
		t.Logf("%v for all: after %v and %d calls, %d agents have no list", all, last, calls, left)
		if left > 0 || last > 8*all || calls > 8*n {
			t.Errorf("%v for all: %d agents have no list, the last got it after %v, %d calls", all, left, last, calls)
		}
	}
}

// A service that is down receives less than one call per agent in 3 s.
func TestDownServiceReceivesFewCalls(t *testing.T) {
	const n, long = 100, 2 * time.Minute
	begin := 1000 * time.Hour
	s := &service{perCall: time.Millisecond}
	agents := newFleet(n, begin, mustAsk, 1, func(i int) (int, int) { return i, n })
	s.recover(agents, begin, time.Minute)
	begin += time.Hour
	loseWatches(agents, begin, 0)
	s.isDown = func(time.Duration) bool { return true }
	if _, calls, _ := s.recover(agents, begin, long); calls > int(long/(3*time.Second)+3)*n {
		t.Errorf("%d calls of %d agents in %v", calls, n, long)
	}
	s.isDown = nil
	last, _, left := s.recover(agents, begin+long, time.Minute)
	if left > 0 || last > defaultPeriod+minQueueWait {
		t.Errorf("%d agents have no list, the last got it %v after the service is back", left, last)
	}
}

// After a silence the call is made early enough to be answered before changes of the list count as known.
func TestCallAfterSilenceIsInTime(t *testing.T) {
	for _, must := range []time.Duration{2 * time.Second, 8 * time.Second, mustAsk, time.Minute} {
		for seed := range uint64(50) {
			a := New(Settings{Shared: true, Agents: 100, Me: -1, MustAsk: must}, seed)
			now := 1000*time.Hour + time.Duration(seed)*time.Millisecond
			for _, silent := range []time.Duration{0, WatchSilenceTimeout} {
				a.CallStarted(now - time.Hour)
				a.ResponseStarted(now - time.Hour + minQueueWait)
				a.ListReceived()
				wait := a.CallEnded(now, silent) - now
				limit := max(must-silent-minQueueWait, must/4)
				if silent > 0 {
					limit = min(limit, knownAfterSilence+defaultGrace-silent)
				}
				if wait <= 0 || wait > limit {
					t.Errorf("called after %v, apart from %v of silence and the duration of the call, where %v are left of %v", wait, silent, limit, must)
				}
			}
		}
	}
}

// All watches on a shared service fall silent at once, and servers begin to drain right after. Where the service needs
// up to 3 s for all agents, all have the list before the drains count as known, plus the shortest grace; up to 4.5 s
// each is still served at its first call, as fast as the service can.
func TestAllWatchesFallSilent(t *testing.T) {
	begin := 1000 * time.Hour
	for _, n := range []int{10, 80, 300, 1000} {
		for _, all := range []time.Duration{100 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second, 4500 * time.Millisecond} {
			for seed := range uint64(5) {
				s := &service{perCall: all / time.Duration(n)}
				agents := newFleet(n, begin, mustAsk, seed, func(i int) (int, int) { return i, n })
				s.recover(agents, begin, time.Minute)
				fell := begin + time.Minute + time.Duration(seed)*1234*time.Millisecond
				loseWatches(agents, fell+WatchSilenceTimeout, WatchSilenceTimeout)
				last, calls, left := s.recover(agents, fell, time.Minute)
				most := knownAfterSilence + defaultGrace
				if all > 3*time.Second {
					most = WatchSilenceTimeout + all + usualCallTime
				}
				if left > 0 || last > most || calls != n {
					t.Errorf("%d agents, %v for all: %d have no list, the last got it %v after the silence began, over %v, with %d calls", n, all, left, last, most, calls)
				}
			}
		}
	}
}

// One call without a response is no sign of a queue; two are, and so is a dropped call after one.
func TestQueueDetectionFromFailedCalls(t *testing.T) {
	const n = 300
	for name, c := range map[string]struct {
		waits []time.Duration // of failed calls; CallTimeout stands for no response
		slow  bool
	}{
		"down": {[]time.Duration{time.Millisecond, time.Millisecond, time.Millisecond}, false}, "once silent": {[]time.Duration{CallTimeout, time.Millisecond}, false},
		"dropped once": {[]time.Duration{minQueueWait}, false}, "dropped twice": {[]time.Duration{minQueueWait, minQueueWait}, true},
		"silent, then dropped twice": {[]time.Duration{CallTimeout, minQueueWait, minQueueWait}, true}, "silent three times": {[]time.Duration{CallTimeout, CallTimeout, CallTimeout}, true},
	} {
		a := New(Settings{Shared: true, Agents: n, Me: 0, MustAsk: mustAsk}, 1)
		now, next := 1000*time.Hour+time.Second, time.Duration(0)
		for _, w := range c.waits {
			a.CallStarted(now)
			silent := time.Duration(0)
			if w == CallTimeout {
				silent = CallTimeout
			}
			next = a.CallEnded(now+w, silent)
			now, next = next, next-now-w
		}
		if slow := next > 2*defaultPeriod; slow && !c.slow || !slow && c.slow && a.rejections < 2 {
			t.Errorf("%s: called again after %v, dropped %d times", name, next, a.rejections)
		}
	}
}

// A watch falls silent, and the call after it fails some time later: answered and broken off, cut short, or refused. The
// next call is made in time for the changes that the watch missed, if any time is left, and a service that stays down is
// not called faster for good.
func TestCallAfterSilentWatchFails(t *testing.T) {
	const agents = 80
	for name, silent := range map[string]time.Duration{"broken off": 0, "stopped short": time.Second} {
		for seed := range uint64(50) {
			a := New(Settings{Shared: true, Agents: agents, Me: int(seed), MustAsk: mustAsk, Grace: defaultGrace}, seed)
			fell := time.Hour + time.Duration(seed)*1234*time.Millisecond
			a.CallStarted(fell - time.Minute)
			a.ResponseStarted(fell - time.Minute + 100*time.Millisecond)
			a.ListReceived()
			now := a.CallEnded(fell+WatchSilenceTimeout, WatchSilenceTimeout)
			a.CallStarted(now)
			a.ResponseStarted(now + 100*time.Millisecond)
			now += 100*time.Millisecond + silent
			by := max(fell+knownAfterSilence+defaultGrace-usualCallTime, now+minPeriod)
			next := a.CallEnded(now, silent)
			if left := fell + knownAfterSilence + defaultGrace - usualCallTime - now; left > 0 && next > by {
				t.Errorf("%s: called again %v after the silence began", name, next-fell)
			}
			calls := 0
			for now = next; now < fell+time.Minute; now = a.CallEnded(now+time.Millisecond, 0) {
				a.CallStarted(now)
				calls++
			}
			if calls > 30 {
				t.Errorf("%s: %d calls in a minute to a service that is down", name, calls)
			}
		}
	}
}

// Guards against agents that are cut off from the service, take that for a queue, and call it only long after it can be reached again.
func TestUnreachableServiceIsCalledInTimeAfterItsReturn(t *testing.T) {
	const dialTimeout = time.Second
	before := map[string]func(a *Scheduler, now time.Duration) time.Duration{
		"listed before": func(a *Scheduler, now time.Duration) time.Duration {
			a.CallStarted(now)
			a.ResponseStarted(now + 100*time.Millisecond)
			a.ListReceived()
			return a.CallEnded(now+time.Minute, WatchSilenceTimeout)
		},
		"dropped twice before": func(a *Scheduler, now time.Duration) time.Duration {
			for range 2 {
				a.CallStarted(now)
				now = a.CallEnded(now+minQueueWait, 0)
			}
			return now
		},
		"never called before": func(a *Scheduler, now time.Duration) time.Duration { return a.FirstCall(now) },
	}
	for name, prepare := range before {
		for _, agents := range []int{2, 4, 12, 300, 900} {
			perSecond := map[time.Duration]int{}
			for me := range agents {
				a := New(Settings{Shared: true, Agents: agents, Me: me, MustAsk: mustAsk, Grace: defaultGrace}, uint64(me))
				now := prepare(a, time.Hour+time.Duration(me)*7*time.Millisecond)
				for call := range 20 {
					a.CallStarted(now)
					if call >= 2 { // the first ones follow what was before
						perSecond[now.Truncate(time.Second)]++
					}
					a.CallUnreachable()
					next := a.CallEnded(now+dialTimeout, 0)
					if late := next + usualCallTime - now - knownAfterSilence - defaultGrace; late > 0 {
						t.Fatalf("%s, %d agents: called again %v after a call, %v too late", name, agents, next-now, late)
					}
					now = next
				}
			}
			for second, calls := range perSecond {
				if most := agents/3 + 2; agents > 12 && calls > most {
					t.Errorf("%s, %d agents: %d calls in second %v, over %d", name, agents, calls, second, most)
				}
			}
		}
	}
}

// Guards against agents that take a service that turns callers away for a while, and has kept up with them before, for one that is too slow, and call
// it only long after its return. One that is too slow for them, or turns them away for longer, is called less and less often.
func TestServiceThatTurnsCallersAwayIsCalledInTimeAfterItsReturn(t *testing.T) {
	const longestOutage = 23 * time.Second
	for _, agents := range []int{2, 5, 12, 300, 900} {
		for _, wait := range []time.Duration{minQueueWait, 2500 * time.Millisecond, CallTimeout - time.Millisecond} {
			for seed := range uint64(50) {
				a := New(Settings{Shared: true, Agents: agents, Me: int(seed) % agents, MustAsk: mustAsk, Grace: defaultGrace}, seed)
				begin := time.Hour + time.Duration(seed)*1234*time.Millisecond
				a.CallStarted(begin)
				a.ResponseStarted(begin + defaultPeriod/time.Duration(agents))
				a.ListReceived()
				down := begin + time.Minute
				now := a.CallEnded(down, 0)
				called := down
				for now < down+longestOutage {
					called = now
					a.CallStarted(now)
					now = a.CallEnded(now+wait, 0)
					if late := now + usualCallTime - called - knownAfterSilence - defaultGrace; late > 0 {
						t.Fatalf("%d agents, dropped after %v: called again after %v, %v too late", agents, wait, now-called, late)
					}
				}
				for range 4 { // it is too slow by now
					a.CallStarted(now)
					now = a.CallEnded(now+wait, 0)
				}
				a.CallStarted(now)
				if next := a.CallEnded(now+wait, 0); agents > 2 && next-now < maxPeriod/2 {
					t.Errorf("%d agents, dropped after %v for long: called again after %v", agents, wait, next-now)
				}
			}
		}
	}
}

// A call to a shared service gets no response while the service is down, and still none after its return. The next call
// is made in time for the list to arrive before its changes count as known, 6 s after the return, plus the grace of a
// drain.
func TestCallHangsAcrossServiceReturn(t *testing.T) {
	for _, agents := range []int{2, 12, 300, 900} {
		for seed := range uint64(50) {
			a := New(Settings{Shared: true, Agents: agents, Me: int(seed) % agents, MustAsk: mustAsk, Grace: defaultGrace}, seed)
			returned := time.Hour + time.Duration(seed)*1234*time.Millisecond
			a.CallStarted(returned - time.Millisecond)
			now := returned - time.Millisecond + CallTimeout
			if next := a.CallEnded(now, CallTimeout); next+usualCallTime > returned+knownAfterSilence+defaultGrace {
				t.Errorf("%d agents: called again %v after the return", agents, next-returned)
			}
		}
	}
}
