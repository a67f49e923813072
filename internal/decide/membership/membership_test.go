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
	"ternbeam/internal/decide/ledger"
	"ternbeam/internal/lab/testkit"
)

const (
	list = 0
	srv  = 1
	hold = time.Minute
)

// bench drives a Set of a list and SRV records, and keeps what was said of servers, as an agent does.
type bench struct {
	*Set
	at   time.Duration
	said map[string]ledger.Entry // that are not gone
}

func newBench(edits ...func(*Settings)) *bench {
	set := Defaults
	set.Sources = []Source{{Name: "list", Hold: hold, Absent: true, Guard: true}, {Name: "srv", Hold: hold, Absent: true, Guard: true}}
	for _, edit := range edits {
		edit(&set)
	}
	return &bench{Set: New(set), at: 1000 * time.Hour, said: map[string]ledger.Entry{}}
}

// take keeps what was said.
func (b *bench) take(changes []ledger.Entry) []ledger.Entry {
	for _, e := range changes {
		if b.said[e.ID] = e; e.State == choice.Gone {
			delete(b.said, e.ID)
		}
	}
	return slices.Clone(changes)
}

func (b *bench) tell(source int, full bool, version int64, claims ...Claim) []ledger.Entry {
	return b.take(b.Report(b.at, Report{Source: source, Full: full, Version: version, Claims: claims}))
}

func (b *bench) pass(d time.Duration) {
	end := b.at + d
	for next, any := b.Next(); any && next <= end; next, any = b.Next() {
		b.at = max(b.at, next)
		b.take(b.Tick(b.at))
	}
	b.at = end
	b.take(b.Tick(b.at))
}

// state is what is said of a server: "" for nothing.
func (b *bench) state(id string) string {
	e, ok := b.said[id]
	if !ok {
		return ""
	}
	return [...]string{choice.Ready: "ready", choice.Draining: "draining"}[e.State]
}

func (b *bench) rule(id string) Rule {
	for _, v := range b.Members() {
		if v.ID == id {
			return v.Rule
		}
	}
	return -1
}

func addr(i int) string { return fmt.Sprintf("127.0.0.1:%d", 8000+i) }

// listed is an entry of the list, named one of SRV, of the same server.
func listed(i int, edits ...func(*Claim)) Claim {
	c := Claim{Key: fmt.Sprint("s", i), ID: fmt.Sprint("s", i), Addrs: []string{addr(i)}, Weight: 1, Details: true}
	for _, e := range edits {
		e(&c)
	}
	return c
}

func named(i int, edits ...func(*Claim)) Claim {
	c := Claim{Key: fmt.Sprintf("forms-%d.example.org.:8000", i), Addrs: []string{addr(i)}, Weight: 5, Tiered: true, Tier: 10}
	for _, e := range edits {
		e(&c)
	}
	return c
}

func in(state choice.State) func(*Claim) { return func(c *Claim) { c.State = state } }
func from(t time.Duration) func(*Claim)  { return func(c *Claim) { c.Started = t } }

func some(word func(int, ...func(*Claim)) Claim, n int) (all []Claim) {
	for i := range n {
		all = append(all, word(i))
	}
	return all
}

// The table of rules: what sources say, and what is said of server s0 then.
func TestRules(t *testing.T) {
	for _, c := range []struct {
		name  string
		play  func(b *bench)
		state string
		rule  Rule
	}{
		{"both name it", func(b *bench) {}, "ready", Agreed},
		{"the list says that it drains", func(b *bench) { b.tell(list, false, 2, listed(0, in(choice.Draining))) }, "draining", Drained},
		{"SRV says that it drains", func(b *bench) { b.tell(srv, false, 0, named(0, in(choice.Draining))) }, "draining", Drained},
		{"the list says that it is gone, SRV names it", func(b *bench) { b.tell(list, false, 2, listed(0, in(choice.Gone))) }, "", Withdrawn},
		{"SRV names it no more, the list does", func(b *bench) { b.tell(srv, true, 0, some(named, 4)[1:]...) }, "", Withdrawn},
		{"the whole list names it no more, SRV does", func(b *bench) { b.tell(list, true, 2, some(listed, 4)[1:]...) }, "", Withdrawn},
		{"withdrawn by SRV and named by it again", func(b *bench) {
			b.tell(srv, true, 0, some(named, 4)[1:]...)
			b.tell(srv, true, 0, some(named, 4)...)
		}, "ready", Agreed},
		{"gone by the list for an hour, SRV names it as before", func(b *bench) {
			b.tell(list, false, 2, listed(0, in(choice.Gone)))
			b.pass(time.Hour)
		}, "", Withdrawn},
		{"gone by the list, started anew", func(b *bench) {
			b.tell(list, false, 2, listed(0, in(choice.Gone)))
			b.tell(list, false, 3, listed(0, from(b.at)))
		}, "ready", Agreed},
		{"drains, and the list says ready in the same life", func(b *bench) {
			b.tell(list, false, 2, listed(0, in(choice.Draining)))
			b.tell(list, false, 3, listed(0))
		}, "ready", Agreed},
		{"drains by SRV, the list says ready", func(b *bench) {
			b.tell(srv, false, 0, named(0, in(choice.Draining)))
			b.tell(list, true, 2, some(listed, 4)...)
		}, "draining", Drained},
		{"the list is out of reach", func(b *bench) { b.take(b.Lost(b.at, list)); b.pass(hold / 2) }, "ready", Agreed},
		{"the list is out of reach beyond its hold, SRV names it", func(b *bench) { b.take(b.Lost(b.at, list)); b.pass(2 * hold) }, "ready", Agreed},
		{"all are out of reach", func(b *bench) {
			b.take(b.Lost(b.at, list))
			b.take(b.Lost(b.at, srv))
			b.pass(time.Hour)
		}, "ready", LastWord},
		{"drains by the list, which is then out of reach", func(b *bench) {
			b.tell(list, false, 2, listed(0, in(choice.Draining)))
			b.take(b.Lost(b.at, list))
			b.pass(time.Hour)
		}, "draining", Drained},
		{"SRV is suddenly empty", func(b *bench) { b.tell(srv, true, 0) }, "ready", Guarded},
		{"SRV is empty for longer than the guard waits", func(b *bench) { b.tell(srv, true, 0); b.pass(Defaults.GuardWait) }, "", Withdrawn},
		{"SRV was empty and is well again", func(b *bench) {
			b.tell(srv, true, 0)
			b.pass(Defaults.GuardWait / 2)
			b.tell(srv, true, 0, some(named, 4)...)
			b.pass(time.Hour)
		}, "ready", Agreed},
		{"the list drains it while SRV is suddenly empty", func(b *bench) {
			b.tell(srv, true, 0)
			b.tell(list, false, 2, listed(0, in(choice.Draining)))
		}, "draining", Drained},
		{"all drain at once: the guard does not hold that up", func(b *bench) {
			var all []Claim
			for i := range 4 {
				all = append(all, listed(i, in(choice.Draining)))
			}
			b.tell(list, true, 2, all...)
		}, "draining", Drained},
		{"an older list withdraws it", func(b *bench) { b.tell(list, true, -1, some(listed, 4)[1:]...) }, "ready", Agreed},
		{"an older list drains it", func(b *bench) { b.tell(list, true, -1, listed(0, in(choice.Draining))) }, "draining", Drained},
		{"an older list goes on for long", func(b *bench) {
			b.tell(list, true, -1, some(listed, 4)[1:]...)
			b.pass(Defaults.GuardWait)
			b.tell(list, true, -1, some(listed, 4)[1:]...)
		}, "", Withdrawn},
		{"SRV contradicts itself within its lifetime", func(b *bench) {
			b.take(b.Report(b.at, Report{Source: srv, Full: true, Claims: some(named, 4), Until: b.at + 20*time.Second}))
			b.take(b.Report(b.at, Report{Source: srv, Full: true, Claims: some(named, 4)[1:], Until: b.at + 20*time.Second}))
		}, "ready", Contradict},
		{"and goes on till that is over", func(b *bench) {
			b.take(b.Report(b.at, Report{Source: srv, Full: true, Claims: some(named, 4), Until: b.at + 20*time.Second}))
			b.take(b.Report(b.at, Report{Source: srv, Full: true, Claims: some(named, 4)[1:], Until: b.at + time.Hour}))
			b.pass(21 * time.Second)
		}, "", Withdrawn},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench()
			b.tell(list, true, 1, some(listed, 4)...)
			b.tell(srv, true, 0, some(named, 4)...)
			c.play(b)
			if got := b.state("s0"); got != c.state || b.rule("s0") != c.rule {
				t.Errorf("%q by %v, not %q by %v", got, b.rule("s0"), c.state, c.rule)
			}
		})
	}
}

// Facts come from the first source that states them; names of one server are one.
func TestFacts(t *testing.T) {
	b := newBench()
	b.tell(srv, true, 0, named(0), named(1), named(9))
	b.tell(srv, true, 0, named(0), named(1), named(9), func() Claim { c := named(1); c.Key = "alias"; return c }())
	if len(b.said) != 3 || b.state("srv/alias") != "" {
		t.Errorf("an alias is a server of its own: %v", b.said)
	}
	b.tell(list, true, 1, listed(0, func(c *Claim) { c.Weight, c.Zone, c.Started, c.Shapes = 2, 7, time.Second, []string{"a/1"} }), listed(5))
	id := "srv/" + named(0).Key
	if e := b.said[id]; e.Weight != 2 || e.Zone != 7 || e.Started != time.Second || e.Addr != addr(0) || !slices.Equal(e.Shapes, []string{"a/1"}) {
		t.Errorf("a server that SRV named first: %+v", e)
	}
	b.tell(list, false, 2, listed(0, func(c *Claim) { c.Weight, c.Zone, c.Started, c.Shapes = 2, 7, time.Second, []string{"a/2"} }))
	if e := b.said[id]; !slices.Equal(e.Shapes, []string{"a/2"}) {
		t.Errorf("its shapes changed: %+v", e)
	}
	if b.state("s5") != "ready" || b.Members()[len(b.Members())-1].Tier != 10 {
		t.Errorf("a server of which nobody names a tier is not in the best one: %+v", b.Members()[len(b.Members())-1])
	}
	if e, ok := b.said["s0"]; ok {
		t.Errorf("it is there twice: %+v", e)
	}
	if b.rule("srv/"+named(9).Key) != Alone || b.state("srv/"+named(9).Key) != "ready" || b.rule("s5") != Alone {
		t.Errorf("named by one alone: %v, %v", b.rule("srv/"+named(9).Key), b.rule("s5"))
	}
	b.tell(srv, true, 0, named(0), named(1), named(9)) // the alias goes, the name stays
	if b.state("srv/"+named(1).Key) != "ready" {
		t.Error("a server is gone with one of its names")
	}
	// One that SRV names later than the others may have just started: it is spared as a cold one is.
	b.at += time.Hour
	b.tell(srv, true, 0, named(0), named(1), named(9), named(10))
	if e := b.said["srv/"+named(10).Key]; e.Started != b.at {
		t.Errorf("started %v, first named %v", e.Started, b.at)
	}
	if e := b.said["srv/"+named(1).Key]; e.Started != 0 {
		t.Errorf("one that was there from the first started %v", e.Started)
	}
	// Two ids of the list at one address are two servers.
	b.tell(list, false, 3, listed(20), listed(21, func(c *Claim) { c.Addrs = []string{addr(20)} }))
	if b.state("s20") != "ready" || b.state("s21") != "ready" {
		t.Error("two ids at one address are not two servers")
	}
}

// The platform's list alone, as it is by default: what it says is what is said, removals of all included.
func TestListAlone(t *testing.T) {
	b := newBench(func(s *Settings) {
		s.Sources = []Source{{Name: "list", Hold: 100 * 365 * 24 * time.Hour, Absent: true}}
	})
	b.tell(list, true, 1, some(listed, 4)...)
	b.take(b.Lost(b.at, list))
	b.pass(24 * time.Hour)
	if len(b.said) != 4 || b.rule("s0") != Agreed {
		t.Errorf("%d servers, %v", len(b.said), b.rule("s0"))
	}
	b.tell(list, false, 2, listed(0, in(choice.Draining)), listed(1, in(choice.Gone)))
	if b.state("s0") != "draining" || b.state("s1") != "" || b.state("s2") != "ready" {
		t.Errorf("%v", b.said)
	}
	b.tell(list, true, 3)
	if len(b.said) != 0 {
		t.Errorf("%v", b.said)
	}
}

// Tiers open when the better ones are too small, part by part, and close only once these have been enough for a while.
func TestTiers(t *testing.T) {
	b := newBench(func(s *Settings) { s.GuardShare = 1 })
	worse := func(i int) Claim { return named(100+i, func(c *Claim) { c.Tier = 20 }) }
	better := func(i int) Claim { return named(i, func(c *Claim) { c.Tier = 10 }) }
	tell := func(n int) {
		var all []Claim
		for i := range n {
			all = append(all, better(i))
		}
		for i := range 8 {
			all = append(all, worse(i))
		}
		b.tell(srv, true, 0, all...)
	}
	ready := func() (better, worse int) {
		for _, e := range b.said {
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
			t.Errorf("%s: %d better and %d worse ones are ready, not %d and %d", when, x, y, better, worse)
		}
	}
	tell(10)
	expect("at first", 10, 0)
	tell(5)
	expect("half of the better tier", 5, 0)
	tell(4)
	expect("less", 4, 2)
	b.pass(Defaults.RampStep)
	expect("a step later", 4, 4)
	b.pass(3 * Defaults.RampStep)
	expect("some steps later", 4, 8)
	tell(7)
	b.pass(time.Minute)
	expect("not enough to close it", 7, 8)
	tell(10)
	expect("enough, just now", 10, 8)
	b.pass(Defaults.Calm / 2)
	expect("enough for a while", 10, 8)
	b.pass(Defaults.Calm)
	expect("enough for long", 10, 0)
	if r := b.rule("srv/" + worse(0).Key); r != ClosedTier {
		t.Errorf("by %v", r)
	}
	tell(0)
	expect("no better one, and nobody else to take the work", 0, 8)
	tell(10)
	expect("the better ones come back", 3, 8)
	b.pass(2 * time.Minute)
	expect("and have been there for long", 10, 0)
}

// A walk over two sources that say, drain, withdraw, lose their word and come back; an oracle of its own, by what was told
// alone, says of each server whether it may be ready and whether it must be.
func TestWalks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench()
		const n = 6
		type word struct {
			names, drains, withdrew bool
		}
		var words [2][n]word
		version := int64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			source := rapid.IntRange(0, 1).Draw(t, "source")
			what := rapid.SampledFrom([]string{"whole", "one", "lost", "time"}).Draw(t, "what")
			make := func(i int, state choice.State) Claim {
				if source == list {
					return listed(i, in(state))
				}
				return named(i, in(state))
			}
			version++
			switch what {
			case "whole":
				var claims []Claim
				for i := range n {
					w := &words[source][i]
					switch rapid.IntRange(0, 3).Draw(t, "of server") {
					case 0:
						w.withdrew = w.withdrew || w.names
						w.names, w.drains = false, false
					case 1:
						*w = word{names: true, drains: true}
						claims = append(claims, make(i, choice.Draining))
					default:
						*w = word{names: true}
						claims = append(claims, make(i, choice.Ready))
					}
				}
				b.tell(source, true, version, claims...)
			case "one":
				i := rapid.IntRange(0, n-1).Draw(t, "server")
				w := &words[source][i]
				switch state := rapid.SampledFrom([]choice.State{choice.Ready, choice.Draining, choice.Gone}).Draw(t, "state"); state {
				case choice.Gone:
					w.withdrew = w.withdrew || w.names
					w.names, w.drains = false, false
					b.tell(source, false, version, make(i, state))
				default:
					*w = word{names: true, drains: state == choice.Draining}
					b.tell(source, false, version, make(i, state))
				}
			case "lost":
				b.take(b.Lost(b.at, source))
			case "time":
				b.at += time.Duration(rapid.Int64Range(0, int64(2*time.Minute)).Draw(t, "pass"))
				b.take(b.Tick(b.at))
			}
			ready := map[string]int{}
			for id, e := range b.said {
				if e.State == choice.Ready {
					ready[e.Addr]++
					if ready[e.Addr] > 1 {
						t.Fatalf("%s is there twice: %v", e.Addr, b.said)
					}
				}
				if e.ID != id {
					t.Fatalf("%s says %s", id, e.ID)
				}
			}
			for i := range n {
				l, s := words[list][i], words[srv][i]
				if (l.drains || s.drains) && ready[addr(i)] > 0 {
					t.Fatalf("server %d drains by a source and is ready: %+v, %+v", i, l, s)
				}
				if !l.names && !s.names && !l.withdrew && !s.withdrew && ready[addr(i)] > 0 {
					t.Fatalf("server %d was never named and is ready", i)
				}
				if l.names && s.names && !l.drains && !s.drains && ready[addr(i)] == 0 {
					t.Fatalf("server %d is ready by both and is not: %v", i, b.said)
				}
			}
		}
	})
}

// What a change costs: 5 % of the servers change each second in both sources, told as changes by the list and as a whole by
// SRV.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{500, 5000} {
		for _, source := range []int{list, srv} {
			b.Run(fmt.Sprintf("%s/%d", [...]string{"list", "srv"}[source], n), func(b *testing.B) {
				s := newBench()
				address := func(i int) []string { return []string{fmt.Sprintf("127.%d.%d.1:80", i/250, i%250)} }
				of := func(i int) func(*Claim) { return func(c *Claim) { c.Addrs = address(i) } }
				var l, r []Claim
				for i := range n {
					l, r = append(l, listed(i, of(i))), append(r, named(i, of(i)))
				}
				s.tell(list, true, 1, l...)
				s.tell(srv, true, 0, r...)
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
							changed = append(changed, listed(i, of(i), func(c *Claim) { c.Weight = weight }))
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

// The view names each source's word with its age.
func TestView(t *testing.T) {
	b := newBench()
	b.tell(list, true, 1, some(listed, 2)...)
	b.at += time.Minute
	b.tell(srv, true, 0, some(named, 2)...)
	b.tell(list, false, 2, listed(1, in(choice.Draining)))
	all := b.Members()
	if len(all) != 2 || all[1].State != choice.Draining || all[1].Rule != Drained {
		t.Fatalf("%+v", all)
	}
	ages := map[string]time.Duration{}
	for _, f := range all[0].Facts {
		if f.Name == "weight" {
			ages[f.Source+" "+f.Value+fmt.Sprint(f.Counts)] = f.Age
		}
	}
	if want := map[string]time.Duration{"list 1true": time.Minute, "srv 5false": 0}; !maps.Equal(ages, want) {
		t.Errorf("%v, want %v", ages, want)
	}
}

// Each planted bug is found by one of the tests above.
func TestPlantedBugs(t *testing.T) {
	for _, bug := range []struct{ name, old, new string }{
		{"a drain counts by the first source only", "case c.State == choice.Draining:\n\t\t\tdrains = c", "case c.State == choice.Draining && c == m.claims[0]:\n\t\t\tdrains = c"},
		{"a withdrawal counts only when nobody names the server", "case gone != nil && !s.newer(m, gone):", "case gone != nil && !supported:"},
		{"an older word brings a server back in time", "s.now-c.since >= s.set.Forget && !s.contested(c)", "s.now-c.since >= s.set.Forget"},
		{"an empty answer empties the fleet", "len(all) > max(s.set.GuardLeast, int(s.set.GuardShare*float64(live)))", "len(all) > live"},
		{"an older list is believed", "if older && s.now-src.older < s.set.GuardWait {", "if false {"},
		{"an older list's drain is not", "s.drains(src, r) //", "//"},
		{"a source that lost its word counts for ever", "src.dead = true\n", "src.dead = false\n"},
		{"names of one server are several", "return m\n\t\t}\n\t}\n\treturn nil", "return nil\n\t\t}\n\t}\n\treturn nil"},
		{"a server goes with the first of its names", "if !m.named(c.source) {", "if true {"},
		{"a drain is forgotten when its source is lost", "case c.State == choice.Draining:\n\t\t\tdrains = c", "case c.State == choice.Draining && !c.source.dead:\n\t\t\tdrains = c"},
	} {
		t.Run(bug.name, func(t *testing.T) {
			t.Parallel()
			overlay := testkit.Overlay(t, "internal/decide/membership/membership.go", bug.old, bug.new)
			out, err := testkit.GoTest(t, overlay, "./internal/decide/membership", "^(TestRules|TestFacts|TestWalks|TestListAlone)$")
			if err == nil || strings.Contains(out, "[build failed]") {
				t.Errorf("not found:\n%s", out)
			}
		})
	}
}
