// Package resolve decides what to ask of which name server and when, so that a service's servers are known from SRV
// records: by the records' lifetimes, with jitter, backoff and a budget, however short these lifetimes are and however many
// calls there are. It does no I/O and reads no clock; wire code is github.com/miekg/dns's.
package resolve

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/miekg/dns"

	"ternbeam/choice"
	"ternbeam/internal/decide/membership"
)

// Settings say what is resolved, and how.
type Settings struct {
	Name    string        // of the SRV records, such as _forms._tcp.example.org
	Servers int           // how many name servers there are
	Timeout time.Duration // for an answer by UDP
	TCP     time.Duration // for one by TCP
	Least   time.Duration // between two times that the same is asked, whatever the lifetimes
	Most    time.Duration
	Stale   time.Duration // for which addresses outlive their lifetime where no one answers (RFC 8767)
	Budget  int           // questions a minute
	Speaks  choice.Protocols
	IPv6    bool // ask for AAAA
	IPv4    bool // ask for A
}

// Defaults are the settings where none are given.
var Defaults = Settings{Servers: 1, Timeout: time.Second, TCP: 3 * time.Second, Least: time.Second, Most: 5 * time.Minute,
	Stale: time.Hour, Budget: 600, IPv4: true, IPv6: true}

// maxTargets bounds the names whose addresses are asked for.
const maxTargets = 5000

// Ask is a question that is to be asked now.
type Ask struct {
	Number  uint64 // tells it from others
	Server  int
	TCP     bool
	Timeout time.Duration
	Question
}

// Word is what the records say now, for the membership: whole, and until when it holds.
type Word struct {
	Claims []membership.Claim
	Until  time.Duration
}

// Resolver is one service's. It is not safe for concurrent use.
type Resolver struct {
	set     Settings
	rng     *rand.Rand
	now     time.Duration
	root    Question
	state   map[Question]*state
	out     map[uint64]*state
	number  uint64
	tokens  float64
	filled  time.Duration
	waiting queue // questions that are not out
	pending int   // questions of which nothing came yet, not even that nobody answers
	fresh   bool  // something came since the last word
	last    *Word // that was told
	lost    bool  // that nobody answers was told
	tell    bool  // that it is to be told
}

// state is what is known of a question.
type state struct {
	q       Question
	known   bool // an answer ever came
	targets []Target
	addrs   []netip.Addr
	expires time.Duration
	next    time.Duration // when it is asked again
	asked   uint64        // the question that is out; 0 for none
	server  int           // to be asked, or asked
	tried   int           // servers that failed in a row
	rounds  int           // in which all failed, in a row
	place   int           // among those that wait; -1 for not
	heard   bool          // something came of it, if only that nobody answers
}

// New returns a Resolver.
func New(set Settings, seed uint64) *Resolver {
	r := &Resolver{set: set, rng: rand.New(rand.NewPCG(seed, 3)), root: Question{lower(set.Name), dns.TypeSRV},
		state: map[Question]*state{}, out: map[uint64]*state{}, tokens: float64(set.Budget) / 4}
	r.want(r.root)
	return r
}

// want has a question asked from now on.
func (r *Resolver) want(q Question) *state {
	s := r.state[q]
	if s == nil {
		s = &state{q: q, place: -1}
		if r.set.Servers > 1 {
			s.server = r.rng.IntN(r.set.Servers)
		}
		r.state[q] = s
		r.pending++
		r.wait(s, r.now)
	}
	return s
}

// heard notes that something came of a question.
func (r *Resolver) heard(s *state) {
	if !s.heard {
		s.heard = true
		r.pending--
	}
	r.fresh = true
}

// Due lists the questions that are to be asked now, and says when to come again: then, or after an answer. What
// was due the longest goes first.
func (r *Resolver) Due(now time.Duration) (asks []Ask, again time.Duration) {
	r.pass(now)
	again = r.now + r.set.Most
	for len(r.waiting) > 0 {
		s := r.waiting[0]
		if s.next > r.now {
			return asks, min(again, s.next)
		}
		if r.tokens < 1 {
			return asks, r.now + time.Duration((1-r.tokens)*float64(time.Minute)/float64(r.set.Budget)) + 1
		}
		heap.Pop(&r.waiting)
		asks = append(asks, r.ask(s, false))
	}
	return asks, again
}

// queue holds the questions that wait for their time.
type queue []*state

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	a, b := q[i], q[j]
	return cmp.Or(cmp.Compare(a.next, b.next), cmp.Compare(b.q.Type, a.q.Type), cmp.Compare(a.q.Name, b.q.Name)) < 0 // SRV first
}
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].place, q[j].place = i, j
}
func (q *queue) Push(x any) {
	s := x.(*state)
	s.place = len(*q)
	*q = append(*q, s)
}
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	last.place = -1
	return last
}

// wait has a question wait for its time.
func (r *Resolver) wait(s *state, until time.Duration) {
	if s.next = until; s.place >= 0 {
		heap.Fix(&r.waiting, s.place)
	} else if s.asked == 0 {
		heap.Push(&r.waiting, s)
	}
}

func (r *Resolver) pass(now time.Duration) {
	r.now = max(r.now, now)
	if r.filled == 0 {
		r.filled = r.now
	}
	r.tokens = min(float64(r.set.Budget)/4, r.tokens+float64(r.set.Budget)*(r.now-r.filled).Minutes())
	r.filled = r.now
}

func (r *Resolver) ask(s *state, tcp bool) Ask {
	r.number++
	r.tokens--
	s.asked = r.number
	r.out[r.number] = s
	a := Ask{Number: r.number, Server: s.server, TCP: tcp, Timeout: r.set.Timeout, Question: s.q}
	if tcp {
		a.Timeout = r.set.TCP
	}
	return a
}

// Answered takes what came of a question, and returns one that is to be asked at once, if any.
func (r *Resolver) Answered(now time.Duration, number uint64, tcp bool, a Answer) (more []Ask) {
	r.pass(now)
	s := r.out[number]
	if s == nil {
		return nil
	}
	delete(r.out, number)
	s.asked = 0
	if r.state[s.q] != s {
		return nil // it is not wanted any more
	}
	switch {
	case a.Verdict == Cut && !tcp:
		return []Ask{r.ask(s, true)}
	case a.Verdict == Good || a.Verdict == None:
		r.learn(s, a)
		return nil
	}
	s.tried++
	if s.server = (s.server + 1) % max(1, r.set.Servers); s.tried < r.set.Servers && r.tokens >= 1 {
		return []Ask{r.ask(s, false)}
	}
	r.heard(s)
	s.tried = 0
	s.rounds++
	r.wait(s, r.now+r.jitter(min(r.set.Least<<min(s.rounds-1, 16), r.set.Most)))
	if s.q == r.root && !r.lost && (!s.known || r.now >= s.expires) {
		r.lost, r.tell = true, true
	}
	return nil
}

// jitter is a time from three quarters of one to the whole of it.
func (r *Resolver) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + r.rng.Float64()/4))
}

// learn takes an answer.
func (r *Resolver) learn(s *state, a Answer) {
	r.heard(s)
	s.known, s.tried, s.rounds = true, 0, 0
	s.targets, s.addrs = a.Targets, a.Addrs
	ttl := min(max(a.TTL, r.set.Least), r.set.Most)
	s.expires = r.now + max(a.TTL, r.set.Least)
	r.wait(s, r.now+max(r.set.Least, r.jitter(ttl)))
	if s.q == r.root {
		r.lost = false
		r.targets(s, a)
	}
}

// targets wants the addresses of what SRV names, but for those that came with it.
func (r *Resolver) targets(root *state, a Answer) {
	wanted := map[Question]bool{r.root: true}
	for i, t := range root.targets {
		if i >= maxTargets || t.Host == "." { // "not here"
			continue
		}
		for _, kind := range r.kinds() {
			q := Question{t.Host, kind}
			wanted[q] = true
			if beside := of(a.Beside[t.Host], kind); len(beside) > 0 {
				s := r.want(q)
				r.heard(s)
				s.known, s.addrs, s.tried, s.rounds = true, beside, 0, 0
				ttl := min(max(a.Lives[t.Host], r.set.Least), r.set.Most)
				s.expires = r.now + max(a.Lives[t.Host], r.set.Least)
				r.wait(s, r.now+max(r.set.Least, r.jitter(ttl)))
			} else {
				r.want(q)
			}
		}
	}
	for q := range r.state {
		if !wanted[q] {
			s := r.state[q]
			if !s.heard {
				r.pending--
			}
			if s.place >= 0 {
				heap.Remove(&r.waiting, s.place)
			}
			delete(r.state, q)
		}
	}
}

func (r *Resolver) kinds() (kinds []uint16) {
	if r.set.IPv6 {
		kinds = append(kinds, dns.TypeAAAA)
	}
	if r.set.IPv4 {
		kinds = append(kinds, dns.TypeA)
	}
	return kinds
}

// of are the addresses of one kind.
func of(all []netip.Addr, kind uint16) (some []netip.Addr) {
	for _, ip := range all {
		if ip.Is4() == (kind == dns.TypeA) {
			some = append(some, ip)
		}
	}
	return some
}

// word words what is known: nil while it is not known of every name whether it has addresses, and where names have none at
// all, which says nothing of servers.
func (r *Resolver) word() *Word {
	root := r.state[r.root]
	if !root.known || r.pending > 0 {
		return nil
	}
	w := &Word{Until: root.expires}
	seen := map[string]bool{}
	here := false
	for i, t := range root.targets {
		if i >= maxTargets || t.Host == "." {
			continue
		}
		here = true
		c := membership.Claim{Key: fmt.Sprintf("%s:%d", t.Host, t.Port), Tiered: true, Tier: int(t.Priority), Weight: float64(t.Weight), Speaks: r.set.Speaks}
		if seen[c.Key] {
			continue // of two records for one place the first counts
		}
		seen[c.Key] = true
		for _, kind := range r.kinds() {
			if s := r.state[Question{t.Host, kind}]; s != nil && s.known && r.now < s.expires+r.set.Stale {
				for _, ip := range s.addrs {
					c.Addrs = append(c.Addrs, netip.AddrPortFrom(ip, t.Port).String())
				}
			}
		}
		if len(c.Addrs) > 0 {
			w.Claims = append(w.Claims, c)
		}
	}
	if here && len(w.Claims) == 0 {
		return nil
	}
	return w
}

// Told returns what is to be told since the last time: the records' word, if it is another one or holds for longer, and
// whether nobody answers.
func (r *Resolver) Told() (word *Word, lost bool) {
	lost, r.tell = r.tell, false
	if !r.fresh {
		return nil, lost
	}
	r.fresh = false
	if word = r.word(); word == nil || r.last != nil && word.Until == r.last.Until && slices.EqualFunc(word.Claims, r.last.Claims, same) {
		return nil, lost
	}
	r.last = word
	return word, lost
}

func same(a, b membership.Claim) bool {
	return a.Key == b.Key && a.Tier == b.Tier && a.Weight == b.Weight && slices.Equal(a.Addrs, b.Addrs)
}
