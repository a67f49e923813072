package core

import (
	"testing"
	"time"
)

// Guards against memory that grows with each refused request whose deadline is far away, as that of a long body is.
func TestTimersWithoutEffectAreDropped(t *testing.T) {
	const set, kept = 100_000, 700
	var all timers
	pending := func(token uint64) bool { return token%(set/kept) == 0 }
	for token := range uint64(set) {
		all.set(time.Duration(set-token), token, pending)
		if most := 2*kept + minPrunedTimers; all.count() > most {
			t.Fatalf("%d timers, %d of them without effect are allowed", all.count(), most-kept)
		}
	}
	fired, last := 0, time.Duration(0)
	for {
		at, any := all.earliest()
		token, expired := all.next(set)
		if !any || !expired {
			break
		}
		if at < last || at != time.Duration(set-token) {
			t.Fatalf("timer %d at %d, after %d", token, at, last)
		}
		if last = at; pending(token) {
			fired++
		}
	}
	if want := (set-1)/(set/kept) + 1; fired != want {
		t.Errorf("%d timers with an effect fired, want %d", fired, want)
	}
}
