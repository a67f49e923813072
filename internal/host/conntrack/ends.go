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

// The causes. Those from EndedIdle on are the agent's own, on connections without a request: a request that is on its way then is not read.
const (
	NotEnded         EndCause = iota // by the agent, so far
	EndedByClient                    // it closed or reset the connection
	EndedWithRequest                 // behind the answer to a request, or without one, which has a line of its own in the log
	EndedIdle                        // nothing came on it for long after an answer
	EndedSilent                      // no request came on it whole in time
	EndedForRoom                     // other connections need its place
	EndedForShutdown                 // its listener ends
	endCauses
)

var endCauseNames = [endCauses]string{"", "client", "request", "idle", "silent", "room", "shutdown"}

// String returns the cause as the log has it.
func (c EndCause) String() string { return endCauseNames[c] }

// EndCounts counts ended connections by cause.
type EndCounts [endCauses]int

// String lists the causes that were seen.
func (n EndCounts) String() string {
	var seen []string
	for cause, count := range n {
		if count > 0 {
			seen = append(seen, fmt.Sprintf("%v %d", EndCause(cause), count))
		}
	}
	return strings.Join(seen, ", ")
}

// endCause is why a connection was closed.
func (v *entry) endCause() EndCause {
	failure, cause := v.conn.lastError()
	expired := errors.Is(failure, os.ErrDeadlineExceeded)
	switch {
	case expired && cause != NotEnded:
		return cause
	case v.in == nil:
		return EndedWithRequest
	case !expired:
		return EndedByClient
	case v.in == v.from.tracker.fresh:
		return EndedSilent
	}
	return EndedIdle
}

// recordEndLocked counts the end of a connection, and logs it where the agent itself ended it without a request.
func (t *Tracker) recordEndLocked(v *entry, cause EndCause) {
	t.stats.Ended[cause]++
	if v.in != nil && v.begun() {
		v.from.unfinished.ended(v.conn, v.conn.receivedBytes.Load()-v.read)
	}
	if cause < EndedIdle {
		return
	}
	v.from.endings.add(slog.LevelInfo, func() []any {
		return []any{"cause", cause.String(), "waited", time.Since(v.since).Round(time.Millisecond), "age", time.Since(v.opened).Round(time.Millisecond),
			"received_bytes", v.conn.ReceivedBytes()}
	})
}
