package core

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"ternbeam/choice"
	"ternbeam/internal/decide/calltrack"
)

// Limits on the log lines for requests. Suppressed lines are counted, and the next line reports the count.
const (
	requestLinesPerSecond = 10
	requestLinesBurst     = 40

	// During shutdown every request may matter.
	shutdownLinesPerSecond = 200
	shutdownLinesBurst     = 2000
)

// kindNames are the names of the kinds of final answers in the log.
var kindNames = [...]string{calltrack.Served: "served", calltrack.Refused: "refused", calltrack.Failed: "failed", calltrack.Duplicate: "duplicate",
	calltrack.Untranslatable: "not translatable"}

// requestLog logs how requests ended. It samples them, and skips those that were served by their first attempt. During shutdown it
// logs all of them, up to a higher limit. Only the event loop may use it.
type requestLog struct {
	log             *slog.Logger
	classes         []choice.Class
	normalLimiter   *rate.Limiter
	shutdownLimiter *rate.Limiter
	suppressed      int
	shutdownAt      time.Duration // when the process was asked to terminate, on the clock of the events; 0 before
}

func newRequestLog(log *slog.Logger, classes []choice.Class) *requestLog {
	return &requestLog{log: log, classes: classes, normalLimiter: rate.NewLimiter(requestLinesPerSecond, requestLinesBurst),
		shutdownLimiter: rate.NewLimiter(shutdownLinesPerSecond, shutdownLinesBurst)}
}

// observe logs the Record of a request that has just ended.
func (r *requestLog) observe(now time.Time, rec calltrack.Record) {
	limiter := r.normalLimiter
	if r.shutdownAt > 0 {
		limiter = r.shutdownLimiter
	} else if rec.ServedFirst() {
		return
	}
	if !limiter.AllowN(now, 1) {
		r.suppressed++
		return
	}
	outcome := kindNames[rec.Kind]
	if rec.Reason == calltrack.ReasonDisconnected {
		outcome = "disconnected"
	}
	fields := []any{"id", rec.ID, "class", r.class(rec.Class), "outcome", outcome, "reason", string(rec.Reason),
		"took", seconds(rec.Took), "deadline_in", seconds(rec.Remaining)}
	if len(rec.Attempts) > 0 {
		fields = append(fields, "attempts", attemptsText(rec.Attempts))
	}
	if c := rec.Connection; c.Requests > 0 {
		fields = append(fields, "conn_age", seconds(rec.Received-c.Opened), "conn_requests", c.Requests)
	}
	if r.shutdownAt > 0 {
		fields = append(fields, "taken_after_signal", seconds(rec.Received-r.shutdownAt))
	}
	if r.suppressed > 0 {
		fields = append(fields, "lines_suppressed", r.suppressed)
		r.suppressed = 0
	}
	r.log.Info("request", fields...)
}

func (r *requestLog) class(i int) string {
	if i < 0 || i >= len(r.classes) {
		return "unknown"
	}
	return r.classes[i].Name
}

// maxCauseBytes is how many bytes of an attempt's cause are logged: the text may contain data from the server.
const maxCauseBytes = 80

// attemptsText formats attempts as server, reason, result, start and end in seconds since the request was accepted, and the cause of the
// result if there is one.
func attemptsText(attempts []calltrack.AttemptRecord) string {
	var text strings.Builder
	for i, at := range attempts {
		if i > 0 {
			text.WriteString("; ")
		}
		if at.InFlight {
			fmt.Fprintf(&text, "%s %s open %s-", at.Server, at.Reason, seconds(at.Sent))
			continue
		}
		fmt.Fprintf(&text, "%s %s %s %s-%s", at.Server, at.Reason, at.Result, seconds(at.Sent), seconds(at.Ended))
		if at.Cause != nil {
			cause := at.Cause.Error()
			fmt.Fprintf(&text, " (%s)", cause[:min(len(cause), maxCauseBytes)])
		}
	}
	return text.String()
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.3f", d.Seconds()) }

// reasonsText formats the counts by reason, sorted by the names of the reasons.
func reasonsText(counts map[calltrack.Reason]int) string {
	parts := make([]string, 0, len(counts))
	for reason, n := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", reason, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

// resultsText formats the counts of attempts by result, omitting zero counts.
func resultsText(counts []int) string {
	var parts []string
	for result, n := range counts {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", choice.Result(result), n))
		}
	}
	return strings.Join(parts, ", ")
}
