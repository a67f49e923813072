package choice

import (
	"fmt"
	"testing"
	"time"
)

// When a server answers nothing, as many of its attempts are canceled as the retry budget allows, and each
// of those requests is sent again. The others stay in flight, and none is refused because another one took
// the budget.
func TestCancelsAtSilentServerStayWithinRetryBudget(t *testing.T) {
	b, err := New(Settings{Balancers: 1, MaxAttempts: 3, CanCancel: true, Tick: time.Millisecond,
		Classes: []Class{{Name: "c", Effect: Safe, Aim: time.Second / 2, Deadline: time.Minute, Value: 1}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	b.Start(0)
	b.Handle(0, ServerList{Full: true, Servers: []Server{{ID: "silent"}}})
	const requests = 3 * maxRetryBudget
	for i := range requests {
		if len(sends(b.Handle(0, Request{ID: fmt.Sprint(i), Deadline: time.Minute}))) != 1 {
			t.Fatalf("request %d is not sent", i)
		}
	}
	b.Handle(0, ServerList{Servers: []Server{{ID: "well"}}})
	budget := int(b.retryBudget)
	var canceled []Action
	for now := time.Duration(0); len(canceled) == 0 && now < 10*time.Second; now += 50 * time.Millisecond {
		for _, a := range b.Handle(now, TimerFired{Token: tickToken}) {
			if a.Kind == Cancel {
				canceled = append(canceled, a)
			}
		}
	}
	if len(canceled) == 0 || len(canceled) > budget {
		t.Fatalf("%d of %d attempts are canceled, with a retry budget of %d", len(canceled), requests, budget)
	}
	for _, c := range canceled {
		again := b.Handle(b.now, Outcome{Request: c.Request, Attempt: c.Attempt, Server: "silent", Result: Canceled, Report: NoReport})
		if s := sends(again); len(s) != 1 || s[0].Server != "well" {
			t.Errorf("request %s: %+v", c.Request, again)
		}
	}
}
