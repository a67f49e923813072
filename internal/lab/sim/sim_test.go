package sim_test

import (
	"reflect"
	"testing"
	"time"

	"ternbeam/internal/decide/calltrack"
	"ternbeam/internal/lab/restart"
	"ternbeam/internal/lab/sim"
)

// Runs with the same seed are identical, and runs with different seeds differ.
func TestSameSeedSameRun(t *testing.T) {
	play := func(seed uint64) []*sim.Call {
		w, err := sim.New(restart.WorldConfig(100, true, seed))
		if err != nil {
			t.Fatal(err)
		}
		w.RunUntil(sim.StartTime + 5*time.Second)
		return w.Calls()
	}
	if a, b := play(1), play(1); !reflect.DeepEqual(a, b) {
		t.Error("two runs with the same seed differ")
	}
	if a, b := play(1), play(2); reflect.DeepEqual(a, b) {
		t.Error("runs with different seeds are identical")
	}
}

// Every call of an agent that keeps running is answered by its deadline. Healthy servers serve nearly all calls, and silent
// servers serve none.
func TestCallsAreAnsweredByTheDeadline(t *testing.T) {
	for _, silent := range []bool{false, true} {
		cfg := restart.WorldConfig(100, true, 1)
		for i := range cfg.Servers {
			cfg.Servers[i].Speed, cfg.Servers[i].Silent = 1, silent
		}
		w, err := sim.New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		w.RunUntil(sim.StartTime + 10*time.Second)
		served, all := 0, 0
		for _, c := range w.Calls() {
			if c.At > sim.StartTime+9*time.Second {
				continue
			}
			all++
			if c.AnsweredAt == 0 || c.AnsweredAt-c.At > cfg.Module.Classes[c.Class].Deadline {
				t.Fatalf("%+v", c)
			}
			if c.Kind == calltrack.Served {
				served++
			}
		}
		if all < 800 || silent && served > 0 || !silent && served < all*99/100 {
			t.Errorf("silent %t: %d of %d calls served", silent, served, all)
		}
		if lost := w.LostShare(sim.StartTime, sim.StartTime+9*time.Second); silent && lost != 1 || !silent && lost > 0.02 {
			t.Errorf("silent %t: lost share %v", silent, lost)
		}
	}
}
