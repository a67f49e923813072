package discovery

import (
	"log/slog"
	"sync"
	"time"

	"ternbeam/internal/clock"
)

// contactLog logs the end of each period in which discovery answered no call: how long nothing was received from it, and how many calls
// were made. It is safe for concurrent use.
type contactLog struct {
	log *slog.Logger

	mu          sync.Mutex
	lastContact time.Duration // when data was last received from discovery
	unanswered  int           // calls since then
}

func newContactLog(log *slog.Logger) *contactLog {
	return &contactLog{log: log, lastContact: clock.Now()}
}

// callStarted records the start of a call.
func (c *contactLog) callStarted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered++
}

// callAnswered records the answer to a call that was started at the given time.
func (c *contactLog) callAnswered(started time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	if c.unanswered > 1 {
		c.log.Info("discovery answers again", "calls", c.unanswered, "nothing_came_for", now-c.lastContact, "call_took", now-started)
	}
	c.lastContact, c.unanswered = now, 0
}

// dataReceived records that data was received.
func (c *contactLog) dataReceived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastContact, c.unanswered = clock.Now(), 0
}
