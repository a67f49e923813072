package core

import (
	"context"
	"time"

	"ternbeam/internal/decide/ledger"
	"ternbeam/internal/decide/succession"
)

// publishEvery is how old figures may get, but for what the machine itself stands still.
const publishEvery = 100 * time.Millisecond

// Figures are what those who run the agent are told, as of one moment. Nobody changes them.
type Figures struct {
	Classes     []ledger.ClassStats // by class, of the process
	Outstanding int                 // calls taken and not ended
	Discovered  int                 // servers in the list
	Ejected     int                 // of them, those that are avoided
}

// Figures returns the latest figures, and how many attempts were written whole so far. It waits for nothing.
func (c *Core) Figures() (*Figures, int64) { return c.figures.Load(), c.forwards.Load() }

// publish publishes the figures of now.
func (c *Core) publish() {
	open, _ := c.ledger.Count()
	f := &Figures{Classes: c.ledger.Stats().Classes, Outstanding: open + c.ledger.Passing()}
	f.Discovered, f.Ejected = c.ledger.Fleet()
	c.published = c.Now()
	c.figures.Store(f)
}

// Offline takes a server out, until Online. From when it returns nothing new is begun there. It is false for one that
// nobody knows.
func (c *Core) Offline(ctx context.Context, id string) (known bool, err error) {
	return c.steer(ctx, id, (*ledger.Ledger).Offline, succession.News{Offline: id})
}

// Online puts a server back.
func (c *Core) Online(ctx context.Context, id string) (known bool, err error) {
	return c.steer(ctx, id, (*ledger.Ledger).Online, succession.News{Online: id})
}

func (c *Core) steer(ctx context.Context, id string, how func(*ledger.Ledger, time.Duration, string) ([]ledger.Order, bool),
	news succession.News) (known bool, err error) {
	return demand(ctx, c, func() bool {
		orders, known := how(c.ledger, c.Now(), id)
		c.do(orders)
		if known {
			c.tell(news, nil)
		}
		c.publish()
		return known
	})
}

// demand is ask for what waits for no queue of calls.
func demand[T any](ctx context.Context, c *Core, question func() T) (T, error) {
	return askOn(ctx, c.urgent, question)
}
