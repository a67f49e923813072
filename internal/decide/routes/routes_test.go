package routes

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ternbeam/choice"
)

// Protocols of the tests.
const (
	http choice.Protocols = 1 << iota
	binary
	compact
	thrift = binary | compact
)

// table returns a table with versions 1 and 2 of a class in both protocols, translations from the old to the new one, and a
// version 1 of another class.
func table(t interface{ Fatal(...any) }) *Table {
	tab := NewTable([]Shape{{"old", "a/1", http}, {"new", "a/2", http}, {"old-thrift", "a/1", thrift}, {"new-thrift", "a/2", thrift}, {"other", "b/1", http}})
	for _, l := range [][2]string{{"old", "new"}, {"old-thrift", "new-thrift"}, {"old", "new-thrift"}, {"old-thrift", "new"}} {
		if err := tab.AddTranslation(l[0], l[1], l[0]+" to "+l[1]); err != nil {
			t.Fatal(err)
		}
	}
	return tab
}

// routes returns a Router over a table.
func routes(t interface{ Fatal(...any) }, tab *Table) *Router {
	r, err := New(Settings{RejectionTTL: firstTTL, MaxRejectionTTL: maxTTL}, tab)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// callShape returns the CallShape of a call in a shape, from a client that speaks a protocol.
func (t *Table) callShape(name string, spoken choice.Protocols) CallShape {
	return CallShape{t, t.Index(name), spoken}
}

// How a call is sent, by the shape in which it was received and what the server accepts.
func TestRoute(t *testing.T) {
	tab := table(t)
	for _, c := range []struct {
		from     string
		spoken   choice.Protocols
		speaks   choice.Protocols
		versions []string
		want     string // the plan, "as it came", or "none"
		protocol choice.Protocols
	}{
		{"old", http, http, []string{"a/1"}, "as it came", http},
		{"old", http, http, []string{"a/2"}, "old to new", http},
		{"old", http, http, []string{"a/2", "a/1"}, "as it came", http},
		{"old", http, thrift, []string{"a/1"}, "none", 0}, // there is no translation to the same version in another protocol
		{"old", http, thrift, []string{"a/2"}, "old to new-thrift", binary},
		{"old", http, compact, []string{"a/2"}, "old to new-thrift", compact},
		{"old", http, http, []string{"a/3"}, "none", 0},
		{"old", http, http, nil, "none", 0},
		{"old", http, http, []string{"b/1"}, "none", 0},
		{"new", http, http, []string{"a/1"}, "none", 0},
		{"old-thrift", compact, thrift, []string{"a/1"}, "as it came", compact},
		{"old-thrift", compact, binary, []string{"a/1"}, "none", 0}, // nor to another encoding
		{"old-thrift", compact, binary, []string{"a/2"}, "old-thrift to new-thrift", binary},
		{"old-thrift", compact, thrift, []string{"a/2"}, "old-thrift to new-thrift", compact},
		{"old-thrift", binary, http, []string{"a/2"}, "old-thrift to new", http},
		{"other", http, http, []string{"a/1"}, "none", 0},
	} {
		r := routes(t, tab)
		callShape := tab.callShape(c.from, c.spoken)
		listed := r.UpdateServer(choice.Server{ID: "s", Protocols: c.speaks}, c.versions)
		route, ok := r.Route(callShape, "s")
		got := "none"
		if ok {
			if got = "as it came"; route.Plan != nil {
				got = route.Plan.(string)
			}
		}
		if got != c.want || ok && route.Protocol != c.protocol {
			t.Errorf("%s over %b to a server that accepts %q over %b: %s over %b", c.from, c.spoken, c.versions, c.speaks, got, route.Protocol)
		}
		if can := r.Needs(callShape, false)&^listed.Protocols == 0; can != ok {
			t.Errorf("%s to %q: the server has the capability: %t", c.from, c.versions, can)
		}
		if exact := r.Needs(callShape, true)&^listed.Protocols == 0; exact != (ok && route.Plan == nil) {
			t.Errorf("%s to %q: the server has the capability to take it unchanged: %t", c.from, c.versions, exact)
		}
	}
}

// A version that a server rejects is not sent to it for a while, which gets longer with each rejection. Only then other
// versions are tried. A restart or a change of the server's list entry ends this.
func TestRejectedVersionBackoff(t *testing.T) {
	tab := table(t)
	r := routes(t, tab)
	s := choice.Server{ID: "s", Protocols: http, Started: 5}
	r.UpdateServer(s, []string{"a/2"})
	callShape := tab.callShape("old", http)
	plan := func() any {
		route, ok := r.Route(callShape, "s")
		if !ok {
			return "none"
		}
		return route.Plan
	}
	if got := plan(); got != "old to new" {
		t.Fatal(got)
	}
	if changed := r.MarkUnknown(10, "s", 4, "a/2"); changed != nil || plan() != "old to new" {
		t.Errorf("a rejection from before a restart counts: %v", changed)
	}
	if changed := r.MarkUnknown(10, "s", 5, "a/2"); len(changed) != 1 || plan() != nil {
		t.Fatalf("%v, %v", changed, plan())
	}
	if changed := r.MarkUnknown(11, "s", 5, "a/2"); changed != nil {
		t.Errorf("change reported twice: %v", changed)
	}
	if changed := r.MarkUnknown(12, "s", 5, "a/1"); len(changed) != 1 || plan() != "none" {
		t.Errorf("after it has rejected both versions: %v, %v", changed, plan())
	}
	for i, until := range []time.Duration{10 + time.Second, 0, 0, 0} {
		at, any := r.NextExpiry()
		if !any || i == 0 && at != until {
			t.Fatalf("next expiry is %v, %t", at, any)
		}
		if changed := r.Expire(at - 1); changed != nil {
			t.Errorf("expired too early: %v", changed)
		}
		r.Expire(at + 2)
		if plan() != "old to new" {
			t.Fatalf("after expiry %d: %v", i, plan())
		}
		began := at + 2
		r.MarkUnknown(began, "s", 5, "a/2")
		next, _ := r.NextExpiry()
		if want := []time.Duration{2 * time.Second, 4 * time.Second, 4 * time.Second, 4 * time.Second}[i]; next-began != want {
			t.Errorf("rejection %d counts for %v, want %v", i+2, next-began, want)
		}
	}
	r.UpdateServer(s, []string{"a/2"}) // an unchanged entry has no effect
	if plan() == "old to new" {
		t.Error("an unchanged list entry ended the rejection")
	}
	restarted := s
	restarted.Started = 6
	r.UpdateServer(restarted, []string{"a/2"})
	if _, any := r.NextExpiry(); any || plan() != "old to new" {
		t.Errorf("after a restart: %v", plan())
	}
	r.MarkUnknown(10, "s", 6, "a/2")
	r.UpdateServer(restarted, []string{"a/1"})
	if _, any := r.NextExpiry(); any || plan() != nil {
		t.Errorf("after a change of its list entry: %v", plan())
	}
	r.UpdateServer(choice.Server{ID: "s", State: choice.Removed}, nil)
	if plan() != "none" {
		t.Errorf("after it was removed: %v", plan())
	}
}

// If a server has served a version again, a later rejection counts for the initial time, not the doubled one.
func TestMarkKnownResetsBackoff(t *testing.T) {
	tab := table(t)
	r := routes(t, tab)
	r.UpdateServer(choice.Server{ID: "s", Protocols: http}, []string{"a/2"})
	r.MarkUnknown(0, "s", 0, "a/2")
	r.Expire(time.Second)
	r.MarkKnown("s", "a/2")
	r.MarkUnknown(time.Second, "s", 0, "a/2")
	if at, _ := r.NextExpiry(); at != 2*time.Second {
		t.Errorf("rejection counts until %v", at)
	}
}

// Bits keep their meaning when the table is replaced. Calls of the old table keep its translations. Too many shapes are an
// error, and the old table stays in use.
func TestReplaceTable(t *testing.T) {
	one := table(t)
	r := routes(t, one)
	r.UpdateServer(choice.Server{ID: "s", Protocols: http}, []string{"a/2"})
	callShape := one.callShape("old", http)
	needs := r.Needs(callShape, false)
	two := NewTable([]Shape{{"third", "c/1", http}, {"new", "a/2", http}, {"old", "a/1", http}})
	if err := two.AddTranslation("old", "new", "another"); err != nil {
		t.Fatal(err)
	}
	if _, err := r.ReplaceTable(two); err != nil {
		t.Fatal(err)
	}
	if got := r.Needs(two.callShape("old", http), false); got != needs {
		t.Errorf("the bit was %b and is now %b", needs, got)
	}
	if route, ok := r.Route(callShape, "s"); !ok || route.Plan != "old to new" {
		t.Errorf("a call of the old table is sent with plan %v", route.Plan)
	}
	if route, ok := r.Route(two.callShape("old", http), "s"); !ok || route.Plan != "another" {
		t.Errorf("a call of the new table is sent with plan %v", route.Plan)
	}
	var many []Shape
	for i := range 30 {
		many = append(many, Shape{fmt.Sprint(i), fmt.Sprint("d/", i), http})
	}
	if _, err := r.ReplaceTable(NewTable(many)); !errors.Is(err, ErrTooManyShapes) {
		t.Errorf("%v", err)
	}
	if route, ok := r.Route(two.callShape("old", http), "s"); !ok || route.Plan != "another" {
		t.Errorf("after the error a call is sent with plan %v", route.Plan)
	}
	unseen := NewTable([]Shape{{"x", "x/1", http}})
	if needs := r.Needs(unseen.callShape("x", http), false); needs == 0 || needs&r.UpdateServer(choice.Server{ID: "s", Protocols: http | thrift}, []string{"x/1"}).Protocols != 0 {
		t.Errorf("a shape of a table never in use needs %b, which servers have", needs)
	}
}

// expectedRejection is until when a server is not sent a version that it has rejected, and for how long it is not if it rejects
// the version again after that.
type expectedRejection struct{ until, wait time.Duration }

// again returns the expectedRejection after another rejection. A rejection while one is in effect is of a call that was in flight.
func (d expectedRejection) again(now time.Duration) expectedRejection {
	if d.until > now {
		return d
	}
	wait := max(d.wait, firstTTL)
	return expectedRejection{now + wait, min(2*wait, maxTTL)}
}

// How long rejections are remembered in these tests, initially and at most.
const (
	firstTTL = time.Second
	maxTTL   = 4 * time.Second
)

// For random events, the module knows how calls can be sent: a server has the capability of a shape if and only if there is a
// route to it, each change is reported, and no call is sent in a version that the server has rejected, until that expires.
func TestRandomWalk(t *testing.T) {
	const rounds = 40 // few walks reach the end of a doubled wait
	for range rounds {
		rapid.Check(t, walk)
	}
}

// walk is one random walk of TestRandomWalk.
func walk(t *rapid.T) {
	tab := table(t)
	r := routes(t, tab)
	servers := map[string]choice.Server{}
	type serverVersion struct{ id, version string }
	unknown := map[serverVersion]expectedRejection{}
	speaks := map[string]choice.Protocols{}
	listed := map[string][]string{}
	forgetServer := func(id string) {
		maps.DeleteFunc(unknown, func(sv serverVersion, _ expectedRejection) bool { return sv.id == id })
	}
	now := time.Duration(0)
	apply := func(changed []choice.Server) {
		for _, s := range changed {
			servers[s.ID] = s
		}
	}
	ids, versions := []string{"s", "t"}, []string{"a/1", "a/2", "b/1", "z/9"}
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		id := rapid.SampledFrom(ids).Draw(t, "server")
		switch rapid.IntRange(0, 4).Draw(t, "step") {
		case 0:
			s := choice.Server{ID: id, Protocols: rapid.SampledFrom([]choice.Protocols{http, thrift, compact}).Draw(t, "speaks"), Started: now}
			takes := rapid.SliceOfNDistinct(rapid.SampledFrom(versions), 0, 3, rapid.ID).Draw(t, "versions")
			if before, known := servers[id]; !known || before.Started != now || speaks[id] != s.Protocols || !slices.Equal(listed[id], takes) {
				forgetServer(id)
			}
			servers[id], speaks[id], listed[id] = r.UpdateServer(s, takes), s.Protocols, takes
		case 1:
			r.RemoveServer(id)
			delete(servers, id)
			forgetServer(id)
		case 2:
			s, known := r.servers[id]
			version := rapid.SampledFrom(versions).Draw(t, "version")
			if known {
				unknown[serverVersion{id, version}] = unknown[serverVersion{id, version}].again(now)
				apply(r.MarkUnknown(now, id, s.listed.Started, version))
			}
		case 3:
			now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
			apply(r.Expire(now))
		case 4:
			version := rapid.SampledFrom(versions).Draw(t, "version")
			r.MarkKnown(id, version)
			if unknown[serverVersion{id, version}].until <= now {
				delete(unknown, serverVersion{id, version})
			}
		}
		for i := range tab.shapes {
			for _, spoken := range splitProtocols(tab.shapes[i].Speaks) {
				callShape := CallShape{tab, i, spoken}
				for _, id := range ids {
					route, ok := r.Route(callShape, id)
					s, known := servers[id]
					if bit := known && r.Needs(callShape, false)&^s.Protocols == 0; bit != ok {
						t.Fatalf("%s to %s: has the capability: %t, has a route: %t", tab.shapes[i].Name, id, bit, ok)
					}
					if !ok {
						continue
					}
					if route.Protocol&speaks[id] == 0 || route.Protocol&(route.Protocol-1) != 0 {
						t.Fatalf("%s is sent to %s over %b, which it does not speak", tab.shapes[i].Name, id, route.Protocol)
					}
					if unknown[serverVersion{id, route.To.Version}].until > now {
						t.Fatalf("%s is sent to %s as %s, which it has rejected", tab.shapes[i].Name, id, route.To.Name)
					}
				}
			}
		}
	}
}

// BenchmarkWay measures what a call costs in the Router.
func BenchmarkWay(b *testing.B) {
	tab := table(b)
	r := routes(b, tab)
	r.UpdateServer(choice.Server{ID: "s", Protocols: http}, []string{"a/2"})
	callShape := tab.callShape("old", http)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := r.Route(callShape, "s"); !ok || r.Needs(callShape, false) == 0 {
			b.Fatal("no route")
		}
	}
}

// BenchmarkListed measures the cost of updating a server from the list.
func BenchmarkListed(b *testing.B) {
	r := routes(b, table(b))
	s := choice.Server{ID: "s", Protocols: http}
	versions := slices.Repeat([]string{"a/2"}, 1)
	b.ReportAllocs()
	for b.Loop() {
		r.UpdateServer(s, versions)
	}
}
