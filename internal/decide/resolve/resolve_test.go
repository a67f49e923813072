package resolve

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/miekg/dns"

	"ternbeam/internal/decide/membership"
)

const service = "_forms._tcp.example.org."

var root = Question{service, dns.TypeSRV}

// answer encodes an answer to a question. Records are in zone file format; "+" puts one into the additional section, "^" into
// the authority section.
func answer(t testing.TB, id uint16, q Question, rcode int, records ...string) []byte {
	t.Helper()
	m := new(dns.Msg)
	m.SetQuestion(q.Name, q.Type)
	m.Id, m.Response, m.Rcode = id, true, rcode
	for _, text := range records {
		section := &m.Answer
		if rest, extra := strings.CutPrefix(text, "+"); extra {
			text, section = rest, &m.Extra
		} else if rest, ns := strings.CutPrefix(text, "^"); ns {
			text, section = rest, &m.Ns
		}
		r, err := dns.NewRR(text)
		if err != nil {
			t.Fatal(err)
		}
		*section = append(*section, r)
	}
	wire, err := m.Pack()
	if err != nil {
		t.Fatal(err)
	}
	return wire
}

func TestParseAnswer(t *testing.T) {
	loop := []string{}
	for i := range 12 {
		loop = append(loop, fmt.Sprintf("n%d.example.org. 60 CNAME n%d.example.org.", i, i+1))
	}
	chain := append([]string{service + " 60 CNAME n0.example.org."}, loop...)
	many := []string{}
	for i := range 1001 {
		many = append(many, fmt.Sprintf("%s 60 SRV 0 0 80 n%d.example.org.", service, i))
	}
	for _, c := range []struct {
		name    string
		wire    []byte
		verdict Verdict
		targets int
		ttl     time.Duration
	}{
		{"two records", answer(t, 7, root, 0, service+" 30 SRV 1 2 80 a.example.org.", service+" 60 SRV 1 0 80 b.example.org."), Good, 2, 30 * time.Second},
		{"a CNAME", answer(t, 7, root, 0, service+" 10 CNAME _x.example.org.", "_x.example.org. 60 SRV 1 2 80 a.example.org."), Good, 1, 10 * time.Second},
		{"a TTL of 0", answer(t, 7, root, 0, service+" 0 SRV 1 2 80 a.example.org."), Good, 1, 0},
		{"a TTL of 2^31", answer(t, 7, root, 0, service+" 2147483648 SRV 1 2 80 a.example.org."), Good, 1, 0},
		{"a TTL of 2^31-1", answer(t, 7, root, 0, service+" 2147483647 SRV 1 2 80 a.example.org."), Good, 1, maxTTL},
		{"records of another name", answer(t, 7, root, 0, "other.example.org. 30 SRV 1 2 80 a.example.org."), NoRecords, 0, 0},
		{"no records, with a negative TTL", answer(t, 7, root, 0, "^example.org. 90 SOA a. b. 1 2 3 4 60"), NoRecords, 0, time.Minute},
		{"no such name", answer(t, 7, root, dns.RcodeNameError, "^example.org. 90 SOA a. b. 1 2 3 4 86400"), NoRecords, 0, 90 * time.Second},
		{"refused", answer(t, 7, root, dns.RcodeRefused), Refused, 0, 0},
		{"server failure", answer(t, 7, root, dns.RcodeServerFailure), Refused, 0, 0},
		{"a long chain of CNAMEs", answer(t, 7, root, 0, chain...), Malformed, 0, 0},
		{"a loop of CNAMEs", answer(t, 7, root, 0, service+" 60 CNAME n.example.org.", "n.example.org. 60 CNAME "+service), Malformed, 0, 0},
		{"too many records", answer(t, 7, root, 0, many...), Malformed, 0, 0},
		{"half a message", answer(t, 7, root, 0, service+" 30 SRV 1 2 80 a.example.org.")[:60], Malformed, 0, 0},
		{"a compressed name that points at itself", append(answer(t, 7, root, 0)[:12], 0xc0, 12, 0, 33, 0, 1), Malformed, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := ParseAnswer(c.wire, 7, root)
			if err != nil || got.Verdict != c.verdict || len(got.Targets) != c.targets || got.TTL != c.ttl && c.verdict <= NoRecords {
				t.Errorf("%v, %+v", err, got)
			}
		})
	}
	cut := answer(t, 7, root, 0, service+" 30 SRV 1 2 80 a.example.org.")
	cut[2] |= 2
	if got, err := ParseAnswer(cut, 7, root); err != nil || got.Verdict != Truncated {
		t.Errorf("truncated answer: %v, %+v", err, got)
	}
	question := answer(t, 7, root, 0)
	question[2] &^= 0x80
	for name, wire := range map[string][]byte{"another id": answer(t, 8, root, 0), "another name": answer(t, 7, Question{"x.", dns.TypeSRV}, 0),
		"another type": answer(t, 7, Question{service, dns.TypeA}, 0), "a question": question, "one byte": {7}, "nothing": nil} {
		if got, err := ParseAnswer(wire, 7, root); !errors.Is(err, ErrUnrelated) {
			t.Errorf("%s: %v, %+v", name, err, got)
		}
	}
	upper := answer(t, 7, Question{strings.ToUpper(service), dns.TypeSRV}, 0, strings.ToUpper(service)+" 30 SRV 1 2 80 A.example.org.")
	if got, err := ParseAnswer(upper, 7, root); err != nil || len(got.Targets) != 1 || got.Targets[0].Host != "a.example.org." {
		t.Errorf("upper case: %v, %+v", err, got)
	}
}

// world answers a Resolver's queries from a zone in virtual time, and records queries and updates.
type world struct {
	t           *testing.T
	r           *Resolver
	at          time.Duration
	zone        func(a Query) Answer
	queries     []Query
	snapshot    *Snapshot
	updates     int
	unreachable int
}

func newWorld(t *testing.T, set Settings, zone func(Query) Answer) *world {
	set.Name = "_Forms._tcp.example.org"
	return &world{t: t, r: New(set, 1), at: time.Hour, zone: zone}
}

// run lets time pass; queries are answered at once.
func (w *world) run(d time.Duration) {
	for end := w.at + d; ; {
		due, again := w.r.Due(w.at)
		for len(due) > 0 {
			a := due[0]
			w.queries = append(w.queries, a)
			if due = append(due[1:], w.r.HandleAnswer(w.at, a.Number, a.TCP, w.zone(a))...); len(due) == 0 {
				due, again = w.r.Due(w.at) // answers may have made more questions due
			}
		}
		snapshot, unreachable := w.r.TakeUpdate()
		if snapshot != nil {
			w.snapshot = snapshot
			w.updates++
		}
		if unreachable {
			w.unreachable++
		}
		if again <= w.at {
			again = w.at + 1
		}
		if again > end {
			w.at = end
			return
		}
		w.at = again
	}
}

var ip = netip.MustParseAddr

// zone returns a function that answers queries for a zone with two servers.
func zone(ttl time.Duration) func(Query) Answer {
	return func(a Query) Answer {
		switch {
		case a.Type == dns.TypeSRV:
			return Answer{TTL: ttl, Targets: []Target{{"a.example.org.", 80, 1, 0}, {"b.example.org.", 81, 2, 9}}}
		case a.Name == "a.example.org." && a.Type == dns.TypeA:
			return Answer{TTL: ttl, Addrs: []netip.Addr{ip("127.0.0.1")}}
		case a.Name == "a.example.org.":
			return Answer{TTL: ttl, Addrs: []netip.Addr{ip("::1")}}
		case a.Type == dns.TypeA:
			return Answer{TTL: ttl, Addrs: []netip.Addr{ip("127.0.0.2")}}
		}
		return Answer{Verdict: NoRecords, TTL: ttl}
	}
}

func TestSnapshotFromRecords(t *testing.T) {
	w := newWorld(t, Defaults, zone(time.Minute))
	w.run(0)
	want := []membership.Claim{{Key: "a.example.org.:80", Addrs: []string{"[::1]:80", "127.0.0.1:80"}, HasTier: true, Tier: 1},
		{Key: "b.example.org.:81", Addrs: []string{"127.0.0.2:81"}, HasTier: true, Tier: 2, Weight: 9}}
	if w.snapshot == nil || !slices.EqualFunc(w.snapshot.Claims, want, func(a, b membership.Claim) bool { return fmt.Sprint(a) == fmt.Sprint(b) }) ||
		w.snapshot.ValidUntil != time.Hour+time.Minute {
		t.Errorf("%+v", w.snapshot)
	}
	if w.queries[0].Question != root || len(w.queries) != 5 {
		t.Errorf("asked %v", w.queries)
	}
}

// The rate of queries follows the TTLs, within limits. It cannot depend on the number of calls, which the Resolver does not
// know.
func TestQueryRate(t *testing.T) {
	for name, c := range map[string]struct {
		ttl         time.Duration
		least, most int // queries of the SRV records in 10 min
	}{"a TTL of 0": {0, 590, 620}, "a TTL of 10 s": {10 * time.Second, 60, 81}, "a TTL of a day": {24 * time.Hour, 2, 4}} {
		t.Run(name, func(t *testing.T) {
			set := Defaults
			set.Budget = 1_000_000
			w := newWorld(t, set, zone(c.ttl))
			w.run(10 * time.Minute)
			n := 0
			for _, a := range w.queries {
				if a.Question == root {
					n++
				}
			}
			if n < c.least || n > c.most {
				t.Errorf("%d queries of the SRV records", n)
			}
		})
	}
	set := Defaults
	set.Budget = 60
	w := newWorld(t, set, zone(0))
	w.run(10 * time.Minute)
	if n := len(w.queries); n > 60*10+15 || n < 500 { // the budget of ten minutes and the initial burst
		t.Errorf("%d queries in 10 min with a budget of 60 per minute", n)
	}
}

// If name servers fail, the next one is asked, with backoff after each round. Addresses are kept beyond their TTL for a while,
// the failure is reported once, and updates resume when a server answers again.
func TestAllNameServersFail(t *testing.T) {
	for _, verdict := range []Verdict{NoReply, Refused, Malformed} {
		t.Run(verdict.String(), func(t *testing.T) {
			set := Defaults
			set.Servers = 2
			healthy, up := zone(10*time.Second), true
			w := newWorld(t, set, func(a Query) Answer {
				if up {
					return healthy(a)
				}
				return Answer{Verdict: verdict}
			})
			w.run(0)
			first := w.updates
			up = false
			w.queries = nil
			w.run(10 * time.Minute)
			servers := map[int]int{}
			for _, a := range w.queries {
				if a.Question == root {
					servers[a.Server]++
				}
			}
			if w.unreachable != 1 || w.updates > first+8 || servers[0] < 5 || servers[1] < 5 || servers[0] > 30 {
				t.Errorf("reported as unreachable %d times, %d updates, queries by server %v", w.unreachable, w.updates-first, servers)
			}
			if w.snapshot == nil || len(w.snapshot.Claims) != 2 || w.snapshot.ValidUntil > time.Hour+10*time.Second {
				t.Errorf("%+v", w.snapshot)
			}
			up = true
			w.run(10 * time.Minute)
			if w.snapshot.ValidUntil < w.at || len(w.snapshot.Claims) != 2 {
				t.Errorf("after recovery: %+v at %v", w.snapshot, w.at)
			}
		})
	}
}

// A truncated answer is asked for over TCP once; if that fails, the next server is asked.
func TestTruncatedAnswer(t *testing.T) {
	set := Defaults
	set.Servers = 2
	healthy := zone(time.Minute)
	first := -1
	w := newWorld(t, set, func(a Query) Answer {
		if a.Question == root && first < 0 {
			first = a.Server
		}
		switch {
		case a.Question == root && !a.TCP && a.Server == first:
			return Answer{Verdict: Truncated}
		case a.Question == root && a.Server == first:
			return Answer{Verdict: NoReply}
		}
		return healthy(a)
	})
	w.run(0)
	if len(w.queries) < 3 || w.queries[0].TCP || !w.queries[1].TCP || w.queries[1].Server != first || w.queries[2].TCP || w.queries[2].Server == first ||
		w.queries[1].Timeout != set.TCPTimeout || w.snapshot == nil {
		t.Errorf("asked %+v", w.queries)
	}
}

// Unusual SRV records: a service that is not available, no records, hosts without addresses, a host and port twice.
func TestUnusualRecords(t *testing.T) {
	for name, c := range map[string]struct {
		targets []Target
		claims  int // -1 for no update
	}{
		"not available":            {[]Target{{".", 0, 0, 0}}, 0},
		"a host and port twice":    {[]Target{{"a.example.org.", 80, 1, 0}, {"a.example.org.", 80, 2, 0}}, 1},
		"two ports":                {[]Target{{"a.example.org.", 80, 1, 0}, {"a.example.org.", 81, 1, 0}}, 2},
		"a host without address":   {[]Target{{"none.example.org.", 80, 1, 0}}, -1},
		"one host without address": {[]Target{{"none.example.org.", 80, 1, 0}, {"a.example.org.", 80, 1, 0}}, 1},
		"no records":               {nil, 0},
	} {
		t.Run(name, func(t *testing.T) {
			healthy := zone(time.Minute)
			w := newWorld(t, Defaults, func(a Query) Answer {
				switch {
				case a.Question == root && c.targets == nil:
					return Answer{Verdict: NoRecords, TTL: time.Minute}
				case a.Question == root:
					return Answer{TTL: time.Minute, Targets: c.targets}
				case strings.HasPrefix(a.Name, "none."):
					return Answer{Verdict: NoRecords}
				}
				return healthy(a)
			})
			w.run(0)
			switch {
			case c.claims < 0 && w.snapshot != nil, c.claims >= 0 && (w.snapshot == nil || len(w.snapshot.Claims) != c.claims):
				t.Errorf("%+v", w.snapshot)
			}
		})
	}
}

// 4,000 records need queries for the addresses of 4,000 names. Their rate stays within the budget.
func TestManyRecords(t *testing.T) {
	w := newWorld(t, Defaults, nil)
	var targets []Target
	for i := range 4000 {
		targets = append(targets, Target{fmt.Sprintf("n%d.example.org.", i), 80, 0, 0})
	}
	w.zone = func(a Query) Answer {
		if a.Question == root {
			return Answer{TTL: time.Hour, Targets: targets}
		}
		return Answer{TTL: time.Hour, Addrs: []netip.Addr{ip("127.0.0.1")}}
	}
	w.run(5 * time.Minute)
	if n := len(w.queries); n > Defaults.Budget*5+Defaults.Budget/4 || n < Defaults.Budget*4 {
		t.Errorf("%d queries in 5 min", n)
	}
}

// ParseAnswer terminates for any input, and its result is within the limits.
func FuzzRead(f *testing.F) {
	f.Add(answer(f, 7, root, 0, service+" 30 SRV 1 2 80 a.example.org.", "+a.example.org. 5 A 127.0.0.1", "+a.example.org. 5 AAAA ::1"))
	f.Add(answer(f, 7, root, 0, service+" 60 CNAME n.example.org.", "n.example.org. 60 CNAME "+service))
	f.Add(answer(f, 7, root, dns.RcodeNameError, "^example.org. 90 SOA a. b. 1 2 3 4 86400"))
	f.Fuzz(func(t *testing.T, wire []byte) {
		a, err := ParseAnswer(wire, 7, root)
		if err != nil {
			return
		}
		if len(a.Targets) > maxRecords || len(a.Additional) > maxRecords || a.TTL < 0 || a.TTL > maxTTL || a.Verdict == Good && len(a.Targets) == 0 {
			t.Fatalf("%+v", a)
		}
	})
}
