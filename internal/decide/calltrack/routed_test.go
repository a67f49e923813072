package calltrack

import (
	"testing"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/routes"
)

// sender is a decision module that sends every call to the server that its key names.
type sender struct{ Module }

func (sender) Handle(_ time.Duration, ev choice.Event) []choice.Action {
	if r, ok := ev.(choice.Request); ok {
		return []choice.Action{{Kind: choice.Send, Request: r.ID, Server: r.Key}}
	}
	return nil
}

// However often servers reject a shape, each time at which a rejection expires has one timer in effect, and a timer that was
// superseded by an earlier one sets no further timers.
func TestRouteTimersDoNotAccumulate(t *testing.T) {
	tab := routes.NewTable([]routes.Shape{{Name: "one", Version: "a/1", Speaks: 1}})
	r, err := routes.New(routes.Settings{RejectionTTL: time.Second, MaxRejectionTTL: time.Minute}, tab)
	if err != nil {
		t.Fatal(err)
	}
	tracker := New(Settings{MaxAttempts: 1, HasTransport: func(choice.Protocols) bool { return true }, Routes: r}, sender{})
	var entries []Entry
	for _, id := range []string{"a", "b", "c"} {
		entries = append(entries, Entry{Server: choice.Server{ID: id, Protocols: 1}, Addr: id, Shapes: []string{"a/1"}})
	}
	tracker.UpdateServers(0, true, entries)
	timers := func(commands []Command) (at []time.Duration) {
		for _, o := range commands {
			if o.Kind == SetTimer && o.Token == routesToken {
				at = append(at, o.At)
			}
		}
		return at
	}
	reject := func(now time.Duration, server string) []time.Duration {
		call := &Call{Request: choice.Request{ID: server + now.String(), Key: server, Deadline: now + time.Minute}, Shape: routes.CallShape{Table: tab, Protocol: 1}}
		for _, o := range tracker.CallArrived(now, call) {
			if o.Kind == StartAttempt {
				return timers(tracker.AttemptEnded(now, o.Attempt, AttemptOutcome{Result: choice.Rejected, Report: choice.NoReport, ShapeUnknown: true}))
			}
		}
		t.Fatalf("at %v no attempt was started at %s", now, server)
		return nil
	}
	fire := func(now time.Duration) []time.Duration { return timers(tracker.TimerFired(now, routesToken)) }
	const ms = time.Millisecond
	for i, c := range []struct {
		got  func() []time.Duration
		want time.Duration // the time of the one timer that is set; 0 for none
	}{
		{func() []time.Duration { return reject(0, "a") }, 1000 * ms},
		{func() []time.Duration { return fire(1000 * ms) }, 0},
		{func() []time.Duration { return reject(1000*ms, "a") }, 3000 * ms}, // the time for which a rejection counts doubles
		{func() []time.Duration { return reject(1500*ms, "b") }, 2500 * ms}, // earlier than the one that is set
		{func() []time.Duration { return fire(2500 * ms) }, 3000 * ms},      // set a second time for 3000
		{func() []time.Duration { return reject(2900*ms, "c") }, 0},         // would be 3900, after the one that is set
		{func() []time.Duration { return fire(3000 * ms) }, 3900 * ms},
		{func() []time.Duration { return fire(3000 * ms) }, 0}, // the superseded timer
		{func() []time.Duration { return fire(3900 * ms) }, 0},
	} {
		if got := c.got(); (c.want == 0) != (len(got) == 0) || len(got) > 1 || len(got) == 1 && got[0] != c.want {
			t.Errorf("step %d: timers at %v, want %v", i, got, c.want)
		}
	}
}
