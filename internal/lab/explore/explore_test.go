package explore

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"

	"ternbeam/choice"
	"ternbeam/internal/decide/lifecycle"
)

// Explores every ordering of each small world completely: no property is violated.
func TestSmallWorlds(t *testing.T) {
	var all Report // steps taken in all worlds
	for name, cfg := range Worlds {
		t.Run(name, func(t *testing.T) {
			r := Explore(cfg, 1<<20)
			if r.Fault != "" {
				Replay(cfg, r.Trace, os.Stdout)
				t.Fatalf("%s", r.Fault)
			}
			if !r.Complete || r.EndStates == 0 {
				t.Errorf("%+v", r)
			}
			for k, n := range r.Steps {
				all.Steps[k] += n
			}
			t.Logf("%d states, %d transitions, depth %d, %d ends, %v", r.States, r.Transitions, r.Depth, r.EndStates, r.Elapsed)
		})
	}
	if untaken := all.Untaken(); len(untaken) > 0 {
		t.Errorf("steps never taken: %q", untaken)
	}
}

// outcomes adds the results of ended attempts and of finished calls: their answers, their runs and whether the client
// disconnected.
func outcomes(w *world, found map[string]bool) {
	for _, t := range w.attempts {
		if t.State.Stage() == lifecycle.Ended {
			found[fmt.Sprint(t.call, t.Number, t.Server.ID, t.State.Result(), t.mayHaveRun, t.notSent)] = true
		}
	}
	for i, c := range w.calls {
		live := slices.ContainsFunc(w.attempts, func(t *attempt) bool { return t.call == i })
		if !live && c.arrived && c.tracked.Finished() && !w.tracker.Holds(c.tracked) {
			runs := make([]string, len(c.runs))
			for i, r := range c.runs {
				if runs[i] = r.server; c.effect == choice.Keyed { // for others no property checks the time
					runs[i] += " " + (r.at - startTime).String()
				}
			}
			slices.Sort(runs)            // runs at the same time are in any order
			if c.effect == choice.Safe { // no property checks them
				runs = nil
			}
			found[fmt.Sprint(i, c.answers, c.disconnected, runs)] = true
		}
	}
}

// With every order of independent steps and exact state keys, the same outcomes are found as with the reduction.
func TestReductionFindsTheSameOutcomes(t *testing.T) {
	for name, cfg := range map[string]Config{
		"one call":          {Servers: 2, Calls: []choice.Effect{choice.Unsafe}, Attempts: 2, Places: 2, Lists: 1, Leaves: 1, Cells: 2},
		"one keyed call":    {Servers: 2, Calls: []choice.Effect{choice.Keyed}, Attempts: 2, Places: 2, Cells: 2},
		"a leave":           {Servers: 2, Calls: []choice.Effect{choice.Keyed}, Attempts: 2, Places: 2, Leaves: 1, Cells: 1},
		"one place":         {Servers: 1, Calls: []choice.Effect{choice.Safe}, Attempts: 2, Places: 1, Lists: 1, Leaves: 1},
		"two calls":         {Servers: 2, Calls: []choice.Effect{choice.Unsafe, choice.Safe}, Attempts: 1, Places: 2},
		"two calls, change": {Servers: 1, Calls: []choice.Effect{choice.Unsafe, choice.Safe}, Attempts: 1, Places: 1, Lists: 1},
		"copies":            {Servers: 2, Calls: []choice.Effect{choice.Safe}, Attempts: 2, Places: 2, Past: QuickServers},
		"a race of dials":   {Servers: 1, Calls: []choice.Effect{choice.Unsafe}, Attempts: 1, Places: 2, Lists: 1, Races: true},
		"more changes":      {Servers: 1, Calls: []choice.Effect{choice.Unsafe}, Attempts: 1, Places: 1, Lists: 2, More: true},
		"withdrawals":       {Servers: 2, Calls: []choice.Effect{choice.Unsafe}, Attempts: 2, Places: 2, Past: QuickServers},
		"begun":             {Servers: 2, Calls: []choice.Effect{choice.Safe}, Attempts: 2, Places: 2, Past: QuickServers, Begins: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var found [2]map[string]bool
			var reports [2]Report
			for i, plain := range []bool{false, true} {
				cfg.Plain = plain
				x := newExplorer(&cfg)
				var mu sync.Mutex
				all := map[string]bool{}
				x.onState = func(w *world) {
					mu.Lock()
					defer mu.Unlock()
					outcomes(w, all)
				}
				found[i], reports[i] = all, x.run(1<<21)
				if r := reports[i]; r.Fault != "" || !r.Complete || r.EndStates == 0 {
					t.Fatalf("%+v", r)
				}
			}
			for o := range found[1] {
				if !found[0][o] {
					t.Errorf("not found with the reduction: %s", o)
				}
			}
			for o := range found[0] {
				if !found[1][o] {
					t.Errorf("found only with the reduction: %s", o)
				}
			}
			t.Logf("%d outcomes; %d states, %d with every order", len(found[1]), reports[0].States, reports[1].States)
		})
	}
}

// Two states with the same key lead to the same states.
func TestStatesWithTheSameKeyHaveTheSameSuccessors(t *testing.T) {
	for name, cfg := range map[string]Config{
		"two calls":   {Servers: 2, Calls: []choice.Effect{choice.Safe, choice.Unsafe}, Attempts: 2, Places: 4},
		"a change":    {Servers: 2, Calls: []choice.Effect{choice.Keyed}, Attempts: 2, Places: 2, Cells: 2, Lists: 1, Leaves: 1},
		"one place":   {Servers: 1, Calls: []choice.Effect{choice.Unsafe, choice.Safe}, Attempts: 2, Places: 1},
		"an ejection": {Servers: 2, Calls: []choice.Effect{choice.Unsafe, choice.Unsafe}, Attempts: 4, Places: 8},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x := newExplorer(&cfg)
			var mu sync.Mutex
			next := map[string]string{} // successors of the first state with each key
			pairs := 0
			x.onState = func(w *world) {
				// With spare places, idle connections are not part of the key; they only save a dial.
				key := string(w.key(nil, false)) + fmt.Sprint(len(w.pool.Idle()), w.random.drawn)
				if w.fault != "" {
					return
				}
				var succs []string
				for s, succ := range w.copy().successors() {
					if succ.applyForced(nil); len(w.pool.Idle()) == 0 || !w.hasSparePlaces() {
						succs = append(succs, fmt.Sprint(s.Kind, s.Most, string(succ.key(nil, false))))
					}
				}
				slices.Sort(succs)
				all := strings.Join(slices.Compact(succs), "\n")
				mu.Lock()
				defer mu.Unlock()
				if first, known := next[key]; !known {
					next[key] = all
				} else if pairs++; first != all {
					t.Errorf("two states with the same key have different successors: %.2000q, %.2000q", first, all)
				}
			}
			r := x.run(1 << 21)
			if r.Fault != "" || !r.Complete || pairs == 0 {
				t.Fatalf("%d pairs, %+v", pairs, r)
			}
			t.Logf("%d states, %d pairs", r.States, pairs)
		})
	}
}

// A copy of a world has the same state, behaves like the original, and does not share state with it.
func TestWorldCopiesAreIndependent(t *testing.T) {
	for name, cfg := range Worlds {
		t.Run(name, func(t *testing.T) {
			root := newWorld(&cfg)
			for seed := range uint64(50) {
				r := rand.New(rand.NewPCG(seed, 0))
				w := root.copy()
				var trace []Step
				for {
					all := w.enabled()
					if len(all) == 0 {
						break
					}
					s := all[r.IntN(len(all))]
					s.Most = r.IntN(2) == 0
					trace = append(trace, s)
					before, dup := string(w.key(nil, true)), w.copy()
					if got := string(dup.key(nil, true)); got != before {
						t.Fatalf("seed %d: a copy differs after %v", seed, trace)
					}
					for _, other := range all {
						w.copy().apply(other)
					}
					if got := string(w.key(nil, true)); got != before {
						t.Fatalf("seed %d: a step of a copy changed the original, after %v", seed, trace)
					}
					w = dup
					w.apply(s)
				}
				again := root.copy()
				for _, s := range trace {
					again.enabled() // drops timers that the balancer ignores
					again.apply(s)
				}
				again.enabled()
				if string(again.key(nil, true)) != string(w.key(nil, true)) {
					t.Fatalf("seed %d: copied at each step, the world ended in another state than when played: %v", seed, trace)
				}
			}
		})
	}
}

// Guards against a bug that the explorer found: a retry that was allowed when the balancer ordered it waited for its
// connection, or to be written, until the first attempt's deduplication window had passed, and the call ran twice.
func TestKeyedRetryIsWrittenWithinTheDedupWindow(t *testing.T) {
	cfg := Worlds["keyed"]
	before := []Step{{Kind: CallArrives}, {Kind: Acquire}, {Kind: DialSucceeds}, {Kind: Send}, {Kind: WriteAll}, {Kind: AnswerError},
		{Kind: Release}, {Kind: TakeEnd}, {Kind: Acquire, N: 1}}
	for name, after := range map[string][]Step{
		"while it is written": {{Kind: Send, N: 1}, {Kind: Pause, N: 1}, {Kind: AdvanceTime}, {Kind: Pause, N: 1}, {Kind: AdvanceTime},
			{Kind: WriteAll, N: 1}},
		"while it waits to be sent": {{Kind: Pause, N: 1}, {Kind: AdvanceTime}, {Kind: AdvanceTime}, {Kind: Send, N: 1}, {Kind: WriteAll, N: 1}},
	} {
		trace := slices.Concat(before, after)
		if _, err := Replay(cfg, trace[:len(trace)-1], io.Discard); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if _, err := Replay(cfg, trace, io.Discard); err == nil {
			t.Errorf("%s: the last byte can be written after the deduplication window", name)
		}
	}
}

// A trace that is encoded and decoded is unchanged, and decoding an invalid one is an error.
func TestTraceEncodingRoundTrip(t *testing.T) {
	cfg, steps := Worlds["keyed"], []Step{{Kind: CallArrives, Most: true}, {Kind: Acquire}, {Kind: DialFails}, {Kind: TakeEnd}}
	text, err := EncodeTrace(cfg, "none", steps)
	if err != nil {
		t.Fatal(err)
	}
	gotCfg, got, err := DecodeTrace(text)
	if err != nil || !slices.Equal(got, steps) || !reflect.DeepEqual(gotCfg, cfg) {
		t.Errorf("%+v %v, %v", gotCfg, got, err)
	}
	for _, bad := range []string{"", "{}", `{"World":{"Servers":99}}`, strings.Replace(string(text), "dial fails", "dances", 1)} {
		if _, _, err := DecodeTrace([]byte(bad)); err == nil {
			t.Errorf("no error for %q", bad)
		}
	}
	if _, err := Replay(cfg, []Step{{Kind: TakeEnd}}, io.Discard); err == nil {
		t.Error("a step that is not possible was played")
	}
}
