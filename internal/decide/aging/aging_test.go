package aging

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ternbeam/choice"
	"ternbeam/internal/decide/learned"
)

const day = 24 * time.Hour

// settings has another half-life for each kind of fact.
var settings = Settings{Capacity: 10 * time.Minute, Failing: 2 * time.Minute, Ejection: time.Minute, Latency: time.Hour, Traffic: 5 * time.Minute,
	ColdFailures: day, Address: time.Hour, ClampFactor: 4, MaxAge: 72 * time.Hour}

func clock(wall, boot time.Duration, id string) learned.Clock {
	return learned.Clock{Wall: wall, Boot: boot, BootID: id}
}

// A clock that stepped, and a file from the future, make no fact look fresh.
func TestSince(t *testing.T) {
	const now = 1000 * day
	unsure := clock(now-time.Hour, 0, "a")
	unsure.Unsure = time.Hour
	for name, c := range map[string]struct {
		then, now learned.Clock
		age       time.Duration
		known     bool
	}{
		"same boot":                       {clock(now, time.Hour, "a"), clock(now+time.Minute, time.Hour+time.Minute, "a"), time.Minute, true},
		"same boot, clock 1 h ahead":      {clock(now, time.Hour, "a"), clock(now+time.Hour+time.Minute, time.Hour+time.Minute, "a"), time.Minute, true},
		"same boot, clock 1 h back":       {clock(now, time.Hour, "a"), clock(now-time.Hour, time.Hour+time.Minute, "a"), time.Minute, true},
		"same boot, earlier":              {clock(now, time.Hour, "a"), clock(now, time.Minute, "a"), 0, false},
		"same boot, read a little before": {clock(now, time.Hour, "a"), clock(now, time.Hour-time.Millisecond, "a"), 0, true},
		"another boot":                    {clock(now, time.Hour, "a"), clock(now+time.Minute, time.Second, "b"), time.Minute, true},
		"another boot, clock 1 h ahead":   {clock(now, time.Hour, "a"), clock(now+time.Hour+time.Minute, time.Second, "b"), time.Hour + time.Minute, true},
		"another boot, clock 1 h back":    {clock(now, time.Hour, "a"), clock(now-time.Hour, time.Second, "b"), 0, false},
		"another boot, it stepped before": {unsure, clock(now, time.Second, "b"), 2 * time.Hour, true},
		"no boot known":                   {clock(now, 0, ""), clock(now+time.Minute, 0, ""), time.Minute, true},
		"never":                           {clock(0, 0, ""), clock(now, 0, ""), 0, false},
	} {
		if age, known := Since(c.then, c.now); known != c.known || known && age != c.age {
			t.Errorf("%s: %v, %t; want %v, %t", name, age, known, c.age, c.known)
		}
	}
}

// newFleet returns a stored fleet with capacities of 100, one server of 10, and one that fails and is ejected.
func newFleet(at learned.Clock, n int) (learned.State, []ListedServer) {
	var servers []learned.Server
	var ids []uint64
	var named []ListedServer
	for i := range n {
		s := choice.Server{ID: "s" + string(rune('a'+i)), Started: time.Duration(i) * time.Second, Weight: 1}
		l := ListedServer{ID: s.ID, Started: s.Started, Identity: learned.Identity(s, "127.0.0.1:1", false)}
		m := choice.ServerMemory{ID: s.ID, Started: s.Started, Rate: 100, Trust: 1, Use: 0.5}
		switch i {
		case 1:
			m.Rate = 10
		case 2:
			m.Failing, m.Ejected, m.Trial = 0.8, true, time.Second
		}
		servers = append(servers, learned.Server{ServerMemory: m, Addr: "127.0.0.1:1", Identity: l.Identity})
		ids, named = append(ids, l.Identity), append(named, l)
	}
	return learned.New(at, "n1", choice.Memory{Served: 100, Lost: 0.02, ColdBad: 0.5, ColdSeen: 20, Classes: []choice.ClassMemory{
		{Name: "check", Usual: 50 * time.Millisecond, Least: 10 * time.Millisecond, Trust: 1}}}, servers, ids, nil), named
}

// recallAfter returns what a new agent recalls of the fleet after some time, if its list is that of named.
func recallAfter(t *testing.T, age time.Duration, named func([]ListedServer) []ListedServer) choice.Memory {
	t.Helper()
	state, all := newFleet(clock(1000*day, time.Hour, "a"), 8)
	listed := named(all)
	m, _ := New(settings, state).Recall(clock(1000*day+age, time.Hour+age, "a"), listed, len(listed))
	return m
}

func unchanged(l []ListedServer) []ListedServer { return l }

func server(m choice.Memory, id string) (s choice.ServerMemory) {
	for _, s := range m.Servers {
		if s.ID == id {
			return s
		}
	}
	return s
}

// Each kind of fact has its half-life; capacities are clamped to a factor of the median; an ejection is restored with
// one trial, soon, and not at all when it is old.
func TestRecallDecaysByHalfLife(t *testing.T) {
	m := recallAfter(t, 0, unchanged)
	slow, failing := server(m, "sb"), server(m, "sc")
	if len(m.Servers) != 8 || server(m, "sa").Trust != 1 || slow.Rate != 100/settings.ClampFactor || !failing.Ejected || failing.Trial != time.Second ||
		failing.Failing != 0.8 || m.Served != 100 || m.Lost != 0.02 || m.ColdSeen != 20 || m.Classes[0].Trust != 1 {
		t.Errorf("at once: %+v", m)
	}
	m = recallAfter(t, 2*time.Minute, unchanged)
	if s := server(m, "sa"); math.Abs(s.Trust-math.Exp2(-0.2)) > 1e-9 || s.Reported != 2*time.Minute {
		t.Errorf("capacity after 2 min: %+v", s)
	}
	if s := server(m, "sc"); math.Abs(s.Failing-0.4) > 1e-9 || !s.Ejected || s.Trial != 250*time.Millisecond {
		t.Errorf("failing after 2 min: %+v", s)
	}
	if math.Abs(m.Lost-0.01) > 1e-9 {
		t.Errorf("losses after 2 min: %v", m.Lost)
	}
	if m = recallAfter(t, time.Hour, unchanged); math.Abs(m.Classes[0].Trust-0.5) > 1e-9 || m.Lost != 0 || server(m, "sc").Ejected || server(m, "sc").Failing != 0 {
		t.Errorf("after 1 h: %+v", m)
	}
	if m = recallAfter(t, day, unchanged); len(m.Servers) != 0 || math.Abs(m.ColdSeen-10) > 1e-9 || len(m.Classes) != 0 {
		t.Errorf("after a day: %+v", m)
	}
	if m = recallAfter(t, 4*day, unchanged); len(m.Servers) != 0 || m.ColdSeen != 0 || m.Served != 0 {
		t.Errorf("after 4 days: %+v", m)
	}
}

// Servers that are others by now have no remembered facts, and the more of them there are, the less everything counts.
func TestRecallAfterFleetChange(t *testing.T) {
	changeFrom := func(from int, change func(*ListedServer)) func([]ListedServer) []ListedServer {
		return func(l []ListedServer) []ListedServer {
			for i := from; i < len(l); i++ {
				change(&l[i])
			}
			return l
		}
	}
	restarted := func(l *ListedServer) { l.Started += time.Minute; l.Identity++ }
	moved := func(l *ListedServer) { l.Identity++ }
	renamed := func(l *ListedServer) { l.ID += "'"; l.Identity++ }
	for name, c := range map[string]struct {
		named   func([]ListedServer) []ListedServer
		servers int
		trust   float64
	}{
		"the same":             {unchanged, 8, 1},
		"all restarted":        {changeFrom(0, restarted), 0, 0},
		"all moved":            {changeFrom(0, moved), 0, 0},
		"all under other ids":  {changeFrom(0, renamed), 0, 0},
		"half restarted":       {changeFrom(4, restarted), 4, 4. / 12}, // 4 of 8 unchanged, 12 servers then and now
		"half under other ids": {changeFrom(4, renamed), 4, 4. / 12},
		"half removed":         {func(l []ListedServer) []ListedServer { return l[:4] }, 4, 0.5},
		"one restarted":        {changeFrom(7, restarted), 7, 7. / 9},
		"twice as many":        {func(l []ListedServer) []ListedServer { return append(l, make([]ListedServer, 8)...) }, 8, 0.5},
		"all but one replaced": {changeFrom(1, renamed), 0, 0},
	} {
		m := recallAfter(t, 0, c.named)
		if len(m.Servers) != c.servers || c.servers > 0 && math.Abs(server(m, "sa").Trust-c.trust) > 1e-9 {
			t.Errorf("%s: %d servers, trust %v", name, len(m.Servers), server(m, "sa").Trust)
		}
	}
}

// A list that is older than the stored state loses no facts: the list after it finds them; and none is returned twice.
func TestRecallFromSuccessiveLists(t *testing.T) {
	at := clock(1000*day, time.Hour, "a")
	state, current := newFleet(at, 8)
	p := New(settings, state)
	old := append([]ListedServer{}, current...)
	for i := range old {
		old[i].Identity++
	}
	if m, _ := p.Recall(at, old, 8); len(m.Servers) != 0 {
		t.Errorf("%+v", m)
	}
	if m, _ := p.Recall(at, current, 8); len(m.Servers) != 8 || p.Remaining() != 0 {
		t.Errorf("%d servers, %d remaining", len(m.Servers), p.Remaining())
	}
	if m, _ := p.Recall(at, current, 8); len(m.Servers) != 0 || len(m.Classes) != 0 {
		t.Errorf("returned twice: %+v", m)
	}
}

// For any state, older facts never have more weight, neither about servers nor shared.
func TestOlderFactsNeverHaveMoreWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		age := func(name string) time.Duration { return time.Duration(rapid.Int64Range(0, int64(5*day)).Draw(t, name)) }
		first := age("first")
		second := first + age("more")
		state, named := newFleet(clock(1000*day, time.Hour, "a"), 8)
		idle := age("reported")
		for i := range state.Buckets[0].Servers {
			state.Buckets[0].Servers[i].Reported = idle
		}
		recall := func(age time.Duration) choice.Memory {
			m, _ := New(settings, state).Recall(clock(0, time.Hour+age, "a"), named, 8)
			return m
		}
		younger, older := recall(first), recall(second)
		for _, l := range named {
			y, o := server(younger, l.ID), server(older, l.ID)
			if o.Trust > y.Trust || o.Failing > y.Failing || o.Ejected && !y.Ejected || o.Trial > y.Trial {
				t.Fatalf("%v: %+v, %v: %+v", first, y, second, o)
			}
		}
		if older.Served > younger.Served || older.Lost > younger.Lost || older.ColdSeen > younger.ColdSeen || len(older.Classes) > len(younger.Classes) {
			t.Fatalf("%v: %+v, %v: %+v", first, younger, second, older)
		}
	})
}

// The address that connected is remembered for two half-lives, for the same server only.
func TestConnectedAddressIsRemembered(t *testing.T) {
	for age, want := range map[time.Duration]int{0: 1, 2 * settings.Address: 1, 2*settings.Address + time.Second: 0} {
		state, named := newFleet(clock(1000*day, time.Hour, "a"), 8)
		state.Buckets[0].Servers[3].Worked = "[::1]:80"
		if _, connected := New(settings, state).Recall(clock(0, time.Hour+age, "a"), named, 8); len(connected) != want {
			t.Errorf("after %v: %q", age, connected)
		}
		named[3].Identity++
		if _, connected := New(settings, state).Recall(clock(0, time.Hour, "a"), named, 8); len(connected) != 0 {
			t.Errorf("for another server: %q", connected)
		}
	}
}
