// Package subset gives each agent a place at each server, so that what agents choose by their places adds up evenly though they
// know nothing of one another: if each draws from those servers at which its place is below the same share, all servers have
// about equally many agents; if each tries a server that failed when its place in the round comes, the server is tried at an
// even pace. docs/design/subset.md says why it is done this way. It does no I/O and reads no clock.
package subset

import (
	"github.com/cespare/xxhash/v2"
)

// Settings are all that a Subset is told.
type Settings struct {
	Agents int    // how many there are, as far as known
	Me     int    // which of them this is, from 0 on; a number that none has where unknown
	Seed   uint64 // the agent's own, in place of a number
}

// Subset knows the places of one agent.
type Subset struct {
	set   Settings
	known bool
}

// mostAgents bounds the time that a place takes. Of more agents those beyond are told no place.
const mostAgents = 1 << 16

// New returns the places of an agent.
func New(set Settings) *Subset {
	set.Agents = max(1, min(set.Agents, mostAgents))
	return &Subset{set: set, known: set.Me >= 0 && set.Me < set.Agents}
}

// Place is the agent's place at a server, from 0 to below 1: its rank among all agents by a hash of the server and the agent, by
// their number. So the agents below a share are that share of all, at every server, whoever they are; and which servers an agent
// has low places at is chance, independent of other agents. One agent more or less moves the places of the others by one
// rank at most, and a server more or less moves none.
//
// It takes time in proportion to the number of agents, some 2 ns each.
func (s *Subset) Place(server string) float64 {
	h := xxhash.Sum64String(server)
	if !s.known { // by chance: no better and no worse than others whose number is unknown
		return unit(mix(h ^ mix(s.set.Seed)))
	}
	mine, rank := mix(h+uint64(s.set.Me)*golden), 0
	for a := range uint64(s.set.Agents) {
		if mix(h+a*golden) < mine {
			rank++
		}
	}
	return (float64(rank) + unit(mine*golden)) / float64(s.set.Agents)
}

// golden is 2^64 by the golden ratio, the increment of SplitMix64.
const golden = 0x9e3779b97f4a7c15

// unit is a number from 0 to below 1.
func unit(x uint64) float64 { return float64(x>>11) / (1 << 53) }

// mix spreads the bits (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
