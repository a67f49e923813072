// Package subset ranks an agent among all agents at each server, so that the choices that agents make by their ranks add
// up evenly without any communication: if each agent uses those servers at which its rank is below the same share, all
// servers are used by about equally many agents; if each probes a failed server in the time slot that its rank gives,
// the server is probed at an even rate. docs/design/subset.md explains the design. The package does no I/O and reads no
// clock.
package subset

import (
	"github.com/cespare/xxhash/v2"
)

// Settings configure a Subset.
type Settings struct {
	Agents int    // number of agents, as far as known
	Me     int    // index of this agent, from 0; out of range where unknown
	Seed   uint64 // of this agent, used where its index is unknown
}

// Subset computes the ranks of one agent. It is safe for concurrent use.
type Subset struct {
	settings Settings
	known    bool // the agent's index is known
}

// maxAgents bounds the time that a rank takes. Agents with a greater index count as agents of unknown index.
const maxAgents = 1 << 16

// New returns a Subset for an agent.
func New(set Settings) *Subset {
	set.Agents = max(1, min(set.Agents, maxAgents))
	return &Subset{settings: set, known: set.Me >= 0 && set.Me < set.Agents}
}

// Rank returns the agent's rank among all agents at a server, ordered by a hash of server and agent and divided by the
// number of agents, from 0 to below 1. So the agents ranked below a share are that share of all agents at every server,
// whatever their indexes; and at which servers an agent ranks low is random and independent of other agents. One agent
// more or less moves the ranks of the others by one position at most, and a server more or less moves none.
//
// It takes time in proportion to the number of agents, about 2 ns for each.
func (s *Subset) Rank(server string) float64 {
	h := xxhash.Sum64String(server)
	if !s.known { // a random rank, no better and no worse than those of other agents of unknown index
		return unit(mix64(h ^ mix64(s.settings.Seed)))
	}
	mine, rank := mix64(h+uint64(s.settings.Me)*golden), 0
	for a := range uint64(s.settings.Agents) {
		if mix64(h+a*golden) < mine {
			rank++
		}
	}
	return (float64(rank) + unit(mine*golden)) / float64(s.settings.Agents) // at a random point between two positions
}

// golden is 2^64 divided by the golden ratio, the increment of SplitMix64.
const golden = 0x9e3779b97f4a7c15

// unit maps x to a number from 0 to below 1, by its upper 53 bits: a float64 holds no more.
func unit(x uint64) float64 { return float64(x>>11) / (1 << 53) }

// mix64 spreads the bits of x (the finalizer of SplitMix64).
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
