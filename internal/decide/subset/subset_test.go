package subset

import (
	"fmt"
	"math"
	"testing"

	"gonum.org/v1/gonum/stat"
)

// drawn tells which servers each agent has a place below a share at.
func drawn(agents, servers int, share float64, place func(agent int) Settings) [][]int {
	all := make([][]int, agents)
	for a := range all {
		s := New(place(a))
		for i := range servers {
			if s.Place(fmt.Sprint("forms-", i)) < share {
				all[a] = append(all[a], i)
			}
		}
	}
	return all
}

// truth is what agents know where all is in order.
func truth(agents int) func(int) Settings {
	return func(a int) Settings { return Settings{Agents: agents, Me: a, Seed: uint64(a)} }
}

// uneven is the variation, as a part of the mean, of how many agents draw from a server, and of the calls that it gets if each has
// as many and draws evenly.
func uneven(servers int, all [][]int) (drawing, calls float64) {
	n, load := make([]float64, servers), make([]float64, servers)
	for _, mine := range all {
		for _, i := range mine {
			n[i]++
			load[i] += 1 / float64(len(mine))
		}
	}
	return variation(n), variation(load)
}

func variation(all []float64) float64 {
	mean, deviation := stat.PopMeanStdDev(all, nil)
	return deviation / mean
}

// Every server has as many agents that draw from it as any other, to one, whatever share they draw from and how many they are; and
// what it gets is far evener than by chance.
func TestEvenByConstruction(t *testing.T) {
	for _, agents := range []int{20, 50, 300, 1000} {
		for _, share := range []float64{0.08, 0.16, 0.5, 1} {
			all := drawn(agents, 100, share, truth(agents))
			n := make([]int, 100)
			for _, mine := range all {
				for _, i := range mine {
					n[i]++
				}
			}
			for i, drawing := range n {
				if math.Abs(float64(drawing)-share*float64(agents)) >= 1 {
					t.Fatalf("%d agents, share %v: %d draw from server %d", agents, share, drawing, i)
				}
			}
		}
	}
	drawing, calls := uneven(100, drawn(300, 100, 0.16, truth(300)))
	_, chance := uneven(100, drawn(300, 100, 0.16, func(a int) Settings { return Settings{Agents: 300, Me: -1, Seed: uint64(a)} }))
	t.Logf("drawing %.3f, calls %.3f, by chance %.3f", drawing, calls, chance)
	if calls > 0.05 || chance < 2*calls {
		t.Errorf("calls vary by %.3f, by chance %.3f", calls, chance)
	}
}

// A place or a number that is wrong costs no more than chance.
func TestWrongPlaces(t *testing.T) {
	const agents = 300
	_, chance := uneven(100, drawn(agents, 100, 0.16, func(a int) Settings { return Settings{Agents: agents, Me: -1, Seed: uint64(a)} }))
	for name, place := range map[string]func(a int) Settings{
		"a tenth of the number":     func(a int) Settings { return Settings{Agents: agents / 10, Me: a, Seed: uint64(a)} },
		"ten times the number":      func(a int) Settings { return Settings{Agents: agents * 10, Me: a, Seed: uint64(a)} },
		"half know an old number":   func(a int) Settings { return Settings{Agents: []int{agents, agents / 2}[a%2], Me: a, Seed: uint64(a)} },
		"two have one place":        func(a int) Settings { return Settings{Agents: agents, Me: max(a, 1), Seed: uint64(a)} },
		"two sides that think each": func(a int) Settings { return Settings{Agents: agents / 2, Me: a % (agents / 2), Seed: uint64(a)} },
	} {
		_, calls := uneven(100, drawn(agents, 100, 0.16, place))
		t.Logf("%s: %.3f, by chance %.3f", name, calls, chance)
		if calls > chance*1.25 {
			t.Errorf("%s: calls vary by %.3f, by chance by %.3f", name, calls, chance)
		}
	}
}

// moves counts the pairs of an agent and a server, of those before, that are not drawn any more, and of those after that were not.
func moves(before, after [][]int) (n int) {
	had := map[[2]int]bool{}
	for a, mine := range before {
		for _, i := range mine {
			had[[2]int{a, i}] = true
		}
	}
	n = len(had)
	for a, mine := range after {
		for _, i := range mine {
			if had[[2]int{a, i}] {
				n--
			} else {
				n++
			}
		}
	}
	return n
}

// One agent more moves little besides its own draws, and a server more moves nothing but what it gets itself, as the places at others
// do not depend on it.
func TestFewMoves(t *testing.T) {
	before := drawn(300, 100, 0.16, truth(300))
	more := moves(before, drawn(301, 100, 0.16, truth(301)))
	own := 16
	t.Logf("an agent more: %d moves", more)
	if more > 3*own {
		t.Errorf("an agent more moves %d pairs, its own are %d", more, own)
	}
	if n := moves(before, drawn(300, 101, 0.16, truth(300))); n != 48 {
		t.Errorf("a server more moves %d pairs, 48 are its own", n)
	}
}

// Which servers an agent draws from says nothing of which another one does.
func TestPlacesAreIndependent(t *testing.T) {
	all := drawn(200, 400, 0.1, truth(200))
	for a := range 20 {
		for b := range a {
			had, both := map[int]bool{}, 0
			for _, i := range all[a] {
				had[i] = true
			}
			for _, i := range all[b] {
				if had[i] {
					both++
				}
			}
			if both > 16 { // 4 by chance
				t.Errorf("agents %d and %d share %d of %d servers", a, b, both, len(all[a]))
			}
		}
	}
}

// Places lie from 0 to below 1 and do not hang on anything but the settings and the name.
func TestPlacesAreBounded(t *testing.T) {
	for _, set := range []Settings{{}, {Agents: 1}, {Agents: 1, Me: 1, Seed: 3}, {Agents: -5, Me: -5}, {Agents: 1 << 40, Me: 1 << 39}, {Agents: 1 << 40, Me: 7}} {
		for i := range 4 {
			p := New(set).Place(fmt.Sprint(i))
			if p != New(set).Place(fmt.Sprint(i)) || p < 0 || p >= 1 {
				t.Errorf("%+v: %v", set, p)
			}
		}
	}
}

func BenchmarkPlace(b *testing.B) {
	for _, agents := range []int{1, 300, 5000} {
		s := New(Settings{Agents: agents})
		b.Run(fmt.Sprint(agents, " agents"), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				s.Place("forms-1")
			}
		})
	}
}
