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
	"ternbeam/internal/decide/life"
)

// Every ordering of a small world, to the end: no property is broken.
func TestSmallWorlds(t *testing.T) {
	var all Report // what is taken over all worlds
	for name, cfg := range Worlds {
		t.Run(name, func(t *testing.T) {
			r := Explore(cfg, 1<<20)
			if r.Fault != "" {
				Replay(cfg, r.Story, os.Stdout)
				t.Fatalf("%s", r.Fault)
			}
			if !r.Complete || r.Ends == 0 {
				t.Errorf("%+v", r)
			}
			for k, n := range r.Steps {
				all.Steps[k] += n
			}
			t.Logf("%d states, %d transitions, depth %d, %d ends, %v", r.States, r.Transitions, r.Depth, r.Ends, r.Took)
		})
	}
	if never := all.Untaken(); len(never) > 0 {
		t.Errorf("never taken: %q", never)
	}
}

// What an attempt came to, and a call: its answers, its runs and whether its client left, once nothing more can come of
// it.
func outcomes(w *world, to map[string]bool) {
	for _, t := range w.tries {
		if t.Life.Stage() == life.Ended {
			to[fmt.Sprint(t.call, t.Number, t.Server.ID, t.Life.Result(), t.ran, t.unsent)] = true
		}
	}
	for i, c := range w.calls {
		live := slices.ContainsFunc(w.tries, func(t *try) bool { return t.call == i })
		if !live && c.asked && c.life.Over() && !w.ledger.Knows(c.life) {
			runs := make([]string, len(c.runs))
			for i, r := range c.runs {
				if runs[i] = r.server; c.effect == choice.Keyed { // of others no rule looks at the time
					runs[i] += " " + (r.at - start).String()
				}
			}
			slices.Sort(runs)            // those of one moment come in any order
			if c.effect == choice.Safe { // no rule looks at them
				runs = nil
			}
			to[fmt.Sprint(i, c.answers, c.left, runs)] = true
		}
	}
}

// With every order of steps that do not touch one another, and states told apart to the last bit, calls come to the
// same as without.
func TestReductionLosesNothing(t *testing.T) {
	for name, cfg := range map[string]Config{
		"one call":          {Servers: 2, Calls: []choice.Effect{choice.Unsafe}, Attempts: 2, Places: 2, Lists: 1, Leaves: 1, Cells: 2},
		"one keyed call":    {Servers: 2, Calls: []choice.Effect{choice.Keyed}, Attempts: 2, Places: 2, Cells: 2},
		"a leave":           {Servers: 2, Calls: []choice.Effect{choice.Keyed}, Attempts: 2, Places: 2, Leaves: 1, Cells: 1},
		"one place":         {Servers: 1, Calls: []choice.Effect{choice.Safe}, Attempts: 2, Places: 1, Lists: 1, Leaves: 1},
		"two calls":         {Servers: 2, Calls: []choice.Effect{choice.Unsafe, choice.Safe}, Attempts: 1, Places: 2},
		"two calls, change": {Servers: 1, Calls: []choice.Effect{choice.Unsafe, choice.Safe}, Attempts: 1, Places: 1, Lists: 1},
		"copies":            {Servers: 2, Calls: []choice.Effect{choice.Safe}, Attempts: 2, Places: 2, Past: Quick},
		"a race of dials":   {Servers: 1, Calls: []choice.Effect{choice.Unsafe}, Attempts: 1, Places: 2, Lists: 1, Races: true},
		"more changes":      {Servers: 1, Calls: []choice.Effect{choice.Unsafe}, Attempts: 1, Places: 1, Lists: 2, More: true},
		"withdrawals":       {Servers: 2, Calls: []choice.Effect{choice.Unsafe}, Attempts: 2, Places: 2, Past: Quick},
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
				x.look = func(w *world) {
					mu.Lock()
					defer mu.Unlock()
					outcomes(w, all)
				}
				found[i], reports[i] = all, x.run(1<<21)
				if r := reports[i]; r.Fault != "" || !r.Complete || r.Ends == 0 {
					t.Fatalf("%+v", r)
				}
			}
			for o := range found[1] {
				if !found[0][o] {
					t.Errorf("lost: %s", o)
				}
			}
			for o := range found[0] {
				if !found[1][o] {
					t.Errorf("in no order: %s", o)
				}
			}
			t.Logf("%d outcomes; %d states, %d with every order", len(found[1]), reports[0].States, reports[1].States)
		})
	}
}

// Two states that are taken for one lead to the same ones.
func TestStatesTakenForOneGoOnAlike(t *testing.T) {
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
			next := map[string]string{} // where the first state of a key leads to
			pairs := 0
			x.look = func(w *world) {
				// Where connections abound, what is idle is in no key, and spares a dial.
				key := string(w.key(nil, false)) + fmt.Sprint(len(w.book.Idle()), w.chance.asked)
				if w.fault != "" {
					return
				}
				var leads []string
				for s, to := range w.copy().successors() {
					if to.goOn(nil); len(w.book.Idle()) == 0 || !w.wide() {
						leads = append(leads, fmt.Sprint(s.Kind, s.Most, string(to.key(nil, false))))
					}
				}
				slices.Sort(leads)
				all := strings.Join(slices.Compact(leads), "\n")
				mu.Lock()
				defer mu.Unlock()
				if first, known := next[key]; !known {
					next[key] = all
				} else if pairs++; first != all {
					t.Errorf("two states of one key go on otherwise: %.2000q, %.2000q", first, all)
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

// A copy is equal to what it was made of, goes on as that does, and leaves it alone.
func TestCopies(t *testing.T) {
	for name, cfg := range Worlds {
		t.Run(name, func(t *testing.T) {
			root := newWorld(&cfg)
			for seed := range uint64(50) {
				r := rand.New(rand.NewPCG(seed, 0))
				w := root.copy()
				var story []Step
				for {
					all := w.enabled()
					if len(all) == 0 {
						break
					}
					s := all[r.IntN(len(all))]
					s.Most = r.IntN(2) == 0
					story = append(story, s)
					before, twin := string(w.key(nil, true)), w.copy()
					if got := string(twin.key(nil, true)); got != before {
						t.Fatalf("seed %d: a copy differs after %v", seed, story)
					}
					for _, other := range all {
						w.copy().take(other)
					}
					if got := string(w.key(nil, true)); got != before {
						t.Fatalf("seed %d: what a copy does is seen in the original, after %v", seed, story)
					}
					w = twin
					w.take(s)
				}
				again := root.copy()
				for _, s := range story {
					again.enabled() // drops timers that nobody heeds
					again.take(s)
				}
				again.enabled()
				if string(again.key(nil, true)) != string(w.key(nil, true)) {
					t.Fatalf("seed %d: copied from step to step it ended otherwise than played: %v", seed, story)
				}
			}
		})
	}
}

// Found by exploring: a repeat that was right when it was ordered waited for its connection, or to be written, until
// the first attempt's window was over, and ran a second time.
func TestKeyedRepeatIsWrittenWithinItsWindow(t *testing.T) {
	cfg := Worlds["keyed"]
	before := []Step{{Kind: Ask}, {Kind: Acquire}, {Kind: DialSucceeds}, {Kind: Send}, {Kind: WriteAll}, {Kind: AnswerError},
		{Kind: Return}, {Kind: Take}, {Kind: Acquire, N: 1}}
	for name, rest := range map[string][]Step{
		"while it is written": {{Kind: Send, N: 1}, {Kind: Rest, N: 1}, {Kind: Time}, {Kind: Rest, N: 1}, {Kind: Time},
			{Kind: WriteAll, N: 1}},
		"while it waits to be sent": {{Kind: Rest, N: 1}, {Kind: Time}, {Kind: Time}, {Kind: Send, N: 1}, {Kind: WriteAll, N: 1}},
	} {
		story := slices.Concat(before, rest)
		if _, err := Replay(cfg, story[:len(story)-1], io.Discard); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if _, err := Replay(cfg, story, io.Discard); err == nil {
			t.Errorf("%s: its last byte may be written after the window", name)
		}
	}
}

// A story that is told and read again is the same, and what is no story is an error.
func TestStoriesAreKept(t *testing.T) {
	cfg, steps := Worlds["keyed"], []Step{{Kind: Ask, Most: true}, {Kind: Acquire}, {Kind: DialFails}, {Kind: Take}}
	text, err := Tell(cfg, "none", steps)
	if err != nil {
		t.Fatal(err)
	}
	gotCfg, got, err := Read(text)
	if err != nil || !slices.Equal(got, steps) || !reflect.DeepEqual(gotCfg, cfg) {
		t.Errorf("%+v %v, %v", gotCfg, got, err)
	}
	for _, bad := range []string{"", "{}", `{"World":{"Servers":99}}`, strings.Replace(string(text), "dial fails", "dances", 1)} {
		if _, _, err := Read([]byte(bad)); err == nil {
			t.Errorf("no error for %q", bad)
		}
	}
	if _, err := Replay(cfg, []Step{{Kind: Take}}, io.Discard); err == nil {
		t.Error("an impossible step is played")
	}
}
