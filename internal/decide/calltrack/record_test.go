package calltrack

import (
	"testing"
	"time"

	"ternbeam/choice"
)

// observed returns a Tracker whose module follows a script, and the Records that it produces.
func observed(script map[string][]choice.Action) (*Tracker, *[]Record) {
	var records []Record
	tracker := New(Settings{Classes: 1, MaxAttempts: 3, HasTransport: func(choice.Protocols) bool { return true },
		Observe: func(r Record) { records = append(records, r) }}, scripted(script))
	tracker.UpdateServers(0, true, []Entry{{Server: choice.Server{ID: "s-1"}, Addr: "127.0.0.1:1"}, {Server: choice.Server{ID: "s-2"}, Addr: "127.0.0.1:2"}})
	return tracker, &records
}

// scripted is a decision module that returns the actions listed for an event: "request", or for outcomes "first ended" and "second
// ended".
type scripted map[string][]choice.Action

func (scripted) Start(time.Duration) []choice.Action  { return nil }
func (scripted) Export(time.Duration, *choice.Memory) {}
func (scripted) Recall(time.Duration, choice.Memory)  {}
func (scripted) Revision() uint64                     { return 0 }
func (scripted) Ejected() int                         { return 0 }
func (scripted) TimerPending(uint64) bool             { return true }
func (s scripted) Handle(_ time.Duration, ev choice.Event) []choice.Action {
	switch e := ev.(type) {
	case choice.Request:
		return s["request"]
	case choice.Outcome:
		return s[map[int]string{0: "first ended", 1: "second ended"}[e.Attempt]]
	}
	return nil
}

func TestRecordOfARetry(t *testing.T) {
	tracker, records := observed(scripted{
		"request":      {{Kind: choice.Send, Request: "4f", Server: "s-1", Reason: choice.FirstAttempt}},
		"first ended":  {{Kind: choice.Send, Request: "4f", Server: "s-2", Reason: choice.Retry}},
		"second ended": {{Kind: choice.Fail, Request: "4f", Reason: choice.RetryBudgetEmpty}},
	})
	call := &Call{Request: choice.Request{ID: "4f", Deadline: 3 * time.Second}, Connection: Connection{Opened: time.Second, Requests: 2}}
	end := func(now time.Duration, commands []Command, r choice.Result) []Command {
		for _, o := range commands {
			if o.Kind == StartAttempt {
				return tracker.AttemptEnded(now, o.Attempt, ResultOnly(r))
			}
		}
		t.Fatalf("no attempt is started in %+v", commands)
		return nil
	}
	commands := tracker.CallArrived(time.Second, call)
	commands = end(1500*time.Millisecond, commands, choice.ConnectFailed)
	end(2*time.Second, commands, choice.Reset)
	if len(*records) != 1 {
		t.Fatalf("%d records", len(*records))
	}
	r := (*records)[0]
	if r.ID != "4f" || r.Kind != Failed || r.Reason != "retry budget empty" || r.Took != time.Second || r.Remaining != time.Second || r.Connection.Requests != 2 {
		t.Errorf("%+v", r)
	}
	want := []AttemptRecord{
		{Server: "s-1", Reason: choice.FirstAttempt, Ended: 500 * time.Millisecond, Result: choice.ConnectFailed},
		{Server: "s-2", Reason: choice.Retry, Sent: 500 * time.Millisecond, Ended: time.Second, Result: choice.Reset}}
	if len(r.Attempts) != 2 || r.Attempts[0] != want[0] || r.Attempts[1] != want[1] {
		t.Errorf("attempts %+v, want %+v", r.Attempts, want)
	}
	if n := tracker.ReasonCounts()["retry budget empty"]; n != 1 {
		t.Errorf("the reason was counted %d times", n)
	}
}

func TestRecordOfClientDisconnect(t *testing.T) {
	tracker, records := observed(scripted{"request": {{Kind: choice.Send, Request: "4f", Server: "s-1", Reason: choice.FirstAttempt}}})
	call := &Call{Request: choice.Request{ID: "4f", Deadline: 3 * time.Second}}
	tracker.CallArrived(time.Second, call)
	tracker.ClientDisconnected(2*time.Second, call)
	tracker.ClientDisconnected(2*time.Second, call)
	if len(*records) != 1 || (*records)[0].Reason != ReasonDisconnected || len((*records)[0].Attempts) != 1 || !(*records)[0].Attempts[0].InFlight {
		t.Errorf("%+v", *records)
	}
}

// The transport may notice that the client has disconnected before the front reports it. The call then ends as one whose client
// disconnected, whichever notification comes first, and is counted once.
func TestAttemptDetectsClientDisconnect(t *testing.T) {
	tracker, records := observed(scripted{
		"request":     {{Kind: choice.Send, Request: "4f", Server: "s-1", Reason: choice.FirstAttempt}},
		"first ended": {{Kind: choice.Refuse, Request: "4f", Reason: choice.AttemptNotSent}},
	})
	call := &Call{Request: choice.Request{ID: "4f", Deadline: 3 * time.Second}, PollDisconnected: func() bool { return true }}
	commands := tracker.CallArrived(0, call)
	if !call.PollFinished() {
		t.Fatal("the disconnect was not detected")
	}
	for _, o := range tracker.AttemptEnded(time.Second, commands[0].Attempt, ResultOnly(choice.NotSent)) {
		if o.Kind == Reply {
			t.Errorf("answered %+v", o.Answer)
		}
	}
	tracker.ClientDisconnected(time.Second, call)
	if s := tracker.Stats(); s.Disconnected != 1 || s.Refused != 0 || len(*records) != 1 || tracker.unanswered != 0 || len(tracker.calls) != 0 {
		t.Errorf("%+v, %d records, %d unanswered, %d held", s, len(*records), tracker.unanswered, len(tracker.calls))
	}
}

// A call that is refused before it arrives is recorded with the time that it waited, and that it had left.
func TestRefusedCallsAreRecordedWithTheirTimes(t *testing.T) {
	tracker, records := observed(nil)
	tracker.CountRefused(3*time.Second, 2*time.Second, &Call{Request: choice.Request{ID: "1", Deadline: 5 * time.Second}})
	if len(*records) != 1 {
		t.Fatalf("%d records", len(*records))
	}
	if r := (*records)[0]; r.Kind != Refused || r.Reason != ReasonNoMemory || r.Received != 2*time.Second || r.Took != time.Second || r.Remaining != 2*time.Second {
		t.Errorf("recorded: %+v", r)
	}
}
