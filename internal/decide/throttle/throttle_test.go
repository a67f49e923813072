package throttle

import (
	"testing"
	"time"
)

// sustained returns how many answers each of a number of connections gets in a second if all send at full speed.
func sustained(t *Throttle, connections int) float64 {
	const seconds = 10
	return float64(answersWithin(t, connections, seconds*time.Second)) / seconds / float64(connections)
}

// answersWithin returns how many answers a number of connections get in a time if all send at full speed.
func answersWithin(t *Throttle, connections int, d time.Duration) (answers int) {
	const answersPerMillisecond = 10 // of each connection, at full speed
	start := time.Unix(1000, 0)
	due, conns := make([]time.Time, connections), make([]Connection, connections)
	for i := range due {
		due[i] = start
	}
	for now := start; now.Before(start.Add(d)); now = now.Add(time.Millisecond) {
		for i := range due {
			for range answersPerMillisecond {
				if due[i].After(now) {
					break
				}
				answers++
				due[i] = now.Add(t.Rest(&conns[i], now, true))
			}
		}
	}
	return answers
}

func TestFloodsAreSlowedDown(t *testing.T) {
	if rate := sustained(New(1), 1); rate > 1.1*answersPerSecond || rate < answersPerSecond {
		t.Errorf("one connection has %.0f answers a second", rate)
	}
	const many = 400
	if rate := sustained(New(0.25), many) * many; rate > 3*many*float64(time.Second)/float64(MaxRest) {
		t.Errorf("%d connections have %.0f answers a second", many, rate)
	}
}

// Many connections that each send some requests at once have no more answers than the shared rate, and one for each rest.
func TestCrowdsAreSlowedDownFromTheirFirstRequests(t *testing.T) {
	const many, cores, span = 400, 0.25, time.Second
	most := many + many*int(span/MaxRest) + int(sharedAnswersPerCore*cores*span.Seconds())
	if answers := answersWithin(New(cores), many, span); answers > most {
		t.Errorf("%d connections have %d answers in %v, and not %d at most", many, answers, span, most)
	}
}

// A client that sends some requests at once rests for them only while others flood, and not for longer than the maximum.
func TestSomeRequestsAtOnceRestOnlyBesideFloods(t *testing.T) {
	all, some, now := New(0.25), Connection{}, time.Unix(1000, 0)
	for range freeAnswers {
		if d := all.Rest(&some, now, true); d != 0 {
			t.Fatalf("alone: %v", d)
		}
	}
	var flooding [100]Connection
	for i := range flooding {
		for range 100 {
			all.Rest(&flooding[i], now, true)
		}
	}
	var other Connection
	for range freeAnswers {
		if d := all.Rest(&other, now, true); d <= 0 || d > MaxRest {
			t.Fatalf("beside a flood: %v", d)
		}
	}
}

// Some requests that can't be read are answered at once; many wait, and none for longer than the maximum.
func TestUnsoundRequestsWait(t *testing.T) {
	all, now := New(0.25), time.Unix(1000, 0)
	for range freeUnsound {
		if d := all.Unsound(now); d != 0 {
			t.Fatalf("one of some waits for %v", d)
		}
	}
	longest := time.Duration(0)
	for range 10_000 {
		longest = max(longest, all.Unsound(now))
	}
	if longest != MaxUnsoundWait {
		t.Errorf("the longest wait is %v", longest)
	}
	if d := all.Unsound(now.Add(2 * time.Second)); d != 0 {
		t.Errorf("after a pause: %v", d)
	}
}

// Clients that pause between requests, or send some at once, do not rest, whatever others do.
func TestUsualClientsDoNotRest(t *testing.T) {
	all, flooding, usual := New(0.25), Connection{}, Connection{}
	now := time.Unix(1000, 0)
	for range 10_000 {
		all.Rest(&flooding, now, true)
	}
	for range freeAnswers {
		if d := all.Rest(&usual, now, false); d != 0 {
			t.Fatalf("some requests at once: %v", d)
		}
	}
	for range 1000 {
		now = now.Add(time.Second / answersPerSecond)
		if d := all.Rest(&usual, now, false); d != 0 {
			t.Fatalf("with pauses: %v", d)
		}
	}
}

// A flood makes others rest no longer than MaxRest after it has ended.
func TestRestsEndWithTheFlood(t *testing.T) {
	all, now := New(0.25), time.Unix(1000, 0)
	flooding := make([]Connection, 400)
	for i := range flooding {
		for range 2 * freeAnswers {
			all.Rest(&flooding[i], now, true)
		}
	}
	now = now.Add(MaxRest + 2*time.Millisecond)
	next := Connection{paidUntil: now.Add(freeAnswers * time.Second / answersPerSecond)}
	if own, rest := time.Second/answersPerSecond, all.Rest(&next, now, false); rest != own {
		t.Errorf("a connection that is one answer ahead rests for %v, not %v", rest, own)
	}
}
