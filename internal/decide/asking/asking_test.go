package asking

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// service is a model of one that serves calls in turn, each in the same time, and gives callers up that have waited for too
// long; the work for them is done all the same.
type service struct {
	each time.Duration
	free time.Duration
	down func(now time.Duration) bool
}

// call returns when the caller hears something, and whether that is the list.
func (s *service) call(now time.Duration) (time.Duration, bool) {
	if s.down != nil && s.down(now) {
		return now + time.Millisecond, false
	}
	s.free = max(s.free, now) + s.each
	if s.free > now+patience {
		return now + patience, false
	}
	return s.free, true
}

// agent is one in the model.
type agent struct {
	asker  *Asker
	at     time.Duration // of what it does next
	asks   bool          // or hears how its call ended
	served bool
	calls  int
	called time.Duration // at its latest call
	silent time.Duration // of its latest watch
}

type queue []*agent

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(*agent)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// recover plays agents until all are served or a limit has passed, and returns when the last one was and how many calls came.
func (s *service) recover(agents []*agent, begin, limit time.Duration) (last time.Duration, calls, left int) {
	var q queue
	for _, a := range agents {
		if !a.served {
			heap.Push(&q, a)
		}
	}
	heap.Init(&q)
	for len(q) > 0 && q[0].at <= begin+limit {
		a := q[0]
		now := a.at
		switch {
		case a.asks:
			calls++
			a.calls++
			a.called = now
			a.asker.Asked(now)
			a.at, a.served = s.call(now)
			a.asks = false
		case a.served:
			a.asker.Answered(now)
			a.asker.Delivered()
			last = now - begin
			heap.Pop(&q)
			continue
		default:
			a.at, a.asks = a.asker.Over(now, a.silent), true
			a.silent = 0
		}
		heap.Fix(&q, 0)
	}
	return last, calls, len(q)
}

// fleet returns agents that start at a time. Where they know their places is told by place.
func fleet(n int, begin time.Duration, mustAsk time.Duration, seed uint64, place func(i int) (me, agents int)) []*agent {
	var all []*agent
	for i := range n {
		me, agents := place(i)
		a := &agent{asker: New(Settings{Shared: true, Agents: agents, Me: me, MustAsk: mustAsk}, seed<<32+uint64(i)), asks: true}
		a.at = a.asker.Start(begin)
		all = append(all, a)
	}
	return all
}

const mustAsk = 10 * time.Second

// lose has agents lose their watches at a time.
func lose(agents []*agent, at time.Duration, silent time.Duration) {
	for _, a := range agents {
		if a.served {
			a.served, a.asks, a.at, a.calls, a.silent = false, false, at, 0, silent
		}
	}
}

// Guards against a fleet that loses the list together and never has it again. For any time that the service needs for all,
// all have it in 1.5 times that or what one period takes, with two calls an agent at most, none is left out, and none is
// without a word for as long as the list must be asked for.
func TestFleetRecovers(t *testing.T) {
	begin := 1000*time.Hour + 1234567*time.Microsecond
	for _, n := range []int{10, 80, 300, 1000, 10_000} {
		for _, all := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 6 * time.Second, 8 * time.Second} {
			t.Run(fmt.Sprintf("%d agents, %v for all", n, all), func(t *testing.T) {
				s := &service{each: all / time.Duration(n)}
				agents := fleet(n, begin, mustAsk, 1, func(i int) (int, int) { return i, n })
				check := func(what string, from time.Duration) {
					last, calls, left := s.recover(agents, from, time.Minute)
					t.Logf("%s: all have it after %v and %d calls", what, last, calls)
					most := max(period+all/time.Duration(n)+patience/10, all*3/2)
					if n == 10 && all == 8*time.Second {
						most = 5 * all // where two calls are the queue that a caller bears, chance decides
					}
					if left > 0 || last > most {
						t.Errorf("%s: %d are left out, the last has it after %v, over %v", what, left, last, most)
					}
					if calls > 2*n {
						t.Errorf("%s: %d calls", what, calls)
					}
				}
				check("cold start", begin)
				down := begin + time.Minute
				lose(agents, down, 0)
				s.down = func(now time.Duration) bool { return now < down+5*time.Second }
				_, calls, _ := s.recover(agents, down, 5*time.Second-1)
				if calls > 5*n { // two soon, where the service was fast, then one in 3 s
					t.Errorf("%d calls to a service that was down for 5 s", calls)
				}
				for _, a := range agents {
					if a.called > down && a.called-down > mustAsk {
						t.Errorf("asked %v after it lost the list", a.called-down)
					}
				}
				check("after an outage", down+5*time.Second)
				again := down + time.Minute
				lose(agents[:n*7/10], again, 0)
				for _, a := range agents[:n*7/10] {
					a.asker = New(a.asker.set, 1<<40+uint64(a.calls))
					a.at, a.asks = a.asker.Start(again), true
				}
				check("seven in ten started anew", again)
			})
		}
	}
}

// In the old way, a time drawn from 3 s and none from a turn, the fleet never has the list again: the model sees it.
func TestModelSeesCollapse(t *testing.T) {
	const n = 300
	s := &service{each: 8 * time.Second / n}
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

// Places that are not told, are told wrongly, and numbers of agents that are ten times too high or too low cost no more than
// chance, and clocks that are off as much.
func TestWrongPlaces(t *testing.T) {
	const n = 300
	begin := 1000 * time.Hour
	for name, place := range map[string]func(i int) (int, int){
		"unknown":            func(int) (int, int) { return -1, n },
		"ten times too many": func(i int) (int, int) { return -1, 10 * n },
		"ten times too few":  func(i int) (int, int) { return -1, n / 10 },
		"two at each place":  func(i int) (int, int) { return i / 2 * 2, n },
	} {
		for _, all := range []time.Duration{time.Second, 4 * time.Second, 6 * time.Second, 8 * time.Second} {
			t.Run(fmt.Sprintf("%s, %v for all", name, all), func(t *testing.T) {
				s := &service{each: all / n}
				agents := fleet(n, begin, mustAsk, 1, place)
				for _, what := range []string{"cold start", "lost"} {
					last, calls, left := s.recover(agents, begin, time.Minute)
					t.Logf("%s: all have it after %v and %d calls", what, last, calls)
					if left > 0 || last > 3*max(period, all) || calls > 3*n {
						t.Errorf("%s: %d left out, the last after %v, %d calls", what, left, last, calls)
					}
					begin += time.Hour
					lose(agents, begin, 0)
				}
			})
		}
	}
}

// A service that needs far longer than any is made for still has all served in the end: the pace falls.
func TestVerySlowService(t *testing.T) {
	const n = 300
	begin := 1000 * time.Hour
	for _, all := range []time.Duration{10 * time.Second, 12 * time.Second, 16 * time.Second, 20 * time.Second} {
		s := &service{each: all / n}
		last, calls, left := s.recover(fleet(n, begin, mustAsk, 1, func(i int) (int, int) { return i, n }), begin, 3*time.Minute)
		t.Logf("%v for all: after %v and %d calls, %d left out", all, last, calls, left)
		if left > 0 || last > 8*all || calls > 8*n {
			t.Errorf("%v for all: %d left out, the last after %v, %d calls", all, left, last, calls)
		}
	}
}

// One that is down costs a call in each period, and less than one in 3 s.
func TestDownIsCheap(t *testing.T) {
	const n, long = 100, 2 * time.Minute
	begin := 1000 * time.Hour
	s := &service{each: time.Millisecond}
	agents := fleet(n, begin, mustAsk, 1, func(i int) (int, int) { return i, n })
	s.recover(agents, begin, time.Minute)
	begin += time.Hour
	lose(agents, begin, 0)
	s.down = func(time.Duration) bool { return true }
	if _, calls, _ := s.recover(agents, begin, long); calls > int(long/(3*time.Second)+3)*n {
		t.Errorf("%d calls of %d agents in %v", calls, n, long)
	}
	s.down = nil
	last, _, left := s.recover(agents, begin+long, time.Minute)
	if left > 0 || last > period+patience {
		t.Errorf("%d left out, all have it %v after the service is back", left, last)
	}
}

// After a silence the call goes out in time to be answered before the list counts as told.
func TestAskedInTime(t *testing.T) {
	for _, must := range []time.Duration{2 * time.Second, 8 * time.Second, mustAsk, time.Minute} {
		for seed := range uint64(50) {
			a := New(Settings{Shared: true, Agents: 100, Me: -1, MustAsk: must}, seed)
			now := 1000*time.Hour + time.Duration(seed)*time.Millisecond
			for _, silent := range []time.Duration{0, Silence} {
				a.Asked(now - time.Hour)
				a.Answered(now - time.Hour + patience)
				a.Delivered()
				wait := a.Over(now, silent) - now
				limit := max(must-silent-patience, must/4)
				if silent > 0 {
					limit = min(limit, told+usualGrace-silent)
				}
				if wait <= 0 || wait > limit {
					t.Errorf("asked after %v, %v of silence and what the call takes aside, where %v are left of %v", wait, silent, limit, must)
				}
			}
		}
	}
}

// All watches on a service that answers in turn fall silent at once, and servers begin to drain right after. All agents have the list by
// what counts as told, and the least grace, where the service needs up to 3 s for all; up to 4.5 s each is served at its first call still, as fast as the service can.
func TestAllWatchesFallSilent(t *testing.T) {
	begin := 1000 * time.Hour
	for _, n := range []int{10, 80, 300, 1000} {
		for _, all := range []time.Duration{100 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second, 4500 * time.Millisecond} {
			for seed := range uint64(5) {
				s := &service{each: all / time.Duration(n)}
				agents := fleet(n, begin, mustAsk, seed, func(i int) (int, int) { return i, n })
				s.recover(agents, begin, time.Minute)
				fell := begin + time.Minute + time.Duration(seed)*1234*time.Millisecond
				lose(agents, fell+Silence, Silence)
				last, calls, left := s.recover(agents, fell, time.Minute)
				most := told + usualGrace
				if all > 3*time.Second {
					most = Silence + all + answer
				}
				if left > 0 || last > most || calls != n {
					t.Errorf("%d agents, %v for all: %d left out, the last has it %v after the silence began, over %v, with %d calls", n, all, left, last, most, calls)
				}
			}
		}
	}
}

// One call of which nothing is heard is no queue; two are, and so is one that was given up after it.
func TestHung(t *testing.T) {
	const n = 300
	for name, c := range map[string]struct {
		waits []time.Duration // of calls in vain, CallWait being silence
		slow  bool
	}{
		"down": {[]time.Duration{time.Millisecond, time.Millisecond, time.Millisecond}, false}, "once silent": {[]time.Duration{CallWait, time.Millisecond}, false},
		"given up once": {[]time.Duration{patience}, false}, "given up twice": {[]time.Duration{patience, patience}, true},
		"silent, then given up twice": {[]time.Duration{CallWait, patience, patience}, true}, "silent three times": {[]time.Duration{CallWait, CallWait, CallWait}, true},
	} {
		a := New(Settings{Shared: true, Agents: n, Me: 0, MustAsk: mustAsk}, 1)
		now, next := 1000*time.Hour+time.Second, time.Duration(0)
		for _, w := range c.waits {
			a.Asked(now)
			silent := time.Duration(0)
			if w == CallWait {
				silent = CallWait
			}
			next = a.Over(now+w, silent)
			now, next = next, next-now-w
		}
		if slow := next > 2*period; slow && !c.slow || !slow && c.slow && a.crowded < 2 {
			t.Errorf("%s: asked again after %v, given up %d times", name, next, a.crowded)
		}
	}
}

// A watch falls silent, and the call behind it fails some time later: answered and broken off, stopped short, or refused. The next one is made in
// time for what the watch missed, if any time is left, and the service that stays down is not asked faster for good.
func TestCallBehindASilentWatchFails(t *testing.T) {
	const agents = 80
	for name, silent := range map[string]time.Duration{"broken off": 0, "stopped short": time.Second} {
		for seed := range uint64(50) {
			a := New(Settings{Shared: true, Agents: agents, Me: int(seed), MustAsk: mustAsk, Grace: usualGrace}, seed)
			fell := time.Hour + time.Duration(seed)*1234*time.Millisecond
			a.Asked(fell - time.Minute)
			a.Answered(fell - time.Minute + 100*time.Millisecond)
			a.Delivered()
			now := a.Over(fell+Silence, Silence)
			a.Asked(now)
			a.Answered(now + 100*time.Millisecond)
			now += 100*time.Millisecond + silent
			by := max(fell+told+usualGrace-answer, now+leastPeriod)
			next := a.Over(now, silent)
			if left := fell + told + usualGrace - answer - now; left > 0 && next > by {
				t.Errorf("%s: asked again %v after the silence began", name, next-fell)
			}
			calls := 0
			for now = next; now < fell+time.Minute; now = a.Over(now+time.Millisecond, 0) {
				a.Asked(now)
				calls++
			}
			if calls > 30 {
				t.Errorf("%s: %d calls in a minute to a service that is down", name, calls)
			}
		}
	}
}

// A call to a service that all agents ask hangs while the service is down, also across its return. The next is made in time for what the
// list says to be heard by when it counts as told, 6 s after the return, and the grace of a drain.
func TestCallThatHangsAcrossTheReturn(t *testing.T) {
	for _, agents := range []int{2, 12, 300, 900} {
		for seed := range uint64(50) {
			a := New(Settings{Shared: true, Agents: agents, Me: int(seed) % agents, MustAsk: mustAsk, Grace: usualGrace}, seed)
			returned := time.Hour + time.Duration(seed)*1234*time.Millisecond
			a.Asked(returned - time.Millisecond)
			now := returned - time.Millisecond + CallWait
			if next := a.Over(now, CallWait); next+answer > returned+told+usualGrace {
				t.Errorf("%d agents: asked again %v after the return", agents, next-returned)
			}
		}
	}
}
