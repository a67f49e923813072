package core

import (
	"context"
	"strings"

	"ternbeam/choice"
	"ternbeam/internal/decide/asking"
	"ternbeam/internal/decide/ledger"
	"ternbeam/internal/discovery"
)

// loggedServers bounds how many servers a line of the log names.
const loggedServers = 20

// Feed brings changes of the list from elsewhere than one discovery, until the context ends.
type Feed func(ctx context.Context, deliver func([]ledger.Entry))

// feed begins to take changes from a Feed.
func (c *Core) feed(ctx context.Context) {
	go c.set.Feed(ctx, func(changes []ledger.Entry) {
		c.postUrgent(ctx, func() {
			c.do(c.ledger.List(c.Now(), false, changes))
			c.recall()
			c.markReady()
			c.log.Info("list", "changes", len(changes), "backends", c.ledger.ServerCount())
		})
	})
}

// Follow watches another discovery from now on; the same one changes nothing.
func (c *Core) Follow(ctx context.Context, addr string) {
	c.post(func() {
		if c.set.Feed != nil {
			c.log.Info("the list comes from the sources of a file, as before")
			return
		}
		c.log.Info("new configuration", "discovery", addr, "before", c.discovery)
		if addr != c.discovery {
			c.follow(ctx, addr, discovery.List{Version: discovery.Unknown})
			go c.watch()
		}
	})
}

// follow sets the discovery that is watched from now on; the watch on another ends. Lists of that one may still be
// queued: they count by other versions and must not be applied after the first list of the new one.
func (c *Core) follow(ctx context.Context, addr string, known discovery.List) {
	if c.unwatch != nil {
		c.unwatch()
	}
	ctx, c.unwatch = context.WithCancel(ctx)
	c.discovery, c.list.Version = addr, known.Version
	d := discovery.New(addr, known, c.log)
	c.watch = func() {
		d.KeepWatching(ctx, asking.New(c.set.Asking, c.set.Seed), func(l discovery.List) {
			c.postUrgent(ctx, func() {
				if ctx.Err() == nil {
					c.apply(l)
					c.markReady()
				}
			})
		}, nil)
	}
}

// apply applies the list of servers or a change of it.
func (c *Core) apply(l discovery.List) {
	c.pass(l)
	c.enter(l)
}

// enter is apply for what no other process needs to be told.
func (c *Core) enter(l discovery.List) {
	entries := make([]ledger.Entry, 0, len(l.Servers))
	var draining []string
	for _, e := range l.Servers {
		listed, err := e.Listed(c.set.Zones)
		if err != nil {
			c.log.Error("passing over an entry of the list", "error", err)
			continue
		}
		entries = append(entries, listed)
		if listed.State == choice.Draining {
			draining = append(draining, e.ID)
		}
	}
	c.do(c.ledger.List(c.Now(), l.Full, entries))
	c.recall()
	c.log.Info("list", "version", l.Version, "full", l.Full, "entries", len(l.Servers), "backends", c.ledger.ServerCount(),
		"draining", len(draining), "draining_ids", strings.Join(draining[:min(len(draining), loggedServers)], " "))
}
