// Package company keeps what an agent knows of the others that front the same servers: who is there, in which life, since when,
// and how long ago that was so. It is what lists, limits and verdicts among agents build on. Each agent tells a little of what
// it knows with whatever it sends, so that what one says of itself reaches all without a leader. It does no I/O and reads no
// clock; its memory follows the number of places, not what comes.
//
// An agent's word about itself carries the epoch of its life and a beat that grows while it lives. Greater ones win, whatever
// way and in whatever order they come, as often as they come: an old datagram brings nobody back.
package company

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Flags are what an agent says of itself beside that it lives.
type Flags uint8

// The flags.
const (
	Watching Flags = 1 << iota // it holds a watch on the list of servers
	Leaving                    // it ends; nothing is to be expected of it
)

// Word is what is said of an agent.
type Word struct {
	Place int
	Epoch uint64 // of its life: later lives have greater ones
	Beat  uint32 // grows while it lives
	Flags Flags
	Age   time.Duration // since it said so itself
}

// newer reports whether a word was said after another one of the same agent.
func (w Word) newer(o Word) bool {
	return cmp.Or(cmp.Compare(w.Epoch, o.Epoch), cmp.Compare(w.Beat, o.Beat)) > 0
}

// Member is an agent as another one knows it.
type Member struct {
	Word
	Said  time.Duration // when it said that
	Since time.Duration // when this life was first heard of
	known bool
}

// Settings are what a Company is made of.
type Settings struct {
	Agents int // the places are 0 to Agents-1
	Me     int
	Epoch  uint64 // of this life
}

// Company is what one agent knows.
type Company struct {
	set     Settings
	own     Word
	members []Member // by place
	order   []int    // places in the order in which they are passed on
	next    int      // among them
	rivals  int      // how often another claimed this place in a later life
}

// New returns a Company that knows nobody.
func New(set Settings, seed uint64) *Company {
	set.Agents = max(set.Agents, set.Me+1, 1)
	return &Company{set: set, own: Word{Place: set.Me, Epoch: set.Epoch}, members: make([]Member, set.Agents),
		order: rand.New(rand.NewPCG(seed, 7)).Perm(set.Agents)}
}

// Agents is how many places there are.
func (c *Company) Agents() int { return c.set.Agents }

// Me is this agent's place.
func (c *Company) Me() int { return c.set.Me }

// Set sets flags of this agent, or takes them back.
func (c *Company) Set(f Flags, on bool) {
	if c.own.Flags &^= f; on {
		c.own.Flags |= f
	}
}

// Own returns what this agent says of itself next.
func (c *Company) Own() Word {
	c.own.Beat++
	return c.own
}

// Rivals is how often another one claimed this agent's place. One claim may be a memory of an earlier life, where clocks went
// back; when it grows there are two.
func (c *Company) Rivals() int { return c.rivals }

// Hear takes a word, from whomever it comes. It reports whether it was news.
func (c *Company) Hear(now time.Duration, w Word) bool {
	if w.Place < 0 || w.Place >= len(c.members) {
		return false
	}
	if w.Place == c.set.Me {
		// This life goes on after all that is said of the place, or nobody would hear of it.
		if w.Epoch > c.own.Epoch {
			c.own.Epoch, c.own.Beat = w.Epoch+1, 0
			c.rivals++
		}
		return false
	}
	m := &c.members[w.Place]
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

// Of returns what is known of a place, and whether anything is.
func (c *Company) Of(place int) (Member, bool) {
	if place < 0 || place >= len(c.members) {
		return Member{}, false
	}
	return c.members[place], c.members[place].known
}

// There reports whether an agent said so late that it lives, and did not say that it ends.
func (c *Company) There(now time.Duration, place int, within time.Duration) bool {
	m, known := c.Of(place)
	return known && m.Flags&Leaving == 0 && now-m.Said <= within
}

// Those returns the places of agents that have said so late that they have all of these flags, in the order of places.
func (c *Company) Those(now time.Duration, flags Flags, within time.Duration) (places []int) {
	for p := range c.members {
		if c.There(now, p, within) && c.members[p].Flags&flags == flags {
			places = append(places, p)
		}
	}
	return places
}

// Sample returns words to pass on: those of the places that are named first, then of others that were passed on longest ago.
// What is too old to be worth a word is left out.
func (c *Company) Sample(now time.Duration, most int, first []int, within time.Duration) (out []Word) {
	add := func(p int) {
		if m := &c.members[p]; m.known && now-m.Said <= within && len(out) < most {
			w := m.Word
			w.Age = now - m.Said
			out = append(out, w)
		}
	}
	for _, p := range first {
		add(p)
	}
	for range len(c.order) {
		if len(out) == most {
			break
		}
		p := c.order[c.next]
		c.next = (c.next + 1) % len(c.order)
		if !slices.Contains(first, p) {
			add(p)
		}
	}
	return out
}
