package subset

import (
	"fmt"
	"math"
	"testing"

	"gonum.org/v1/gonum/stat"
)

// drawnServers returns the servers at which each agent ranks below a share.
func drawnServers(agents, servers int, share float64, settingsOf func(agent int) Settings) [][]int {
	all := make([][]int, agents)
	for a := range all {
		s := New(settingsOf(a))
		for i := range servers {
			if s.Rank(fmt.Sprint("forms-", i)) < share {
				all[a] = append(all[a], i)
			}
		}
	}
	return all
}

// correctSettings returns the settings of agents that all know the true number of agents and their own index.
func correctSettings(agents int) func(int) Settings {
	return func(a int) Settings { return Settings{Agents: agents, Me: a, Seed: uint64(a)} }
}

// unevenness returns the coefficients of variation of the number of agents that use a server, and of the calls that it
// gets if each agent makes equally many and spreads them evenly.
func unevenness(servers int, all [][]int) (drawing, calls float64) {
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

// Every server is used by the same number of agents as any other, give or take one, for any share and any number of
// agents; and its calls are spread far more evenly than with random ranks.
func TestServersAreUsedEvenly(t *testing.T) {
	for _, agents := range []int{20, 50, 300, 1000} {
		for _, share := range []float64{0.08, 0.16, 0.5, 1} {
			all := drawnServers(agents, 100, share, correctSettings(agents))
			n := make([]int, 100)
			for _, mine := range all {
				for _, i := range mine {
					n[i]++
				}
			}
			for i, drawing := range n {
				if math.Abs(float64(drawing)-share*float64(agents)) >= 1 {
					t.Fatalf("%d agents, share %v: %d use server %d", agents, share, drawing, i)
				}
			}
		}
	}
	drawing, calls := unevenness(100, drawnServers(300, 100, 0.16, correctSettings(300)))
	_, chance := unevenness(100, drawnServers(300, 100, 0.16, func(a int) Settings { return Settings{Agents: 300, Me: -1, Seed: uint64(a)} }))
	t.Logf("agents %.3f, calls %.3f, with random ranks %.3f", drawing, calls, chance)
	if calls > 0.05 || chance < 2*calls {
		t.Errorf("calls vary by %.3f, with random ranks by %.3f", calls, chance)
	}
}

// A wrong index or number of agents is no worse than random ranks.
func TestWrongIndexesAndAgentCounts(t *testing.T) {
	const agents = 300
	_, chance := unevenness(100, drawnServers(agents, 100, 0.16, func(a int) Settings { return Settings{Agents: agents, Me: -1, Seed: uint64(a)} }))
	for name, settingsOf := range map[string]func(a int) Settings{
		"a tenth of the number":                 func(a int) Settings { return Settings{Agents: agents / 10, Me: a, Seed: uint64(a)} },
		"ten times the number":                  func(a int) Settings { return Settings{Agents: agents * 10, Me: a, Seed: uint64(a)} },
		"half know an old number":               func(a int) Settings { return Settings{Agents: []int{agents, agents / 2}[a%2], Me: a, Seed: uint64(a)} },
		"two have the same index":               func(a int) Settings { return Settings{Agents: agents, Me: max(a, 1), Seed: uint64(a)} },
		"two halves that count only themselves": func(a int) Settings { return Settings{Agents: agents / 2, Me: a % (agents / 2), Seed: uint64(a)} },
	} {
		_, calls := unevenness(100, drawnServers(agents, 100, 0.16, settingsOf))
		t.Logf("%s: %.3f, with random ranks %.3f", name, calls, chance)
		if calls > chance*1.25 {
			t.Errorf("%s: calls vary by %.3f, with random ranks by %.3f", name, calls, chance)
		}
	}
}

// moves counts the pairs of an agent and a server that are used before but not after, and those that are used after but
// not before.
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

// One more agent moves little besides its own pairs, and one more server moves nothing but its own pairs, as the ranks
// at other servers do not depend on it.
func TestAddingAgentOrServerMovesFewPairs(t *testing.T) {
	before := drawnServers(300, 100, 0.16, correctSettings(300))
	more := moves(before, drawnServers(301, 100, 0.16, correctSettings(301)))
	own := 16 // pairs of the agent that is added: 0.16 of the 100 servers
	t.Logf("one more agent: %d moves", more)
	if more > 3*own {
		t.Errorf("one more agent moves %d pairs, its own are %d", more, own)
	}
	if n := moves(before, drawnServers(300, 101, 0.16, correctSettings(300))); n != 48 { // 0.16 of the 300 agents
		t.Errorf("one more server moves %d pairs, 48 are its own", n)
	}
}

// The servers that one agent uses are independent of those that another one uses.
func TestRanksAreIndependent(t *testing.T) {
	all := drawnServers(200, 400, 0.1, correctSettings(200))
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
			if both > 16 { // 4 expected at random
				t.Errorf("agents %d and %d share %d of %d servers", a, b, both, len(all[a]))
			}
		}
	}
}

// Ranks lie from 0 to below 1 and depend on nothing but the settings and the name.
func TestRanksAreBounded(t *testing.T) {
	for _, set := range []Settings{{}, {Agents: 1}, {Agents: 1, Me: 1, Seed: 3}, {Agents: -5, Me: -5}, {Agents: 1 << 40, Me: 1 << 39}, {Agents: 1 << 40, Me: 7}} {
		for i := range 4 {
			p := New(set).Rank(fmt.Sprint(i))
			if p != New(set).Rank(fmt.Sprint(i)) || p < 0 || p >= 1 {
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
				s.Rank("forms-1")
			}
		})
	}
}
