package choice

import (
	"fmt"
	"testing"
	"time"
)

// A server need not answer a request whose body is still being received: it is not ejected for that, and no
// congestion is seen in it. Once the body is received the latency counts, and the deadline is the one given
// then.
func TestPendingBodyIsNotSilenceOrCongestion(t *testing.T) {
	for _, pending := range []bool{true, false} {
		h := newHarness(t, testSettings(), 1, 1)
		to := map[string]string{}
		for i := range 12 {
			id := fmt.Sprint("up", i)
			for _, a := range h.Handle(h.at, Request{ID: id, Class: 1, Deadline: h.at + time.Minute, BodyPending: pending}) {
				if a.Kind == Send {
					to[id] = a.Server
				}
			}
		}
		h.advance(20 * time.Second)
		if n := h.Ejected(); pending && n > 0 || h.currentCongestion() > shedThreshold == pending {
			t.Errorf("body pending %t: %d ejected, congestion %v", pending, n, h.currentCongestion())
		}
		if !pending {
			continue
		}
		var actions []Action
		for id := range to {
			actions = append(actions, h.Handle(h.at, BodyReceived{Request: id, Deadline: h.at + time.Second})...)
		}
		if len(actions) != len(to) || actions[0].Kind != SetTimer || actions[0].After != time.Second {
			t.Errorf("body received: %+v", actions[0])
		}
		if again := h.Handle(h.at, BodyReceived{Request: "up0", Deadline: h.at + time.Hour}); len(again) > 0 {
			t.Errorf("body received twice: %+v", again)
		}
		failed := 0
		for _, a := range h.advance(1100 * time.Millisecond) {
			if a.Kind == Fail {
				failed++
			}
		}
		for token := range h.timers { // those that have expired by now
			for _, a := range h.Handle(h.at, TimerFired{Token: token}) {
				if a.Kind == Fail {
					failed++
				}
			}
		}
		if failed != len(to) {
			t.Errorf("%d of %d requests ended at the deadline", failed, len(to))
		}
	}
}

// Ejected counts the servers that get no requests, and none while most seem unhealthy.
func TestEjectedCount(t *testing.T) {
	h := newHarness(t, testSettings(), 1, 1, 1, 1)
	if n := h.Ejected(); n != 0 {
		t.Errorf("%d ejected at the start", n)
	}
	for i := 0; h.Ejected() == 0 && i < 1000; i++ {
		if id, to := h.request(1); to != "s0" { // s0 receives requests and answers none
			h.endAttempt(id, to, 0, OK, NoReport)
		}
		h.advance(20 * time.Millisecond)
	}
	if n := h.Ejected(); n != 1 {
		t.Errorf("%d ejected", n)
	}
	h.Handle(h.at, ServerList{Servers: []Server{{ID: "s0", State: Draining, Weight: 1}}})
	if n := h.Ejected(); n != 0 {
		t.Errorf("%d ejected after the ejected server began to drain", n)
	}
}
