package core

import (
	"context"
	"time"

	"ternbeam/internal/decide/calltrack"
	"ternbeam/internal/decide/handover"
)

// publishInterval is the maximum age of published figures, unless the process is suspended.
const publishInterval = 100 * time.Millisecond

// Figures are metrics for operators, all taken at one moment. They are immutable.
type Figures struct {
	Classes     []calltrack.ClassStats // by class, since the process started
	Outstanding int                    // unanswered calls, and those whose answer is being relayed
	Discovered  int                    // servers in the list
	Avoided     int                    // those of them that are ejected as unhealthy, or taken offline by operators
}

// Figures returns the latest published figures, and how many attempts were written completely so far. It does not block.
func (c *Core) Figures() (*Figures, int64) { return c.figures.Load(), c.forwards.Load() }

// publish publishes the current figures.
func (c *Core) publish() {
	unanswered, _ := c.tracker.Count()
	f := &Figures{Classes: c.tracker.Stats().Classes, Outstanding: unanswered + c.tracker.RelayingCount()}
	f.Discovered, f.Avoided = c.tracker.FleetCounts()
	c.publishedAt = c.Now()
	c.figures.Store(f)
}

// Offline takes a server out of service until Online is called. Once it returns, no new attempt is started at the server. known is
// false if there is no such server. An error means that ctx ended first.
func (c *Core) Offline(ctx context.Context, id string) (known bool, err error) {
	return c.applyOperatorChange(ctx, id, (*calltrack.Tracker).Offline, handover.Update{Offline: id})
}

// Online puts a server back into service.
func (c *Core) Online(ctx context.Context, id string) (known bool, err error) {
	return c.applyOperatorChange(ctx, id, (*calltrack.Tracker).Online, handover.Update{Online: id})
}

func (c *Core) applyOperatorChange(ctx context.Context, id string, change func(*calltrack.Tracker, time.Duration, string) ([]calltrack.Command, bool),
	update handover.Update) (known bool, err error) {
	return queryUrgent(ctx, c, func() bool {
		commands, known := change(c.tracker, c.Now(), id)
		c.execute(commands)
		if known {
			c.notifySubscribers(update, nil)
		}
		c.publish()
		return known
	})
}

// queryUrgent is like query, but does not wait behind queued calls.
func queryUrgent[T any](ctx context.Context, c *Core, run func() T) (T, error) {
	return queryOn(ctx, c.urgent, run)
}
