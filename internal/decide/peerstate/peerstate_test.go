package peerstate

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const second = time.Second

// Later epochs and later sequence numbers win, in whatever order and however often heartbeats arrive, so that all who
// receive the same ones know the same.
func TestHeartbeatOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		heartbeats := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Heartbeat {
			return Heartbeat{Index: rapid.IntRange(0, 4).Draw(t, "place"), Epoch: uint64(rapid.IntRange(1, 3).Draw(t, "epoch")), Seq: uint32(rapid.IntRange(0, 5).Draw(t, "beat"))}
		}), 1, 20).Draw(t, "words")
		a, b := New(Settings{Agents: 5, Me: 0, Epoch: 9}, 1), New(Settings{Agents: 5, Me: 0, Epoch: 9}, 2)
		for _, h := range heartbeats {
			a.Receive(second, h)
		}
		rand.New(rand.NewPCG(uint64(len(heartbeats)), 1)).Shuffle(len(heartbeats), func(i, j int) { heartbeats[i], heartbeats[j] = heartbeats[j], heartbeats[i] })
		for _, h := range append(heartbeats, heartbeats...) {
			b.Receive(second, h)
		}
		for p := 1; p < 5; p++ {
			x, _ := a.Get(p)
			y, _ := b.Get(p)
			if x.Heartbeat != y.Heartbeat {
				t.Fatalf("index %d: %+v and %+v", p, x.Heartbeat, y.Heartbeat)
			}
		}
	})
}

// An agent that sends nothing more is not alive after a while, an old heartbeat does not bring it back, and a new epoch
// does.
func TestAlive(t *testing.T) {
	c := New(Settings{Agents: 3, Me: 0, Epoch: 1}, 1)
	if c.Alive(0, 1, second) || c.Receive(0, Heartbeat{Index: 3}) || c.Receive(0, Heartbeat{Index: -1}) {
		t.Error("an agent is alive of which nothing was received, or an index out of range was accepted")
	}
	c.Receive(10*second, Heartbeat{Index: 1, Epoch: 5, Seq: 7, Age: 2 * second})
	if !c.Alive(11*second, 1, 3*second) || c.Alive(12*second, 1, 3*second) {
		t.Error("the age of a heartbeat does not count")
	}
	if c.Receive(20*second, Heartbeat{Index: 1, Epoch: 5, Seq: 7}) || c.Receive(20*second, Heartbeat{Index: 1, Epoch: 4, Seq: 99}) || c.Alive(20*second, 1, 3*second) {
		t.Error("an old heartbeat has brought it back")
	}
	if !c.Receive(21*second, Heartbeat{Index: 1, Epoch: 6}) || !c.Alive(21*second, 1, 3*second) {
		t.Error("a new epoch is not accepted")
	}
	if m, _ := c.Get(1); m.FirstSeen != 21*second {
		t.Errorf("first seen with this epoch at %v", m.FirstSeen)
	}
	c.Receive(22*second, Heartbeat{Index: 1, Epoch: 6, Seq: 1, Flags: Leaving})
	if c.Alive(22*second, 1, 3*second) {
		t.Error("an agent that leaves counts as alive")
	}
}

// A process continues after the epoch that others remember of an earlier one, though the clock went back; two processes
// of one index both notice the conflict.
func TestIndexConflicts(t *testing.T) {
	a, other := New(Settings{Agents: 2, Me: 0, Epoch: 10}, 1), New(Settings{Agents: 2, Me: 1, Epoch: 1}, 1)
	other.Receive(0, Heartbeat{Index: 0, Epoch: 99, Seq: 50})
	a.Receive(0, Heartbeat{Index: 0, Epoch: 99, Seq: 50})
	if !other.Receive(second, a.NextHeartbeat()) || a.Conflicts() != 1 {
		t.Error("a process that follows one with a later clock is not accepted")
	}
	b := New(Settings{Agents: 2, Me: 0, Epoch: 11}, 1)
	for range 5 {
		b.Receive(0, a.NextHeartbeat())
		a.Receive(0, b.NextHeartbeat())
	}
	if a.Conflicts() < 3 || b.Conflicts() < 3 {
		t.Errorf("two processes of one index: %d and %d conflicts", a.Conflicts(), b.Conflicts())
	}
}

// All heartbeats are passed on in turn, those of the indexes named first each time, and none that is too old.
func TestSample(t *testing.T) {
	const n = 50
	c := New(Settings{Agents: n, Me: 0, Epoch: 1}, 1)
	for p := 1; p < n; p++ {
		c.Receive(time.Duration(p)*second, Heartbeat{Index: p, Epoch: 1})
	}
	seen := map[int]int{}
	for range 20 {
		heartbeats := c.Sample(n*second, 5, []int{7, 3}, 30*second)
		if len(heartbeats) != 3 && len(heartbeats) != 5 || heartbeats[0].Index == 3 {
			t.Fatalf("%+v", heartbeats)
		}
		for _, h := range heartbeats {
			if seen[h.Index]++; h.Age != n*second-time.Duration(h.Index)*second {
				t.Errorf("age %v of %d", h.Age, h.Index)
			}
		}
	}
	if len(seen) != 30 || seen[19] > 0 || seen[49] < 2 {
		t.Errorf("passed on: %v", seen)
	}
	if got := c.Sample(n*second, 5, []int{45, 44}, 30*second); got[0].Index != 45 || got[1].Index != 44 {
		t.Errorf("%+v", got)
	}
	if got := c.WithFlags(n*second, 0, 10*second); len(got) != 10 || got[0] != 40 {
		t.Errorf("alive: %v", got)
	}
}
