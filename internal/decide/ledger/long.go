package ledger

import (
	"time"

	"ternbeam/choice"
)

// Long calls: such as are sent on while they come, and answers that are passed on while they come.

// Whole says that the last byte of a call has come that was Coming. Its time counts from now.
func (l *Ledger) Whole(now time.Duration, call *Call, deadline time.Duration) []Order {
	l.begin(now)
	if l.calls[call.ID] != call || !call.Coming || call.Over() {
		return nil
	}
	deadline = l.inTime(deadline)
	call.Coming, call.Deadline = false, deadline
	for _, at := range call.attempts {
		if at != nil {
			at.Sent, at.End = now, min(at.End, deadline)
			l.order(Order{Kind: Bound, Attempt: at, At: at.End})
		}
	}
	l.handle(choice.Whole{Request: call.ID, Deadline: deadline})
	return l.orders
}

// Begun says that the answer of an attempt begins to be passed on: the client gets it as its final answer, whatever
// becomes of the rest. Where it has one already, or is gone, the reply is discarded.
func (l *Ledger) Begun(now time.Duration, at *Attempt, e Ending) []Order {
	l.begin(now)
	call := at.Call
	if call.Over() {
		l.order(Order{Kind: Discard, Reply: e.Reply})
		return l.orders
	}
	if e.Report != choice.NoReport {
		l.stats.Reports++
	}
	l.routed(at, e)
	call.passing = at
	l.passing++
	l.finish(call.ID, Answer{Kind: Served, Reply: e.Reply}, ReasonAnswered)
	l.handle(choice.Outcome{Request: call.ID, Attempt: at.Number, Server: at.Server.ID, Result: choice.OK, Took: now - at.Sent,
		Closed: true, Report: e.Report})
	return l.orders
}

// Passes reports whether a call's answer is being passed on, by an attempt.
func (l *Ledger) Passes(call *Call, at *Attempt) bool { return call.passing == at }

// passed ends the passing on of an answer.
func (l *Ledger) passed(call *Call, whole bool) {
	kind := Served
	if !whole {
		kind = Failed
		l.observe(call, kind, ReasonBrokenOff)
	}
	call.passing = nil
	l.passing--
	l.count(call, kind)
}
