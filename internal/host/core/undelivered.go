package core

import (
	"log/slog"
	"sync/atomic"

	"golang.org/x/time/rate"

	"ternbeam/internal/decide/calltrack"
)

// undeliveredLog counts and logs final answers that were not delivered completely. It is safe for concurrent use.
type undeliveredLog struct {
	log     *slog.Logger
	limiter *rate.Limiter
	count   atomic.Int64
}

func newUndeliveredLog(log *slog.Logger) *undeliveredLog {
	return &undeliveredLog{log: log, limiter: rate.NewLimiter(requestLinesPerSecond, requestLinesBurst)}
}

// RecordUndelivered records that the final answer to a call did not reach its client completely, at which stage and why. Usually
// the client has disconnected. It is safe for concurrent use.
func (c *Core) RecordUndelivered(call *Call, kind calltrack.AnswerKind, stage string, cause error) {
	c.undelivered.count.Add(1)
	if !c.undelivered.limiter.Allow() {
		return
	}
	c.log.Warn("answer not delivered", "id", call.ID, "class", c.requests.class(call.Class), "outcome", kindNames[kind], "stage", stage, "error", cause,
		"disconnected", call.PollDisconnected != nil && call.PollDisconnected(), "conn_requests", call.Connection.Requests)
}
