package choice

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// NewWithSource returns a Balancer whose chance comes from a source, so that an explorer can try what chance may do.
func NewWithSource(set Settings, src rand.Source) (*Balancer, error) {
	b, err := New(set, 0)
	if err == nil {
		b.rng = rand.New(src)
	}
	return b, err
}

func appendNumbers(to []byte, all []float64) []byte {
	for _, x := range all {
		to = binary.LittleEndian.AppendUint64(to, math.Float64bits(x))
	}
	return to
}

// inOrder returns the requests by their ids.
func (b *Balancer) inOrder() []*request {
	all := slices.AppendSeq(make([]*request, 0, len(b.requests)), maps.Values(b.requests))
	slices.SortFunc(all, func(x, y *request) int { return cmp.Compare(x.ID, y.ID) })
	return all
}

// Fingerprint appends all that the Balancer's next decisions depend on, but for chance. Two Balancers of equal settings
// with equal fingerprints act alike from then on, whatever led there.
func (b *Balancer) Fingerprint(to []byte) []byte {
	num := func(all ...float64) { to = appendNumbers(to, all) }
	flags := func(all ...bool) {
		for _, x := range all {
			to = append(to, map[bool]byte{true: 1}[x])
		}
	}
	text := func(s string) { to = append(append(to, s...), 0) }
	num(b.usual...)
	num(b.least...)
	num(b.budget, b.jam, b.use, b.known, b.jamWeight, b.total, b.well, b.lost, b.served, b.worth, b.coldBad, b.coldSeen,
		float64(min(b.judged, 1)), float64(b.checked), float64(b.wrong), float64(b.tickBy), float64(b.stallEnd), float64(b.stalled))
	server := func(s *server) {
		text(s.ID)
		num(float64(s.State), float64(s.Started), s.rate, s.trust, s.capacity, s.done, s.util, s.used, float64(s.reported),
			s.held, float64(s.seen), float64(s.asked), s.Place, float64(s.heard), float64(s.passed), s.failing,
			float64(s.until), float64(s.back), s.others, s.spare, s.weight, float64(len(s.inFlight)), float64(min(s.judged, 1)))
		flags(s.far, s.trial, s.recalled)
		for _, a := range s.inFlight {
			text(a.req.ID)
			num(float64(a.n))
		}
	}
	for _, s := range b.servers {
		server(s)
	}
	for _, r := range b.inOrder() {
		text(r.ID)
		num(float64(r.Deadline), float64(r.since), float64(r.waits), float64(r.out), float64(len(r.attempts)))
		flags(r.closed, b.timers[r.due] == r, b.timers[r.late] == r)
		for _, a := range r.attempts {
			server(a.srv)
			num(float64(a.sent))
			flags(a.out, a.neverRan, a.rescued)
		}
	}
	return to
}

// Ahead is what may still come to a Balancer that is explored.
type Ahead struct {
	Now      time.Duration
	Requests int  // new ones, before time goes on
	Looks    bool // at health while a request is open
}

// Outlook is a Fingerprint of what can still matter. It leaves out what no decision will read any more, where none of
// the requests is probed for or has a key, no server reports or is cold, and chance gives only its least or its most,
// to all draws of an event alike: then a draw is the first or the last of the candidates, whatever they weigh.
//
//   - Without looks at health, the share lost and the slack used are read only for new requests, and usual and least
//     times only to tell how much of the slack is used, which is none at the instant at which all were sent.
//   - What is known of servers is read only if there may be one more attempt.
//   - Failures are read only for an ejection: where so many more as there may be make none, they are none.
//   - The budget is read only where it might not do for the attempts that there may be.
func (b *Balancer) Outlook(to []byte, ahead Ahead) []byte {
	if ahead.Looks {
		return b.Fingerprint(to)
	}
	num := func(all ...float64) { to = appendNumbers(to, all) }
	more := func(r *request) int { // attempts that it may still get
		if r.closed || ahead.Now >= r.Deadline {
			return 0
		}
		return b.set.MaxAttempts - len(r.attempts)
	}
	further := ahead.Requests * b.set.MaxAttempts
	judged := further // outcomes that may come
	requests := b.inOrder()
	for _, r := range requests {
		further += more(r)
		judged += r.out + more(r)
	}
	if ahead.Requests > 0 {
		num(b.jam, b.lost, b.worth)
	}
	if b.budget < float64(further)+1 {
		num(b.budget)
	}
	if further > 0 {
		ejects := false
		for _, s := range b.servers {
			worst := 1 - (1-s.failing)*math.Pow(1-failWeight, float64(judged))
			ejects = ejects || s.until > 0 || worst > failEject
		}
		for _, s := range b.servers {
			to = append(append(to, s.ID...), byte(s.State))
			num(float64(s.Started))
			if ejects {
				num(s.failing, float64(min(s.until, 1)))
			}
		}
	}
	for _, r := range requests {
		to = append(append(to, r.ID...), 0, byte(r.out), byte(len(r.attempts)))
		for _, a := range r.attempts {
			var state byte
			if a.out {
				state = 1
			}
			if a.neverRan && !r.closed {
				state |= 2
			}
			if r.closed {
				state |= 4
			}
			to = append(to, state)
			if more(r) > 0 {
				to = append(append(to, a.srv.ID...), 0)
			}
			if more(r) > 0 && r.class.Effect == Keyed {
				num(float64(a.sent))
			}
		}
	}
	return to
}

// Heeds reports whether a timer still means something.
func (b *Balancer) Heeds(token uint64) bool {
	return token == tickToken || b.timers[token] != nil
}

// Copy returns an equal Balancer with a source of chance of its own. It must not wait for the answer to a probe.
func (b *Balancer) Copy(src rand.Source) *Balancer {
	twin := *b
	twin.rng, twin.actions = rand.New(src), nil
	twin.usual, twin.least = slices.Clone(b.usual), slices.Clone(b.least)
	servers := make(map[*server]*server, len(b.servers))
	of := func(s *server) *server {
		same := servers[s]
		if same == nil && s != nil {
			same = new(server)
			*same = *s
			same.inFlight, same.asking = nil, nil
			servers[s] = same
		}
		return same
	}
	twin.requests = make(map[string]*request, len(b.requests))
	for id, r := range b.requests {
		same := new(request)
		*same = *r
		same.drawn, same.home, same.attempts = nil, nil, make([]*attempt, len(r.attempts), b.set.MaxAttempts)
		for i, a := range r.attempts {
			same.attempts[i] = &attempt{req: same, srv: of(a.srv), n: a.n, sent: a.sent, out: a.out, neverRan: a.neverRan, rescued: a.rescued}
		}
		twin.requests[id] = same
	}
	twin.byID, twin.servers = make(map[string]*server, len(b.byID)), make([]*server, len(b.servers))
	for i, s := range b.servers {
		twin.servers[i] = of(s)
		twin.byID[s.ID] = of(s)
	}
	for s, same := range servers { // those that are gone among them
		for _, a := range s.inFlight {
			same.inFlight = append(same.inFlight, twin.requests[a.req.ID].attempts[a.n])
		}
	}
	twin.timers = maps.Clone(b.timers)
	for token, r := range b.timers {
		twin.timers[token] = twin.requests[r.ID]
	}
	return &twin
}
