package core

import (
	"context"
	"encoding/json"
	"slices"

	"ternbeam/choice"
	"ternbeam/internal/decide/calltrack"
	"ternbeam/internal/decide/handover"
	"ternbeam/internal/decide/overrides"
	"ternbeam/internal/decide/recentids"
	"ternbeam/internal/discovery"
)

// InheritedState is the state that this process takes over from the one that it replaces, in addition to the list of servers.
type InheritedState struct {
	Overrides overrides.Snapshot
	Learned   *choice.Memory
	IDs       []recentids.Hash // of calls that the other process has received
	Abandoned handover.Abandoned
}

// Subscriber is another process of this agent, which receives this process's updates while both are serving.
type Subscriber struct{ notify func(handover.Update) }

// inheritOperatorState restores the operators' commands. It runs before any server becomes available to calls.
func (c *Core) inheritOperatorState() {
	if c.set.Inherited != nil {
		c.execute(c.tracker.RestoreOverrides(c.Now(), c.set.Inherited.Overrides))
		c.tracker.RememberIDs(c.Now(), c.set.Inherited.IDs)
	}
}

// inheritLearned restores what the replaced process had learned about the listed servers, and marks the agent as ready for clients.
func (c *Core) inheritLearned() {
	if c.set.Inherited == nil {
		return
	}
	if c.set.Inherited.Learned != nil {
		c.tracker.ImportInherited(c.Now(), *c.set.Inherited.Learned)
	}
	c.set.Inherited = nil
	c.markReady()
}

// HandOver returns the state that a replacing process starts with. From that moment on notify is called with all updates that this
// process receives, until Unsubscribe.
func (c *Core) HandOver(ctx context.Context, notify func(handover.Update)) (s handover.State, sub *Subscriber, err error) {
	sub = &Subscriber{notify}
	s, err = queryUrgent(ctx, c, func() handover.State {
		c.subscribers[sub] = true
		s := handover.State{Discovery: c.discovery, Abandoned: c.abandoned, Overrides: c.tracker.Overrides(), IDs: c.tracker.RecentIDs(c.Now())}
		list := c.list
		if c.set.Feed != nil {
			list, s.Discovery = c.set.Feed.PlatformList()
		}
		if len(list.Servers) > 0 {
			s.List, _ = json.Marshal(list) // consists of plain values; nil if encoding fails regardless
		}
		var learned calltrack.Learned
		c.tracker.Export(c.Now(), &learned, nil)
		if _, err := json.Marshal(learned.Memory); err == nil { // NaN and infinity can't be encoded; nothing learned is handed over then
			s.Learned = &learned.Memory
		}
		return s
	})
	return s, sub, err
}

// Subscribe has notify called with all updates that this process receives, until Unsubscribe.
func (c *Core) Subscribe(notify func(handover.Update)) *Subscriber {
	sub := &Subscriber{notify}
	c.post(func() { c.subscribers[sub] = true })
	return sub
}

// Unsubscribe removes a process that has ended.
func (c *Core) Unsubscribe(sub *Subscriber) { c.post(func() { delete(c.subscribers, sub) }) }

// Broadcast sends an update to all other processes of this agent.
func (c *Core) Broadcast(u handover.Update) { c.post(func() { c.notifySubscribers(u, nil) }) }

// ReceiveUpdate applies an update from another process and forwards it to all others. Each process knows only the one before and the
// one after it, so an update never returns to its sender.
func (c *Core) ReceiveUpdate(ctx context.Context, u handover.Update, from *Subscriber) {
	var reported []discovery.Entry
	if len(u.Ended) > 0 && json.Unmarshal(u.Ended, &reported) != nil {
		reported = nil
	}
	queryUrgent(ctx, c, func() bool {
		c.notifySubscribers(u, from)
		c.tracker.RememberIDs(c.Now(), u.IDs)
		if u.Offline != "" {
			commands, _ := c.tracker.Offline(c.Now(), u.Offline)
			c.execute(commands)
		}
		if u.Online != "" {
			commands, _ := c.tracker.Online(c.Now(), u.Online)
			c.execute(commands)
		}
		var drainedOrRemoved []discovery.Entry
		for _, e := range reported {
			known, listed := c.tracker.ListedServer(e.ID)
			s, err := e.Server(c.set.Zones)
			if heard := c.set.Feed != nil && known.State != choice.Ready; listed && err == nil && !heard && handover.Applies(known, s) {
				drainedOrRemoved = append(drainedOrRemoved, e)
			}
		}
		switch {
		case len(drainedOrRemoved) == 0:
		case c.set.Feed != nil:
			c.set.Feed.EndedElsewhere(ctx, drainedOrRemoved)
		default:
			c.applyEntries(discovery.List{Version: c.list.Version, Servers: drainedOrRemoved})
		}
		return true
	})
}

// maxAnnouncedIDs is the number of ids that are announced in one update.
const maxAnnouncedIDs = 256

// announce collects the id of a call that has arrived, for the other processes of this agent.
func (c *Core) announce(call *Call) {
	if len(c.subscribers) == 0 {
		return
	}
	if id, harmful := c.tracker.AnnouncedID(call); harmful {
		c.announced = append(c.announced, id)
	}
}

// flushAnnounced sends the collected ids once no further events wait, or there are many.
func (c *Core) flushAnnounced() {
	if len(c.announced) > 0 && (len(c.events) == 0 || len(c.announced) >= maxAnnouncedIDs) {
		c.notifySubscribers(handover.Update{IDs: slices.Clone(c.announced)}, nil)
		c.announced = c.announced[:0]
	}
}

// notifySubscribers sends an update to the other processes, except the one that it came from, if any.
func (c *Core) notifySubscribers(u handover.Update, from *Subscriber) {
	for sub := range c.subscribers {
		if sub != from {
			sub.notify(u)
		}
	}
}

// recordList updates the current list, and notifies other processes of the servers that the change drains or removes.
func (c *Core) recordList(l discovery.List) {
	if c.set.OpsEnabled { // without an operations address there is never another process
		c.notifyEnded(c.list.Apply(l))
	}
}

// notifyEnded notifies other processes of servers that drain or were removed.
func (c *Core) notifyEnded(ended []discovery.Entry) {
	if len(ended) == 0 || len(c.subscribers) == 0 {
		return
	}
	if text, err := json.Marshal(ended); err == nil {
		c.notifySubscribers(handover.Update{Ended: text}, nil)
	}
}
