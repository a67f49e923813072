package choice

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Balancer makes the decisions of one client process. It is a deterministic state machine: equal settings,
// seed and events give equal actions. It is not safe for concurrent use. After a restart of the process a
// new Balancer is made.
type Balancer struct {
	settings         Settings
	rng              *rand.Rand
	now              time.Duration
	actions          []Action
	servers          []*server // those in the list, in the order in which it first named them
	byID             map[string]*server
	requests         map[string]*request // open, or with attempts in flight
	timers           map[uint64]*request // by token
	lastToken        uint64              // of the timers set so far
	horizon          time.Duration       // A horizon is the longest target latency, the time base of averages.
	meanLatency      []float64           // mean time to an answer in ns, by class
	minLatency       []float64           // estimate of the least latency in ns, by class; see recordOutcome
	retryBudget      float64             // further attempts that may be made
	trialEffect      Effect              // the least harmful effect among the classes
	shortestAim      time.Duration       // shortest target latency
	congestion       float64             // average share of the slack used; see slackUsed
	meanUtil         float64             // mean utilization by recent reports
	totalConfidence  float64             // sum of the confidence in the servers' estimates
	congestionWeight float64             // weight of a new sample in the congestion
	totalCapacity    float64             // current capacity of all ready servers
	subsetCapacity   float64             // current capacity of the ready servers in the subset
	healthyCapacity  float64             // current capacity of the ready servers that are not ejected
	lossRate         float64             // share of attempts lost at servers that answer others
	answerRate       float64             // answers to this balancer per second, averaged
	meanValue        float64             // mean value of recent requests
	coldFailureRate  float64             // share of failures among recent attempts at cold servers
	coldSamples      float64             // number of attempts in coldFailureRate, up to 1 / ewmaWeight
	lastOutcome      time.Duration       // time of the latest outcome
	nextTick         time.Duration       // when the next tick is due
	stalls           []stall             // the latest ones, oldest first
	lastPromptSend   time.Duration       // latest send time of the attempts with slackUsed below shedThreshold
	revision         uint64              // number of reports, outcomes and ejections so far
	importChecks     int                 // imported capacities that were compared with a report
	importErrors     int                 // imported capacities that were off by more than importErrorFactor
}

// server holds all that is known about one server.
type server struct {
	Server
	inFlight         []*attempt    // of this balancer, oldest first
	capacityEstimate float64       // in requests per second; 0 if unknown
	confidence       float64       // in the estimate: 1 after a report, lower with time
	blendedCapacity  float64       // the estimate, or nearer to the mean of the others if that is old
	reportedRate     float64       // reported requests per second, smoothed
	reportedUtil     float64       // reported utilization, smoothed
	lastUtil         float64       // latest reported utilization
	lastReport       time.Duration // time of the latest report
	probedInFlight   float64       // requests in flight by the latest probe, and own ones sent since
	lastProbeAnswer  time.Duration // time of the latest answer to a probe
	lastProbe        time.Duration // time of the latest probe
	probeWaiters     []*request    // requests that wait for the answer to a probe
	idHash           uint64        // hash of the id
	subsetShare      float64       // share of all balancers that draws from it, if they have equal traffic
	outsideSubset    bool          // this balancer does not draw from it
	lastHeard        time.Duration // latest answer or, if later, the first send that waits for one
	lastAnsweredSend time.Duration // latest send time of the attempts that it has answered
	failureRate      float64       // share of failures among the latest outcomes
	lastOutcome      time.Duration // time of the latest outcome
	imported         bool          // the estimate is imported, and no report has come since
	ejectedUntil     time.Duration // 0 if not ejected
	trialActive      bool          // a trial is in flight
	readmittedAt     time.Duration // when it was last readmitted
	othersShare      float64       // load that it had from other balancers then, relative to the mean
	coldAllowance    float64       // sends that it may get while cold
	drawWeight       float64       // current capacity, adjusted for the request at hand
}

type request struct {
	Request
	class          *Class
	attempts       []*attempt
	drawn          []*server     // servers drawn for the next attempt
	affinityServer *server       // the one drawn to which the key hashes
	probedSince    time.Duration // when the probes were sent; answers from then on are fresh
	pendingProbes  int           // answers to probes that the request waits for
	probeTimer     uint64        // token of the timer that ends the wait
	deadlineTimer  uint64        // token of the timer at the deadline
	inFlight       int           // number of attempts in flight
	closed         bool          // needs no final answer any more
}

type attempt struct {
	req              *request
	srv              *server
	zone, cell       int  // of the server at the send; a process that takes its place may have others
	zoneUnknown      bool // no zone or cell was known then
	cellUnknown      bool
	index            int           // in the attempts of the request
	sent             time.Duration // time of the send or, if later, of the request's last byte
	inFlight         bool
	neverRan         bool // the result proves that it had no effect
	answerStarted    bool // the server has begun an answer that may be long
	canceledAsSilent bool // canceled at a silent server; the attempt to follow is taken from the budget
}

// firstPossiblyRun returns the first attempt that may have run at its server, or nil if there is none.
func (r *request) firstPossiblyRun() *attempt {
	if i := slices.IndexFunc(r.attempts, func(a *attempt) bool { return !a.neverRan }); i >= 0 {
		return r.attempts[i]
	}
	return nil
}

// load returns the load of the server relative to its weight, with one more request.
func (s *server) load() float64 { return float64(len(s.inFlight)+1) / s.drawWeight }

// readmitFactor returns by what factor the share of a readmitted server is raised. Balancers readmit a
// server in turns (see eject). As long as only some have readmitted it, these send it more than its share.
// Then the factor is 1. readmitted estimates the share of the balancers that have readmitted the server: it
// is the load from others at the readmission, plus the part of a round that has passed since.
func (s *server) readmitFactor(b *Balancer) float64 {
	round := float64(b.horizon) * float64(b.settings.Balancers) * s.subsetShare
	if readmitted := s.othersShare + float64(b.now-s.readmittedAt)/round; s.readmittedAt > 0 && readmitted < 1 {
		return 1 / max(readmitted, 1.0/maxReadmitFactor)
	}
	return 1
}

// hasFreshProbe reports whether the server has answered a probe since the probes for the request were sent.
func (r *request) hasFreshProbe(s *server) bool {
	return s.lastProbeAnswer > 0 && s.lastProbeAnswer >= r.probedSince
}

// close marks the request as ended. It is kept while attempts are in flight. Its timers still fire but are
// ignored, and must not refer to the request: at many requests per second most of the memory would be held
// by requests that have ended.
func (b *Balancer) close(r *request) {
	r.closed = true
	delete(b.timers, r.deadlineTimer)
	delete(b.timers, r.probeTimer)
	if r.inFlight == 0 {
		delete(b.requests, r.ID)
	}
}

// warmupShare returns the minimum share of its capacity that a server has, by the time since its start. A
// server is cold, or in slow start, while this share is below 1.
func (s *server) warmupShare(b *Balancer) float64 {
	age := b.now - s.Started
	if s.Started == 0 || age >= b.settings.SlowStartWindow {
		return 1
	}
	return b.settings.SlowStartMinShare +
		(1-b.settings.SlowStartMinShare)*max(0, float64(age)/float64(b.settings.SlowStartWindow))
}

// laterSendAnswered compares a with the attempts that were sent later than a by more than the mean latency.
// It returns true if the server of a has answered one of them. It also returns true if any server has
// answered one of them with slackUsed below shedThreshold. In both cases there is no congestion: a is lost
// or expensive, or its server is unhealthy.
func (b *Balancer) laterSendAnswered(a *attempt) bool {
	return float64(max(a.srv.lastAnsweredSend, b.lastPromptSend)-a.sent) > b.meanLatency[a.req.Class]
}

// relativeWait returns the time since an attempt was sent, in mean latencies.
func (a *attempt) relativeWait(b *Balancer) float64 {
	return float64(b.runningSince(a.sent)) / b.meanLatency[a.req.Class]
}

// relativeAllowedWait returns the time that the client allowed, divided by the time from which an answer
// counts as late, at most 1. The shorter it is, the less a missing answer says about the server.
func (a *attempt) relativeAllowedWait(b *Balancer) float64 {
	lateAfter := min(hedgeDelay*b.meanLatency[a.req.Class], float64(a.req.class.Aim))
	return min(1, float64(a.req.Deadline-a.req.attempts[0].sent)/lateAfter)
}
