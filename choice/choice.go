package choice

// The interface of this module, its settings, events and actions, is in api.go.

import (
	"math"
	"slices"
	"time"
)

// The module's own constants. All are shares, counts or multiples; times come from the settings.
const (
	draws       = 16   // servers drawn for a request, the paper's d
	askMost     = 4    // servers drawn where they are asked for their load first
	askCost     = 0.02 // what asking for one request may cost, as a share of it
	askFrom     = 0.4  // use from which servers are asked; a fourth of it in slack used
	unknown     = 0.25 // in servers: where less than the reports of so many hold, nothing is known
	askPart     = 8    // servers have this part of the aim to say their load
	nearRank    = 3    // a server in the own zone is in the subset so many times as likely
	tie         = 0.01 // loads so near each other, relatively, count as equal
	nearTimes   = 60   // an idle server in the own zone counts as larger by this times the price of crossing
	warmTimes   = 2    // a server that is home to a request's key counts as larger by it
	coldTimes   = 1.25 // a cold server's part of all sends, as a multiple of its part of the weight
	utilFloor   = 0.05 // less use than this says nothing of capacity, and less than this left counts as it
	learn       = 0.05 // weight of a new sample in the averages that are kept by count
	missedMost  = 16   // answers that a server may owe, by the usual time to one, before it is ejected
	triedMost   = 4    // and one that is tried: it is known to have owed as many before
	aloneMost   = 8    // parts that one gets which is taken back before the others know
	failWeight  = 0.3  // weight of a new sample in a server's share of failures
	failEject   = 0.6  // ejected above it: three failures in a row, from nothing
	lostFrom    = 0.03 // share of attempts lost at servers that answer others, from which late ones are copied
	copyTimes   = 2.0  // usual times to an answer after which an attempt counts as late then
	copyLast    = 8.0  // and after which one is copied whose server has been silent since it was sent
	coldHeed    = 0.5  // failures at cold servers lower their part by so much of their share
	healthyPart = 0.5  // ejections count while this share of the capacity is not ejected
	retryShare  = 0.1  // further attempts as a share of first ones, besides what gets lost
	retrySaved  = 10   // most further attempts saved up
	jamWeight   = 0.3  // most weight of a new sample in the part of the slack used
	jamTime     = 2    // horizons over which the slack used is averaged
	shedFrom    = 0.4  // part of the slack used from which work of mean worth is refused
	shedSlope   = 3    // rise of the share refused with the slack used
	fullFrom    = 0.25 // delay at the best server drawn, in tightest aims, from which it counts as full
	fullSlope   = 6    // rise of the share refused with that delay
	ticks       = 8    // looks at health in a horizon
	reportTime  = 4    // horizons over which reports are averaged
	shareTime   = 8    // horizons over which the rate of answers is averaged
	subsetLeast = 16   // servers that even a quiet balancer draws from
	subsetTime  = 2    // horizons in which a balancer's traffic would meet all that it draws from
)

func (b *Balancer) tick() {
	b.startTick()
	b.served *= math.Exp(-1.0 / ticks / shareTime)
	b.jamWeight = min(jamWeight, 1/(1+b.served*jamTime*b.horizon.Seconds()))
	if b.now-b.judged > b.horizon { // where all is refused nothing could show that the jam is over
		b.jam *= math.Exp(-1.0 / ticks / jamTime)
	}
	b.checkHealth()
	b.narrow()
}

// Membership.

// list takes the list or a change of it. Every change counts from the same event on.
func (b *Balancer) list(l ServerList) {
	named := make(map[string]bool, len(l.Servers))
	for _, e := range l.Servers {
		named[e.ID] = true
		s := b.byID[e.ID]
		if s == nil {
			s = &server{heard: b.now, hash: hash(e.ID)}
			b.byID[e.ID] = s
			b.servers = append(b.servers, s)
		} else if e.Started != s.Started {
			// A restarted process is cold and well: what an earlier life showed says nothing of it.
			*s = server{inFlight: s.inFlight, heard: b.now, hash: s.hash}
		}
		begins := e.Started != s.Started
		s.Server = e
		if begins && s.coldShare(b) < 1 { // from nothing each would wait for long, and all together
			s.spare = b.rng.Float64()
		}
		if !b.set.ListWeights || e.Weight <= 0 {
			s.Weight = 1
		}
	}
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool {
		gone := s.State == Gone || l.Full && !named[s.ID]
		if gone {
			s.State = Gone // attempts in flight still hold it
			delete(b.byID, s.ID)
		}
		return gone
	})
	b.narrow()
}

// narrow keeps the draws to a subset, by this balancer's places and of its zone first: of a fleet that it
// meets too seldom it would only know what is long past. Servers of other protocols are fleets of their own.
func (b *Balancer) narrow() {
	n, all := max(subsetLeast, b.served*subsetTime*b.horizon.Seconds()), map[Protocols]float64{}
	for _, s := range b.servers {
		if s.part = 1; s.Zone == b.set.Zone {
			s.part = nearRank
		}
		if s.State == Ready {
			all[s.Speaks] += s.part
		}
	}
	for _, s := range b.servers {
		s.part = min(1, s.part*n/all[s.Speaks])
		s.far = s.Place >= s.part
	}
}

// Capacity estimate.

// report takes a server's word on its load: its rate over its utilisation is what it could do at most.
func (b *Balancer) report(s *server, r Report) {
	if !(r.Util >= 0 && r.Rate >= 0 && r.Util+r.Rate < math.MaxFloat64) || s.coldShare(b) < 1 {
		return
	}
	keep := math.Exp(-float64(b.now-s.reported) / (reportTime * float64(b.horizon)))
	if s.reported == 0 {
		keep = 0
	}
	b.news++
	s.reported, s.used = b.now, r.Util
	s.done = keep*s.done + (1-keep)*r.Rate
	s.util = keep*s.util + (1-keep)*r.Util
	if s.util > utilFloor {
		b.compare(s, s.done/s.util)
		s.rate, s.trust = s.done/s.util, 1
	}
}

// weigh sets every server's weight: its capacity at present. The older its last report, the more the mean of
// the others counts: else one that once looked slow would get nothing to show better with.
func (b *Balancer) weigh() {
	rate, size, use, mean := 0.0, 0.0, 0.0, 1.0
	b.known = 0
	for _, s := range b.servers {
		rate, size = rate+s.rate*s.trust, size+s.Weight*s.trust
		use, b.known = use+s.util*s.trust, b.known+s.trust
	}
	if size > 0 {
		mean, b.use = rate/size, use/b.known
	}
	b.total, b.well, b.near = 0, 0, 0
	for _, s := range b.servers {
		usual, warm := mean*s.Weight, s.coldShare(b)
		s.capacity = usual + (s.rate-usual)*s.trust
		s.weight = s.capacity * warm * (1 - s.failing) * s.alone(b)
		if s.State != Ready {
			continue
		}
		b.total += s.weight
		if s.until == 0 {
			b.well += s.weight
		}
		if !s.far {
			b.near += s.weight
		}
		if s.Zone == b.set.Zone && warm == 1 {
			s.weight *= 1 + nearTimes*b.set.CrossZonePrice*max(0, 1-s.util)
		}
	}
}

// Draw and pick.

// drawFor draws the servers for a request's next attempt, each with probability capacity over total; the
// home of its key is one of them.
func (b *Balancer) drawFor(r *request) {
	b.weigh()
	b.fillSpare()
	r.drawn = r.drawn[:0]
	n := draws
	if b.asks() {
		n = int(min(askMost, askCost/b.set.ProbePrice)) // free probes included
	}
	if s := b.trial(r); s != nil {
		r.drawn = append(r.drawn, s)
		if !b.asks() {
			s.trial, s.heard = true, b.now
			return
		}
		s.until, n = b.now+b.horizon, n+1 // its answer to the probe readmits it
	}
	ok, total := b.candidates(r)
	if b.set.WarmKeys && r.Key != "" && len(ok) > 0 {
		r.home = home(ok, r.Key)
		r.drawn = append(r.drawn, r.home)
	}
	for len(ok) > 0 && len(r.drawn) < n {
		r.drawn = append(r.drawn, draw(ok, b.rng.Float64()*total))
	}
}

// pick chooses by Algorithm 1 of "Balls into non-uniform bins": of the servers drawn take the lowest load
// after the request, then the largest capacity, then any. One that was asked for its load and is mute gets
// nothing.
func (b *Balancer) pick(r *request) (best *server) {
	b.weigh()
	known := slices.ContainsFunc(r.drawn, r.fresh)
	out := func(s *server) bool { return known && !r.fresh(s) || !b.maySend(r, s) }
	r.drawn = slices.DeleteFunc(r.drawn, out)
	lowest := math.Inf(1)
	for i, s := range r.drawn {
		if slices.Contains(r.drawn[:i], s) {
			continue
		}
		if s.weight *= b.left(r, s); s == r.home {
			s.weight *= warmTimes
		}
		lowest = min(lowest, s.load())
	}
	for _, s := range r.drawn { // their order is random, so the first of equal ones is any
		if s.load() <= lowest*(1+tie) && (best == nil || s.weight > best.weight) {
			best = s
		}
	}
	return best
}

func draw(from []*server, x float64) *server {
	for _, s := range from {
		if x -= s.weight; x < 0 {
			return s
		}
	}
	return from[len(from)-1]
}

// home draws as draw does, but by the key in place of chance (weighted rendezvous hashing): all balancers
// send a key to one server, which then knows it.
func home(from []*server, key string) (best *server) {
	lowest, k := math.Inf(1), hash(key)
	for _, s := range from {
		u := float64(mix(k^s.hash)>>10+1) / (1 << 53)
		if x := -math.Log(u) / s.weight; x < lowest || best == nil {
			best, lowest = s, x
		}
	}
	return best
}

// asks reports whether the servers drawn are asked for their load before a request is sent.
func (b *Balancer) asks() bool { return b.set.Probes && b.set.ProbePrice*2 <= askCost }

// ask probes the servers drawn and holds the request until they have answered, or for a small part of its
// aim: a balancer with little traffic has hardly a count of its own, and what it was told of the load is
// long past.
func (b *Balancer) ask(r *request) bool {
	r.since, r.waits = b.now-b.set.Tick, 0
	idle := b.known > unknown && b.use < askFrom && b.jam < askFrom/4 // asking is not worth it
	for i, s := range r.drawn {
		if !b.asks() || idle || r.fresh(s) || slices.Contains(r.drawn[:i], s) {
			continue
		}
		if len(s.asking) == 0 || b.now-s.asked > r.class.Aim {
			s.asked = b.now
			b.act(Action{Kind: Probe, Server: s.ID})
		}
		s.asking = append(s.asking, r)
		r.waits++
	}
	if r.waits > 0 {
		r.late = b.timerFor(r, r.class.Aim/askPart)
	}
	return r.waits > 0
}

// probed takes the answer to a probe; requests that waited for nothing else are sent.
func (b *Balancer) probed(p Probed) {
	s := b.byID[p.Server]
	if s == nil {
		return
	}
	if p.Result == OK {
		s.heard, s.seen, s.held = b.now, b.now, p.Report.InFlight
		b.report(s, p.Report)
		if s.until > 0 {
			s.until, s.trial, s.failing = 0, false, 0
		}
	}
	asking := s.asking
	s.asking = nil
	for _, r := range asking {
		if r.waits--; r.waits == 0 && !r.closed {
			b.choose(r)
		}
	}
}

// left is the part of its capacity that a server has left for this balancer, by what it has just said. Where
// it states the requests in hand, the load by own counts becomes the load by all, as the paper's placer sees
// it.
func (b *Balancer) left(r *request, s *server) float64 {
	own := float64(len(s.inFlight))
	switch {
	case !b.asks():
		return max(utilFloor, 1-b.use-(s.util-b.use)*s.trust) // the older the report, the more the mean
	case !r.fresh(s):
		return 1
	case b.set.ReportsLoad:
		return (own + 1) / (max(own, s.held) + 1)
	}
	return max(utilFloor, 1-s.used)
}

// candidates lists the servers that may get the request, and their total weight: those of the subset that
// are well and were not tried yet, or else any that the rules allow.
func (b *Balancer) candidates(r *request) (ok []*server, total float64) {
	for _, strict := range []bool{true, false} {
		for _, s := range b.servers {
			tried := func(a *attempt) bool { return a.srv == s }
			well := !s.far && !b.ejected(s) && !slices.ContainsFunc(r.attempts, tried)
			if (well || !strict) && b.maySend(r, s) {
				ok, total = append(ok, s), total+s.weight
			}
		}
		if len(ok) > 0 {
			break
		}
	}
	return ok, total
}

// Health: outlier ejection and readmission.

// ejected reports whether the server is kept out as ill. When most seem ill, all are late in a jam.
func (b *Balancer) ejected(s *server) bool {
	return s.until > 0 && b.well >= healthyPart*b.total
}

// judge learns from an outcome how the server does. Errors come fast and look idle: they lower its weight.
func (b *Balancer) judge(a *attempt, o Outcome) {
	s, c, bad, part := a.srv, a.req.Class, 1.0, 1.0
	if o.Result == TimedOut {
		part = a.patience(b)
	}
	late := o.Result == Rejected || o.Result == TimedOut && part == 1 && !b.passedOver(a)
	switch {
	case o.Result == Cancelled && s.trial: // that was its turn
		b.eject(s)
		return
	case o.Result == NotSent,
		o.Result == Cancelled && (s.until > 0 || s.heard > a.sent || a.waited(b) < copyTimes):
		s.trial = false
		return
	case o.Result == OK:
		s.heard, s.passed, bad = b.now, max(s.passed, a.sent), 0
		b.usual[c] += learn * (float64(o.Took) - b.usual[c])
		b.least[c] += learn * (min(float64(o.Took), b.least[c]*(1+learn)) - b.least[c])
		b.served += 1 / (shareTime * b.horizon.Seconds())
	case o.Result == TimedOut && s.heard > a.sent && s.until == 0:
		bad = 0 // it answers others: the request is costly, or this server loses some
		if part == 1 {
			b.lost += learn
		}
	}
	b.lost -= learn * b.lost
	// A dead server is no jam, nor one that loses some, an impatient client or a body that comes slowly.
	if (late && !b.ejected(s) || o.Result == OK) && !a.req.Coming {
		used := b.slackUsed(a, late)
		if b.jam += b.jamWeight * (used - b.jam); used < shedFrom {
			b.prompt = max(b.prompt, a.sent)
		}
	}
	weight := failWeight * part
	if o.Result == TimedOut && bad > 0 || o.Result == Cancelled { // so long in vain
		weight = min(1, max(weight, a.waited(b)/missedMost))
	}
	s.failing += weight * (bad - s.failing)
	s.judged, b.judged, b.news = b.now, b.now, b.news+1
	if s.coldShare(b) < 1 {
		b.coldSeen = min(b.coldSeen+1, 1/learn)
		b.coldBad += (bad - b.coldBad) / b.coldSeen
	}
	switch {
	case s.until > 0 && bad == 0 && (s.trial || s.failing < failEject):
		s.until, s.trial, s.failing = 0, false, 0
		if s.reported == b.now { // it says what it gets from others already
			s.back, s.others = b.now, s.used/max(b.use, utilFloor)
		}
	case s.until == 0 && s.failing > failEject, s.trial:
		b.eject(s)
	}
}

// eject keeps a server out of the draws until it is this balancer's turn to try it, by one request to spare.
// All that draw from it have a turn in a round, a horizon apart: by their places first, then a round later.
func (b *Balancer) eject(s *server) {
	turn := s.Place
	if s.until > 0 {
		turn = s.part
	}
	s.until = b.now + time.Duration(float64(b.horizon)*max(1, turn*float64(b.set.Balancers)))
	s.trial, b.news = false, b.news+1
	b.weigh() // what is left of the others
}

// rescue withdraws what waits at a silent server and may go elsewhere, as far as further attempts are saved
// up; the outcome sends it again.
func (b *Balancer) rescue(s *server) {
	for _, a := range s.inFlight {
		a.req.out-- // as it will be then
		if b.set.CanCancel && b.elsewhere(a) {
			b.budget--
			a.rescued = true
			b.act(Action{Kind: Cancel, Request: a.req.ID, Attempt: a.n, Reason: ServerSilent})
		}
		a.req.out++
	}
}

// copyLate sends a second copy of what a server owes for long, if it was silent since and others are not; and
// sooner of what any owes, while servers that answer others lose some.
func (b *Balancer) copyLate(s *server) {
	for _, a := range slices.Clone(s.inFlight) {
		late := b.lost > lostFrom || a.waited(b) > copyLast && s.heard <= a.sent && b.passedOver(a)
		late = late && a.waited(b) > copyTimes && !a.req.Coming && a.req.out == 1
		if late && b.jam < shedFrom && b.elsewhere(a) {
			b.budget--
			b.try(a.req)
		}
	}
}

// elsewhere reports whether an attempt may be made again at another server.
func (b *Balancer) elsewhere(a *attempt) bool {
	may := func(o *server) bool { return o != a.srv && !b.ejected(o) && b.maySend(a.req, o) }
	return b.budget >= 1 && slices.ContainsFunc(b.servers, may)
}

// missed is how many answers the server would have given, at the usual pace, since it gave the last one, over
// all that is in flight: one late answer is a costly request, many are a silent server.
func (b *Balancer) missed(s *server) (n float64) {
	for _, a := range s.inFlight {
		if !a.req.Coming { // of others it owes nothing yet
			n += float64(b.ranSince(max(a.sent, s.heard))) / b.usual[a.req.Class]
		}
	}
	return n
}

// checkHealth looks for servers that take requests and answer none, for longer than is usual.
func (b *Balancer) checkHealth() {
	for _, s := range b.servers {
		switch n := b.missed(s); {
		case s.until == 0 && n > missedMost || s.trial && n > triedMost:
			b.eject(s)
			b.rescue(s)
		case s.far && s.until > 0 && b.now >= s.until: // others try it
			s.until, s.failing = 0, 0
		}
		b.copyLate(s)
		s.trust *= math.Exp(-1.0 / ticks / reportTime)
		s.failing *= math.Exp(-1.0 / ticks / max(shareTime, s.part*float64(b.set.Balancers)))
	}
}

// trial returns an ejected server that is due to be tried, if the request is one to risk.
func (b *Balancer) trial(r *request) *server {
	if len(r.attempts) > 0 || r.class.Effect != b.trialBy {
		return nil
	}
	for _, s := range b.servers {
		if s.until > 0 && b.now >= s.until && !s.trial && b.maySend(r, s) {
			return s
		}
	}
	return nil
}

// Slow start.

// fillSpare adds to what cold servers may get, by their part of every attempt: idle as they are they would
// draw everything, from all balancers at once.
func (b *Balancer) fillSpare() {
	for _, s := range b.servers {
		if s.coldShare(b) < 1 && !s.far { // what it is to others that they draw from, this one is to these few
			s.spare = min(s.spare+coldTimes*(1-coldHeed*b.coldBad)*s.weight/b.near, 2)
		}
	}
}

// Attempts.

// maySend is the one place that says what may be sent where; every send passes it.
func (b *Balancer) maySend(r *request, s *server) bool {
	if r.closed || b.now >= r.Deadline || s.State != Ready || r.Needs&^s.Speaks != 0 ||
		len(r.attempts) >= b.set.MaxAttempts || r.out > 1 || r.out == 1 && !b.set.ParallelCopies {
		return false
	}
	first := r.mayHaveRun()
	switch c := r.class; {
	case s.coldShare(b) < 1 && s.spare < 1:
		return false
	case first == nil || c.Effect == Safe:
		return true
	case c.Effect == Unsafe || b.now+b.margin()-first.sent >= c.Window:
		return false
	case c.Group == GroupZone:
		return s.Zone == first.srv.Zone
	case c.Group == GroupCell:
		return s.Cell == first.srv.Cell
	}
	return true
}

// margin is how long before the end of its window a keyed request is last sent again: by how much the clocks
// may differ, and a send be held up.
func (b *Balancer) margin() time.Duration { return b.set.Tick + b.set.Stall }

// mayRefuse reports whether the client may be told that trying again does no harm.
func (r *request) mayRefuse() bool {
	return r.mayHaveRun() == nil || r.class.Effect == Safe ||
		r.class.Effect == Keyed && r.class.Group == GroupAll
}

// try sends the request to the best server, at once or when those drawn have told their load.
func (b *Balancer) try(r *request) {
	if b.drawFor(r); !b.ask(r) {
		b.choose(r)
	}
}

// choose sends the request to the best of the servers drawn, or ends it when there is none.
func (b *Balancer) choose(r *request) {
	for _, s := range r.drawn {
		s.asking = slices.DeleteFunc(s.asking, func(o *request) bool { return o == r })
	}
	r.waits = 0
	s := b.pick(r)
	if s == nil {
		b.finish(r, b.unsentReason(r))
		return
	}
	if len(r.attempts) == 0 && b.refused(r.class.Worth, fullSlope*(b.delay(r, s)-fullFrom)) {
		b.finish(r, ServersBusy)
		return
	}
	if len(s.inFlight) == 0 {
		s.heard = b.now
	}
	s.spare--
	s.held++
	first, reason := r.mayHaveRun(), r.sendReason()
	a := &attempt{req: r, srv: s, n: len(r.attempts), sent: b.now, out: true}
	r.attempts = append(r.attempts, a)
	r.out++
	s.inFlight = append(s.inFlight, a)
	send := Action{Kind: Send, Request: r.ID, Server: s.ID, Reason: reason}
	if first != nil && r.class.Effect == Keyed { // maySend looks at the window too, but a connection takes time
		send.Within = first.sent + r.class.Window - b.margin() - b.now
	}
	b.act(send)
}

func (b *Balancer) outcome(o Outcome) {
	r := b.requests[o.Request]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || !r.attempts[o.Attempt].out {
		return
	}
	a := r.attempts[o.Attempt]
	a.out, a.neverRan = false, o.Result.neverRan()
	r.out--
	a.srv.inFlight = slices.DeleteFunc(a.srv.inFlight, func(other *attempt) bool { return other == a })
	b.report(a.srv, o.Report)
	b.judge(a, o)
	switch {
	case r.closed || o.Closed:
		if a.rescued { // needlessly
			b.budget = min(b.budget+1, retrySaved)
		}
		for _, other := range r.attempts { // of two copies one is enough; the earlier one is late or lost
			if other.out && o.Result == OK && b.set.CanCancel {
				b.lost += learn * max(0, float64(a.n-other.n))
				b.act(Action{Kind: Cancel, Request: r.ID, Attempt: other.n, Reason: OtherAnswered})
			}
		}
		b.close(r)
	case r.out > 0: // the other copy goes on
	case a.rescued:
		b.try(r)
	case b.budget >= 1 && o.Result != NotSent:
		b.budget--
		b.try(r)
	case o.Result == NotSent:
		b.finish(r, AttemptNotSent)
	default:
		b.finish(r, RetryBudget)
	}
}

// Admission.

func (b *Balancer) request(e Request) {
	if e.Class < 0 || e.Class >= len(b.set.Classes) || b.requests[e.ID] != nil {
		return
	}
	r := &request{Request: e, class: &b.set.Classes[e.Class]}
	b.requests[e.ID] = r
	b.budget = min(b.budget+retryShare+b.lost, retrySaved)
	b.worth += learn * (r.class.Worth - b.worth)
	r.due = b.timerFor(r, r.Deadline-b.now)
	// In a jam all cheap work may be refused, but an idle server must not wait for its trial till the end.
	if b.refused(r.class.Worth, shedSlope*(b.jamNow()-shedFrom)) && b.trial(r) == nil {
		b.finish(r, Overloaded)
		return
	}
	b.try(r)
}

// whole begins the time of a request that has come to its last byte, and that of its servers.
func (b *Balancer) whole(e Whole) {
	if r := b.requests[e.Request]; r != nil && r.Coming && !r.closed {
		delete(b.timers, r.due)
		r.Coming, r.Deadline, r.due = false, e.Deadline, b.timerFor(r, e.Deadline-b.now)
		for _, a := range r.attempts {
			if a.out {
				a.sent = b.now
			}
		}
	}
}

// slackUsed is the time that an attempt took over the least usual, as part of the slack between that and the
// aim, in the class with the least slack: a jam is the same for all. One slow server is none: it ends at 1.
func (b *Balancer) slackUsed(a *attempt, late bool) float64 {
	slack := float64(b.horizon)
	for i, c := range b.set.Classes {
		slack = min(slack, max(float64(c.Aim)-b.least[i], float64(c.Aim)/2))
	}
	if used := (float64(b.ranSince(a.sent)) - b.least[a.req.Class]) / slack; used < 1 && !late {
		return max(0, used)
	}
	return 1
}

// jamNow is the slack used of late; what is out and late already counts as if it came now.
func (b *Balancer) jamNow() float64 {
	jam := b.jam
	for _, s := range b.servers {
		for _, a := range s.inFlight {
			if !b.ejected(s) && !b.passedOver(a) && !a.req.Coming {
				jam += b.jamWeight * max(0, b.slackUsed(a, false)-jam)
			}
		}
	}
	return jam
}

// delay is the time to an answer at a server by the requests it has just said to hold, in tightest aims: 0
// where it does not say, 1 where it was asked and is mute.
func (b *Balancer) delay(r *request, s *server) float64 {
	switch known := r.fresh(s); {
	case b.asks() && !known && r.late > 0:
		return 1
	case !known || !b.set.ReportsLoad || s.rate == 0 || s.reported == 0:
		return 0
	}
	now := s.capacity * s.coldShare(b) * b.left(r, s)
	return float64(len(s.inFlight)+1) / now / b.tightest.Seconds()
}

// refused draws whether a request gives way, by the share at mean worth: what is worth little goes first.
func (b *Balancer) refused(worth, share float64) bool {
	return b.rng.Float64() < share*b.worth/worth
}

// Deadlines.

// finish ends a request that was not served. A refusal is a promise: where it may not hold, it is a failure.
func (b *Balancer) finish(r *request, why Reason) {
	kind := Fail
	if r.closed {
		return
	} else if r.mayRefuse() {
		kind = Refuse
	}
	b.act(Action{Kind: kind, Request: r.ID, After: min(b.set.MaxRetryAfter, r.class.Aim/2), Reason: why})
	b.close(r)
}
