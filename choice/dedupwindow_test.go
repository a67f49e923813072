package choice

import (
	"testing"
	"time"
)

// A keyed request is sent again only while its server would still drop it, even if the send is delayed by
// as much as is allowed for.
func TestDedupWindowAllowsForSendDelay(t *testing.T) {
	const window, tick, stall = time.Second, 5 * time.Millisecond, 150 * time.Millisecond
	for _, c := range []struct {
		after time.Duration
		again bool
	}{{window - tick - stall - time.Millisecond, true}, {window - tick - stall, false}, {window - tick, false}} {
		b, err := New(Settings{Balancers: 1, MaxAttempts: 3, Tick: tick, MaxSendDelay: stall,
			Classes: []Class{{Name: "c", Effect: Keyed, DedupWindow: window, Aim: time.Second / 2, Deadline: time.Minute, Value: 1}}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		b.Start(0)
		b.Handle(0, ServerList{Full: true, Servers: []Server{{ID: "s-1"}, {ID: "s-2"}}})
		sent := sends(b.Handle(0, Request{ID: "a", Deadline: time.Minute}))
		if len(sent) != 1 {
			t.Fatalf("%d sends", len(sent))
		}
		again := sends(b.Handle(c.after, Outcome{Request: "a", Server: sent[0].Server, Result: Reset, Report: NoReport}))
		if (len(again) == 1) != c.again {
			t.Errorf("sent again %d times after %v", len(again), c.after)
		}
		if len(again) == 1 && c.after+again[0].SendWithin+stall+tick > window {
			t.Errorf("it may be written %v after the first, plus a delay of %v", c.after+again[0].SendWithin, stall)
		}
	}
}

func sends(actions []Action) (found []Action) {
	for _, a := range actions {
		if a.Kind == Send {
			found = append(found, a)
		}
	}
	return found
}
