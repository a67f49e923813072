// Package resolve finds a service's servers by SRV records: it decides which DNS question to send to which name server and
// when. Queries follow the TTLs of the records, with jitter, backoff and a budget, so that their rate is limited however
// short the TTLs are, and does not depend on the number of calls. The package does no I/O and reads no clock; it leaves the
// wire format to github.com/miekg/dns.
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

// Settings configure a Resolver.
type Settings struct {
	Name        string           // of the SRV records, such as _forms._tcp.example.org
	Servers     int              // number of name servers
	Timeout     time.Duration    // for an answer over UDP
	TCPTimeout  time.Duration    // for an answer over TCP
	MinInterval time.Duration    // minimum time between two queries of a question, even if the TTL is shorter
	MaxInterval time.Duration    // maximum time between them, even if the TTL is longer
	StaleFor    time.Duration    // how long addresses are used beyond their TTL if no server answers (RFC 8767)
	Budget      int              // queries per minute
	Speaks      choice.Protocols // what the servers found speak
	IPv6        bool             // query AAAA records
	IPv4        bool             // query A records
}

// Defaults are the default settings.
var Defaults = Settings{Servers: 1, Timeout: time.Second, TCPTimeout: 3 * time.Second, MinInterval: time.Second, MaxInterval: 5 * time.Minute,
	StaleFor: time.Hour, Budget: 600, IPv4: true, IPv6: true}

// maxTargets is the maximum number of SRV records that are used.
const maxTargets = 5000

// Query is a question to be sent now.
type Query struct {
	Number  uint64 // identifies the query
	Server  int    // index of the name server
	TCP     bool
	Timeout time.Duration
	Question
}

// Snapshot holds the servers by the current records, for package membership.
type Snapshot struct {
	Claims     []membership.Claim // about all servers
	ValidUntil time.Duration      // when the SRV records expire
}

// Resolver resolves the SRV records of one service. It is not safe for concurrent use.
type Resolver struct {
	settings       Settings
	rng            *rand.Rand
	now            time.Duration
	root           Question // the one for the SRV records
	questions      map[Question]*questionState
	inFlight       map[uint64]*questionState // by the query's number
	lastNumber     uint64
	tokens         float64       // queries that the budget allows now
	refilledAt     time.Duration // when tokens was last refilled
	scheduled      queue         // questions that are not in flight
	unresolved     int           // number of questions that are not resolved yet, see questionState
	changed        bool          // a question was answered, or failed on all servers, since TakeUpdate was last called
	lastTaken      *Snapshot     // the last one that TakeUpdate returned
	unreachable    bool          // no server answers for the SRV records, and the last ones have expired, if there were any
	unreachableDue bool          // TakeUpdate has yet to report that
}

// questionState is the state of a question.
type questionState struct {
	question      Question
	answered      bool          // it has been answered at least once
	targets       []Target      // of the latest answer to a question for SRV records
	addrs         []netip.Addr  // of the latest answer to a question for addresses
	expires       time.Duration // when the answer expires by its TTL
	nextAt        time.Duration // when to query it next
	inFlight      uint64        // number of the query in flight; 0 if none is
	server        int           // index of the server to query next, or queried now
	failedServers int           // servers that failed in this round
	failedRounds  int           // consecutive rounds in which all servers failed
	heapIndex     int           // in Resolver.scheduled; -1 if it is not in there
	resolved      bool          // it was answered, or a round failed on all servers
}

// New returns a Resolver. The seed is that of the jitter and the choice of servers. The budget starts with a full burst, see
// advance.
func New(set Settings, seed uint64) *Resolver {
	r := &Resolver{settings: set, rng: rand.New(rand.NewPCG(seed, 3)), root: Question{canonicalName(set.Name), dns.TypeSRV},
		questions: map[Question]*questionState{}, inFlight: map[uint64]*questionState{}, tokens: float64(set.Budget) / 4}
	r.track(r.root)
	return r
}

// track returns the state of a question; a new question is scheduled at once.
func (r *Resolver) track(q Question) *questionState {
	s := r.questions[q]
	if s == nil {
		s = &questionState{question: q, heapIndex: -1}
		if r.settings.Servers > 1 {
			s.server = r.rng.IntN(r.settings.Servers)
		}
		r.questions[q] = s
		r.unresolved++
		r.schedule(s, r.now)
	}
	return s
}

// markResolved records that a question was answered, or that no server answered it.
func (r *Resolver) markResolved(s *questionState) {
	if !s.resolved {
		s.resolved = true
		r.unresolved--
	}
	r.changed = true
}

// Due returns the queries to be sent now, the longest overdue first, and when to call it again: then, or after an answer.
func (r *Resolver) Due(now time.Duration) (queries []Query, again time.Duration) {
	r.advance(now)
	again = r.now + r.settings.MaxInterval
	for len(r.scheduled) > 0 {
		s := r.scheduled[0]
		if s.nextAt > r.now {
			return queries, min(again, s.nextAt)
		}
		if r.tokens < 1 {
			return queries, r.now + time.Duration((1-r.tokens)*float64(time.Minute)/float64(r.settings.Budget)) + 1
		}
		heap.Pop(&r.scheduled)
		queries = append(queries, r.send(s, false))
	}
	return queries, again
}

// queue is a heap of questions by the time at which they are due.
type queue []*questionState

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	a, b := q[i], q[j]
	return cmp.Or(cmp.Compare(a.nextAt, b.nextAt), cmp.Compare(b.question.Type, a.question.Type), cmp.Compare(a.question.Name, b.question.Name)) < 0 // SRV first
}
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex, q[j].heapIndex = i, j
}
func (q *queue) Push(x any) {
	s := x.(*questionState)
	s.heapIndex = len(*q)
	*q = append(*q, s)
}
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	last.heapIndex = -1
	return last
}

// schedule sets the time at which a question is due, and queues it unless a query of it is in flight.
func (r *Resolver) schedule(s *questionState, at time.Duration) {
	if s.nextAt = at; s.heapIndex >= 0 {
		heap.Fix(&r.scheduled, s.heapIndex)
	} else if s.inFlight == 0 {
		heap.Push(&r.scheduled, s)
	}
}

// advance advances the clock and refills the budget, which allows bursts of a quarter of a minute's queries.
func (r *Resolver) advance(now time.Duration) {
	r.now = max(r.now, now)
	if r.refilledAt == 0 {
		r.refilledAt = r.now
	}
	r.tokens = min(float64(r.settings.Budget)/4, r.tokens+float64(r.settings.Budget)*(r.now-r.refilledAt).Minutes())
	r.refilledAt = r.now
}

// send returns a query of a question and records it as in flight.
func (r *Resolver) send(s *questionState, tcp bool) Query {
	r.lastNumber++
	r.tokens--
	s.inFlight = r.lastNumber
	r.inFlight[r.lastNumber] = s
	q := Query{Number: r.lastNumber, Server: s.server, TCP: tcp, Timeout: r.settings.Timeout, Question: s.question}
	if tcp {
		q.Timeout = r.settings.TCPTimeout
	}
	return q
}

// HandleAnswer records the outcome of a query and returns a query to be sent at once, if any: over TCP if the answer was
// truncated, or to the next server if this one failed.
func (r *Resolver) HandleAnswer(now time.Duration, number uint64, tcp bool, a Answer) (more []Query) {
	r.advance(now)
	s := r.inFlight[number]
	if s == nil {
		return nil
	}
	delete(r.inFlight, number)
	s.inFlight = 0
	if r.questions[s.question] != s {
		return nil // its question is no longer tracked
	}
	switch {
	case a.Verdict == Truncated && !tcp:
		return []Query{r.send(s, true)}
	case a.Verdict == Good || a.Verdict == NoRecords:
		r.store(s, a)
		return nil
	}
	s.failedServers++
	if s.server = (s.server + 1) % max(1, r.settings.Servers); s.failedServers < r.settings.Servers && r.tokens >= 1 {
		return []Query{r.send(s, false)}
	}
	r.markResolved(s)
	s.failedServers = 0
	s.failedRounds++
	// The interval doubles with each failed round; the 16 only keeps the shift from overflowing.
	r.schedule(s, r.now+r.jitter(min(r.settings.MinInterval<<min(s.failedRounds-1, 16), r.settings.MaxInterval)))
	if s.question == r.root && !r.unreachable && (!s.answered || r.now >= s.expires) {
		r.unreachable, r.unreachableDue = true, true
	}
	return nil
}

// jitter returns a random duration from 75 % to 100 % of d.
func (r *Resolver) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + r.rng.Float64()/4))
}

// store records an answer and schedules the next query of its question.
func (r *Resolver) store(s *questionState, a Answer) {
	r.markResolved(s)
	s.answered, s.failedServers, s.failedRounds = true, 0, 0
	s.targets, s.addrs = a.Targets, a.Addrs
	ttl := min(max(a.TTL, r.settings.MinInterval), r.settings.MaxInterval)
	s.expires = r.now + max(a.TTL, r.settings.MinInterval)
	r.schedule(s, r.now+max(r.settings.MinInterval, r.jitter(ttl)))
	if s.question == r.root {
		r.unreachable = false
		r.trackTargets(s, a)
	}
}

// trackTargets tracks the address questions of the hosts in SRV records. Addresses in the additional section are used as their
// answers. Questions that are no longer needed are dropped.
func (r *Resolver) trackTargets(root *questionState, a Answer) {
	wanted := map[Question]bool{r.root: true}
	for i, t := range root.targets {
		if i >= maxTargets || t.Host == "." { // the host "." means that the service is not available (RFC 2782)
			continue
		}
		for _, recordType := range r.recordTypes() {
			q := Question{t.Host, recordType}
			wanted[q] = true
			if additional := ofType(a.Additional[t.Host], recordType); len(additional) > 0 {
				s := r.track(q)
				r.markResolved(s)
				s.answered, s.addrs, s.failedServers, s.failedRounds = true, additional, 0, 0
				ttl := min(max(a.AdditionalTTL[t.Host], r.settings.MinInterval), r.settings.MaxInterval)
				s.expires = r.now + max(a.AdditionalTTL[t.Host], r.settings.MinInterval)
				r.schedule(s, r.now+max(r.settings.MinInterval, r.jitter(ttl)))
			} else {
				r.track(q)
			}
		}
	}
	for q := range r.questions {
		if !wanted[q] {
			s := r.questions[q]
			if !s.resolved {
				r.unresolved--
			}
			if s.heapIndex >= 0 {
				heap.Remove(&r.scheduled, s.heapIndex)
			}
			delete(r.questions, q)
		}
	}
}

// recordTypes returns the types of address records to query.
func (r *Resolver) recordTypes() (types []uint16) {
	if r.settings.IPv6 {
		types = append(types, dns.TypeAAAA)
	}
	if r.settings.IPv4 {
		types = append(types, dns.TypeA)
	}
	return types
}

// ofType returns the addresses of one record type.
func ofType(all []netip.Addr, recordType uint16) (matching []netip.Addr) {
	for _, ip := range all {
		if ip.Is4() == (recordType == dns.TypeA) {
			matching = append(matching, ip)
		}
	}
	return matching
}

// snapshot returns the servers by the current records. It returns nil while a question is not resolved, and if the records
// have hosts but none of them has an address, which is no evidence that there are no servers.
func (r *Resolver) snapshot() *Snapshot {
	root := r.questions[r.root]
	if !root.answered || r.unresolved > 0 {
		return nil
	}
	snap := &Snapshot{ValidUntil: root.expires}
	seen := map[string]bool{}
	available := false
	for i, t := range root.targets {
		if i >= maxTargets || t.Host == "." {
			continue
		}
		available = true
		c := membership.Claim{Key: fmt.Sprintf("%s:%d", t.Host, t.Port), HasTier: true, Tier: int(t.Priority), Weight: float64(t.Weight), Speaks: r.settings.Speaks}
		if seen[c.Key] {
			continue // the first of two records with the same host and port is used
		}
		seen[c.Key] = true
		for _, recordType := range r.recordTypes() {
			if s := r.questions[Question{t.Host, recordType}]; s != nil && s.answered && r.now < s.expires+r.settings.StaleFor {
				for _, ip := range s.addrs {
					c.Addrs = append(c.Addrs, netip.AddrPortFrom(ip, t.Port).String())
				}
			}
		}
		if len(c.Addrs) > 0 {
			snap.Claims = append(snap.Claims, c)
		}
	}
	if available && len(snap.Claims) == 0 {
		return nil
	}
	return snap
}

// TakeUpdate returns what has changed since its last call: a snapshot if its content or expiry is new, else nil, and whether
// the name servers have become unreachable, which it reports once.
func (r *Resolver) TakeUpdate() (update *Snapshot, unreachable bool) {
	unreachable, r.unreachableDue = r.unreachableDue, false
	if !r.changed {
		return nil, unreachable
	}
	r.changed = false
	if update = r.snapshot(); update == nil || r.lastTaken != nil && update.ValidUntil == r.lastTaken.ValidUntil && slices.EqualFunc(update.Claims, r.lastTaken.Claims, sameClaim) {
		return nil, unreachable
	}
	r.lastTaken = update
	return update, unreachable
}

// sameClaim compares the fields of two claims that depend on the records.
func sameClaim(a, b membership.Claim) bool {
	return a.Key == b.Key && a.Tier == b.Tier && a.Weight == b.Weight && slices.Equal(a.Addrs, b.Addrs)
}
