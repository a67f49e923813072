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

// NewWithSource returns a Balancer that takes its random numbers from src, so that a model checker can try
// all of them.
func NewWithSource(settings Settings, src rand.Source) (*Balancer, error) {
	b, err := New(settings, 0)
	if err == nil {
		b.rng = rand.New(src)
	}
	return b, err
}

func appendNumbers(dst []byte, all []float64) []byte {
	for _, x := range all {
		dst = binary.LittleEndian.AppendUint64(dst, math.Float64bits(x))
	}
	return dst
}

// sortedRequests returns the requests in the order of their ids.
func (b *Balancer) sortedRequests() []*request {
	all := slices.AppendSeq(make([]*request, 0, len(b.requests)), maps.Values(b.requests))
	slices.SortFunc(all, func(x, y *request) int { return cmp.Compare(x.ID, y.ID) })
	return all
}

// Fingerprint appends the state on which the Balancer's next decisions depend, except for random numbers,
// lastPromptSend, server.subsetShare, Request.BodyPending and the times of the latest outcomes, of which it
// appends only whether there was any. Two Balancers with equal settings and fingerprints that agree in these,
// too, act alike from then on, whatever happened before.
func (b *Balancer) Fingerprint(dst []byte) []byte {
	num := func(all ...float64) { dst = appendNumbers(dst, all) }
	flags := func(all ...bool) { dst = appendFlags(dst, all) }
	text := func(s string) { dst = append(append(dst, s...), 0) }
	num(b.meanLatency...)
	num(b.minLatency...)
	num(b.retryBudget, b.congestion, b.meanUtil, b.totalConfidence, b.congestionWeight, b.totalCapacity,
		b.healthyCapacity, b.lossRate, b.answerRate, b.meanValue, b.coldFailureRate, b.coldSamples,
		float64(min(b.lastOutcome, 1)), float64(b.importChecks), float64(b.importErrors),
		float64(b.nextTick), float64(len(b.stalls)))
	for _, stalled := range b.stalls {
		num(float64(stalled.end), float64(stalled.length))
	}
	server := func(s *server) {
		text(s.ID)
		num(float64(s.State), float64(s.Started), s.capacityEstimate, s.confidence, s.blendedCapacity,
			s.reportedRate, s.reportedUtil, s.lastUtil, float64(s.lastReport), s.probedInFlight,
			float64(s.lastProbeAnswer), float64(s.lastProbe), s.SubsetRank, float64(s.lastHeard),
			float64(s.lastAnsweredSend), s.failureRate,
			float64(s.ejectedUntil), float64(s.readmittedAt), s.othersShare, s.coldAllowance, s.drawWeight,
			float64(len(s.inFlight)), float64(min(s.lastOutcome, 1)))
		flags(s.outsideSubset, s.trialActive, s.imported)
		for _, a := range s.inFlight {
			text(a.req.ID)
			num(float64(a.index))
		}
	}
	for _, s := range b.servers {
		server(s)
	}
	for _, r := range b.sortedRequests() {
		text(r.ID)
		num(float64(r.Deadline), float64(r.probedSince), float64(r.pendingProbes), float64(r.inFlight),
			float64(len(r.attempts)))
		flags(r.closed, b.timers[r.deadlineTimer] == r, b.timers[r.probeTimer] == r)
		for _, a := range r.attempts {
			server(a.srv)
			num(float64(a.sent), float64(a.zone), float64(a.cell))
			flags(a.inFlight, a.neverRan, a.canceledAsSilent, a.answerStarted, a.zoneUnknown, a.cellUnknown)
		}
	}
	return dst
}

// appendFlags appends a byte for each flag.
func appendFlags(dst []byte, all []bool) []byte {
	for _, x := range all {
		dst = append(dst, map[bool]byte{true: 1}[x])
	}
	return dst
}

// Remaining describes which events may still happen to a Balancer in a model checker.
type Remaining struct {
	Now          time.Duration
	Requests     int  // number of new requests before time advances
	HealthChecks bool // health may be checked while a request is open
}

// ReducedFingerprint appends a Fingerprint without the state that no decision will read any more. It
// requires that no request waits for probes or has a key, that no server reports its load or is cold, and
// that the random source returns only its least or its greatest value, the same for all draws of an event:
// then a draw takes the first or the last of the candidates, whatever their weights.
//
//   - Without health checks, the loss rate and the congestion are read only for new requests, and mean and
//     minimum latencies only to compute the slack used, which is none at the instant at which all were sent.
//   - What is known about servers is read only if there may be another attempt.
//   - Failure rates are read only to eject servers: if the outcomes that may still come cannot cause an
//     ejection, the rates are left out.
//   - The retry budget is read only if it might not suffice for the attempts that there may be.
func (b *Balancer) ReducedFingerprint(dst []byte, remaining Remaining) []byte {
	if remaining.HealthChecks {
		return b.Fingerprint(dst)
	}
	num := func(all ...float64) { dst = appendNumbers(dst, all) }
	attemptsLeft := func(r *request) int { // attempts that the request may still get
		if r.closed || remaining.Now >= r.Deadline {
			return 0
		}
		return b.settings.MaxAttempts - len(r.attempts)
	}
	attempts := remaining.Requests * b.settings.MaxAttempts
	outcomes := attempts // outcomes that may still come
	requests := b.sortedRequests()
	for _, r := range requests {
		attempts += attemptsLeft(r)
		outcomes += r.inFlight + attemptsLeft(r)
	}
	if remaining.Requests > 0 {
		num(b.congestion, b.lossRate, b.meanValue)
	}
	if b.retryBudget < float64(attempts)+1 {
		num(b.retryBudget)
	}
	if attempts > 0 {
		ejects := false
		for _, s := range b.servers {
			worst := 1 - (1-s.failureRate)*math.Pow(1-failureWeight, float64(outcomes))
			ejects = ejects || s.ejectedUntil > 0 || worst > ejectThreshold
		}
		for _, s := range b.servers {
			dst = append(append(dst, s.ID...), byte(s.State))
			num(float64(s.Started))
			if ejects {
				num(s.failureRate, float64(min(s.ejectedUntil, 1)))
			}
		}
	}
	for _, r := range requests {
		dst = append(append(dst, r.ID...), 0, byte(r.inFlight), byte(len(r.attempts)))
		for _, a := range r.attempts {
			var state byte // bit 0: in flight, bit 1: never ran, bit 2: the request is closed
			if a.inFlight {
				state = 1
			}
			if a.neverRan && !r.closed {
				state |= 2
			}
			if r.closed {
				state |= 4
			}
			dst = append(dst, state)
			if attemptsLeft(r) > 0 {
				dst = append(append(dst, a.srv.ID...), 0)
			}
			if attemptsLeft(r) > 0 && r.class.Effect == Keyed {
				num(float64(a.sent), float64(a.zone), float64(a.cell))
				dst = appendFlags(dst, []bool{a.zoneUnknown, a.cellUnknown})
			}
		}
	}
	return dst
}

// TimerPending reports whether the timer still has an effect.
func (b *Balancer) TimerPending(token uint64) bool {
	return token == tickToken || b.timers[token] != nil
}

// Clone returns an equal Balancer that takes its random numbers from src. It must not have requests that
// wait for probes.
func (b *Balancer) Clone(src rand.Source) *Balancer {
	clone := *b
	clone.rng, clone.actions = rand.New(src), nil
	clone.meanLatency, clone.minLatency = slices.Clone(b.meanLatency), slices.Clone(b.minLatency)
	servers := make(map[*server]*server, len(b.servers))
	cloneServer := func(s *server) *server {
		copied := servers[s]
		if copied == nil && s != nil {
			copied = new(server)
			*copied = *s
			copied.inFlight, copied.probeWaiters = nil, nil
			servers[s] = copied
		}
		return copied
	}
	clone.requests = make(map[string]*request, len(b.requests))
	for id, r := range b.requests {
		copied := new(request)
		*copied = *r
		copied.drawn, copied.affinityServer, copied.attempts = nil, nil,
			make([]*attempt, len(r.attempts), b.settings.MaxAttempts)
		for i, a := range r.attempts {
			attempt := *a
			attempt.req, attempt.srv = copied, cloneServer(a.srv)
			copied.attempts[i] = &attempt
		}
		clone.requests[id] = copied
	}
	clone.byID, clone.servers = make(map[string]*server, len(b.byID)), make([]*server, len(b.servers))
	for i, s := range b.servers {
		clone.servers[i] = cloneServer(s)
		clone.byID[s.ID] = cloneServer(s)
	}
	for s, copied := range servers { // including those that were removed
		for _, a := range s.inFlight {
			copied.inFlight = append(copied.inFlight, clone.requests[a.req.ID].attempts[a.index])
		}
	}
	clone.timers = maps.Clone(b.timers)
	for token, r := range b.timers {
		clone.timers[token] = clone.requests[r.ID]
	}
	return &clone
}
