package lifecycle

import (
	"testing"
	"time"
)

func TestReuseDelayGrowsWithSecondAnswers(t *testing.T) {
	const initial = 50 * time.Millisecond
	r := NewReuseDelay(initial)
	for _, c := range []struct {
		after, want time.Duration
		grown       bool
	}{
		{5 * time.Millisecond, initial, false},
		{20 * time.Millisecond, 80 * time.Millisecond, true},
		{15 * time.Millisecond, 80 * time.Millisecond, false}, // it does not shrink
		{maxSecondAnswerDelay, 80 * time.Millisecond, false},  // no second answer
		{maxSecondAnswerDelay - 1, 4*maxSecondAnswerDelay - 4, true},
	} {
		if delay, grown := r.RecordUnsolicited(c.after); delay != c.want || grown != c.grown {
			t.Errorf("data after %v: delay %v, grown %t, want %v, %t", c.after, delay, grown, c.want, c.grown)
		}
	}
	if left := r.Left(time.Second); left != 4*maxSecondAnswerDelay-4-time.Second {
		t.Errorf("%v left after a second", left)
	}
}
