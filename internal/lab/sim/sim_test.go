package sim_test

import (
	"reflect"
	"testing"
	"time"

	"ternbeam/internal/decide/ledger"
	"ternbeam/internal/lab/restart"
	"ternbeam/internal/lab/sim"
)

// One seed gives one run, and another seed another one.
func TestSameSeedSameRun(t *testing.T) {
	play := func(seed uint64) []*sim.Call {
		w, err := sim.New(restart.World(100, true, seed))
		if err != nil {
			t.Fatal(err)
		}
		w.RunUntil(sim.Base + 5*time.Second)
		return w.Calls()
	}
	if a, b := play(1), play(1); !reflect.DeepEqual(a, b) {
		t.Error("two runs of one seed differ")
	}
	if a, b := play(1), play(2); reflect.DeepEqual(a, b) {
		t.Error("runs of two seeds are the same")
	}
}

// Every call of an agent that goes on has its answer by its deadline; servers that are well answer nearly all, and one
// that is silent none.
func TestCallsEnd(t *testing.T) {
	for _, silent := range []bool{false, true} {
		cfg := restart.World(100, true, 1)
		for i := range cfg.Servers {
			cfg.Servers[i].Speed, cfg.Servers[i].Silent = 1, silent
		}
		w, err := sim.New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		w.RunUntil(sim.Base + 10*time.Second)
		served, all := 0, 0
		for _, c := range w.Calls() {
			if c.At > sim.Base+9*time.Second {
				continue
			}
			all++
			if c.Answered == 0 || c.Answered-c.At > cfg.Module.Classes[c.Class].Deadline {
				t.Fatalf("%+v", c)
			}
			if c.Kind == ledger.Served {
				served++
			}
		}
		if all < 800 || silent && served > 0 || !silent && served < all*99/100 {
			t.Errorf("silent %t: %d of %d are served", silent, served, all)
		}
		if lost := w.Lost(sim.Base, sim.Base+9*time.Second); silent && lost != 1 || !silent && lost > 0.02 {
			t.Errorf("silent %t: lost %v", silent, lost)
		}
	}
}
