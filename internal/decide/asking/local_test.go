package asking

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The operators' terms for a service beside the agent.
const (
	longestStall = 150 * time.Millisecond // for which the agent may be held up, as it listens and again as it sends
	exchange     = 50 * time.Millisecond  // what it takes to call such a service, and to take the list
)

// A service beside the agent costs nothing to ask: at once at the start, then soon. Agents that lose it together ask at times of their own.
func TestServiceBesideTheAgentIsAskedSoon(t *testing.T) {
	if a := New(Settings{Agents: 300, Me: 299}, 1); a.Start(time.Hour) != time.Hour || a.Local() == nil {
		t.Error("a service beside the agent is not asked at once")
	}
	if New(Settings{Shared: true, Agents: 300}, 1).Local() != nil {
		t.Error("a service that all agents ask is called as one beside the agent")
	}
	const usual = usualGrace / intervalParts
	shortest, longest := time.Hour, time.Duration(0)
	for seed := range uint64(50) {
		s := NewLocalSchedule(0, seed)
		for range 8 {
			interval := s.Interval()
			shortest, longest = min(shortest, interval), max(longest, interval)
		}
	}
	if shortest < usual*3/4 || longest > usual*5/4 || longest-shortest < usual/3 {
		t.Errorf("intervals from %v to %v", shortest, longest)
	}
}

// What a service beside the agent has heard while it was down counts from its return on, and it may return right after any call, whatever
// becomes of that one. The next is made so soon that nothing goes to a server that drains by the grace later, where the agent is held up twice.
func TestNewsOfTheReturnIsHeardWithinTheGrace(t *testing.T) {
	for _, grace := range []time.Duration{0, 500 * time.Millisecond, time.Second, 2 * time.Second} {
		for seed := range uint64(20) {
			s := NewLocalSchedule(grace, seed)
			for n := range 100 {
				if spare := cmp.Or(grace, usualGrace) - s.Interval() - exchange - 2*longestStall; spare < 0 {
					t.Fatalf("of a grace of %v, call %d is made %v too late", grace, n, -spare)
				}
				s.Ended(n%3 == 0)
			}
		}
	}
	for _, grace := range []time.Duration{time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond} { // no stall fits into these
		s := NewLocalSchedule(grace, 1)
		for range 100 {
			if i := s.Interval(); i > max(shortestInterval*5/4, grace/3) || i < shortestInterval/2 {
				t.Fatalf("an interval of %v, of a grace of %v", i, grace)
			}
		}
	}
}

// A service that brings lists slowly is called less often until there is a watch; one that brings them at once as often as ever.
func TestSlowDeliveriesSpaceCalls(t *testing.T) {
	const usual = usualGrace / intervalParts
	s := NewLocalSchedule(usualGrace, 1)
	for _, c := range []struct{ took, want time.Duration }{
		{time.Millisecond, usual}, {usual / 2, usual}, {200 * time.Millisecond, 400 * time.Millisecond}, {time.Minute, longestInterval}, {0, usual},
	} {
		s.Delivered(c.took)
		if i := s.Interval(); i < c.want*3/4 || i > c.want*5/4 {
			t.Errorf("an interval of %v behind a list that took %v", i, c.took)
		}
	}
	s.Delivered(time.Second)
	s.Established()
	if i := s.Interval(); i > usual*5/4 {
		t.Errorf("an interval of %v behind an established watch", i)
	}
}

// A watch that fell silent is found out after Silence, and what it missed counts as told 6 s after it fell silent. The whole list
// is asked for until there is a watch, also beside calls of which nothing was heard, and often enough by then.
func TestWholeListIsAskedForBehindSilence(t *testing.T) {
	s := NewLocalSchedule(usualGrace, 1)
	if s.Call(0).Whole {
		t.Error("the whole list, where all is well")
	}
	if !s.Call(1).Whole {
		t.Error("a watch alone beside a call that is not answered: it would be as silent where nothing has changed")
	}
	s.Ended(false)
	if s.Call(0).Whole {
		t.Error("the whole list behind a watch that was reset: a watch has what changed since")
	}
	s.Ended(false)
	if !s.Call(0).Whole {
		t.Error("a watch alone behind two calls that have failed: the service may take none")
	}
	s.Established()
	s.Ended(true)
	calls := 0
	for now := Silence; now < told; now += s.Interval() {
		if call := s.Call(0); !call.Whole || call.Within != CallWait {
			t.Fatalf("call %d behind a silent watch: %+v", calls, call)
		}
		calls++
	}
	if calls < 20 {
		t.Errorf("%d calls before what the watch missed counts as told", calls)
	}
	s.Established()
	if s.Call(0).Whole {
		t.Error("the whole list once more")
	}
}

// Whatever becomes of calls, intervals stay within their bounds, and the same seed gives the same ones.
func TestAnyCourseOfCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "grace"))
		seed := rapid.Uint64().Draw(t, "seed")
		steps := rapid.SliceOfN(rapid.IntRange(0, 3), 1, 50).Draw(t, "steps")
		play := func() (all []time.Duration) {
			s := NewLocalSchedule(grace, seed)
			for _, step := range steps {
				switch step {
				case 0, 1:
					s.Ended(step == 1)
				case 2:
					s.Established()
				}
				all = append(all, s.Interval())
			}
			return all
		}
		longest := max(shortestInterval, cmp.Or(grace, usualGrace)/intervalParts)
		all := play()
		for _, i := range all {
			if i <= 0 || i > longest*5/4+1 {
				t.Fatalf("an interval of %v, of a grace of %v", i, grace)
			}
		}
		if again := play(); !slices.Equal(all, again) {
			t.Fatalf("%v, then %v", all, again)
		}
	})
}
