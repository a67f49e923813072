package choice

// The interface of the package, with its settings, events and actions, is in api.go.

import (
	"math"
	"slices"
	"time"
)

// Tuning constants. All are shares, counts or multiples; durations come from Settings. Hedging sends a second
// attempt while the first is still in flight.
//
// A horizon is the longest target latency of any class. It is the time base of the averages over time.
const (
	drawCount             = 16   // servers drawn for a request: d in the paper that pickServer cites
	maxProbedServers      = 4    // servers drawn for a request if they are probed first
	maxProbeCost          = 0.02 // maximum cost of the probes for one request, as a share of the request
	probeMinUtil          = 0.4  // utilization from which servers are probed, or a quarter of it in congestion
	minTotalConfidence    = 0.25 // sum of the servers' confidence up to which the utilization is unknown
	probeTimeoutDivisor   = 8    // servers have this part of the target latency to answer a probe: an eighth
	localZoneSubsetFactor = 3    // a server in the own zone is this many times as likely to be in the subset
	loadTolerance         = 0.01 // loads that differ by no more than this share count as equal
	localZoneBonus        = 60   // times CrossZoneCost: weight gain of an idle server, see updateWeights
	affinityFactor        = 2    // factor on the weight of the server to which a request's key hashes
	coldSendFactor        = 1.25 // share of sends to a cold server, as a multiple of its share of the weight
	minUtil               = 0.05 // lower utilization gives no estimate, and lower free capacity counts as this
	ewmaWeight            = 0.05 // weight of a new sample in the averages over samples
	maxMissedAnswers      = 16   // missedAnswers above which a server is ejected
	maxMissedInTrial      = 4    // the same for a server on trial
	maxReadmitFactor      = 8    // maximum of readmitFactor
	failureWeight         = 0.3  // weight of a new sample in a server's failure rate
	ejectThreshold        = 0.6  // failure rate above which a server is ejected: three failures in a row, from 0
	hedgeLossThreshold    = 0.03 // loss rate at servers that answer others, from which late attempts are hedged
	hedgeDelay            = 2.0  // mean latencies after which an attempt is late; see hedgeLossThreshold
	silentHedgeDelay      = 8.0  // the same for an attempt whose server has been silent since the send
	coldFailurePenalty    = 0.5  // share of the failure rate at cold servers by which their sends are reduced
	minHealthyShare       = 0.5  // ejections are ignored while a smaller share of the capacity is not ejected
	retryRatio            = 0.1  // budget for further attempts, per request, in addition to the loss rate
	maxRetryBudget        = 10   // maximum number of further attempts saved up
	maxCongestionWeight   = 0.3  // maximum weight of a new sample in the congestion
	congestionHorizons    = 2    // horizons over which congestion is averaged
	shedThreshold         = 0.4  // congestion from which requests of mean value are shed
	shedSlope             = 3    // increase of the share shed with congestion
	busyDelayThreshold    = 0.25 // expectedDelay of the best server from which requests are shed
	busyShedSlope         = 6    // increase of the share shed with that delay
	ticksPerHorizon       = 8    // health checks per horizon
	reportHorizons        = 4    // horizons over which load reports are averaged
	rateHorizons          = 8    // horizons over which the answer rate is averaged
	minSubsetSize         = 16   // servers from which even a balancer with little traffic draws
	subsetHorizons        = 2    // horizons in which a balancer's traffic should reach all servers of its subset
)

// tick does the periodic work, ticksPerHorizon times per horizon: it ages the averages, checks the health of
// servers and updates the subset. Settings.Tick is something else, the resolution of the clock.
func (b *Balancer) tick() {
	b.startTick()
	b.answerRate *= math.Exp(-1.0 / ticksPerHorizon / rateHorizons)
	b.congestionWeight = min(maxCongestionWeight, 1/(1+b.answerRate*congestionHorizons*b.horizon.Seconds()))
	// While all requests are shed, no outcome can show that the congestion is over.
	if b.now-b.lastOutcome > b.horizon {
		b.congestion *= math.Exp(-1.0 / ticksPerHorizon / congestionHorizons)
	}
	b.checkHealth()
	b.updateSubset()
}

// Membership.

// handleServerList applies the full list or an incremental update. All changes take effect with this event.
func (b *Balancer) handleServerList(list ServerList) {
	named := make(map[string]bool, len(list.Servers))
	for _, e := range list.Servers {
		named[e.ID] = true
		s := b.byID[e.ID]
		if s == nil {
			s = &server{lastHeard: b.now, idHash: hash(e.ID)}
			b.byID[e.ID] = s
			b.servers = append(b.servers, s)
		} else if e.Started != s.Started {
			// A restarted process is cold and healthy: what is known of the previous one does not apply to it.
			*s = server{inFlight: s.inFlight, lastHeard: b.now, idHash: s.idHash}
		}
		newStart := e.Started != s.Started
		s.Server = e
		if newStart && s.warmupShare(b) < 1 { // random: from 0, all balancers would send at the same late time
			s.coldAllowance = b.rng.Float64()
		}
		if !b.settings.UseListWeights || e.Weight <= 0 {
			s.Weight = 1
		}
	}
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool {
		removed := s.State == Removed || list.Full && !named[s.ID]
		if removed {
			s.State = Removed // attempts in flight still refer to it
			delete(b.byID, s.ID)
		}
		return removed
	})
	b.updateSubset()
}

// updateSubset restricts the draws to a subset of the servers: those at which this balancer's rank is low,
// with a preference for its own zone. If it drew from a fleet too large for its traffic, all it knew of the
// servers would be outdated. Servers of different protocols are separate fleets.
func (b *Balancer) updateSubset() {
	size, total := max(minSubsetSize, b.answerRate*subsetHorizons*b.horizon.Seconds()), map[Protocols]float64{}
	for _, s := range b.servers {
		if s.subsetShare = 1; s.Zone == b.settings.Zone {
			s.subsetShare = localZoneSubsetFactor
		}
		if s.State == Ready {
			total[s.Protocols] += s.subsetShare
		}
	}
	for _, s := range b.servers {
		s.subsetShare = min(1, s.subsetShare*size/total[s.Protocols])
		s.outsideSubset = s.SubsetRank >= s.subsetShare
	}
}

// Capacity estimate.

// recordReport takes a load report into account: the rate of a server divided by its utilization is the
// most that it can do, its capacity.
func (b *Balancer) recordReport(s *server, r Report) {
	if !(r.Util >= 0 && r.Rate >= 0 && r.Util+r.Rate < math.MaxFloat64) || s.warmupShare(b) < 1 {
		return
	}
	decay := math.Exp(-float64(b.now-s.lastReport) / (reportHorizons * float64(b.horizon)))
	if s.lastReport == 0 {
		decay = 0
	}
	b.revision++
	s.lastReport, s.lastUtil = b.now, r.Util
	s.reportedRate = decay*s.reportedRate + (1-decay)*r.Rate
	s.reportedUtil = decay*s.reportedUtil + (1-decay)*r.Util
	if s.reportedUtil > minUtil {
		b.checkImported(s, s.reportedRate/s.reportedUtil)
		s.capacityEstimate, s.confidence = s.reportedRate/s.reportedUtil, 1
	}
}

// updateWeights sets the weight of every server: its current capacity. The older a server's last report,
// the more the mean of the others counts: otherwise a server that once looked slow would get no requests to
// prove the opposite. In the own zone, the weight of a server that is not cold is multiplied by 1 +
// localZoneBonus * CrossZoneCost if it is idle, and by less the busier it is.
func (b *Balancer) updateWeights() {
	estimates, size, util, mean := 0.0, 0.0, 0.0, 1.0
	b.totalConfidence = 0
	for _, s := range b.servers {
		estimates, size = estimates+s.capacityEstimate*s.confidence, size+s.Weight*s.confidence
		util, b.totalConfidence = util+s.reportedUtil*s.confidence, b.totalConfidence+s.confidence
	}
	if size > 0 {
		mean, b.meanUtil = estimates/size, util/b.totalConfidence
	}
	b.totalCapacity, b.healthyCapacity, b.subsetCapacity = 0, 0, 0
	for _, s := range b.servers {
		expected, warmup := mean*s.Weight, s.warmupShare(b)
		s.blendedCapacity = expected + (s.capacityEstimate-expected)*s.confidence
		s.drawWeight = s.blendedCapacity * warmup * (1 - s.failureRate) * s.readmitFactor(b)
		if s.State != Ready {
			continue
		}
		b.totalCapacity += s.drawWeight
		if s.ejectedUntil == 0 {
			b.healthyCapacity += s.drawWeight
		}
		if !s.outsideSubset {
			b.subsetCapacity += s.drawWeight
		}
		if s.Zone == b.settings.Zone && warmup == 1 {
			s.drawWeight *= 1 + localZoneBonus*b.settings.CrossZoneCost*max(0, 1-s.reportedUtil)
		}
	}
}

// Draw and pick.

// drawServers draws servers for the next attempt of a request, each with a probability in proportion to its
// weight. The server to which its key hashes is one of them.
func (b *Balancer) drawServers(r *request) {
	b.updateWeights()
	b.refillColdAllowances()
	r.drawn = r.drawn[:0]
	n := drawCount
	if b.probesFirst() {
		// A ProbeCost of 0 gives +Inf, so maxProbedServers applies.
		n = int(min(maxProbedServers, maxProbeCost/b.settings.ProbeCost))
	}
	if s := b.dueForTrial(r); s != nil {
		r.drawn = append(r.drawn, s)
		if !b.probesFirst() {
			s.trialActive, s.lastHeard = true, b.now
			return
		}
		s.ejectedUntil, n = b.now+b.horizon, n+1 // its answer to the probe readmits it
	}
	eligible, total := b.candidates(r)
	if b.settings.KeyAffinity && r.Key != "" && len(eligible) > 0 {
		r.affinityServer = rendezvousServer(eligible, r.Key)
		r.drawn = append(r.drawn, r.affinityServer)
	}
	for len(eligible) > 0 && len(r.drawn) < n {
		r.drawn = append(r.drawn, drawByWeight(eligible, b.rng.Float64()*total))
	}
}

// pickServer chooses by Algorithm 1 of "Balls into non-uniform bins": of the servers drawn, the one with
// the lowest load after the request, then the largest capacity, then any. Servers that have not answered
// their probe are left out if another one has.
func (b *Balancer) pickServer(r *request) (best *server) {
	b.updateWeights()
	anyFresh := slices.ContainsFunc(r.drawn, r.hasFreshProbe)
	excluded := func(s *server) bool { return anyFresh && !r.hasFreshProbe(s) || !b.maySend(r, s) }
	r.drawn = slices.DeleteFunc(r.drawn, excluded)
	lowest := math.Inf(1)
	for i, s := range r.drawn {
		if slices.Contains(r.drawn[:i], s) {
			continue
		}
		if s.drawWeight *= b.freeShare(r, s); s == r.affinityServer {
			s.drawWeight *= affinityFactor
		}
		lowest = min(lowest, s.load())
	}
	for _, s := range r.drawn { // they are in random order, which breaks ties at random
		if s.load() <= lowest*(1+loadTolerance) && (best == nil || s.drawWeight > best.drawWeight) {
			best = s
		}
	}
	return best
}

func drawByWeight(from []*server, x float64) *server {
	for _, s := range from {
		if x -= s.drawWeight; x < 0 {
			return s
		}
	}
	return from[len(from)-1]
}

// rendezvousServer draws as drawByWeight does, but by the key in place of a random number (weighted
// rendezvous hashing): all balancers send a key to the same server, which then does less work for it.
func rendezvousServer(from []*server, key string) (best *server) {
	lowest, k := math.Inf(1), hash(key)
	for _, s := range from {
		u := float64(mix63(k^s.idHash)>>10+1) / (1 << 53) // above 0 and at most 1, in steps that a float64 can hold
		if x := -math.Log(u) / s.drawWeight; x < lowest || best == nil {
			best, lowest = s, x
		}
	}
	return best
}

// probesFirst reports whether the servers drawn are probed for their load before a request is sent: only if
// probing at least two of them is within maxProbeCost.
func (b *Balancer) probesFirst() bool {
	return b.settings.CanProbe && b.settings.ProbeCost*2 <= maxProbeCost
}

// probeDrawn probes the servers drawn and reports whether the request now waits for their answers, at most
// for a small part of its target latency. A balancer with little traffic needs this: its own counts are
// close to 0, and the load reported to it is outdated.
func (b *Balancer) probeDrawn(r *request) bool {
	r.probedSince, r.pendingProbes = b.now-b.settings.Tick, 0
	idle := b.totalConfidence > minTotalConfidence && b.meanUtil < probeMinUtil &&
		b.congestion < probeMinUtil/4 // then probes are not worth their cost
	for i, s := range r.drawn {
		if !b.probesFirst() || idle || r.hasFreshProbe(s) || slices.Contains(r.drawn[:i], s) {
			continue
		}
		if len(s.probeWaiters) == 0 || b.now-s.lastProbe > r.class.Aim {
			s.lastProbe = b.now
			b.emit(Action{Kind: Probe, Server: s.ID})
		}
		s.probeWaiters = append(s.probeWaiters, r)
		r.pendingProbes++
	}
	if r.pendingProbes > 0 {
		r.probeTimer = b.setRequestTimer(r, r.class.Aim/probeTimeoutDivisor)
	}
	return r.pendingProbes > 0
}

// handleProbed records the answer to a probe and sends the requests that waited for no other answer.
func (b *Balancer) handleProbed(p Probed) {
	s := b.byID[p.Server]
	if s == nil {
		return
	}
	if p.Result == OK {
		s.lastHeard, s.lastProbeAnswer, s.probedInFlight = b.now, b.now, p.Report.InFlight
		b.recordReport(s, p.Report)
		if s.ejectedUntil > 0 {
			s.ejectedUntil, s.trialActive, s.failureRate = 0, false, 0
		}
	}
	waiters := s.probeWaiters
	s.probeWaiters = nil
	for _, r := range waiters {
		if r.pendingProbes--; r.pendingProbes == 0 && !r.closed {
			b.sendToBest(r)
		}
	}
}

// freeShare returns the share of its capacity that a server has free for this balancer, according to its
// latest report. If reports state the requests in flight, it turns the load by own requests into the load
// by all requests, on which the algorithm that pickServer cites is based.
func (b *Balancer) freeShare(r *request, s *server) float64 {
	own := float64(len(s.inFlight))
	switch {
	case !b.probesFirst():
		// The older the report, the nearer to the mean.
		return max(minUtil, 1-b.meanUtil-(s.reportedUtil-b.meanUtil)*s.confidence)
	case !r.hasFreshProbe(s):
		return 1
	case b.settings.ReportsInFlight:
		return (own + 1) / (max(own, s.probedInFlight) + 1)
	}
	return max(minUtil, 1-s.lastUtil)
}

// candidates returns the servers that may get the request, and their total weight: the healthy ones of the
// subset that were not tried yet, or else any that the rules allow.
func (b *Balancer) candidates(r *request) (eligible []*server, total float64) {
	for _, strict := range []bool{true, false} {
		for _, s := range b.servers {
			tried := func(a *attempt) bool { return a.srv == s }
			preferred := !s.outsideSubset && !b.isEjected(s) && !slices.ContainsFunc(r.attempts, tried)
			if (preferred || !strict) && b.maySend(r, s) {
				eligible, total = append(eligible, s), total+s.drawWeight
			}
		}
		if len(eligible) > 0 {
			break
		}
	}
	return eligible, total
}

// Health: outlier ejection and readmission.

// isEjected reports whether the server is excluded as unhealthy. If most of the capacity seems unhealthy,
// none is: then all servers are late because of congestion.
func (b *Balancer) isEjected(s *server) bool {
	return s.ejectedUntil > 0 && b.healthyCapacity >= minHealthyShare*b.totalCapacity
}

// recordOutcome updates the health of a server by the outcome of an attempt. A server that fails fast looks
// idle, so failures lower its weight.
func (b *Balancer) recordOutcome(a *attempt, o Outcome) {
	s, c, failure, allowedWait := a.srv, a.req.Class, 1.0, 1.0
	if o.Result == TimedOut {
		allowedWait = a.relativeAllowedWait(b)
	}
	// By itself a sign of congestion: a rejection, or a missing answer that nothing else explains.
	congested := o.Result == Rejected || o.Result == TimedOut && allowedWait == 1 && !b.laterSendAnswered(a)
	switch {
	case o.Result == Canceled && s.trialActive: // this balancer's turn is over, see eject
		b.eject(s)
		return
	case o.Result == NotSent,
		o.Result == Canceled && (s.ejectedUntil > 0 || s.lastHeard > a.sent || a.relativeWait(b) < hedgeDelay):
		s.trialActive = false
		return
	case o.Result == OK:
		s.lastHeard, s.lastAnsweredSend, failure = b.now, max(s.lastAnsweredSend, a.sent), 0
		b.meanLatency[c] += ewmaWeight * (float64(o.Took) - b.meanLatency[c])
		// One long latency raises the minimum by a factor of 1 + ewmaWeight*ewmaWeight at most.
		b.minLatency[c] += ewmaWeight * (min(float64(o.Took), b.minLatency[c]*(1+ewmaWeight)) - b.minLatency[c])
		b.answerRate += 1 / (rateHorizons * b.horizon.Seconds())
	case o.Result == TimedOut && s.lastHeard > a.sent && s.ejectedUntil == 0:
		failure = 0 // it answers others: the request is expensive, or was lost
		if allowedWait == 1 {
			b.lossRate += ewmaWeight
		}
	}
	b.lossRate -= ewmaWeight * b.lossRate
	// Dead or lossy servers, clients that allow little time and slowly received bodies are not congestion.
	if (congested && !b.isEjected(s) || o.Result == OK) && !a.req.BodyPending {
		used := b.slackUsed(a, congested)
		if b.congestion += b.congestionWeight * (used - b.congestion); used < shedThreshold {
			b.lastPromptSend = max(b.lastPromptSend, a.sent)
		}
	}
	weight := failureWeight * allowedWait
	if o.Result == TimedOut && failure > 0 || o.Result == Canceled { // a longer wait counts more
		weight = min(1, max(weight, a.relativeWait(b)/maxMissedAnswers))
	}
	s.failureRate += weight * (failure - s.failureRate)
	s.lastOutcome, b.lastOutcome, b.revision = b.now, b.now, b.revision+1
	if s.warmupShare(b) < 1 {
		b.coldSamples = min(b.coldSamples+1, 1/ewmaWeight)
		b.coldFailureRate += (failure - b.coldFailureRate) / b.coldSamples
	}
	switch {
	case s.ejectedUntil > 0 && failure == 0 && (s.trialActive || s.failureRate < ejectThreshold):
		s.ejectedUntil, s.trialActive, s.failureRate = 0, false, 0
		if s.lastReport == b.now { // so the load from others is known
			s.readmittedAt, s.othersShare = b.now, s.lastUtil/max(b.meanUtil, minUtil)
		}
	case s.ejectedUntil == 0 && s.failureRate > ejectThreshold, s.trialActive:
		b.eject(s)
	}
}

// eject excludes a server from the draws until it is this balancer's turn to try it with one request (see
// dueForTrial). The balancers that draw from the server take turns, in the order of their ranks and about a
// horizon apart. A round is the time in which each of them has one turn. A balancer's first turn comes
// SubsetRank * Balancers horizons after the ejection, each later one a round after the failed trial, and none
// earlier than after one horizon.
func (b *Balancer) eject(s *server) {
	turn := s.SubsetRank
	if s.ejectedUntil > 0 { // one round later: a round lasts horizon * subsetShare * Balancers
		turn = s.subsetShare
	}
	s.ejectedUntil = b.now + time.Duration(float64(b.horizon)*max(1, turn*float64(b.settings.Balancers)))
	s.trialActive, b.revision = false, b.revision+1
	b.updateWeights() // the healthy capacity has changed
}

// missedAnswers returns how many answers the server would have given, at the mean latency, since its last
// one: the sum of the waits of all attempts in flight, each in mean latencies. One late answer means an
// expensive request, many mean a silent server.
func (b *Balancer) missedAnswers(s *server) (n float64) {
	for _, a := range s.inFlight {
		if !a.req.BodyPending { // an incomplete request cannot be answered yet
			n += float64(b.runningSince(max(a.sent, s.lastHeard))) / b.meanLatency[a.req.Class]
		}
	}
	return n
}

// checkHealth ejects servers that have received requests and answered none for longer than usual, and
// hedges late attempts. The limit is lower in a trial: a server that was ejected for its silence had exceeded
// the higher one.
func (b *Balancer) checkHealth() {
	for _, s := range b.servers {
		switch n := b.missedAnswers(s); {
		case s.ejectedUntil == 0 && n > maxMissedAnswers || s.trialActive && n > maxMissedInTrial:
			b.eject(s)
			b.cancelAtSilent(s)
		case s.outsideSubset && s.ejectedUntil > 0 && b.now >= s.ejectedUntil: // other balancers try it
			s.ejectedUntil, s.failureRate = 0, 0
		}
		b.hedgeLate(s)
		s.confidence *= math.Exp(-1.0 / ticksPerHorizon / reportHorizons)
		s.failureRate *= math.Exp(-1.0 / ticksPerHorizon /
			max(rateHorizons, s.subsetShare*float64(b.settings.Balancers)))
	}
}

// dueForTrial returns an ejected server that is due for a trial, if the request can be risked: it is the
// first attempt, in a class whose repeats do the least harm.
func (b *Balancer) dueForTrial(r *request) *server {
	if len(r.attempts) > 0 || r.class.Effect != b.trialEffect {
		return nil
	}
	for _, s := range b.servers {
		if s.ejectedUntil > 0 && b.now >= s.ejectedUntil && !s.trialActive && b.maySend(r, s) {
			return s
		}
	}
	return nil
}

// Slow start.

// refillColdAllowances adds a cold server's share of one attempt to the sends that it may get. Without this
// limit all balancers would send all requests to the cold servers at once, as these are idle. At most two
// sends are saved up.
func (b *Balancer) refillColdAllowances() {
	for _, s := range b.servers {
		if s.warmupShare(b) < 1 && !s.outsideSubset { // this balancer draws from its subset only
			s.coldAllowance = min(s.coldAllowance+
				coldSendFactor*(1-coldFailurePenalty*b.coldFailureRate)*s.drawWeight/b.subsetCapacity, 2)
		}
	}
}

// Attempts.

// maySend decides whether a request may be sent to a server. It is the only place that does; every send
// passes it.
func (b *Balancer) maySend(r *request, s *server) bool {
	if r.closed || b.now >= r.Deadline || s.State != Ready || r.RequiredProtocols&^s.Protocols != 0 ||
		len(r.attempts) >= b.settings.MaxAttempts || r.inFlight > 1 ||
		r.inFlight == 1 && !b.settings.ParallelAttempts {
		return false
	}
	first := r.firstPossiblyRun()
	switch c := r.class; {
	case s.warmupShare(b) < 1 && s.coldAllowance < 1:
		return false
	case first == nil || c.Effect == Safe:
		return true
	case c.Effect == Unsafe || b.now+b.windowMargin()-first.sent >= c.DedupWindow:
		return false
	case c.DedupScope == DedupZone:
		return s.Zone == first.zone && !s.ZoneUnknown && !first.zoneUnknown
	case c.DedupScope == DedupCell:
		return s.Cell == first.cell && !s.CellUnknown && !first.cellUnknown
	}
	return true
}

// windowMargin returns how long before the end of its deduplication window a keyed request is last sent
// again: the possible difference between clocks (Tick), and the possible delay of a send (MaxSendDelay).
func (b *Balancer) windowMargin() time.Duration { return b.settings.Tick + b.settings.MaxSendDelay }

// mayRefuse reports whether the client may be told that a retry does no harm.
func (r *request) mayRefuse() bool {
	return r.firstPossiblyRun() == nil || r.class.Effect == Safe ||
		r.class.Effect == Keyed && r.class.DedupScope == DedupAll
}

// startAttempt sends the request to the best of the servers that it draws, at once or when they have
// answered their probes.
func (b *Balancer) startAttempt(r *request) {
	if b.drawServers(r); !b.probeDrawn(r) {
		b.sendToBest(r)
	}
}

// sendToBest sends the request to the best of the servers drawn, or ends it if there is none.
func (b *Balancer) sendToBest(r *request) {
	for _, s := range r.drawn {
		s.probeWaiters = slices.DeleteFunc(s.probeWaiters, func(o *request) bool { return o == r })
	}
	r.pendingProbes = 0
	s := b.pickServer(r)
	if s == nil {
		b.endUnserved(r, b.unsentReason(r))
		return
	}
	if len(r.attempts) == 0 &&
		b.shouldShed(r.class.Value, busyShedSlope*(b.expectedDelay(r, s)-busyDelayThreshold)) {
		b.endUnserved(r, ServersBusy)
		return
	}
	if len(s.inFlight) == 0 {
		s.lastHeard = b.now
	}
	s.coldAllowance--
	s.probedInFlight++
	first, reason := r.firstPossiblyRun(), r.sendReason()
	a := &attempt{req: r, srv: s, zone: s.Zone, cell: s.Cell, zoneUnknown: s.ZoneUnknown,
		cellUnknown: s.CellUnknown, index: len(r.attempts), sent: b.now, inFlight: true}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	s.inFlight = append(s.inFlight, a)
	send := Action{Kind: Send, Request: r.ID, Server: s.ID, Reason: reason,
		Last: r.class.Effect == Unsafe || len(r.attempts) >= b.settings.MaxAttempts}
	if r.class.Effect == Keyed {
		send.GroupBound = r.class.DedupScope != DedupAll
	}
	if first != nil && r.class.Effect == Keyed { // maySend has checked the window, but connecting takes time
		send.SendWithin = first.sent + r.class.DedupWindow - b.windowMargin() - b.now
	}
	b.emit(send)
}

func (b *Balancer) handleOutcome(o Outcome) {
	r := b.requests[o.Request]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || !r.attempts[o.Attempt].inFlight {
		return
	}
	a := r.attempts[o.Attempt]
	a.inFlight, a.neverRan = false, o.Result.NeverRan()
	r.inFlight--
	a.srv.inFlight = slices.DeleteFunc(a.srv.inFlight, func(other *attempt) bool { return other == a })
	b.recordReport(a.srv, o.Report)
	b.recordOutcome(a, o)
	switch {
	case r.closed || o.Closed:
		if a.canceledAsSilent { // the attempt taken from the budget is not needed
			b.retryBudget = min(b.retryBudget+1, maxRetryBudget)
		}
		for _, other := range r.attempts { // one answer is enough; an earlier attempt is late or lost
			if other.inFlight && o.Result == OK && b.settings.CanCancel {
				b.lossRate += ewmaWeight * max(0, float64(a.index-other.index))
				b.emit(Action{Kind: Cancel, Request: r.ID, Attempt: other.index, Reason: OtherAnswered})
			}
		}
		b.close(r)
	case r.inFlight > 0: // the other attempt may still be answered
	case a.canceledAsSilent:
		b.startAttempt(r)
	case b.retryBudget >= 1 && o.Result != NotSent:
		b.retryBudget--
		b.startAttempt(r)
	case o.Result == NotSent:
		b.endUnserved(r, AttemptNotSent)
	default:
		b.endUnserved(r, RetryBudgetEmpty)
	}
}

// Admission.

func (b *Balancer) handleRequest(e Request) {
	if e.Class < 0 || e.Class >= len(b.settings.Classes) || b.requests[e.ID] != nil {
		return
	}
	r := &request{Request: e, class: &b.settings.Classes[e.Class]}
	b.requests[e.ID] = r
	b.retryBudget = min(b.retryBudget+retryRatio+b.lossRate, maxRetryBudget)
	b.meanValue += ewmaWeight * (r.class.Value - b.meanValue)
	r.deadlineTimer = b.setRequestTimer(r, r.Deadline-b.now)
	// Congestion may shed all requests of low value, but not a trial: its server would be idle all the time.
	if b.shouldShed(r.class.Value, shedSlope*(b.currentCongestion()-shedThreshold)) && b.dueForTrial(r) == nil {
		b.endUnserved(r, Overloaded)
		return
	}
	b.startAttempt(r)
}

// handleBodyReceived restarts the deadline of a request, and the latencies of its attempts, when its last
// byte is received.
func (b *Balancer) handleBodyReceived(e BodyReceived) {
	if r := b.requests[e.Request]; r != nil && r.BodyPending && !r.closed {
		delete(b.timers, r.deadlineTimer)
		r.BodyPending, r.Deadline, r.deadlineTimer = false, e.Deadline, b.setRequestTimer(r, e.Deadline-b.now)
		for _, a := range r.attempts {
			if a.inFlight {
				a.sent = b.now
			}
		}
	}
}

// slackUsed returns the latency of an attempt beyond the minimum latency as a share of the slack, which is
// the difference between target latency and minimum latency. The class with the least slack counts, as
// congestion is the same for all classes; its slack is at least half of its target latency. One slow server
// is not congestion: the share is at most 1. It is 1 if congested is set.
func (b *Balancer) slackUsed(a *attempt, congested bool) float64 {
	slack := float64(b.horizon)
	for i, c := range b.settings.Classes {
		slack = min(slack, max(float64(c.Aim)-b.minLatency[i], float64(c.Aim)/2))
	}
	if used := (float64(b.runningSince(a.sent)) - b.minLatency[a.req.Class]) / slack; used < 1 && !congested {
		return max(0, used)
	}
	return 1
}

// currentCongestion returns the average congestion, in which attempts in flight that are already late count
// as if answered now.
func (b *Balancer) currentCongestion() float64 {
	congestion := b.congestion
	for _, s := range b.servers {
		for _, a := range s.inFlight {
			if !b.isEjected(s) && !b.laterSendAnswered(a) && !a.req.BodyPending {
				congestion += b.congestionWeight * max(0, b.slackUsed(a, false)-congestion)
			}
		}
	}
	return congestion
}

// expectedDelay returns the expected latency at a server as a multiple of the shortest target latency, by
// the number of requests in flight that the server has just reported. It returns 0 if the server does not
// report that number, and 1 if it was probed and has not answered.
func (b *Balancer) expectedDelay(r *request, s *server) float64 {
	switch fresh := r.hasFreshProbe(s); {
	case b.probesFirst() && !fresh && r.probeTimer > 0:
		return 1
	case !fresh || !b.settings.ReportsInFlight || s.capacityEstimate == 0 || s.lastReport == 0:
		return 0
	}
	capacity := s.blendedCapacity * s.warmupShare(b) * b.freeShare(r, s)
	return float64(len(s.inFlight)+1) / capacity / b.shortestAim.Seconds()
}

// shouldShed decides at random whether a request is shed. share is the probability at mean value; requests
// of low value are shed first.
func (b *Balancer) shouldShed(value, share float64) bool {
	return b.rng.Float64() < share*b.meanValue/value
}

// Final answers.

// endUnserved gives a request that was not served its final answer. A refusal promises that a retry does no
// harm; where that may not be true, the answer is a failure. Clients are to wait for half of the target
// latency before a retry, within MaxRetryAfter.
func (b *Balancer) endUnserved(r *request, reason Reason) {
	kind := Fail
	if r.closed {
		return
	} else if r.mayRefuse() {
		kind = Refuse
	}
	b.emit(Action{Kind: kind, Request: r.ID, After: min(b.settings.MaxRetryAfter, r.class.Aim/2),
		Reason: reason})
	b.close(r)
}
