package discovery

import (
	"log/slog"
	"sync"
	"time"

	"ternbeam/internal/clock"
)

// contactLog logs the end of each time in which discovery answered no call: how long nothing had come from it, and how many calls
// were made. It is safe for concurrent use.
type contactLog struct {
	log *slog.Logger

	mu         sync.Mutex
	last       time.Duration // when something last came from discovery
	unanswered int           // calls since then
}

func newContactLog(log *slog.Logger) *contactLog { return &contactLog{log: log, last: clock.Now()} }

// called notes that a call is made.
func (c *contactLog) called() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered++
}

// answered notes that a call is answered which began at some time.
func (c *contactLog) answered(begun time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	if c.unanswered > 1 {
		c.log.Info("discovery answers again", "calls", c.unanswered, "nothing_came_for", now-c.last, "call_took", now-begun)
	}
	c.last, c.unanswered = now, 0
}

// alive notes that something has come.
func (c *contactLog) alive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last, c.unanswered = clock.Now(), 0
}
