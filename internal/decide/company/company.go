// Package peerstate keeps what an agent knows of the other agents that front the same servers: which ones are alive,
// with which epoch, since when, and how old that knowledge is. Lists, limits and verdicts shared among agents build on
// it. Each agent passes on a little of what it knows with every datagram, so that the heartbeats of an agent reach all
// others without a leader. The package does no I/O and reads no clock; its memory grows with the number of agents, not
// with what is received.
//
// A heartbeat carries the epoch of the agent's process and a sequence number that grows while it runs. Greater ones win,
// in whatever order and however often they arrive: an old datagram never brings an agent back.
package company

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Flags are what an agent announces with its heartbeat.
type Flags uint8

// The flags.
const (
	Watching Flags = 1 << iota // it holds a watch on the list of servers
	Leaving                    // it is shutting down; nothing more is to be expected of it
)

// Heartbeat is what an agent announces of itself, as sent by it or passed on by others.
type Word struct {
	Place int
	Epoch uint64 // of its process: later ones have greater epochs
	Beat  uint32 // grows while the process runs
	Flags Flags
	Age   time.Duration // since the agent sent it
}

// newer reports whether a heartbeat was sent after another one of the same agent.
func (w Word) newer(o Word) bool {
	return cmp.Or(cmp.Compare(w.Epoch, o.Epoch), cmp.Compare(w.Beat, o.Beat)) > 0
}

// Peer is an agent as another one knows it.
type Member struct {
	Word
	Said  time.Duration // when it sent the heartbeat
	Since time.Duration // when a heartbeat of this epoch was first received
	known bool
}

// Settings configure a Table.
type Settings struct {
	Agents int // number of agents; their indexes are 0 to Agents-1
	Me     int
	Epoch  uint64 // of this process
}

// Table is what one agent knows of the others. It is not safe for concurrent use.
type Company struct {
	settings  Settings
	own       Word
	peers     []Member // by index
	order     []int    // indexes in the order in which they are passed on
	nextIndex int      // position in order
	conflicts int      // how often another process claimed this index with a later epoch
}

// New returns a Table that knows no other agent.
func New(set Settings, seed uint64) *Company {
	set.Agents = max(set.Agents, set.Me+1, 1)
	return &Company{settings: set, own: Word{Place: set.Me, Epoch: set.Epoch}, peers: make([]Member, set.Agents),
		order: rand.New(rand.NewPCG(seed, 7)).Perm(set.Agents)}
}

// Agents returns the number of agents.
func (t *Company) Agents() int { return t.settings.Agents }

// Me returns this agent's index.
func (t *Company) Me() int { return t.settings.Me }

// SetFlags sets or clears flags of this agent.
func (t *Company) Set(f Flags, on bool) {
	if t.own.Flags &^= f; on {
		t.own.Flags |= f
	}
}

// NextHeartbeat returns this agent's next heartbeat.
func (t *Company) Own() Word {
	t.own.Beat++
	return t.own
}

// Conflicts returns how often another process claimed this agent's index. A single claim may stem from an earlier run of
// this agent, where the clock went back; when the count grows, two agents share the index.
func (t *Company) Rivals() int { return t.conflicts }

// Receive takes a heartbeat, from whichever agent it came. It reports whether it was newer than what was known.
func (t *Company) Hear(now time.Duration, w Word) bool {
	if w.Place < 0 || w.Place >= len(t.peers) {
		return false
	}
	if w.Place == t.settings.Me {
		// This process continues after the greatest epoch known for its index, or others would ignore its heartbeats.
		if w.Epoch > t.own.Epoch {
			t.own.Epoch, t.own.Beat = w.Epoch+1, 0
			t.conflicts++
		}
		return false
	}
	m := &t.peers[w.Place]
	if m.known && !w.newer(m.Word) {
		return false
	}
	said := now - max(0, w.Age)
	if !m.known || w.Epoch != m.Epoch {
		m.Since = said
	}
	m.Word, m.Said, m.known = w, max(said, m.Said), true
	return true
}

// Get returns what is known of the agent of an index, and whether anything is.
func (t *Company) Of(place int) (Member, bool) {
	if place < 0 || place >= len(t.peers) {
		return Member{}, false
	}
	return t.peers[place], t.peers[place].known
}

// Alive reports whether an agent sent a heartbeat no longer ago than within, and has not announced that it leaves.
func (t *Company) There(now time.Duration, place int, within time.Duration) bool {
	m, known := t.Of(place)
	return known && m.Flags&Leaving == 0 && now-m.Said <= within
}

// WithFlags returns the indexes, in order, of agents that sent a heartbeat no longer ago than within, are not leaving,
// and announced all of these flags.
func (t *Company) Those(now time.Duration, flags Flags, within time.Duration) (places []int) {
	for p := range t.peers {
		if t.There(now, p, within) && t.peers[p].Flags&flags == flags {
			places = append(places, p)
		}
	}
	return places
}

// Sample returns up to most heartbeats to pass on: those of the indexes in first, then those that were passed on longest
// ago. Heartbeats older than within are left out.
func (t *Company) Sample(now time.Duration, most int, first []int, within time.Duration) (out []Word) {
	add := func(p int) {
		if m := &t.peers[p]; m.known && now-m.Said <= within && len(out) < most {
			w := m.Word
			w.Age = now - m.Said
			out = append(out, w)
		}
	}
	for _, p := range first {
		add(p)
	}
	for range len(t.order) {
		if len(out) == most {
			break
		}
		p := t.order[t.nextIndex]
		t.nextIndex = (t.nextIndex + 1) % len(t.order)
		if !slices.Contains(first, p) {
			add(p)
		}
	}
	return out
}
