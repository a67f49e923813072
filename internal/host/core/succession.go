package core

import (
	"context"
	"encoding/json"
	"slices"

	"ternbeam/choice"
	"ternbeam/internal/decide/ledger"
	"ternbeam/internal/decide/operators"
	"ternbeam/internal/decide/succession"
	"ternbeam/internal/discovery"
)

// Inheritance is what the process that this one replaces has left, beside the list.
type Inheritance struct {
	Said    operators.Saying
	Learned *choice.Memory
}

// Other is a process that serves beside this one.
type Other struct{ say func(succession.News) }

// inherit takes over what the operators have said, before any server counts as one that may be sent to.
func (c *Core) inherit() {
	if c.set.Inherited != nil {
		c.do(c.ledger.Take(c.Now(), c.set.Inherited.Said))
	}
}

// learn takes over what was learned of the servers of the list, which is enough to take clients.
func (c *Core) learn() {
	if c.set.Inherited == nil {
		return
	}
	if c.set.Inherited.Learned != nil {
		c.ledger.Inherit(c.Now(), *c.set.Inherited.Learned)
	}
	c.set.Inherited = nil
	c.markReady()
}

// Leave returns what a process begins with that replaces this one. From that moment on say is told what this process is
// told, until the Other parts.
func (c *Core) Leave(ctx context.Context, say func(succession.News)) (s succession.State, o *Other, err error) {
	o = &Other{say}
	s, err = demand(ctx, c, func() succession.State {
		c.others[o] = true
		s := succession.State{Discovery: c.discovery, Said: c.ledger.Saying()}
		if len(c.list.Servers) > 0 {
			s.List, _ = json.Marshal(c.list) // of plain values; none where it fails all the same
		}
		var learned ledger.Learned
		c.ledger.Export(c.Now(), &learned, nil)
		if _, err := json.Marshal(learned.Memory); err == nil { // a figure that is none does not cross
			s.Learned = &learned.Memory
		}
		return s
	})
	return s, o, err
}

// Join has say told what this process is told, until the Other parts.
func (c *Core) Join(say func(succession.News)) *Other {
	o := &Other{say}
	c.post(func() { c.others[o] = true })
	return o
}

// Part says that a process is gone.
func (c *Core) Part(o *Other) { c.post(func() { delete(c.others, o) }) }

// Tell tells all processes beside this one.
func (c *Core) Tell(n succession.News) { c.post(func() { c.tell(n, nil) }) }

// Hear takes what another process was told, and passes it on to those that it does not come from: of three each knows only
// the one before and the one behind, so that nothing comes back.
func (c *Core) Hear(ctx context.Context, n succession.News, from *Other) {
	var said []discovery.Entry
	if len(n.Ended) > 0 && json.Unmarshal(n.Ended, &said) != nil {
		said = nil
	}
	demand(ctx, c, func() bool {
		c.tell(n, from)
		if n.Offline != "" {
			orders, _ := c.ledger.Offline(c.Now(), n.Offline)
			c.do(orders)
		}
		if n.Online != "" {
			orders, _ := c.ledger.Online(c.Now(), n.Online)
			c.do(orders)
		}
		var ended []discovery.Entry
		for _, e := range said {
			known, listed := c.ledger.Listed(e.ID)
			s, err := e.Server(c.set.Zones)
			if listed && err == nil && succession.Counts(known, s) {
				ended = append(ended, e)
			}
		}
		if len(ended) > 0 {
			c.enter(discovery.List{Version: c.list.Version, Servers: ended})
		}
		return true
	})
}

// tell tells the processes beside this one, but for the one that it comes from, if any.
func (c *Core) tell(n succession.News, from *Other) {
	for o := range c.others {
		if o != from {
			o.say(n)
		}
	}
}

// pass keeps the list as it stands, and tells other processes which servers drain or are gone by a change of it.
func (c *Core) pass(l discovery.List) {
	if !c.set.Publish { // no other process will ever be there
		return
	}
	var ended []discovery.Entry
	at := make(map[string]int, len(c.list.Servers))
	for i, e := range c.list.Servers {
		at[e.ID] = i
	}
	if l.Full {
		named := make(map[string]bool, len(l.Servers))
		for _, e := range l.Servers {
			named[e.ID] = true
		}
		for _, e := range c.list.Servers {
			if !named[e.ID] {
				e.State = "terminated"
				ended = append(ended, e)
			}
		}
		c.list.Servers, at = nil, map[string]int{}
	}
	for _, e := range l.Servers {
		i, known := at[e.ID]
		if !known {
			i = len(c.list.Servers)
			at[e.ID] = i
			c.list.Servers = append(c.list.Servers, e)
		}
		c.list.Servers[i] = e
		if e.State != "in_service" {
			ended = append(ended, e)
		}
	}
	c.list.Servers = slices.DeleteFunc(c.list.Servers, func(e discovery.Entry) bool { return e.State == "terminated" })
	c.list.Version, c.list.Full = l.Version, true
	if len(ended) > 0 && len(c.others) > 0 {
		if text, err := json.Marshal(ended); err == nil {
			c.tell(succession.News{Ended: text}, nil)
		}
	}
}
