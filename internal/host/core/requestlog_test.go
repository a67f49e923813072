package core

import (
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/calltrack"
)

// logged runs a request log and returns its lines.
func logged(t *testing.T, run func(r *requestLog)) []string {
	t.Helper()
	var text strings.Builder
	log := slog.New(slog.NewTextHandler(&text, nil))
	run(newRequestLog(log, []choice.Class{{Name: "form-check"}}))
	return strings.Split(strings.TrimSpace(text.String()), "\n")
}

func TestRequestLogNamesReasonAndAttempts(t *testing.T) {
	lines := logged(t, func(r *requestLog) {
		r.shutdownAt = 10 * time.Second
		r.observe(time.Now(), calltrack.Record{ID: "4f", Received: 11 * time.Second, Took: 2500 * time.Millisecond, Kind: calltrack.Failed,
			Reason: calltrack.Reason(choice.DeadlinePassed.String()), Connection: calltrack.Connection{Opened: 9 * time.Second, Requests: 3},
			Attempts: []calltrack.AttemptRecord{
				{Server: "s-1", Reason: choice.FirstAttempt, Result: choice.Reset, Ended: time.Second},
				{Server: "s-2", Reason: choice.Retry, Sent: time.Second, Ended: 2 * time.Second, Result: choice.Failed, Cause: errors.New("status 500")},
				{Server: "s-3", Reason: choice.Retry, Sent: 2 * time.Second, InFlight: true}}})
	})
	for _, want := range []string{"id=4f", "class=form-check", "outcome=failed", `reason="deadline passed"`, "took=2.500",
		`attempts="s-1 first reset 0.000-1.000; s-2 retry error 1.000-2.000 (status 500); s-3 retry open 2.000-"`, "conn_age=2.000", "conn_requests=3", "taken_after_signal=1.000"} {
		if !strings.Contains(lines[0], want) {
			t.Errorf("no %s in %s", want, lines[0])
		}
	}
}

// Thousands of failing requests cause a bounded number of log lines, and the next line reports how many were suppressed.
func TestRequestLogIsBounded(t *testing.T) {
	lines := logged(t, func(r *requestLog) {
		now := time.Now()
		for range 10_000 {
			r.observe(now, calltrack.Record{Kind: calltrack.Refused, Reason: "overloaded"})
			r.observe(now, calltrack.Record{Kind: calltrack.Served, Reason: calltrack.ReasonAnswered}) // not logged: served by its first attempt
		}
		r.observe(now.Add(time.Second), calltrack.Record{Kind: calltrack.Refused, Reason: "overloaded"})
	})
	if len(lines) != requestLinesBurst+1 {
		t.Errorf("%d lines", len(lines))
	}
	if want := "lines_suppressed=9960"; !strings.Contains(lines[len(lines)-1], want) {
		t.Errorf("no %s in %s", want, lines[len(lines)-1])
	}
}
