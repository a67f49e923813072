package calltrack

import (
	"maps"
	"slices"

	"ternbeam/internal/decide/lifecycle"
)

// Copies holds the copies of the objects that a Tracker refers to, for the state explorer.
type Copies struct {
	Calls    lifecycle.Copies[Call]
	Attempts lifecycle.Copies[Attempt]
	Servers  lifecycle.Copies[lifecycle.Server]
}

// NewCopies returns an empty Copies. A copy shares the payload, the host's fields and the Answer function with its original.
func NewCopies() *Copies {
	copies := &Copies{}
	copies.Servers.Fill = (*lifecycle.Server).CopyTo
	copies.Attempts.Fill = func(at, dst *Attempt) {
		*dst = *at
		dst.Call, dst.Server = copies.Calls.Of(at.Call), copies.Servers.Of(at.Server)
	}
	copies.Calls.Fill = func(c, dst *Call) {
		dst.Request, dst.Payload, dst.Shape, dst.Answer, dst.inFlight = c.Request, c.Payload, c.Shape, c.Answer, c.inFlight
		dst.closed.Store(c.closed.Load())
		dst.disconnected.Store(c.disconnected.Load())
		for _, at := range c.attempts {
			dst.attempts = append(dst.attempts, copies.Attempts.Of(at))
		}
		dst.groupSends.begun = slices.Clone(c.groupSends.begun)
		dst.relaying = copies.Attempts.Of(c.relaying)
	}
	return copies
}

// Copy returns an equal Tracker that uses balancer, a copy of the decision module. It must not be called while an event is handled.
func (t *Tracker) Copy(set Settings, balancer Module, copies *Copies) *Tracker {
	dst := New(set, balancer)
	dst.now, dst.unanswered, dst.relaying, dst.stats = t.now, t.unanswered, t.relaying, t.Stats()
	dst.listed, dst.addresses, dst.overrides = maps.Clone(t.listed), t.addresses.copy(), t.overrides.Copy()
	for id, c := range t.calls {
		dst.calls[id] = copies.Calls.Of(c)
	}
	for id, s := range t.servers {
		dst.servers[id] = copies.Servers.Of(s)
	}
	return dst
}

// Holds reports whether the Tracker still holds a call.
func (t *Tracker) Holds(c *Call) bool { return t.calls[c.ID] == c }
