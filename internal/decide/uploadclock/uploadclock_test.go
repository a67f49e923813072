package uploadclock

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const wait = 2 * time.Second

func TestExpiry(t *testing.T) {
	const s = time.Second
	type received struct {
		at      time.Duration
		bytes   int
		drained time.Duration
	}
	for name, c := range map[string]struct {
		length int64
		all    []received
		want   time.Duration // 0 for never
	}{
		"the server takes nothing":                       {1 << 20, nil, wait},
		"the server stops":                               {1 << 20, []received{{s, 1 << 16, s}}, s + wait},
		"the client is slower":                           {1 << 20, []received{{s, 1 << 16, s}, {4 * s, 1 << 16, 4 * s}}, 4*s + wait},
		"the server is slower":                           {1 << 20, []received{{s, 1 << 16, 0}, {4 * s, 1 << 16, 0}}, wait},
		"more is missing than buffers hold":              {32 << 20, []received{{s, 1 << 20, 0}}, 0},
		"long, the server is slower":                     {6 << 20, []received{{s, 1 << 20, 0}, {3 * s, 1 << 20, 0}, {4 * s, 1 << 20, 0}}, 3*s + wait},
		"unknown length, the server stops":               {-1, []received{{s, 1 << 16, s}}, s + wait},
		"unknown length, much received":                  {-1, []received{{s, 5 << 20, 0}, {2 * s, 5 << 20, 0}}, s + wait},
		"unknown length, the server is slower, less yet": {-1, []received{{s, 1 << 20, 0}, {2 * s, 1 << 20, 0}}, wait},
	} {
		t.Run(name, func(t *testing.T) {
			clock := New(0, c.length)
			for _, r := range c.all {
				clock.Received(r.at, r.bytes, r.drained)
			}
			if at, possible := clock.ExpiresAt(wait); possible != (c.want > 0) || at != c.want {
				t.Errorf("expires at %v (%t), want %v", at, possible, c.want)
			}
		})
	}
}

// The client's time is never taken to be over later than it is, for clients and servers of any speed.
func TestExpiryIsNotLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const step = 10 * time.Millisecond
		length := int64(rapid.IntRange(1, 12<<20).Draw(t, "length"))
		clientRate := rapid.IntRange(1<<12, 1<<20).Draw(t, "client")
		serverRate := rapid.IntRange(0, 1<<20).Draw(t, "server")
		buffers := int64(rapid.IntRange(1<<16, MaxUnread).Draw(t, "buffers"))
		told := length
		if rapid.Bool().Draw(t, "chunked") {
			told = -1
		}
		clock := New(0, told)
		written, read, drained, finished := int64(0), int64(0), time.Duration(0), time.Duration(-1)
		for now := step; now < time.Minute && read < length; now += step {
			written = min(written+int64(clientRate), length, read+buffers)
			if written == length && finished < 0 {
				finished = now
			}
			n := min(int64(serverRate), written-read)
			read += n
			clock.Received(now, int(n), drained)
			if read == written && read < length {
				drained = now
			}
			if at, possible := clock.ExpiresAt(wait); finished >= 0 && (!possible || at > finished+wait+step) {
				t.Fatalf("at %v the client's time ends at %v (%t), its last byte was written at %v", now, at, possible, finished)
			}
		}
	})
}
