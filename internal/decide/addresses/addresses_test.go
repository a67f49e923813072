package addresses

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	unix = "unix:/run/forms.sock"
	six  = "[::1]:8000"
	four = "127.0.0.1:8000"
	name = "forms-07.example.org:8000"
)

func TestParse(t *testing.T) {
	for addr, want := range map[string]struct {
		kind            Kind
		network, target string
	}{unix: {Unix, "unix", "/run/forms.sock"}, six: {IPv6, "tcp", six}, four: {IPv4, "tcp", four}, name: {Hostname, "tcp", name},
		"[::ffff:127.0.0.1]:80": {IPv4, "tcp", "[::ffff:127.0.0.1]:80"}} {
		if k, n, to := Parse(addr); k != want.kind || n != want.network || to != want.target {
			t.Errorf("%s: %v %s %s", addr, k, n, to)
		}
	}
}

// The order: the address that connected last, then by kind, then those that failed recently, the one avoided for the shortest
// time first. No address is left out.
func TestSortedOrder(t *testing.T) {
	all := []string{name, four, six, unix}
	b := NewHistory(Defaults)
	at := func(when time.Duration, want ...string) {
		t.Helper()
		if got := b.Sorted(when, all); !slices.Equal(got, want) {
			t.Errorf("at %v: %q, want %q", when, got, want)
		}
	}
	at(0, unix, six, four, name)
	b.RecordSuccess(time.Second, four)
	at(time.Second, four, unix, six, name)
	b.RecordFailure(2*time.Second, four)
	at(2*time.Second, unix, six, name, four)
	at(3*time.Second, unix, six, four, name) // it was avoided for a second
	b.RecordFailure(3*time.Second, four)
	at(4900*time.Millisecond, unix, six, name, four) // now for two seconds
	b.RecordFailure(4*time.Second, unix)
	b.RecordFailure(4*time.Second, unix)
	at(4900*time.Millisecond, six, name, four, unix)
	for range 100 {
		b.RecordFailure(5*time.Second, unix)
	}
	at(5*time.Second+Defaults.MaxAvoid-1, six, four, name, unix)
	at(5*time.Second+Defaults.MaxAvoid, unix, six, four, name)
	b.RecordSuccess(2*time.Minute, name)
	at(2*time.Minute+Defaults.Remember-1, name, unix, six, four)
	at(2*time.Minute+Defaults.Remember, unix, six, four, name)
}

// The next address is dialed when the one before fails, or after the delay, but not while there is no room.
func TestRace(t *testing.T) {
	const delay = 250 * time.Millisecond
	begin := func() *Race { return NewHistory(Defaults).NewRace(0, []string{four, six, unix}) }
	start := func(r *Race, now time.Duration, room int, want ...string) {
		t.Helper()
		if got := r.Start(now, room); !slices.Equal(got, want) {
			t.Errorf("at %v with room for %d: %q, want %q", now, room, got, want)
		}
	}
	r := begin()
	start(r, 0, 9, unix)
	start(r, delay-1, 9)
	start(r, delay, 9, six)
	start(r, delay, 9)
	if !r.Connected(300*time.Millisecond, six) || r.Connected(301*time.Millisecond, unix) {
		t.Error("the first dial to connect did not win, or the second one did")
	}
	start(r, time.Hour, 9)

	r = begin()
	start(r, 0, 9, unix)
	if r.Failed(time.Millisecond, unix) {
		t.Error("race lost although two addresses are left")
	}
	start(r, time.Millisecond, 9, six) // at once
	r.Failed(2*time.Millisecond, six)
	start(r, 2*time.Millisecond, 9, four)
	if !r.Failed(3*time.Millisecond, four) {
		t.Error("race not lost although no address is left")
	}

	r = begin()
	start(r, 0, 0, unix)
	start(r, time.Hour, 0)
	start(r, time.Hour, 1, six)
	r.TimedOut(2 * time.Hour)
	start(r, 3*time.Hour, 9)
	if got := r.history.Sorted(2*time.Hour, []string{unix, six, four}); !slices.Equal(got, []string{four, unix, six}) {
		t.Errorf("addresses that did not connect in time are not last: %q", got)
	}
}

// For random outcomes: each address is dialed at most once, the first one at once, never more in parallel than there is room
// for, and there is at most one winner.
func TestRandomRaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewHistory(Defaults)
		all := []string{unix, six, four, name}[:rapid.IntRange(1, 4).Draw(t, "addresses")]
		now := time.Duration(0)
		for range 3 {
			r := b.NewRace(now, all)
			dialing, dialed := map[string]bool{}, map[string]bool{}
			wins, over := 0, false
			for range rapid.IntRange(0, 20).Draw(t, "steps") {
				room := rapid.IntRange(-1, 3).Draw(t, "room")
				before := len(dialing)
				for _, a := range r.Start(now, room) {
					if dialed[a] || over {
						t.Fatalf("%s is dialed twice, or after the end of the race", a)
					}
					dialed[a], dialing[a] = true, true
				}
				if len(dialing) > max(1, before, min(Defaults.MaxDials, 1+room)) {
					t.Fatalf("%d parallel dials with room for %d", len(dialing), room)
				}
				if len(dialed) == 0 {
					t.Fatal("the first address is not dialed at once")
				}
				for a := range dialing {
					switch rapid.IntRange(0, 3).Draw(t, "of "+a) {
					case 0:
						delete(dialing, a)
						if r.Connected(now, a) {
							wins++
							over = true
						}
					case 1:
						delete(dialing, a)
						lost := r.Failed(now, a)
						if lost != (!over && len(dialing) == 0 && len(dialed) == len(all)) {
							t.Fatalf("lost is %t with %d addresses being dialed and %d not tried", lost, len(dialing), len(all)-len(dialed))
						}
						over = over || lost
					}
				}
				now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pass"))
			}
			if wins > 1 {
				t.Fatalf("%d winners", wins)
			}
		}
		if got := b.Sorted(now, all); len(got) != len(all) {
			t.Fatalf("order is %q, want all of %q", got, all)
		}
	})
}
