package conntrack

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"time"
)

// EndCause is why a client's connection ended.
type EndCause int

// The causes. From EndedIdle on, the agent itself ended a connection that had no request: a request then in transit is never read.
const (
	NotEnded           EndCause = iota // the agent has not ended it so far
	EndedByClient                      // the client closed or reset the connection
	EndedDuringRequest                 // it had a request, answered or not; unanswered requests are logged separately
	EndedIdle                          // no data for too long after an answer
	EndedSilent                        // no complete first request in time
	EndedForRoom                       // its slot was needed for other connections
	EndedForShutdown                   // its listener was shutting down
	numEndCauses
)

var endCauseNames = [numEndCauses]string{"", "client", "request", "idle", "silent", "room", "shutdown"}

// String returns the name of the cause in the log.
func (c EndCause) String() string { return endCauseNames[c] }

// EndCounts counts ended connections by cause.
type EndCounts [numEndCauses]int

// String lists the causes whose count is not zero.
func (n EndCounts) String() string {
	var seen []string
	for cause, count := range n {
		if count > 0 {
			seen = append(seen, fmt.Sprintf("%v %d", EndCause(cause), count))
		}
	}
	return strings.Join(seen, ", ")
}

// endCause returns why a connection was closed.
func (e *entry) endCause() EndCause {
	cause, failure := e.conn.lastError()
	expired := errors.Is(failure, os.ErrDeadlineExceeded)
	switch {
	case expired && cause != NotEnded:
		return cause
	case e.queue == nil:
		return EndedDuringRequest
	case !expired:
		return EndedByClient
	case e.queue == e.listener.tracker.fresh:
		return EndedSilent
	}
	return EndedIdle
}

// recordEndLocked counts the end of a connection, and logs it if the agent itself ended a connection without a request.
func (t *Tracker) recordEndLocked(e *entry, cause EndCause) {
	t.stats.Ended[cause]++
	if e.queue != nil && e.requestBegun() {
		e.listener.unfinished.ended(e.conn, e.conn.receivedBytes.Load()-e.receivedBefore)
	}
	if cause < EndedIdle {
		return
	}
	e.listener.endings.add(slog.LevelInfo, func() []any {
		return []any{"cause", cause.String(), "waited", time.Since(e.queuedAt).Round(time.Millisecond), "age", time.Since(e.acceptedAt).Round(time.Millisecond),
			"received_bytes", e.conn.ReceivedBytes()}
	})
}
