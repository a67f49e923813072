package listcheck

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"ternbeam/choice"
)

// ready returns entries of ready servers.
func ready(ids ...string) (es []Entry) {
	for _, id := range ids {
		es = append(es, Entry{ID: id})
	}
	return es
}

func TestCheck(t *testing.T) {
	draining := Entry{ID: "a", State: choice.Draining, Started: 5}
	for name, c := range map[string]struct {
		before []List
		l      List
		want   Verdict
	}{
		"empty first list":                 {nil, List{Version: 1, Full: true}, Verdict{}},
		"empty after servers":              {[]List{{1, true, ready("a", "b")}}, List{Version: 2, Full: true}, Verdict{Reject: true, Reason: "a full list without a server, although 2 were known"}},
		"empty after all servers are gone": {[]List{{1, true, ready("a")}, {2, false, []Entry{{ID: "a", State: choice.Removed}}}}, List{Version: 3, Full: true}, Verdict{}},
		"an empty change":                  {[]List{{1, true, ready("a")}}, List{Version: 1}, Verdict{}},
		"back":                             {[]List{{7, true, ready("a")}}, List{3, true, ready("a")}, Verdict{Reject: true, Reason: "version 3 after version 7"}},
		"an older change":                  {[]List{{7, true, ready("a")}}, List{3, false, ready("b")}, Verdict{Reject: true, Reason: "a change to version 3 after version 7"}},
		"older, with a drain":              {[]List{{7, true, ready("a", "b")}}, List{3, true, []Entry{{ID: "b"}, draining}}, Verdict{Reject: true, Reason: "version 3 after version 7", Draining: []int{1}}},
		"an older change, with a drain and a removal": {[]List{{7, true, ready("a", "b")}}, List{3, false, []Entry{{ID: "b", State: choice.Removed}, draining}},
			Verdict{Reject: true, Reason: "a change to version 3 after version 7", Draining: []int{0, 1}}},
		"older, with a drain before the restart":   {[]List{{7, true, []Entry{{ID: "a", Started: 6}}}}, List{3, true, []Entry{draining}}, Verdict{Reject: true, Reason: "version 3 after version 7"}},
		"older, with a drain, then the newer list": {[]List{{7, true, ready("a")}, {3, true, []Entry{draining}}}, List{7, true, []Entry{{ID: "a"}}}, Verdict{}},
		"the fourth older list": {[]List{{7, true, append(ready("b"), draining)}, {3, true, ready("a")}, {3, true, ready("a")}, {3, true, ready("a")}},
			List{3, true, []Entry{{ID: "a", Started: 5}, {ID: "b"}}},
			Verdict{Reason: "version 3 after version 7, accepted as it is the 4th older list in a row", Draining: []int{0}}},
		"the fourth older list, server restarted since": {[]List{{7, true, []Entry{draining}}, {3, true, ready("a")}, {3, true, ready("a")}, {3, true, ready("a")}},
			List{3, true, []Entry{{ID: "a", Started: 6}}},
			Verdict{Reason: "version 3 after version 7, accepted as it is the 4th older list in a row"}},
		"drain undone by a newer list": {[]List{{7, true, []Entry{draining}}}, List{8, true, []Entry{{ID: "a", Started: 5}}}, Verdict{}},
		"twice": {nil, List{1, true, []Entry{{ID: "a"}, {ID: "a", State: choice.Draining}, {ID: "a"}}},
			Verdict{Reason: `server "a" is listed twice`, Skip: []int{0, 2}}},
		"listed twice, one entry restarted": {nil, List{1, true, []Entry{{ID: "a", Started: 2}, {ID: "a", State: choice.Draining, Started: 1}}},
			Verdict{Reason: `server "a" is listed twice`, Skip: []int{1}}},
		"too many servers": {nil, List{1, true, make([]Entry, MaxServers+1)}, Verdict{Reject: true, Reason: "50001 servers, at most 50000 are accepted"}},
	} {
		t.Run(name, func(t *testing.T) {
			k := New(UnknownVersion)
			for _, l := range c.before {
				k.Check(l)
			}
			if got := k.Check(c.l); fmt.Sprintf("%+v", got) != fmt.Sprintf("%+v", c.want) {
				t.Errorf("%+v, want %+v", got, c.want)
			}
		})
	}
}

// For random lists: of a rejected list only the drains are applied, and all those of servers that have not restarted since.
// Of an accepted list exactly one entry of each server is applied. A drain ends only by a list that is not older, a removal
// or a restart. The test keeps the applied state independently of the Checker.
func TestRandomLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := New(UnknownVersion)
		applied := map[string]Entry{}
		at := int64(UnknownVersion)
		for range rapid.IntRange(1, 30).Draw(t, "lists") {
			l := List{Version: rapid.Int64Range(0, 6).Draw(t, "version"), Full: rapid.Bool().Draw(t, "full")}
			for range rapid.IntRange(0, 5).Draw(t, "entries") {
				l.Entries = append(l.Entries, Entry{ID: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"),
					State:   rapid.SampledFrom([]choice.State{choice.Ready, choice.Draining, choice.Removed}).Draw(t, "state"),
					Started: rapid.Int64Range(0, 2).Draw(t, "started")})
			}
			v := k.Check(l)
			if v.Reject {
				if v.Reason == "" || k.Version() != at {
					t.Fatalf("rejected with reason %q, version %d, was %d", v.Reason, k.Version(), at)
				}
				for i, e := range l.Entries {
					b, ok := applied[e.ID]
					applies := e.State != choice.Ready && (!ok || b.State == choice.Ready && e.Started >= b.Started)
					if slices.Contains(v.Draining, i) != applies {
						t.Fatalf("rejected list: entry %d is to be applied as draining: got %t", i, !applies)
					}
					if applies {
						applied[e.ID] = Entry{ID: e.ID, State: choice.Draining, Started: e.Started}
					}
				}
				continue
			}
			older := at != UnknownVersion && l.Version < at
			at = l.Version
			next := map[string]Entry{}
			if !l.Full {
				for id, e := range applied {
					next[id] = e
				}
			}
			named := map[string]int{}
			for i, e := range l.Entries {
				if slices.Contains(v.Skip, i) {
					continue
				}
				if named[e.ID]++; named[e.ID] > 1 {
					t.Fatalf("%s is applied twice", e.ID)
				}
				if slices.Contains(v.Draining, i) {
					e.State = choice.Draining
				}
				if b, ok := applied[e.ID]; older && ok && b.State == choice.Draining && e.State == choice.Ready && e.Started <= b.Started {
					t.Fatalf("the drain of %s is lost", e.ID)
				}
				next[e.ID] = e
			}
			for _, e := range l.Entries {
				if named[e.ID] != 1 {
					t.Fatalf("%s is applied %d times", e.ID, named[e.ID])
				}
			}
			for id, e := range next {
				if e.State == choice.Removed {
					delete(next, id)
				}
			}
			if l.Full && len(l.Entries) == 0 && len(applied) > 0 {
				t.Fatal("an empty list removed all servers")
			}
			applied = next
		}
	})
}
