package calltrack

import (
	"testing"
	"time"

	"ternbeam/choice"
)

// A client disconnects while its call is on its way to the tracker, so the two events may arrive in either order. In both, the call
// ends at once, nothing is sent for it, and the tracker keeps nothing of it.
func TestClientDisconnectsAsItsCallArrives(t *testing.T) {
	for name, cross := range map[string]func(tracker *Tracker, call *Call) []Command{
		"disconnect first": func(tracker *Tracker, call *Call) []Command {
			return append(tracker.ClientDisconnected(time.Hour, call), tracker.CallArrived(time.Hour, call)...)
		},
		"call first": func(tracker *Tracker, call *Call) []Command {
			return append(tracker.CallArrived(time.Hour, call), tracker.ClientDisconnected(time.Hour, call)...)
		},
	} {
		t.Run(name, func(t *testing.T) {
			module, err := choice.New(choice.Settings{Tick: time.Millisecond, MaxAttempts: 2, Classes: []choice.Class{
				{Name: "check", Aim: time.Second, Deadline: time.Second, Value: 1}}}, 1)
			if err != nil {
				t.Fatal(err)
			}
			tracker := New(Settings{MaxAttempts: 2, HasTransport: func(choice.Protocols) bool { return true }}, module)
			tracker.Start(time.Hour)
			tracker.UpdateServers(time.Hour, true, []Entry{{Server: choice.Server{ID: "s", Weight: 1}, Addr: "127.0.0.1:1"}})
			call := &Call{Request: choice.Request{ID: "a", Deadline: time.Hour + time.Second}}
			call.MarkDisconnected()
			for _, o := range cross(tracker, call) {
				if o.Kind == StartAttempt || o.Kind == Reply {
					t.Errorf("command of kind %d for a disconnected client", o.Kind)
				}
			}
			if unanswered, tracked := tracker.Count(); unanswered != 0 || tracked != 0 || tracker.Stats().Disconnected != 1 {
				t.Errorf("%d unanswered, %d held, %d disconnected", unanswered, tracked, tracker.Stats().Disconnected)
			}
		})
	}
}
