package ledger

import (
	"maps"

	"ternbeam/internal/decide/life"
)

// Twins are copies of what a Ledger speaks of.
type Twins struct {
	Calls    life.Twins[Call]
	Attempts life.Twins[Attempt]
	Servers  life.Twins[life.Server]
}

// NewTwins returns none yet. Payloads, hosts' fields and the ways to answer stay those of the originals.
func NewTwins() *Twins {
	t := &Twins{}
	t.Servers.Fill = (*life.Server).CopyTo
	t.Attempts.Fill = func(at, twin *Attempt) {
		*twin = *at
		twin.Call, twin.Server = t.Calls.Of(at.Call), t.Servers.Of(at.Server)
	}
	t.Calls.Fill = func(c, twin *Call) {
		twin.Request, twin.Payload, twin.Tag, twin.Answer, twin.out = c.Request, c.Payload, c.Tag, c.Answer, c.out
		twin.over.Store(c.over.Load())
		twin.gone.Store(c.gone.Load())
		for _, at := range c.attempts {
			twin.attempts = append(twin.attempts, t.Attempts.Of(at))
		}
		twin.passing = t.Attempts.Of(c.passing)
	}
	return t
}

// Copy returns an equal Ledger over an equal module. It must not be under way with anything.
func (l *Ledger) Copy(set Settings, balancer Module, t *Twins) *Ledger {
	twin := New(set, balancer)
	twin.now, twin.open, twin.passing, twin.stats = l.now, l.open, l.passing, l.Stats()
	twin.listed, twin.word = maps.Clone(l.listed), l.word.Copy()
	for id, c := range l.calls {
		twin.calls[id] = t.Calls.Of(c)
	}
	for id, s := range l.servers {
		twin.servers[id] = t.Servers.Of(s)
	}
	return twin
}

// Knows reports whether the Ledger still holds a call.
func (l *Ledger) Knows(c *Call) bool { return l.calls[c.ID] == c }
