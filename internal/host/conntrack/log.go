package conntrack

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"ternbeam/internal/sysio/socketio"
)

// How many lines of one kind are written: clients may leave by the thousand, and a system that is short of memory fails many calls.
const (
	countedLinesPerSecond = 1
	endLinesPerSecond     = 10 // of connections that the agent ends
)

// countedLog counts what happens to connections in one way, and logs some of it. It is safe for concurrent use.
type countedLog struct {
	log     *slog.Logger
	message string
	limiter *rate.Limiter
	total   *atomic.Int64
}

func newCountedLog(log *slog.Logger, message string, linesPerSecond int, total *atomic.Int64) *countedLog {
	return &countedLog{log: log, message: message, total: total, limiter: rate.NewLimiter(rate.Limit(linesPerSecond), linesPerSecond)}
}

// add counts, and logs attributes where a line may be written.
func (l *countedLog) add(level slog.Level, attributes func() []any) {
	total := l.total.Add(1)
	if l.limiter.Allow() {
		l.log.Log(context.Background(), level, l.message, append(attributes(), "in_all", total)...)
	}
}

// ended records a connection that ended, and how much had been received on it of what matters.
func (l *countedLog) ended(c *Conn, received int64) {
	l.add(slog.LevelInfo, func() []any {
		failure, cause := c.lastError()
		return []any{"received_bytes", received, "last_received", time.Since(c.lastReceived()).Round(time.Millisecond), "error", failure, "ended_for", cause.String()}
	})
}

// failed records a call that failed.
func (l *countedLog) failed(f socketio.Failure) {
	l.add(slog.LevelWarn, func() []any { return []any{"call", f.Call, "error", f.Err} })
}
