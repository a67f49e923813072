package discovery

import (
	"log/slog"
	"time"
)

// contactLog logs the end of each time in which discovery answered no call: how long nothing had come from it, and how many calls
// were made. It is not safe for concurrent use.
type contactLog struct {
	log        *slog.Logger
	last       time.Duration // when something last came from discovery
	latestCall time.Duration // when the latest call was made
	unanswered int           // calls since something came, the latest included
}

// called notes that a call is made.
func (c *contactLog) called(now time.Duration) {
	c.latestCall = now
	c.unanswered++
}

// answered notes that the latest call is answered.
func (c *contactLog) answered(now time.Duration) {
	if c.unanswered > 1 {
		c.log.Info("discovery answers again", "calls", c.unanswered, "nothing_came_for", now-c.last, "call_took", now-c.latestCall)
	}
	c.alive(now)
}

// alive notes that something has come.
func (c *contactLog) alive(now time.Duration) {
	c.last, c.unanswered = now, 0
}
