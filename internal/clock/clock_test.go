package clock

import (
	"testing"
	"time"
)

func TestNowIsUnixTimeAndRoundTrips(t *testing.T) {
	if off := time.Duration(time.Now().UnixNano()) - Now(); off.Abs() > time.Minute {
		t.Errorf("off by %v", off)
	}
	now := time.Now()
	if back := ToTime(FromTime(now)); !back.Equal(now) {
		t.Errorf("%v was converted to %v", now, back)
	}
}

// Differences and deadlines follow the monotonic clock, so a step of the wall clock does not change them.
func TestWallClockStepDoesNotAffectNow(t *testing.T) {
	before := time.Now()
	if later := FromTime(before.Add(time.Second)) - FromTime(before); later != time.Second {
		t.Errorf("a second became %v", later)
	}
	if until := time.Until(ToTime(Now() + time.Hour)); until > time.Hour || until < time.Hour-time.Second {
		t.Errorf("an hour became %v", until)
	}
}

func TestSteps(t *testing.T) {
	var s Steps
	for i, c := range []struct{ offset, want time.Duration }{
		{0, 0}, {10 * time.Millisecond, 0}, {time.Hour, time.Hour - 10*time.Millisecond}, {time.Hour, 0}, {-time.Second, -time.Hour - time.Second},
	} {
		if got := s.read(c.offset); got != c.want {
			t.Errorf("reading %d: %v, want %v", i, got, c.want)
		}
	}
	if got := new(Steps).Read(); got != 0 {
		t.Errorf("reported a step of %v", got)
	}
}
