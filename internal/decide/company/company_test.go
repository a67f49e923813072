package company

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const second = time.Second

// Later epochs and later sequence numbers win, in whatever order and however often heartbeats arrive, so that all who
// receive the same ones know the same.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		heartbeats := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Word {
			return Word{Place: rapid.IntRange(0, 4).Draw(t, "place"), Epoch: uint64(rapid.IntRange(1, 3).Draw(t, "epoch")), Beat: uint32(rapid.IntRange(0, 5).Draw(t, "beat"))}
		}), 1, 20).Draw(t, "words")
		a, b := New(Settings{Agents: 5, Me: 0, Epoch: 9}, 1), New(Settings{Agents: 5, Me: 0, Epoch: 9}, 2)
		for _, w := range heartbeats {
			a.Hear(second, w)
		}
		rand.New(rand.NewPCG(uint64(len(heartbeats)), 1)).Shuffle(len(heartbeats), func(i, j int) { heartbeats[i], heartbeats[j] = heartbeats[j], heartbeats[i] })
		for _, w := range append(heartbeats, heartbeats...) {
			b.Hear(second, w)
		}
		for p := 1; p < 5; p++ {
			x, _ := a.Of(p)
			y, _ := b.Of(p)
			if x.Word != y.Word {
				t.Fatalf("index %d: %+v and %+v", p, x.Word, y.Word)
			}
		}
	})
}

// An agent that sends nothing more is not alive after a while, an old heartbeat does not bring it back, and a new epoch
// does.
func TestThere(t *testing.T) {
	c := New(Settings{Agents: 3, Me: 0, Epoch: 1}, 1)
	if c.There(0, 1, second) || c.Hear(0, Word{Place: 3}) || c.Hear(0, Word{Place: -1}) {
		t.Error("an agent is alive of which nothing was received, or an index out of range was accepted")
	}
	c.Hear(10*second, Word{Place: 1, Epoch: 5, Beat: 7, Age: 2 * second})
	if !c.There(11*second, 1, 3*second) || c.There(12*second, 1, 3*second) {
		t.Error("the age of a heartbeat does not count")
	}
	if c.Hear(20*second, Word{Place: 1, Epoch: 5, Beat: 7}) || c.Hear(20*second, Word{Place: 1, Epoch: 4, Beat: 99}) || c.There(20*second, 1, 3*second) {
		t.Error("an old heartbeat has brought it back")
	}
	if !c.Hear(21*second, Word{Place: 1, Epoch: 6}) || !c.There(21*second, 1, 3*second) {
		t.Error("a new epoch is not accepted")
	}
	if m, _ := c.Of(1); m.Since != 21*second {
		t.Errorf("first seen with this epoch at %v", m.Since)
	}
	c.Hear(22*second, Word{Place: 1, Epoch: 6, Beat: 1, Flags: Leaving})
	if c.There(22*second, 1, 3*second) {
		t.Error("an agent that leaves counts as alive")
	}
}

// A process continues after the epoch that others remember of an earlier one, though the clock went back; two processes
// of one index both notice the conflict.
func TestRivals(t *testing.T) {
	a, other := New(Settings{Agents: 2, Me: 0, Epoch: 10}, 1), New(Settings{Agents: 2, Me: 1, Epoch: 1}, 1)
	other.Hear(0, Word{Place: 0, Epoch: 99, Beat: 50})
	a.Hear(0, Word{Place: 0, Epoch: 99, Beat: 50})
	if !other.Hear(second, a.Own()) || a.Rivals() != 1 {
		t.Error("a process that follows one with a later clock is not accepted")
	}
	b := New(Settings{Agents: 2, Me: 0, Epoch: 11}, 1)
	for range 5 {
		b.Hear(0, a.Own())
		a.Hear(0, b.Own())
	}
	if a.Rivals() < 3 || b.Rivals() < 3 {
		t.Errorf("two processes of one index: %d and %d conflicts", a.Rivals(), b.Rivals())
	}
}

// All heartbeats are passed on in turn, those of the indexes named first each time, and none that is too old.
func TestSample(t *testing.T) {
	const n = 50
	c := New(Settings{Agents: n, Me: 0, Epoch: 1}, 1)
	for p := 1; p < n; p++ {
		c.Hear(time.Duration(p)*second, Word{Place: p, Epoch: 1})
	}
	seen := map[int]int{}
	for range 20 {
		heartbeats := c.Sample(n*second, 5, []int{7, 3}, 30*second)
		if len(heartbeats) != 3 && len(heartbeats) != 5 || heartbeats[0].Place == 3 {
			t.Fatalf("%+v", heartbeats)
		}
		for _, w := range heartbeats {
			if seen[w.Place]++; w.Age != n*second-time.Duration(w.Place)*second {
				t.Errorf("age %v of %d", w.Age, w.Place)
			}
		}
	}
	if len(seen) != 30 || seen[19] > 0 || seen[49] < 2 {
		t.Errorf("passed on: %v", seen)
	}
	if got := c.Sample(n*second, 5, []int{45, 44}, 30*second); got[0].Place != 45 || got[1].Place != 44 {
		t.Errorf("%+v", got)
	}
	if got := c.Those(n*second, 0, 10*second); len(got) != 10 || got[0] != 40 {
		t.Errorf("alive: %v", got)
	}
}
