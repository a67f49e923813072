package choice

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
)

// NewWithSource returns a Balancer whose chance comes from a source, so that an explorer can try what chance may do.
func NewWithSource(set Settings, src rand.Source) (*Balancer, error) {
	b, err := New(set, 0)
	if err == nil {
		b.rng = rand.New(src)
	}
	return b, err
}

// Fingerprint appends all that the Balancer's next decisions depend on, but for chance. Two Balancers of equal settings
// with equal fingerprints act alike from then on, whatever led there.
func (b *Balancer) Fingerprint(to []byte) []byte {
	num := func(all ...float64) {
		for _, x := range all {
			to = binary.LittleEndian.AppendUint64(to, math.Float64bits(x))
		}
	}
	flags := func(all ...bool) {
		for _, x := range all {
			to = append(to, map[bool]byte{true: 1}[x])
		}
	}
	text := func(s string) { to = append(append(to, s...), 0) }
	num(b.usual...)
	num(b.least...)
	num(b.budget, float64(b.tries), b.jam, b.use, b.known, b.jamWeight, b.total, b.well, b.lost, b.served, b.worth)
	server := func(s *server) {
		text(s.ID)
		num(float64(s.State), float64(s.Started), s.rate, s.trust, s.capacity, s.done, s.util, s.used, float64(s.reported),
			s.held, float64(s.seen), float64(s.asked), s.rank, float64(s.heard), float64(s.passed), s.failing,
			float64(s.until), s.spare, s.weight, float64(len(s.inFlight)))
		flags(s.far, s.trial)
		for _, a := range s.inFlight {
			text(a.req.ID)
			num(float64(a.n))
		}
	}
	for _, s := range b.servers {
		server(s)
	}
	ids := make([]string, 0, len(b.requests))
	for id := range b.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		r := b.requests[id]
		text(id)
		num(float64(r.Deadline), float64(r.since), float64(r.waits), float64(r.out), float64(len(r.attempts)))
		flags(r.closed, b.timers[r.due] == r, b.timers[r.late] == r)
		for _, a := range r.attempts {
			server(a.srv)
			num(float64(a.sent))
			flags(a.out, a.neverRan)
		}
	}
	return to
}
