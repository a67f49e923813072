package crowd

import (
	"reflect"
	"testing"
	"time"
)

// testFleet returns 60 agents and 30 servers at 45 % utilization.
func testFleet() Fleet {
	return Fleet{Agents: 60, Servers: 30, Rate: 300, Utilization: 0.45, Warm: 15 * time.Second, Seed: 1}
}

// Servers that stay silent receive about one attempt from each agent, and then attempts at a rate that does not depend on the number
// of agents. When they answer again, they receive their share of the calls again.
func TestSilentServersAreTriedInTurns(t *testing.T) {
	for _, agents := range []int{20, 60, 240} {
		f := testFleet()
		f.Agents, f.Reports, f.Silent, f.SilentFor, f.After = agents, true, 0.2, 20*time.Second, 10*time.Second
		r, err := Measure(f)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%d agents: %v", agents, r)
		if late := r.Silent[len(r.Silent)-5:]; sum(late) > 6*5*7/2 { // turns make 1.7 attempts per second; some agents still make their first attempt
			t.Errorf("%d agents: 6 silent servers receive %v attempts in the last 5 seconds", agents, late)
		}
		if r.Calls < 8000 || r.Refused+r.Failed > r.Calls/20 {
			t.Errorf("%d agents: of %d calls, %d refused and %d failed", agents, r.Calls, r.Refused, r.Failed)
		}
		if back := sum(r.Back[5:]); back < 60*5*7/10 || back > 60*5*13/10 { // their share is 60 per second
			t.Errorf("%d agents: servers that answer again receive %v calls by second", agents, r.Back)
		}
	}
}

// Without load reports, calls are distributed nearly as evenly as if each call picked a server at random, and more evenly than by
// agents that do not know their rank.
func TestCallsAreSpreadEvenly(t *testing.T) {
	f := testFleet()
	r, err := Measure(f)
	if err != nil {
		t.Fatal(err)
	}
	f.BelievedRank = func(int) (me, agents int) { return -1, f.Agents }
	unranked, err := Measure(f)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%v\nwithout ranks: %v", r, unranked)
	if r.Variation > 1.6*r.Chance || unranked.Variation < 1.2*r.Variation {
		t.Errorf("variation of the calls is %.3f, without ranks %.3f, of random picks %.3f", r.Variation, unranked.Variation, r.Chance)
	}
	if again, _ := Measure(f); !reflect.DeepEqual(again, unranked) {
		t.Error("two runs with the same seed differ")
	}
}

func TestInvalidFleets(t *testing.T) {
	for _, f := range []Fleet{{}, {Agents: 1, Servers: 1, Rate: 1, Utilization: 1}, {Agents: 1, Servers: 1, Rate: 1, Utilization: 1, Warm: time.Minute, Silent: 2}} {
		if _, err := Measure(f); err == nil {
			t.Errorf("no error for %+v", f)
		}
	}
}

func sum(all []int) (n int) {
	for _, x := range all {
		n += x
	}
	return n
}
