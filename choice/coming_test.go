package choice

import (
	"fmt"
	"testing"
	"time"
)

// A server is owed no answer to what is still coming: it is not ejected for that, and no jam is seen in it. Once the
// request is whole its time counts, and the deadline is the one that was told then.
func TestComingRequestsOweNothing(t *testing.T) {
	for _, coming := range []bool{true, false} {
		h := newBench(t, testSettings(), 1, 1)
		to := map[string]string{}
		for i := range 12 {
			id := fmt.Sprint("up", i)
			for _, a := range h.Handle(h.at, Request{ID: id, Class: 1, Deadline: h.at + time.Minute, Coming: coming}) {
				if a.Kind == Send {
					to[id] = a.Server
				}
			}
		}
		h.tick(20 * time.Second)
		if n := h.Ejected(); coming && n > 0 || h.jamNow() > shedFrom == coming {
			t.Errorf("coming %t: %d ejected, jam %v", coming, n, h.jamNow())
		}
		if !coming {
			continue
		}
		var set []Action
		for id := range to {
			set = append(set, h.Handle(h.at, Whole{Request: id, Deadline: h.at + time.Second})...)
		}
		if len(set) != len(to) || set[0].Kind != SetTimer || set[0].After != time.Second {
			t.Errorf("whole: %+v", set[0])
		}
		if again := h.Handle(h.at, Whole{Request: "up0", Deadline: h.at + time.Hour}); len(again) > 0 {
			t.Errorf("whole twice: %+v", again)
		}
		failed := 0
		for _, a := range h.tick(1100 * time.Millisecond) {
			if a.Kind == Fail {
				failed++
			}
		}
		for token := range h.timers { // those that are due by now
			for _, a := range h.Handle(h.at, TimerFired{Token: token}) {
				if a.Kind == Fail {
					failed++
				}
			}
		}
		if failed != len(to) {
			t.Errorf("%d of %d end at the deadline", failed, len(to))
		}
	}
}

// Ejected counts those that get nothing, and none while most seem ill.
func TestEjectedIsCounted(t *testing.T) {
	h := newBench(t, testSettings(), 1, 1, 1, 1)
	if n := h.Ejected(); n != 0 {
		t.Errorf("%d ejected at the start", n)
	}
	for i := 0; h.Ejected() == 0 && i < 1000; i++ {
		if id, to := h.ask(1); to != "s0" { // which takes them and answers none
			h.end(id, to, 0, OK, NoReport)
		}
		h.tick(20 * time.Millisecond)
	}
	if n := h.Ejected(); n != 1 {
		t.Errorf("%d ejected", n)
	}
	h.Handle(h.at, ServerList{Servers: []Server{{ID: "s0", State: Draining, Weight: 1}}})
	if n := h.Ejected(); n != 0 {
		t.Errorf("%d ejected where the one that was drains", n)
	}
}
