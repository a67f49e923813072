package relay

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func TestVerdicts(t *testing.T) {
	type piece struct {
		at    time.Duration
		bytes int
	}
	const long, short = 10 * time.Second, 600 * time.Millisecond
	for name, c := range map[string]struct {
		held   *HeldAnswer
		pieces []piece
		until  time.Duration
		due    Verdict
	}{
		"goes on":                            {NewHeldAnswer(0, long, 64, FirstAttempt), []piece{{100 * ms, 10}, {450 * ms, 10}}, MaxHold, Relay},
		"has stopped":                        {NewHeldAnswer(0, long, 64, FirstAttempt), []piece{{100 * ms, 10}, {200 * ms, 10}}, MaxHold, Replace},
		"has stopped, second attempt":        {NewHeldAnswer(0, long, 64, FurtherAttempt), []piece{{100 * ms, 10}, {200 * ms, 10}}, MaxHold, Relay},
		"nothing received":                   {NewHeldAnswer(0, long, 64, FirstAttempt), nil, HedgeDelay, Hedge},
		"nothing received, second attempt":   {NewHeldAnswer(0, long, 64, FurtherAttempt), nil, HedgeDelay, Hedge},
		"nothing received in 400 ms":         {NewHeldAnswer(0, 400*ms, 64, FirstAttempt), nil, 400 * ms, Replace},
		"has stopped, only attempt":          {NewHeldAnswer(0, long, 64, OnlyAttempt), []piece{{100 * ms, 10}, {200 * ms, 10}}, MaxHold, Hold},
		"goes on at half of a short time":    {NewHeldAnswer(0, short, 64, FirstAttempt), []piece{{200 * ms, 10}}, 300 * ms, Hold},
		"stopped at half of a short time":    {NewHeldAnswer(0, short, 64, FirstAttempt), []piece{{100 * ms, 10}}, 300 * ms, Replace},
		"a short time, second attempt":       {NewHeldAnswer(0, short, 64, FurtherAttempt), []piece{{100 * ms, 10}}, MaxHold, Relay},
		"deadline reached, second attempt":   {NewHeldAnswer(0, 400*ms, 64, FurtherAttempt), []piece{{100 * ms, 10}, {350 * ms, 10}}, 400 * ms, Replace},
		"no time left":                       {NewHeldAnswer(0, -long, 64, FirstAttempt), []piece{{0, 10}}, 0, Replace},
		"no time left, second attempt":       {NewHeldAnswer(0, -long, 64, FurtherAttempt), []piece{{0, 10}}, 0, Replace},
		"known to be long, stopped":          {NewHeldLong(0, long, 64), []piece{{0, 10}}, MaxHoldLong, Relay},
		"known to be long, nothing received": {NewHeldLong(0, long, 64), nil, HedgeDelay, Hedge},
		"known to be long, in 400 ms":        {NewHeldLong(0, 400*ms, 64), nil, 400*ms - RelayMargin, Relay},
		"known to be long, no deadline":      {NewHeldLong(ms, math.MaxInt64, 64), nil, ms + HedgeDelay, Hedge},
	} {
		t.Run(name, func(t *testing.T) {
			h := c.held
			for _, p := range c.pieces {
				if v := h.Received(p.at, p.bytes); v != Hold {
					t.Fatalf("%v after %v", v, p.at)
				}
			}
			if h.NextCheck() != c.until {
				t.Errorf("held until %v, want %v", h.NextCheck(), c.until)
			}
			if v := h.Check(h.NextCheck()); v != c.due {
				t.Errorf("verdict %v, want %v", v, c.due)
			}
		})
	}
	h := NewHeldAnswer(0, time.Second, 64, FirstAttempt)
	if h.Received(ms, 64) != Hold || h.Received(2*ms, 1) != Relay {
		t.Error("the limit on held bytes does not apply")
	}
}

// An answer that is still arriving at half of the client's time is held further, and relayed only if the client waits for longer
// than MaxHold.
func TestArrivingAnswerIsHeldPastHalfOfRemainingTime(t *testing.T) {
	for left, want := range map[time.Duration]Verdict{600 * ms: Relay, 500 * ms: Replace, 200 * ms: Replace} {
		h := NewHeldAnswer(0, left, 64, FirstAttempt)
		h.Received(left*2/5, 10)
		if v := h.Check(left / 2); v != Hold {
			t.Errorf("%v: %v at half of the time", left, v)
		}
		if most := min(MaxHold, left); h.NextCheck() != most {
			t.Errorf("%v: held until %v", left, h.NextCheck())
		}
		h.Received(h.NextCheck()-ms, 10)
		if v := h.Check(h.NextCheck()); v != want {
			t.Errorf("%v: %v at the end", left, v)
		}
	}
}

// Guards against long answers that are given up because their body starts late.
func TestLateBodyIsRelayed(t *testing.T) {
	const left = 2 * time.Second
	for name, h := range map[string]*HeldAnswer{"unknown length": NewHeldAnswer(0, left, 64, FirstAttempt), "second attempt": NewHeldAnswer(0, left, 64, FurtherAttempt),
		"known to be long": NewHeldLong(0, left, 64)} {
		end := left
		if name == "known to be long" { // it can't be replaced at the deadline
			end -= RelayMargin
			if late := NewHeldLong(0, left, 64); late.Check(HedgeDelay) != Hedge || late.NextCheck() != end || late.Check(end) != Relay {
				t.Errorf("%s: not relayed without a body at %v", name, end)
			}
		}
		for now := time.Duration(0); now < end; now += ms {
			want := Hold
			if now == HedgeDelay {
				want = Hedge
			}
			if v := h.Check(now); v != want {
				t.Fatalf("%s: %v after %v without a body, want %v", name, v, now, want)
			}
		}
		if v := h.Received(end-ms, 10); v != Hold {
			t.Errorf("%s: %v at the first bytes", name, v)
		}
		if v := h.Check(end - ms); v != Relay {
			t.Errorf("%s: %v after the first bytes", name, v)
		}
	}
}

// Guards against long answers of unknown length that are cut off, by a pause or at the client's deadline, while their servers are still
// sending them. They are relayed by MaxHold, and in time for the deadline.
func TestLongAnswersAreNeverGivenUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		left := time.Duration(rapid.Int64Range(int64(RelayMargin), int64(5*time.Second)).Draw(t, "left"))
		position := rapid.SampledFrom([]AttemptPosition{FirstAttempt, OnlyAttempt, FurtherAttempt}).Draw(t, "position")
		h := NewHeldAnswer(0, left, 64<<10, position)
		latest := min(MaxHold, left-RelayMargin)
		now := time.Duration(rapid.Int64Range(0, int64(min(latest, h.NextCheck()-1))).Draw(t, "first bytes"))
		if v := h.Check(now); v != Hold {
			t.Fatalf("verdict %v after %v without a body", v, now)
		}
		verdict := h.Received(now, LongAnswerBytes+1)
		for verdict == Hold {
			if verdict = h.Check(now); verdict == Hold {
				if h.NextCheck() <= now {
					t.Fatalf("next check at %v, at %v", h.NextCheck(), now)
				}
				now = h.NextCheck()
			}
		}
		if verdict != Relay || now > latest {
			t.Fatalf("verdict %v after %v of %v", verdict, now, left)
		}
	})
}

// Guards against a paused answer that is given up, or relayed too early, although no other attempt can follow.
func TestPausedAnswerOfOnlyAttemptIsRelayedAsItContinues(t *testing.T) {
	h := NewHeldAnswer(0, 2*time.Second, 64, OnlyAttempt)
	h.Received(100*ms, 10)
	if v := h.Check(MaxHold); v != Hold || h.NextCheck() != 2*time.Second {
		t.Errorf("%v in the pause, next check at %v", v, h.NextCheck())
	}
	h.Received(time.Second, 10)
	if h.NextCheck() > time.Second {
		t.Errorf("next check at %v, though the answer continues", h.NextCheck())
	}
	if v := h.Check(time.Second); v != Relay {
		t.Errorf("%v as it continues", v)
	}
}

// However an answer arrives, it is held no longer than MaxHold and the client's deadline, or than that deadline while its body has not
// started. It is not given up before that deadline while its body has not started, or if no other attempt can follow. It is relayed only
// before the client's deadline, and that of a first attempt only if it has not paused for longer than MaxPause.
func TestHoldIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		left := time.Duration(rapid.Int64Range(-int64(time.Second), int64(20*time.Second)).Draw(t, "left"))
		position := rapid.SampledFrom([]AttemptPosition{FirstAttempt, OnlyAttempt, FurtherAttempt}).Draw(t, "position")
		most := min(MaxHold, max(left, 0))
		h, now, last, any := NewHeldAnswer(0, left, 1000, position), time.Duration(0), time.Duration(0), false
		verdict, hedged := h.Check(now), false
		for ; verdict == Hold || verdict == Hedge; verdict = h.Check(now) {
			if verdict == Hedge && (hedged || any || now < HedgeDelay) {
				t.Fatalf("hedged after %v, before that: %t", now, hedged)
			}
			hedged = hedged || verdict == Hedge
			if any && now > most || now > max(left, 0) {
				t.Fatalf("still held after %v", now)
			}
			next := now + time.Duration(rapid.Int64Range(1, int64(400*ms)).Draw(t, "pause"))
			if next >= h.NextCheck() {
				now = max(now, h.NextCheck())
				continue
			}
			now, last, any = next, next, true
			if h.Received(now, rapid.IntRange(1, 300).Draw(t, "bytes")) == Relay {
				return
			}
		}
		if verdict == Replace && (!any || position == OnlyAttempt) && now < left {
			t.Fatalf("given up after %v of %v", now, left)
		}
		if verdict == Relay && now >= left {
			t.Fatalf("relayed after %v of %v", now, left)
		}
		if verdict == Relay && position != FurtherAttempt && now-last > MaxPause {
			t.Fatalf("relayed after a pause of %v", now-last)
		}
	})
}
