package core

import (
	"context"
	"strings"

	"ternbeam/choice"
	"ternbeam/internal/decide/calltrack"
	"ternbeam/internal/decide/pacing"
	"ternbeam/internal/discovery"
)

// maxLoggedServers limits how many servers a log line names.
const maxLoggedServers = 20

// Feed provides the list of servers from sources other than a single list service. Its methods may be called from any goroutine.
type Feed interface {
	// Feed delivers changes of the list until the context ends.
	Feed(ctx context.Context, deliver func([]calltrack.Entry))

	// SetDiscovery switches to the list service at an address. It reports whether it can.
	SetDiscovery(ctx context.Context, addr string) bool

	// PlatformList returns the latest list of the list service, and the address of that.
	PlatformList() (discovery.List, string)

	// OnEnded has f called with the servers that the list service drains or removes. It is called before Feed.
	OnEnded(f func([]discovery.Entry))

	// EndedElsewhere applies what another process of this agent has heard: servers that drain or were removed.
	EndedElsewhere(ctx context.Context, ended []discovery.Entry)
}

// startFeed starts applying the changes that a Feed delivers.
func (c *Core) startFeed(ctx context.Context) {
	c.set.Feed.OnEnded(func(ended []discovery.Entry) {
		c.postUrgent(ctx, func() { c.notifyEnded(ended) })
	})
	go c.set.Feed.Feed(ctx, func(changes []calltrack.Entry) {
		c.postUrgent(ctx, func() {
			c.execute(c.tracker.UpdateServers(c.Now(), false, changes))
			c.inheritLearned()
			c.importNewlyListed()
			c.markReady()
			c.log.Info("list", "changes", len(changes), "backends", c.tracker.ServerCount())
		})
	})
}

// SetDiscovery switches to the list service at an address. It has no effect if that one is watched already.
func (c *Core) SetDiscovery(ctx context.Context, addr string) {
	c.post(func() {
		c.log.Info("new configuration", "discovery", addr, "before", c.discovery)
		switch {
		case addr == c.discovery:
		case c.set.Feed != nil:
			if !c.set.Feed.SetDiscovery(ctx, addr) {
				c.log.Warn("the address of discovery is not changed while the agent runs, where lists come from other agents or no list is a source")
				return
			}
			c.abandoned = c.abandoned.Moved(c.discovery, addr)
			c.discovery = addr
		default:
			c.abandoned = c.abandoned.Moved(c.discovery, addr)
			c.switchDiscovery(ctx, addr, discovery.List{Version: discovery.UnknownVersion})
			go c.startWatch()
		}
	})
}

// switchDiscovery sets the list service to watch and ends the watch on the previous one. Lists of the previous one may still
// be queued. Their version numbers are unrelated, and they must not be applied after the first list of the new one.
func (c *Core) switchDiscovery(ctx context.Context, addr string, known discovery.List) {
	if c.stopWatch != nil {
		c.stopWatch()
	}
	ctx, c.stopWatch = context.WithCancel(ctx)
	c.discovery, c.list.Version = addr, known.Version
	d := discovery.New(addr, known, c.log)
	d.ReportFreshness(c.set.Freshness)
	c.startWatch = func() {
		d.KeepWatching(ctx, pacing.New(c.set.Pacing, c.set.Seed), func(l discovery.List) {
			c.postUrgent(ctx, func() {
				if ctx.Err() == nil {
					c.applyList(l)
					c.markReady()
				}
			})
		}, nil)
	}
}

// applyList applies the list of servers, or a change of it, and notifies other processes of this agent of the servers that it drains or
// removes.
func (c *Core) applyList(l discovery.List) {
	c.recordList(l)
	c.applyEntries(l)
}

// applyEntries applies a list without notifying other processes.
func (c *Core) applyEntries(l discovery.List) {
	entries := make([]calltrack.Entry, 0, len(l.Servers))
	var draining []string
	for _, e := range l.Servers {
		listed, err := e.TrackerEntry(c.set.Zones)
		if err != nil {
			c.log.Error("passing over an entry of the list", "error", err)
			continue
		}
		entries = append(entries, listed)
		if listed.State == choice.Draining {
			draining = append(draining, e.ID)
		}
	}
	c.execute(c.tracker.UpdateServers(c.Now(), l.Full, entries))
	c.importNewlyListed()
	c.log.Info("list", "version", l.Version, "full", l.Full, "entries", len(l.Servers), "backends", c.tracker.ServerCount(),
		"draining", len(draining), "draining_ids", strings.Join(draining[:min(len(draining), maxLoggedServers)], " "))
}
