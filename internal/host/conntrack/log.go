package conntrack

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"ternbeam/internal/sysio/socketio"
)

// Rate limits of log lines of one kind: thousands of clients may disconnect at once, and a system that is short of memory fails many calls.
const (
	countedLinesPerSecond = 1
	endLinesPerSecond     = 10 // for connections that the agent ends
)

// countedLog counts events of one kind on connections, and logs some of them. It is safe for concurrent use.
type countedLog struct {
	log     *slog.Logger
	message string
	limiter *rate.Limiter
	total   *atomic.Int64
}

func newCountedLog(log *slog.Logger, message string, linesPerSecond int, total *atomic.Int64) *countedLog {
	return &countedLog{log: log, message: message, total: total, limiter: rate.NewLimiter(rate.Limit(linesPerSecond), linesPerSecond)}
}

// add counts an event, and logs it with its attributes if the rate limit allows.
func (l *countedLog) add(level slog.Level, attributes func() []any) {
	total := l.total.Add(1)
	if l.limiter.Allow() {
		l.log.Log(context.Background(), level, l.message, append(attributes(), "in_all", total)...)
	}
}

// ended records a connection that ended, and how many bytes of the relevant data had been received on it.
func (l *countedLog) ended(c *Conn, received int64) {
	l.add(slog.LevelInfo, func() []any {
		cause, failure := c.lastError()
		return []any{"received_bytes", received, "last_received", time.Since(c.lastReceived()).Round(time.Millisecond), "error", failure, "ended_for", cause.String()}
	})
}

// failed records a system call that failed.
func (l *countedLog) failed(f socketio.Failure) {
	l.add(slog.LevelWarn, func() []any { return []any{"call", f.Call, "error", f.Err} })
}
