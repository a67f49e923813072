package calltrack

import (
	"testing"
	"time"

	"ternbeam/choice"
)

// A shutdown shortens the deadlines of unanswered calls, of their attempts, of later calls and of calls whose body ends later.
func TestShutdownShortensCallAndAttemptDeadlines(t *testing.T) {
	const by = 2 * time.Second
	tracker, _ := observed(scripted{"request": {{Kind: choice.Send, Request: "open", Server: "s-1"}}})
	open := &Call{Request: choice.Request{ID: "open", Deadline: time.Hour, BodyPending: true}}
	tracker.CallArrived(0, open)
	bound := time.Duration(0)
	for _, o := range tracker.Shutdown(time.Second, by) {
		if o.Kind == ShortenDeadline && o.Attempt.Call == open {
			bound = o.At
		}
	}
	if open.Deadline != by || bound != by {
		t.Errorf("deadline %v, its attempt ends at %v", open.Deadline, bound)
	}
	tracker.RequestComplete(time.Second, open, time.Minute)
	if open.Deadline != by {
		t.Errorf("deadline %v after its body was complete", open.Deadline)
	}
	later := &Call{Request: choice.Request{ID: "later", Deadline: time.Minute}}
	if tracker.CallArrived(time.Second, later); later.Deadline != by {
		t.Errorf("deadline %v of a later call", later.Deadline)
	}
	if tracker.Shutdown(time.Second, by+time.Second); tracker.clampDeadline(time.Minute) != by {
		t.Errorf("a later shutdown time moved the deadline to %v", tracker.clampDeadline(time.Minute))
	}
}
