package calltrack

import (
	"time"

	"ternbeam/choice"
)

// This file handles streamed calls: requests that are forwarded while they are received, and answers that are relayed while
// they are received.

// RequestComplete handles the last byte of a call that was received in parts (Request.BodyPending). The time of its attempts
// counts from now, and its deadline becomes the given one.
func (t *Tracker) RequestComplete(now time.Duration, call *Call, deadline time.Duration) []Command {
	t.startStep(now)
	if t.calls[call.ID] != call || !call.BodyPending || call.Finished() {
		return nil
	}
	deadline = t.clampDeadline(deadline)
	call.BodyPending, call.Deadline = false, deadline
	for _, at := range call.attempts {
		if at != nil {
			at.Sent, at.Deadline = now, min(at.Deadline, deadline)
			t.emit(Command{Kind: ShortenDeadline, Attempt: at, At: at.Deadline})
		}
	}
	t.handle(choice.BodyReceived{Request: call.ID, Deadline: deadline})
	return t.commands
}

// RelayStarted handles an answer that starts to be relayed while it is received. It becomes the call's final answer, even if
// the rest of it never arrives. If the call already has an answer or its client has disconnected, the reply is discarded.
func (t *Tracker) RelayStarted(now time.Duration, at *Attempt, e AttemptOutcome) []Command {
	t.startStep(now)
	call := at.Call
	if call.Finished() {
		t.emit(Command{Kind: DiscardReply, Reply: e.Reply})
		return t.commands
	}
	if e.Report != choice.NoReport {
		t.stats.Reports++
	}
	t.learnShape(at, e)
	call.relaying = at
	t.relaying++
	t.finish(call.ID, Answer{Kind: Served, Reply: e.Reply}, ReasonAnswered)
	t.handle(choice.Outcome{Request: call.ID, Attempt: at.Number, Server: at.Server.ID, Result: choice.OK, Took: now - at.Sent,
		Closed: true, Report: e.Report})
	return t.commands
}

// AnswerStarted handles an answer that has begun and may be long, or that then does not continue (stalled). Its attempt goes on.
func (t *Tracker) AnswerStarted(now time.Duration, at *Attempt, stalled bool) []Command {
	t.startStep(now)
	call := at.Call
	if t.calls[call.ID] == call && !call.Finished() {
		t.handle(choice.AnswerStarted{Request: call.ID, Attempt: at.Number, Stalled: stalled})
	}
	return t.commands
}

// IsRelaying reports whether the answer of this attempt is being relayed to the call's client.
func (t *Tracker) IsRelaying(call *Call, at *Attempt) bool { return call.relaying == at }

// relayEnded handles the end of a relayed answer; whole reports whether all of it was relayed.
func (t *Tracker) relayEnded(call *Call, whole bool) {
	kind := Served
	if !whole {
		kind = Failed
		t.observe(call, kind, ReasonBrokenOff)
	}
	call.relaying = nil
	t.relaying--
	t.countAnswer(call, kind)
}
