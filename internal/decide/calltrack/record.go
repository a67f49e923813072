package calltrack

import (
	"time"

	"ternbeam/choice"
)

// Reason is why a request, that is a call, ended as it did. Reasons that the decision module gives have the names of choice.Reason.
type Reason string

// The reasons that do not come from the decision module.
const (
	ReasonDuplicateID    Reason = "duplicate id"
	ReasonRequestLimit   Reason = "request limit"
	ReasonDisconnected   Reason = "client disconnected"
	ReasonAnswered       Reason = "answered"
	ReasonUntranslatable Reason = "answer not translatable"
	ReasonBrokenOff      Reason = "answer broken off"
	ReasonNoMemory       Reason = "no memory"
)

// Connection describes the client's connection on which a request came.
type Connection struct {
	Opened   time.Duration // when the connection was accepted, on the clock of the events; 0 if unknown
	Requests int           // requests on the connection so far, including this one
}

// AttemptRecord describes one attempt of an ended request. Times count from when the request was received.
type AttemptRecord struct {
	Server      string
	Reason      choice.Reason // why the attempt was made
	Sent, Ended time.Duration // when it started and ended
	InFlight    bool          // it had not ended when the request did; Ended and Result are not set
	Result      choice.Result
	Cause       error // why it was not served; nil if unknown
}

// Record describes a request that has its final answer or whose client has disconnected.
type Record struct {
	ID         string
	Class      int
	Received   time.Duration // when the request was received, on the clock of the events
	Took       time.Duration // from then until its end
	Remaining  time.Duration // time that remained until its deadline; negative if that has passed
	Kind       AnswerKind    // of its final answer; not meaningful if Reason is ReasonDisconnected
	Reason     Reason
	Connection Connection
	Attempts   []AttemptRecord
}

// ServedFirst reports whether a request was served by its first attempt, which is the normal case and needs no log line.
func (r *Record) ServedFirst() bool { return r.Kind == Served && len(r.Attempts) == 0 }

// recordAttempt keeps an ended attempt for the request's Record. A first attempt that is served is not kept, as nearly all
// requests end that way.
func (t *Tracker) recordAttempt(at *Attempt, e AttemptOutcome) {
	if t.settings.Observe == nil || e.Result == choice.OK && at.Number == 0 {
		return
	}
	call := at.Call
	call.history = append(call.history, AttemptRecord{Server: at.Server.ID, Reason: at.Reason, Sent: at.Sent - call.receivedAt,
		Ended: t.now - call.receivedAt, Result: e.Result, Cause: e.Cause})
}

// recordUnsent keeps an attempt that the decision module ordered and that was not started.
func (t *Tracker) recordUnsent(call *Call, act choice.Action, result choice.Result) {
	if t.settings.Observe == nil {
		return
	}
	at := t.now - call.receivedAt
	call.history = append(call.history, AttemptRecord{Server: act.Server, Reason: act.Reason, Sent: at, Ended: at, Result: result})
}

// observe counts the end of a request and passes its Record to the host. It is called once for each request, and a second time
// if the answer breaks off while it is relayed: the request was observed as answered when the relaying started.
func (t *Tracker) observe(call *Call, kind AnswerKind, reason Reason) {
	if t.settings.Observe == nil {
		return
	}
	if reason != ReasonAnswered {
		t.reasonCounts[reason]++
	}
	r := Record{ID: call.ID, Class: call.Class, Received: call.receivedAt, Took: t.now - call.receivedAt, Remaining: call.Deadline - t.now, Kind: kind,
		Reason: reason, Connection: call.Connection, Attempts: call.history}
	for _, at := range call.attempts {
		if at != nil && (at.Number > 0 || kind != Served || len(r.Attempts) > 0) {
			r.Attempts = append(r.Attempts, AttemptRecord{Server: at.Server.ID, Reason: at.Reason, Sent: at.Sent - call.receivedAt, InFlight: true})
		}
	}
	t.settings.Observe(r)
}

// CountRefused counts a call that was received at the given time and refused before it arrived here, as there was no memory for it.
func (t *Tracker) CountRefused(now, received time.Duration, call *Call) {
	t.now, call.receivedAt = now, received
	t.stats.Requests++
	t.observe(call, Refused, ReasonNoMemory)
	t.countAnswer(call, Refused)
}

// ReasonCounts returns the number of ended requests by reason, except ReasonAnswered. The caller must not modify it.
func (t *Tracker) ReasonCounts() map[Reason]int { return t.reasonCounts }
