package recentids

import (
	"fmt"
	"testing"
	"time"
)

func TestIDsAreRememberedForALimitedTime(t *testing.T) {
	var s Set
	h := HashOf("9b1f03aa5c7e2d41")
	if s.Contains(0, h) {
		t.Error("an empty set contains an id")
	}
	s.Add(time.Second, h)
	s.Add(2*time.Second, HashOf("another"))
	s.Add(3*time.Second, h) // again
	for at, want := range map[time.Duration]bool{3 * time.Second: true, 2*time.Second + Retention: true, 3*time.Second + Retention: false} {
		if got := s.Contains(at, h); got != want {
			t.Errorf("remembered at %v: %t", at, got)
		}
	}
	if all := s.Hashes(2*time.Second + Retention); len(all) != 1 || all[0] != h {
		t.Errorf("%v are remembered", all)
	}
}

func TestNumberOfIDsIsBounded(t *testing.T) {
	var s Set
	const count = 3 * MaxIDs
	for i := range count {
		s.Add(time.Duration(i), HashOf(fmt.Sprint(i)))
	}
	if n := len(s.Hashes(count)); n != MaxIDs || cap(s.order) > 4*MaxIDs {
		t.Errorf("%d ids, room for %d", n, cap(s.order))
	}
	if !s.Contains(count, HashOf(fmt.Sprint(count-1))) || s.Contains(count, HashOf("0")) {
		t.Error("the oldest are not those that are forgotten")
	}
}
