package pacing

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Limits that operators specify for a service beside the agent.
const (
	longestStall = 150 * time.Millisecond // stall of the agent while it receives, and again while it sends
	callTime     = 50 * time.Millisecond  // duration of a call to such a service, with the list received
)

// A service beside the agent costs nothing to call: it is called at once at the start, then soon. Agents that lose it
// together call at different times.
func TestLocalServiceIsCalledSoon(t *testing.T) {
	if a := New(Settings{Agents: 300, Me: 299}, 1); a.FirstCall(time.Hour) != time.Hour || a.Local() == nil {
		t.Error("a service beside the agent is not called at once")
	}
	if New(Settings{Shared: true, Agents: 300}, 1).Local() != nil {
		t.Error("a service that all agents share is called like one beside the agent")
	}
	const usual = defaultGrace / intervalsPerGrace
	shortest, longest := time.Hour, time.Duration(0)
	for seed := range uint64(50) {
		s := NewLocalSchedule(0, seed)
		for range 8 {
			interval := s.Interval()
			shortest, longest = min(shortest, interval), max(longest, interval)
		}
	}
	if shortest < usual*3/4 || longest > usual*5/4 || longest-shortest < usual/3 { // intervalJitter is a quarter
		t.Errorf("intervals from %v to %v", shortest, longest)
	}
}

// Changes that a service beside the agent received while it was down count as known from its return on, and it may
// return right after any call, whatever becomes of that call. The next call is made so soon that nothing is sent to a
// draining server after the grace, even if the agent is stalled twice.
func TestChangesAfterServiceReturnArriveWithinGrace(t *testing.T) {
	for _, grace := range []time.Duration{0, 500 * time.Millisecond, time.Second, 2 * time.Second} {
		for seed := range uint64(20) {
			s := NewLocalSchedule(grace, seed)
			for n := range 100 {
				if spare := cmp.Or(grace, defaultGrace) - s.Interval() - callTime - 2*longestStall; spare < 0 {
					t.Fatalf("with a grace of %v, call %d is made %v too late", grace, n, -spare)
				}
				s.Ended(n%3 == 0)
			}
		}
	}
	for _, grace := range []time.Duration{time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond} { // too short for a stall
		s := NewLocalSchedule(grace, 1)
		for range 100 {
			if i := s.Interval(); i > max(shortestInterval*5/4, grace/3) || i < shortestInterval/2 {
				t.Fatalf("an interval of %v with a grace of %v", i, grace)
			}
		}
	}
}

// A service that sends lists slowly is called less often until a watch is established; one that sends them at once is
// called at the usual rate.
func TestSlowListsReduceCallRate(t *testing.T) {
	const usual = defaultGrace / intervalsPerGrace
	s := NewLocalSchedule(defaultGrace, 1)
	for _, c := range []struct{ took, want time.Duration }{
		{time.Millisecond, usual}, {usual / 2, usual}, {200 * time.Millisecond, 400 * time.Millisecond}, {time.Minute, longestInterval}, {0, usual},
	} {
		s.ListReceived(c.took)
		if i := s.Interval(); i < c.want*3/4 || i > c.want*5/4 {
			t.Errorf("an interval of %v after a list that took %v", i, c.took)
		}
	}
	s.ListReceived(time.Second)
	s.Established()
	if i := s.Interval(); i > usual*5/4 {
		t.Errorf("an interval of %v after an established watch", i)
	}
}

// A silent watch is detected after WatchSilenceTimeout, and the changes that it missed count as known 6 s after it fell
// silent. Until then the full list is requested often enough, also beside calls without a response, until a watch is
// established.
func TestFullListIsRequestedAfterSilence(t *testing.T) {
	s := NewLocalSchedule(defaultGrace, 1)
	if s.NextCall(0).Full {
		t.Error("the full list is requested though nothing is wrong")
	}
	if !s.NextCall(1).Full {
		t.Error("only a watch is requested beside an unanswered call: where nothing has changed it would be as silent")
	}
	s.Ended(false)
	if s.NextCall(0).Full {
		t.Error("the full list is requested after a watch was reset: a new watch brings the changes since")
	}
	s.Ended(false)
	if !s.NextCall(0).Full {
		t.Error("only a watch is requested after two failed calls: the service may accept none")
	}
	s.Established()
	s.Ended(true)
	calls := 0
	for now := WatchSilenceTimeout; now < knownAfterSilence; now += s.Interval() {
		if call := s.NextCall(0); !call.Full || call.Timeout != CallTimeout {
			t.Fatalf("call %d after a silent watch: %+v", calls, call)
		}
		calls++
	}
	if calls < 20 {
		t.Errorf("%d calls before the missed changes count as known", calls)
	}
	s.Established()
	if s.NextCall(0).Full {
		t.Error("the full list is requested after a watch was established")
	}
}

// For any outcomes of calls, intervals stay within their bounds, and the same seed yields the same intervals.
func TestIntervalsForRandomOutcomes(t *testing.T) {
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
		longest := max(shortestInterval, cmp.Or(grace, defaultGrace)/intervalsPerGrace)
		all := play()
		for _, i := range all {
			if i <= 0 || i > longest*5/4+1 {
				t.Fatalf("an interval of %v with a grace of %v", i, grace)
			}
		}
		if again := play(); !slices.Equal(all, again) {
			t.Fatalf("%v, then %v", all, again)
		}
	})
}
