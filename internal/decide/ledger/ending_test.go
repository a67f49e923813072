package ledger

import (
	"testing"
	"time"

	"ternbeam/choice"
)

// The end of the process binds open calls, their attempts, those that come later and those whose body ends later.
func TestEndBindsCallsAndAttempts(t *testing.T) {
	const by = 2 * time.Second
	l, _ := observed(scripted{"request": {{Kind: choice.Send, Request: "open", Server: "s-1"}}})
	open := &Call{Request: choice.Request{ID: "open", Deadline: time.Hour, Coming: true}}
	l.Arrived(0, open)
	bound := time.Duration(0)
	for _, o := range l.End(time.Second, by) {
		if o.Kind == Bound && o.Attempt.Call == open {
			bound = o.At
		}
	}
	if open.Deadline != by || bound != by {
		t.Errorf("deadline %v, its attempt is bound by %v", open.Deadline, bound)
	}
	l.Whole(time.Second, open, time.Minute)
	if open.Deadline != by {
		t.Errorf("deadline %v once its body is whole", open.Deadline)
	}
	later := &Call{Request: choice.Request{ID: "later", Deadline: time.Minute}}
	if l.Arrived(time.Second, later); later.Deadline != by {
		t.Errorf("deadline %v of a later one", later.Deadline)
	}
	if l.End(time.Second, by+time.Second); l.inTime(time.Minute) != by {
		t.Errorf("a later end moved it to %v", l.inTime(time.Minute))
	}
}
