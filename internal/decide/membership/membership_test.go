package membership

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ternbeam/choice"
	"ternbeam/internal/decide/calltrack"
	"ternbeam/internal/lab/testkit"
)

const (
	list = 0
	srv  = 1
	hold = time.Minute
)

// harness drives a Set with two sources, a list and SRV records, and keeps the merged list as an agent does.
type harness struct {
	*Set
	at        time.Duration
	published map[string]calltrack.Entry // the entries that are not gone, by id
}

func newHarness(edits ...func(*Settings)) *harness {
	set := Defaults
	set.Sources = []Source{{Name: "list", Hold: hold, RemoveAbsent: true, Guard: true}, {Name: "srv", Hold: hold, RemoveAbsent: true, Guard: true}}
	for _, edit := range edits {
		edit(&set)
	}
	return &harness{Set: New(set), at: 1000 * time.Hour, published: map[string]calltrack.Entry{}}
}

// record applies changes to the merged list and returns a copy of them.
func (b *harness) record(changes []calltrack.Entry) []calltrack.Entry {
	for _, e := range changes {
		if b.published[e.ID] = e; e.State == choice.Removed {
			delete(b.published, e.ID)
		}
	}
	return slices.Clone(changes)
}

// report passes in a report of a source.
func (b *harness) report(source int, full bool, version int64, claims ...Claim) []calltrack.Entry {
	return b.record(b.Report(b.at, Report{Source: source, Full: full, Version: version, Claims: claims}))
}

// advance lets time pass, with a Tick at each time that NextTimer returns and at the end.
func (b *harness) advance(d time.Duration) {
	end := b.at + d
	for next, any := b.NextTimer(); any && next <= end; next, any = b.NextTimer() {
		b.at = max(b.at, next)
		b.record(b.Tick(b.at))
	}
	b.at = end
	b.record(b.Tick(b.at))
}

// state returns a server's state in the merged list, or "" if it is not in it.
func (b *harness) state(id string) string {
	e, ok := b.published[id]
	if !ok {
		return ""
	}
	return [...]string{choice.Ready: "ready", choice.Draining: "draining"}[e.State]
}

// rule returns the rule that determined a server's state, or -1.
func (b *harness) rule(id string) Rule {
	for _, v := range b.Members() {
		if v.ID == id {
			return v.Rule
		}
	}
	return -1
}

// addr returns the address of server i.
func addr(i int) string { return fmt.Sprintf("127.0.0.1:%d", 8000+i) }

// listClaim returns the claim of the list about server i.
func listClaim(i int, edits ...func(*Claim)) Claim {
	c := Claim{Key: fmt.Sprint("s", i), ID: fmt.Sprint("s", i), Addrs: []string{addr(i)}, Weight: 1, HasDetails: true}
	for _, e := range edits {
		e(&c)
	}
	return c
}

// srvClaim returns the claim of the SRV records about server i.
func srvClaim(i int, edits ...func(*Claim)) Claim {
	c := Claim{Key: fmt.Sprintf("forms-%d.example.org.:8000", i), Addrs: []string{addr(i)}, Weight: 5, HasTier: true, Tier: 10}
	for _, e := range edits {
		e(&c)
	}
	return c
}

func withState(state choice.State) func(*Claim) { return func(c *Claim) { c.State = state } }
func startedAt(t time.Duration) func(*Claim)    { return func(c *Claim) { c.Started = t } }

// claims returns the claims about servers 0 to n-1.
func claims(newClaim func(int, ...func(*Claim)) Claim, n int) (all []Claim) {
	for i := range n {
		all = append(all, newClaim(i))
	}
	return all
}

// Each row of the table of rules: reports of the sources, and the resulting state and rule of server s0.
func TestRules(t *testing.T) {
	for _, c := range []struct {
		name  string
		play  func(b *harness)
		state string
		rule  Rule
	}{
		{"both list it", func(b *harness) {}, "ready", Agreed},
		{"the list reports it as draining", func(b *harness) { b.report(list, false, 2, listClaim(0, withState(choice.Draining))) }, "draining", Drained},
		{"SRV reports it as draining", func(b *harness) { b.report(srv, false, 0, srvClaim(0, withState(choice.Draining))) }, "draining", Drained},
		{"the list reports it as gone, SRV lists it", func(b *harness) { b.report(list, false, 2, listClaim(0, withState(choice.Removed))) }, "", Withdrawn},
		{"SRV no longer lists it, the list does", func(b *harness) { b.report(srv, true, 0, claims(srvClaim, 4)[1:]...) }, "", Withdrawn},
		{"a full list no longer has it, SRV does", func(b *harness) { b.report(list, true, 2, claims(listClaim, 4)[1:]...) }, "", Withdrawn},
		{"withdrawn by SRV and listed by it again", func(b *harness) {
			b.report(srv, true, 0, claims(srvClaim, 4)[1:]...)
			b.report(srv, true, 0, claims(srvClaim, 4)...)
		}, "ready", Agreed},
		{"gone from the list for an hour, SRV lists it as before", func(b *harness) {
			b.report(list, false, 2, listClaim(0, withState(choice.Removed)))
			b.advance(time.Hour)
		}, "", Withdrawn},
		{"gone from the list, then restarted", func(b *harness) {
			b.report(list, false, 2, listClaim(0, withState(choice.Removed)))
			b.report(list, false, 3, listClaim(0, startedAt(b.at)))
		}, "ready", Agreed},
		{"drains, and the list reports it as ready without a restart", func(b *harness) {
			b.report(list, false, 2, listClaim(0, withState(choice.Draining)))
			b.report(list, false, 3, listClaim(0))
		}, "ready", Agreed},
		{"drains by SRV, the list reports it as ready", func(b *harness) {
			b.report(srv, false, 0, srvClaim(0, withState(choice.Draining)))
			b.report(list, true, 2, claims(listClaim, 4)...)
		}, "draining", Drained},
		{"the list is unreachable", func(b *harness) { b.record(b.SourceUnreachable(b.at, list)); b.advance(hold / 2) }, "ready", Agreed},
		{"the list is unreachable beyond its hold, SRV lists it", func(b *harness) { b.record(b.SourceUnreachable(b.at, list)); b.advance(2 * hold) }, "ready", Agreed},
		{"all sources are unreachable", func(b *harness) {
			b.record(b.SourceUnreachable(b.at, list))
			b.record(b.SourceUnreachable(b.at, srv))
			b.advance(time.Hour)
		}, "ready", LastKnown},
		{"drains by the list, which then becomes unreachable", func(b *harness) {
			b.report(list, false, 2, listClaim(0, withState(choice.Draining)))
			b.record(b.SourceUnreachable(b.at, list))
			b.advance(time.Hour)
		}, "draining", Drained},
		{"SRV is suddenly empty", func(b *harness) { b.report(srv, true, 0) }, "ready", Guarded},
		{"SRV is suddenly empty, and then the list withdraws as many", func(b *harness) {
			b.report(srv, true, 0)
			b.report(list, true, 2, claims(listClaim, 4)[3:]...)
		}, "", Withdrawn},
		{"SRV is empty for longer than the guard waits", func(b *harness) { b.report(srv, true, 0); b.advance(Defaults.GuardWait) }, "", Withdrawn},
		{"SRV was empty and recovers", func(b *harness) {
			b.report(srv, true, 0)
			b.advance(Defaults.GuardWait / 2)
			b.report(srv, true, 0, claims(srvClaim, 4)...)
			b.advance(time.Hour)
		}, "ready", Agreed},
		{"the list reports it as draining while SRV is suddenly empty", func(b *harness) {
			b.report(srv, true, 0)
			b.report(list, false, 2, listClaim(0, withState(choice.Draining)))
		}, "draining", Drained},
		{"all drain at once: the guard does not defer that", func(b *harness) {
			var all []Claim
			for i := range 4 {
				all = append(all, listClaim(i, withState(choice.Draining)))
			}
			b.report(list, true, 2, all...)
		}, "draining", Drained},
		{"an older list withdraws it", func(b *harness) { b.report(list, true, -1, claims(listClaim, 4)[1:]...) }, "ready", Agreed},
		{"an older list drains it", func(b *harness) { b.report(list, true, -1, listClaim(0, withState(choice.Draining))) }, "draining", Drained},
		{"older lists keep coming for long", func(b *harness) {
			b.report(list, true, -1, claims(listClaim, 4)[1:]...)
			b.advance(Defaults.GuardWait)
			b.report(list, true, -1, claims(listClaim, 4)[1:]...)
		}, "", Withdrawn},
		{"another process of the agent hears that it drains", func(b *harness) { b.record(b.Drain(b.at, []string{"s0", "s9"})) }, "draining", Drained},
		{"the same, and one source goes on listing it as ready", func(b *harness) {
			b.record(b.Drain(b.at, []string{"s0"}))
			b.report(srv, true, 0, claims(srvClaim, 4)...)
		}, "draining", Drained},
		{"the same, and so do both", func(b *harness) {
			b.record(b.Drain(b.at, []string{"s0"}))
			b.report(srv, true, 0, claims(srvClaim, 4)...)
			b.report(list, true, 2, claims(listClaim, 4)...)
		}, "ready", Agreed},
		{"SRV contradicts its report while that is valid", func(b *harness) {
			b.record(b.Report(b.at, Report{Source: srv, Full: true, Claims: claims(srvClaim, 4), ValidUntil: b.at + 20*time.Second}))
			b.record(b.Report(b.at, Report{Source: srv, Full: true, Claims: claims(srvClaim, 4)[1:], ValidUntil: b.at + 20*time.Second}))
		}, "ready", Contradictory},
		{"SRV contradicts its report until that has expired", func(b *harness) {
			b.record(b.Report(b.at, Report{Source: srv, Full: true, Claims: claims(srvClaim, 4), ValidUntil: b.at + 20*time.Second}))
			b.record(b.Report(b.at, Report{Source: srv, Full: true, Claims: claims(srvClaim, 4)[1:], ValidUntil: b.at + time.Hour}))
			b.advance(21 * time.Second)
		}, "", Withdrawn},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newHarness()
			b.report(list, true, 1, claims(listClaim, 4)...)
			b.report(srv, true, 0, claims(srvClaim, 4)...)
			c.play(b)
			if got := b.state("s0"); got != c.state || b.rule("s0") != c.rule {
				t.Errorf("state %q by rule %v, want %q by %v", got, b.rule("s0"), c.state, c.rule)
			}
		})
	}
}

// Guards against a server that counts as a member of a zone and a cell that no source has stated.
func TestZoneAndCellAreUnknownUntilStated(t *testing.T) {
	b := newHarness()
	unknown := func(id string) (zone, cell bool) { return b.published[id].ZoneUnknown, b.published[id].CellUnknown }
	b.report(list, true, 1, listClaim(0, func(c *Claim) { c.Cell = 3 }), listClaim(1, func(c *Claim) { c.ZoneUnknown = true }))
	b.report(srv, true, 0, claims(srvClaim, 3)...)
	var srvOnly string
	for id := range b.published {
		if id != "s0" && id != "s1" {
			srvOnly = id
		}
	}
	for id, want := range map[string][2]bool{"s0": {false, false}, "s1": {true, false}, srvOnly: {true, true}} {
		if zone, cell := unknown(id); zone != want[0] || cell != want[1] {
			t.Errorf("%s: zone unknown %t, cell unknown %t, want %v", id, zone, cell, want)
		}
	}
	b.report(list, false, 2, listClaim(2, func(c *Claim) { c.Cell = 4 }))
	for id, e := range b.published {
		if id != "s1" && (e.ZoneUnknown || e.CellUnknown) {
			t.Errorf("after the list names it: %s %+v", id, e)
		}
	}
}

// Each fact comes from the first source that states it, and several keys of one server are one server.
func TestFacts(t *testing.T) {
	b := newHarness()
	b.report(srv, true, 0, srvClaim(0), srvClaim(1), srvClaim(9))
	b.report(srv, true, 0, srvClaim(0), srvClaim(1), srvClaim(9), func() Claim { c := srvClaim(1); c.Key = "alias"; return c }())
	if len(b.published) != 3 || b.state("srv/alias") != "" {
		t.Errorf("an alias became a separate server: %v", b.published)
	}
	b.report(list, true, 1, listClaim(0, func(c *Claim) { c.Weight, c.Zone, c.Started, c.Shapes = 2, 7, time.Second, []string{"a/1"} }), listClaim(5))
	id := "srv/" + srvClaim(0).Key
	if e := b.published[id]; e.Weight != 2 || e.Zone != 7 || e.Started != time.Second || e.Addr != addr(0) || !slices.Equal(e.Shapes, []string{"a/1"}) {
		t.Errorf("server that SRV listed first: %+v", e)
	}
	b.report(list, false, 2, listClaim(0, func(c *Claim) { c.Weight, c.Zone, c.Started, c.Shapes = 2, 7, time.Second, []string{"a/2"} }))
	if e := b.published[id]; !slices.Equal(e.Shapes, []string{"a/2"}) {
		t.Errorf("after a change of its shapes: %+v", e)
	}
	if b.state("s5") != "ready" || b.Members()[len(b.Members())-1].Tier != 10 {
		t.Errorf("a server without a reported tier is not in the best tier: %+v", b.Members()[len(b.Members())-1])
	}
	if e, ok := b.published["s0"]; ok {
		t.Errorf("the server is in the merged list twice: %+v", e)
	}
	if b.rule("srv/"+srvClaim(9).Key) != Alone || b.state("srv/"+srvClaim(9).Key) != "ready" || b.rule("s5") != Alone {
		t.Errorf("listed by one source only: rules %v, %v", b.rule("srv/"+srvClaim(9).Key), b.rule("s5"))
	}
	b.report(srv, true, 0, srvClaim(0), srvClaim(1), srvClaim(9)) // the alias is withdrawn, the other name stays
	if b.state("srv/"+srvClaim(1).Key) != "ready" {
		t.Error("a server was removed with one of its names")
	}
	// A server that SRV lists later than the others may have just started: it is treated as a cold one.
	b.at += time.Hour
	b.report(srv, true, 0, srvClaim(0), srvClaim(1), srvClaim(9), srvClaim(10))
	if e := b.published["srv/"+srvClaim(10).Key]; e.Started != b.at {
		t.Errorf("started at %v, first reported at %v", e.Started, b.at)
	}
	if e := b.published["srv/"+srvClaim(1).Key]; e.Started != 0 {
		t.Errorf("a server of the first report started at %v, want 0", e.Started)
	}
	// Two ids of the list with the same address are two servers.
	b.report(list, false, 3, listClaim(20), listClaim(21, func(c *Claim) { c.Addrs = []string{addr(20)} }))
	if b.state("s20") != "ready" || b.state("s21") != "ready" {
		t.Error("two ids with the same address are not two servers")
	}
}

// The platform's list as the only source, which is the default: the merged list follows it, even if it removes all servers.
func TestListAlone(t *testing.T) {
	b := newHarness(func(s *Settings) {
		s.Sources = []Source{{Name: "list", Hold: 100 * 365 * 24 * time.Hour, RemoveAbsent: true}}
	})
	b.report(list, true, 1, claims(listClaim, 4)...)
	b.record(b.SourceUnreachable(b.at, list))
	b.advance(24 * time.Hour)
	if len(b.published) != 4 || b.rule("s0") != Agreed {
		t.Errorf("%d servers, rule %v", len(b.published), b.rule("s0"))
	}
	b.report(list, false, 2, listClaim(0, withState(choice.Draining)), listClaim(1, withState(choice.Removed)))
	if b.state("s0") != "draining" || b.state("s1") != "" || b.state("s2") != "ready" {
		t.Errorf("%v", b.published)
	}
	b.report(list, true, 3)
	if len(b.published) != 0 {
		t.Errorf("%v", b.published)
	}
}

// A tier opens part by part when the better ones have too little weight, and closes only after they have had enough for a
// while.
func TestTiers(t *testing.T) {
	b := newHarness(func(s *Settings) { s.GuardShare = 1 })
	worse := func(i int) Claim { return srvClaim(100+i, func(c *Claim) { c.Tier = 20 }) }
	better := func(i int) Claim { return srvClaim(i, func(c *Claim) { c.Tier = 10 }) }
	report := func(n int) {
		var all []Claim
		for i := range n {
			all = append(all, better(i))
		}
		for i := range 8 {
			all = append(all, worse(i))
		}
		b.report(srv, true, 0, all...)
	}
	ready := func() (better, worse int) {
		for _, e := range b.published {
			if e.State == choice.Ready {
				if e.Addrs[0] >= addr(100) && len(e.Addrs[0]) == len(addr(100)) {
					worse++
				} else {
					better++
				}
			}
		}
		return better, worse
	}
	expect := func(when string, better, worse int) {
		t.Helper()
		if x, y := ready(); x != better || y != worse {
			t.Errorf("%s: %d better and %d worse servers are ready, want %d and %d", when, x, y, better, worse)
		}
	}
	report(10)
	expect("at first", 10, 0)
	report(5)
	expect("half of the better tier", 5, 0)
	report(4)
	expect("less", 4, 2)
	b.advance(Defaults.RampStep)
	expect("one ramp step later", 4, 4)
	b.advance(3 * Defaults.RampStep)
	expect("three more ramp steps later", 4, 8)
	report(7)
	b.advance(time.Minute)
	expect("better tier below CloseAbove", 7, 8)
	report(10)
	expect("better tier just restored", 10, 8)
	b.advance(Defaults.CloseDelay / 2)
	expect("restored for less than the close delay", 10, 8)
	b.advance(Defaults.CloseDelay)
	expect("restored for longer than the close delay", 10, 0)
	if r := b.rule("srv/" + worse(0).Key); r != ClosedTier {
		t.Errorf("closed by rule %v", r)
	}
	report(0)
	expect("no better server left, the worse tier is the only one", 0, 8)
	report(10)
	expect("the better servers come back", 3, 8)
	b.advance(2 * time.Minute)
	expect("and have been back for long", 10, 0)
}

// Random sequences in which two sources report, drain and withdraw servers, become unreachable and come back. An independent
// oracle, based only on the reports, checks which servers may be ready and which must be.
func TestWalks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newHarness()
		const n = 6
		type reportedState struct {
			listed, draining, withdrawn bool
		}
		var reported [2][n]reportedState
		version := int64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			source := rapid.IntRange(0, 1).Draw(t, "source")
			what := rapid.SampledFrom([]string{"whole", "one", "lost", "time"}).Draw(t, "what")
			make := func(i int, state choice.State) Claim {
				if source == list {
					return listClaim(i, withState(state))
				}
				return srvClaim(i, withState(state))
			}
			version++
			switch what {
			case "whole":
				var claims []Claim
				for i := range n {
					w := &reported[source][i]
					switch rapid.IntRange(0, 3).Draw(t, "of server") {
					case 0:
						w.withdrawn = w.withdrawn || w.listed
						w.listed, w.draining = false, false
					case 1:
						*w = reportedState{listed: true, draining: true}
						claims = append(claims, make(i, choice.Draining))
					default:
						*w = reportedState{listed: true}
						claims = append(claims, make(i, choice.Ready))
					}
				}
				b.report(source, true, version, claims...)
			case "one":
				i := rapid.IntRange(0, n-1).Draw(t, "server")
				w := &reported[source][i]
				switch state := rapid.SampledFrom([]choice.State{choice.Ready, choice.Draining, choice.Removed}).Draw(t, "state"); state {
				case choice.Removed:
					w.withdrawn = w.withdrawn || w.listed
					w.listed, w.draining = false, false
					b.report(source, false, version, make(i, state))
				default:
					*w = reportedState{listed: true, draining: state == choice.Draining}
					b.report(source, false, version, make(i, state))
				}
			case "lost":
				b.record(b.SourceUnreachable(b.at, source))
			case "time":
				b.at += time.Duration(rapid.Int64Range(0, int64(2*time.Minute)).Draw(t, "pass"))
				b.record(b.Tick(b.at))
			}
			ready := map[string]int{}
			for id, e := range b.published {
				if e.State == choice.Ready {
					ready[e.Addr]++
					if ready[e.Addr] > 1 {
						t.Fatalf("%s is in the merged list twice: %v", e.Addr, b.published)
					}
				}
				if e.ID != id {
					t.Fatalf("entry of %s has id %s", id, e.ID)
				}
			}
			for i := range n {
				l, s := reported[list][i], reported[srv][i]
				if (l.draining || s.draining) && ready[addr(i)] > 0 {
					t.Fatalf("server %d is ready although a source reports it as draining: %+v, %+v", i, l, s)
				}
				if !l.listed && !s.listed && !l.withdrawn && !s.withdrawn && ready[addr(i)] > 0 {
					t.Fatalf("server %d is ready although no source ever listed it", i)
				}
				if l.listed && s.listed && !l.draining && !s.draining && ready[addr(i)] == 0 {
					t.Fatalf("server %d is not ready although both sources report it as ready: %v", i, b.published)
				}
			}
		}
	})
}

// BenchmarkChange measures the cost of a change: each second 5 % of the servers change in one source. The list reports only
// the changes, SRV always all of its records.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{500, 5000} {
		for _, source := range []int{list, srv} {
			b.Run(fmt.Sprintf("%s/%d", [...]string{"list", "srv"}[source], n), func(b *testing.B) {
				s := newHarness()
				address := func(i int) []string { return []string{fmt.Sprintf("127.%d.%d.1:80", i/250, i%250)} }
				of := func(i int) func(*Claim) { return func(c *Claim) { c.Addrs = address(i) } }
				var l, r []Claim
				for i := range n {
					l, r = append(l, listClaim(i, of(i))), append(r, srvClaim(i, of(i)))
				}
				s.report(list, true, 1, l...)
				s.report(srv, true, 0, r...)
				version := int64(1)
				b.ReportAllocs()
				changes := 0
				for b.Loop() {
					version++
					s.at += time.Second
					changed := []Claim{}
					for i := int(version) % 20; i < n; i += 20 {
						weight := float64(version)
						if source == list {
							changed = append(changed, listClaim(i, of(i), func(c *Claim) { c.Weight = weight }))
						} else {
							r[i].Weight = weight
						}
					}
					if source == list {
						changes += len(s.Report(s.at, Report{Source: list, Version: version, Claims: changed}))
					} else {
						s.Report(s.at, Report{Source: srv, Full: true, Claims: r})
						changes += n / 20
					}
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(max(1, changes)), "ns/change")
			})
		}
	}
}

// Members returns the facts of each source with their age.
func TestMembers(t *testing.T) {
	b := newHarness()
	b.report(list, true, 1, claims(listClaim, 2)...)
	b.at += time.Minute
	b.report(srv, true, 0, claims(srvClaim, 2)...)
	b.report(list, false, 2, listClaim(1, withState(choice.Draining)))
	all := b.Members()
	if len(all) != 2 || all[1].State != choice.Draining || all[1].Rule != Drained {
		t.Fatalf("%+v", all)
	}
	ages := map[string]time.Duration{}
	for _, f := range all[0].Facts {
		if f.Name == "weight" {
			ages[f.Source+" "+f.Value+fmt.Sprint(f.InEffect)] = f.Age
		}
	}
	if want := map[string]time.Duration{"list 1true": time.Minute, "srv 5false": 0}; !maps.Equal(ages, want) {
		t.Errorf("weights and their ages: %v, want %v", ages, want)
	}
}

// Each planted bug makes one of the tests above fail.
func TestPlantedBugs(t *testing.T) {
	for _, bug := range []struct{ name, old, new string }{
		{"a drain counts only from the first source", "case c.State == choice.Draining:\n\t\t\tdraining = c", "case c.State == choice.Draining && c == m.claims[0]:\n\t\t\tdraining = c"},
		{"a withdrawal counts only if no source lists the server", "case withdrawal != nil && !s.restartedSince(m, withdrawal):", "case withdrawal != nil && !supported:"},
		{"an older claim brings a server back after a while", "s.now-c.changedAt >= s.settings.Forget && !s.contested(c)", "s.now-c.changedAt >= s.settings.Forget"},
		{"an empty answer removes the whole fleet", "len(all) > max(s.settings.GuardLeast, int(s.settings.GuardShare*float64(live)))", "len(all) > live"},
		{"an older list is applied", "if older && s.now-src.olderSince < s.settings.GuardWait {", "if false {"},
		{"the drain of an older list is ignored", "s.applyDrains(src, r) //", "//"},
		{"an expired source counts for ever", "src.expired = true\n", "src.expired = false\n"},
		{"several names of one server become several servers", "return m\n\t\t}\n\t}\n\treturn nil", "return nil\n\t\t}\n\t}\n\treturn nil"},
		{"a server is removed with the first of its names", "if !m.namedBy(c.source) {", "if true {"},
		{"a drain is forgotten when its source is lost", "case c.State == choice.Draining:\n\t\t\tdraining = c", "case c.State == choice.Draining && !c.source.expired:\n\t\t\tdraining = c"},
		{"a server that only SRV records list is of cell 0", "first.Speaks, true, true", "first.Speaks, true, false"},
	} {
		t.Run(bug.name, func(t *testing.T) {
			t.Parallel()
			overlay := testkit.Overlay(t, "internal/decide/membership/membership.go", bug.old, bug.new)
			out, err := testkit.GoTest(t, overlay, "./internal/decide/membership", "^(TestRules|TestFacts|TestZoneAndCellAreUnknownUntilStated|TestWalks|TestListAlone)$")
			if err == nil || strings.Contains(out, "[build failed]") {
				t.Errorf("no test failed with this bug:\n%s", out)
			}
		})
	}
}
