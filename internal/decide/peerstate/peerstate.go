// Package peerstate keeps what an agent knows of the other agents that balance load over the same servers: which ones
// are alive, with which epoch, since when, and how old that knowledge is. Package gossip builds on it. Each agent
// passes on a little of what it knows with every datagram, so that the heartbeats of an agent reach all others without
// a leader. The package does no I/O and reads no clock; its memory grows with the number of agents, not with what is
// received.
//
// A heartbeat carries the epoch of the agent's process and a sequence number that grows while it runs. Greater ones win,
// in whatever order and however often they arrive: an old datagram never brings an agent back.
package peerstate

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
type Heartbeat struct {
	Index int
	Epoch uint64 // of its process: later ones have greater epochs
	Seq   uint32 // grows while the process runs
	Flags Flags
	Age   time.Duration // since the agent sent it
}

// newer reports whether a heartbeat was sent after another one of the same agent.
func (h Heartbeat) newer(o Heartbeat) bool {
	return cmp.Or(cmp.Compare(h.Epoch, o.Epoch), cmp.Compare(h.Seq, o.Seq)) > 0
}

// Peer is an agent as another one knows it.
type Peer struct {
	Heartbeat
	SentAt    time.Duration // when it sent the heartbeat
	FirstSeen time.Duration // when a heartbeat of this epoch was first received
	known     bool
}

// Settings configure a Table.
type Settings struct {
	Agents int // number of agents; their indexes are 0 to Agents-1
	Me     int
	Epoch  uint64 // of this process
}

// Table is what one agent knows of the others. It is not safe for concurrent use.
type Table struct {
	settings  Settings
	own       Heartbeat
	peers     []Peer // by index
	order     []int  // indexes in the order in which they are passed on
	nextIndex int    // position in order of the heartbeat to pass on next
	conflicts int    // how often another process claimed this index with a later epoch
}

// New returns a Table that knows no other agent.
func New(set Settings, seed uint64) *Table {
	set.Agents = max(set.Agents, set.Me+1, 1)
	return &Table{settings: set, own: Heartbeat{Index: set.Me, Epoch: set.Epoch}, peers: make([]Peer, set.Agents),
		order: rand.New(rand.NewPCG(seed, 7)).Perm(set.Agents)}
}

// Agents returns the number of agents.
func (t *Table) Agents() int { return t.settings.Agents }

// Me returns this agent's index.
func (t *Table) Me() int { return t.settings.Me }

// SetFlags sets or clears flags of this agent.
func (t *Table) SetFlags(f Flags, on bool) {
	if t.own.Flags &^= f; on {
		t.own.Flags |= f
	}
}

// NextHeartbeat returns this agent's next heartbeat.
func (t *Table) NextHeartbeat() Heartbeat {
	t.own.Seq++
	return t.own
}

// Conflicts returns how often another process claimed this agent's index. A single claim may stem from an earlier run of
// this agent, where the clock went back; when the count grows, two agents share the index.
func (t *Table) Conflicts() int { return t.conflicts }

// Receive takes a heartbeat, from whichever agent it came. It reports whether it was newer than what was known.
func (t *Table) Receive(now time.Duration, h Heartbeat) bool {
	if h.Index < 0 || h.Index >= len(t.peers) {
		return false
	}
	if h.Index == t.settings.Me {
		// This process takes an epoch after the greatest one known for its index, or others would ignore its heartbeats.
		if h.Epoch > t.own.Epoch {
			t.own.Epoch, t.own.Seq = h.Epoch+1, 0
			t.conflicts++
		}
		return false
	}
	p := &t.peers[h.Index]
	if p.known && !h.newer(p.Heartbeat) {
		return false
	}
	sentAt := now - max(0, h.Age)
	if !p.known || h.Epoch != p.Epoch {
		p.FirstSeen = sentAt
	}
	p.Heartbeat, p.SentAt, p.known = h, max(sentAt, p.SentAt), true
	return true
}

// Get returns what is known of the agent of an index, and whether anything is.
func (t *Table) Get(index int) (Peer, bool) {
	if index < 0 || index >= len(t.peers) {
		return Peer{}, false
	}
	return t.peers[index], t.peers[index].known
}

// Alive reports whether an agent sent a heartbeat no longer ago than within, and has not announced that it leaves.
func (t *Table) Alive(now time.Duration, index int, within time.Duration) bool {
	p, known := t.Get(index)
	return known && p.Flags&Leaving == 0 && now-p.SentAt <= within
}

// WithFlags returns the indexes, in order, of agents that sent a heartbeat no longer ago than within, are not leaving,
// and announced all of these flags.
func (t *Table) WithFlags(now time.Duration, flags Flags, within time.Duration) (indexes []int) {
	for i := range t.peers {
		if t.Alive(now, i, within) && t.peers[i].Flags&flags == flags {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// Sample returns up to most heartbeats to pass on: those of the indexes in first, then those that were passed on longest
// ago. Heartbeats older than within are left out.
func (t *Table) Sample(now time.Duration, most int, first []int, within time.Duration) (out []Heartbeat) {
	add := func(index int) {
		if p := &t.peers[index]; p.known && now-p.SentAt <= within && len(out) < most {
			h := p.Heartbeat
			h.Age = now - p.SentAt
			out = append(out, h)
		}
	}
	for _, index := range first {
		add(index)
	}
	for range len(t.order) {
		if len(out) == most {
			break
		}
		index := t.order[t.nextIndex]
		t.nextIndex = (t.nextIndex + 1) % len(t.order)
		if !slices.Contains(first, index) {
			add(index)
		}
	}
	return out
}
