package core

import (
	"context"
	"time"

	"ternbeam/internal/decide/aging"
	"ternbeam/internal/decide/keeping"
	"ternbeam/internal/decide/learned"
	"ternbeam/internal/decide/ledger"
)

// rememberFor is how long servers that come into the list are looked for in the past.
const rememberFor = 10 * time.Minute

// Remember hands the loop what an earlier agent knew, before clients come.
func (c *Core) Remember(past *aging.Past, clock func() learned.Clock) {
	c.post(func() {
		c.ledger.Remember(past)
		c.clock = clock
		c.recall()
		time.AfterFunc(rememberFor, func() { c.post(c.ledger.Forget) })
	})
}

// recall tells the module what is remembered of servers that were named anew.
func (c *Core) recall() {
	if c.clock == nil {
		return
	}
	n, worked := c.ledger.Recall(c.Now(), c.clock())
	c.set.Pool.Remember(worked)
	if n+len(worked) > 0 {
		c.log.Info("learned: recalled", "servers", n, "addresses", len(worked), "of", c.ledger.ServerCount())
	}
}

// View asks the loop how much is new.
func (c *Core) View(ctx context.Context) (keeping.View, error) {
	return ask(ctx, c, func() keeping.View {
		open, _ := c.ledger.Count()
		load := 0.0
		if most := c.set.MostHeld; most > 0 {
			load = float64(open) / float64(most)
		}
		return keeping.View{News: c.ledger.News(), Servers: c.ledger.ServerCount(), Load: load}
	})
}

// Export asks the loop for what was learned. The value is the loop's until it is returned; after an error it may be still.
func (c *Core) Export(ctx context.Context, into *ledger.Learned) (keeping.View, error) {
	return ask(ctx, c, func() keeping.View {
		c.ledger.Export(c.Now(), into, c.set.Pool.Worked)
		return keeping.View{News: c.ledger.News(), Servers: c.ledger.ServerCount()}
	})
}

// ask has the loop answer a question; the loop never waits for who asked.
func ask[T any](ctx context.Context, c *Core, question func() T) (answer T, err error) {
	return askOn(ctx, c.events, question)
}

func askOn[T any](ctx context.Context, events chan<- func(), question func() T) (answer T, err error) {
	answers := make(chan T, 1)
	if err := postOn(ctx, events, func() { answers <- question() }); err != nil {
		return answer, err
	}
	select {
	case answer = <-answers:
		return answer, nil
	case <-ctx.Done():
		return answer, context.Cause(ctx)
	}
}

// postOn hands the loop an event by one of its channels, unless the context ends first.
func postOn(ctx context.Context, events chan<- func(), event func()) error {
	select {
	case events <- event:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
