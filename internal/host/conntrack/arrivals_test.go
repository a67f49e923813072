package conntrack

import (
	"testing"
	"time"
)

func TestArrivalLog(t *testing.T) {
	var log arrivalLog
	start := time.Now()
	after := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	if !log.earliest(1).IsZero() {
		t.Error("an arrival without a read")
	}
	log.record(10, after(0))
	log.record(20, after(0))
	log.record(30, after(1))
	for _, c := range []struct {
		position int64
		want     time.Time
	}{{1, after(0)}, {10, after(0)}, {20, after(0)}, {21, after(1)}, {30, after(1)}, {31, time.Time{}}} {
		if got := log.earliest(c.position); !got.Equal(c.want) {
			t.Errorf("position %d arrived at %v, want %v", c.position, got.Sub(start), c.want.Sub(start))
		}
	}
}

func TestArrivalLogIsBounded(t *testing.T) {
	var log arrivalLog
	start := time.Now()
	for i := range 3 * maxArrivals {
		log.record(int64(i+1), start.Add(time.Duration(i)*time.Second))
	}
	if len(log.entries) > maxArrivals {
		t.Errorf("%d entries", len(log.entries))
	}
	if got := log.earliest(1); !got.Equal(start) {
		t.Errorf("the first byte arrived %v later than it did", got.Sub(start))
	}
	if got := log.earliest(3 * maxArrivals); !got.Equal(start.Add((3*maxArrivals - 1) * time.Second)) {
		t.Errorf("the last byte arrived at %v", got.Sub(start))
	}
}
