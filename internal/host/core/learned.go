package core

import (
	"context"
	"time"

	"ternbeam/internal/decide/aging"
	"ternbeam/internal/decide/calltrack"
	"ternbeam/internal/decide/learned"
	"ternbeam/internal/decide/writepolicy"
)

// importPeriod is how long after the start servers that enter the list are looked up in the stored state.
const importPeriod = 10 * time.Minute

// LoadStored hands the event loop what an earlier process had learned and stored. It is called before clients connect.
func (c *Core) LoadStored(past *aging.Restored, clock func() learned.Clock) {
	c.post(func() {
		c.tracker.LoadStored(past)
		c.learnedClock = clock
		c.importNewlyListed()
		time.AfterFunc(importPeriod, func() { c.post(c.tracker.DropStored) })
	})
}

// importNewlyListed gives the decision module what was learned earlier about servers that have just entered the list, and the pool
// the addresses of these servers that connected.
func (c *Core) importNewlyListed() {
	if c.learnedClock == nil {
		return
	}
	n, addrs := c.tracker.ImportNewlyListed(c.Now(), c.learnedClock())
	c.set.Pool.RestoreConnected(addrs)
	if n+len(addrs) > 0 {
		c.log.Info("learned: recalled", "servers", n, "addresses", len(addrs), "of", c.tracker.ServerCount())
	}
}

// View returns the decision module's count of what it has learned, the number of servers, and the load.
func (c *Core) View(ctx context.Context) (writepolicy.AgentState, error) {
	return query(ctx, c, func() writepolicy.AgentState {
		unanswered, _ := c.tracker.Count()
		load := 0.0
		if limit := c.set.MaxUnanswered; limit > 0 {
			load = float64(unanswered) / float64(limit)
		}
		return writepolicy.AgentState{Updates: c.tracker.Revision(), Servers: c.tracker.ServerCount(), Load: load}
	})
}

// Export copies what was learned into a value. The event loop owns that value until Export returns; after an error it may still be
// writing to it.
func (c *Core) Export(ctx context.Context, into *calltrack.Learned) (writepolicy.AgentState, error) {
	return query(ctx, c, func() writepolicy.AgentState {
		c.tracker.Export(c.Now(), into, c.set.Pool.LastConnected)
		return writepolicy.AgentState{Updates: c.tracker.Revision(), Servers: c.tracker.ServerCount()}
	})
}

// query runs a function on the event loop and returns its result. The loop never waits for the caller.
func query[T any](ctx context.Context, c *Core, run func() T) (result T, err error) {
	return queryOn(ctx, c.events, run)
}

func queryOn[T any](ctx context.Context, events chan<- func(), run func() T) (result T, err error) {
	results := make(chan T, 1)
	if err := postOn(ctx, events, func() { results <- run() }); err != nil {
		return result, err
	}
	select {
	case result = <-results:
		return result, nil
	case <-ctx.Done():
		return result, context.Cause(ctx)
	}
}

// postOn sends the event loop an event through one of its channels, unless the context ends first.
func postOn(ctx context.Context, events chan<- func(), event func()) error {
	select {
	case events <- event:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
