package calltrack

import (
	"fmt"
	"testing"
	"time"

	"ternbeam/choice"
)

// Guards against a call that runs in two groups, because a process that it was sent to was not the one that the list names.
func TestAttemptsAreSentWithinOneGroup(t *testing.T) {
	type step struct {
		attempt  int
		certain  bool
		neverRan bool // the attempt has ended, and never ran; else it begins
		want     GroupVerdict
	}
	for name, steps := range map[string][]step{
		"both are certain":                         {{0, true, false, GroupKept}, {1, true, false, GroupKept}},
		"the second is not":                        {{0, true, false, GroupKept}, {1, false, false, ProcessDoubtful}, {2, true, false, GroupKept}},
		"the first is not":                         {{0, false, false, GroupKept}, {1, true, false, GroupUnknown}},
		"the first is not, and never ran":          {{0, false, false, GroupKept}, {0, false, true, 0}, {1, false, false, GroupKept}},
		"a copy overtakes the first":               {{1, true, false, GroupKept}, {0, false, false, ProcessDoubtful}},
		"an uncertain copy overtakes the first":    {{1, false, false, GroupKept}, {0, true, false, GroupUnknown}},
		"one of two never ran, the other may have": {{0, true, false, GroupKept}, {1, true, false, GroupKept}, {1, true, true, 0}, {2, false, false, ProcessDoubtful}},
	} {
		t.Run(name, func(t *testing.T) {
			call := &Call{}
			for _, s := range steps {
				if s.neverRan {
					call.groupSends.ended(s.attempt, true)
				} else if got := (&Attempt{Call: call, Number: s.attempt}).BeginInGroup(s.certain); got != s.want {
					t.Errorf("attempt %d: %d, want %d", s.attempt, got, s.want)
				}
			}
		})
	}
}

// Guards against two listed servers at one address that each count as the process there: the older one may have died, and the list not say so yet.
func TestServersAtOneAddressAreMarked(t *testing.T) {
	const shared = 1<<63 - 1
	module, err := choice.New(choice.Settings{Tick: time.Millisecond, MaxAttempts: 1, Classes: []choice.Class{{Name: "c", Aim: time.Second, Deadline: time.Second, Value: 1}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	tracker := New(Settings{MaxAttempts: 1, HasTransport: func(choice.Protocols) bool { return true }}, module)
	entry := func(id, addr string, more ...string) Entry {
		return Entry{Server: choice.Server{ID: id, Weight: 1}, Addr: addr, Addrs: more}
	}
	gone := func(id string) Entry { return Entry{Server: choice.Server{ID: id, State: choice.Removed}} }
	draining := func(id, addr string) Entry {
		return Entry{Server: choice.Server{ID: id, State: choice.Draining}, Addr: addr}
	}
	for i, step := range []struct {
		full    bool
		entries []Entry
		want    map[string]int64
	}{
		{true, []Entry{entry("a", "1:1"), entry("b", "2:1"), entry("c", "3:1")}, map[string]int64{"a": 0, "b": 0, "c": 0}},
		{false, []Entry{entry("d", "1:1")}, map[string]int64{"a": shared, "d": shared, "b": 0}},
		{false, []Entry{gone("a")}, map[string]int64{"d": 3, "b": 0}},
		{false, []Entry{entry("e", "9:1", "9:1", "2:1")}, map[string]int64{"b": shared, "e": shared, "d": 3}},
		{false, []Entry{draining("e", "2:1")}, map[string]int64{"b": shared}},
		{true, []Entry{entry("b", "2:1"), entry("c", "3:1"), entry("d", "3:1")}, map[string]int64{"b": 6, "c": shared, "d": shared}},
		{false, []Entry{entry("d", "4:1")}, map[string]int64{"c": 7, "d": 0}},
	} {
		tracker.UpdateServers(time.Duration(i+1), step.full, step.entries)
		for id, want := range step.want {
			if s := tracker.Server(id); s == nil || int64(s.AddressLastSharedAt()) != want {
				t.Errorf("step %d: %s: %s, want %d", i+1, id, fmt.Sprintf("%+v", s), want)
			}
		}
	}
}
