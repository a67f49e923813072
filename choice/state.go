package choice

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Balancer decides for one client process. It is a deterministic state machine: equal settings, seed and
// events give equal actions. It is not safe for concurrent use. A restart is a new Balancer.
type Balancer struct {
	set       Settings
	rng       *rand.Rand
	now       time.Duration
	actions   []Action
	servers   []*server // those of the list, in the order it first named them
	byID      map[string]*server
	requests  map[string]*request // open, or with attempts in flight
	timers    map[uint64]*request
	token     uint64
	horizon   time.Duration // the longest aim: how far back averages over time look
	usual     []float64     // mean time to an answer, a class each
	least     []float64     // least usual time to an answer, a class each
	budget    float64       // further attempts that may be made
	trialBy   Effect        // the least harmful effect among the classes
	tightest  time.Duration // the shortest aim
	jam       float64       // part of the slack used, averaged
	use       float64       // mean use by the reports of late
	known     float64       // servers whose reports hold, by trust
	jamWeight float64       // of a new sample in it
	total     float64       // capacity of all at present
	near      float64       // and of those in the subset
	well      float64       // and of those that are not ejected
	lost      float64       // share of attempts lost at servers that answer others
	served    float64       // own answers a second, averaged
	worth     float64       // mean worth of a request lately
	coldBad   float64       // share of failures among attempts at cold servers
	coldSeen  float64       // how many attempts that rests on, up to 1 / learn
	judged    time.Duration // the latest outcome
	tickBy    time.Duration // when the next tick is due
	stallEnd  time.Duration // when the latest stall of this process was found to be over
	stalled   time.Duration // for how long that lasted at least
	prompt    time.Duration // when the latest sent of those that were answered in good time was sent
	news      uint64        // reports, outcomes and ejections so far
	checked   int           // remembered capacities that servers have spoken on since
	wrong     int           // and those of them that were far off
}

// server is all that is known of one server.
type server struct {
	Server
	inFlight []*attempt    // own, oldest first
	rate     float64       // capacity in requests a second; 0 without an estimate
	trust    float64       // in the estimate: 1 after a report, less with time
	capacity float64       // the estimate, or the mean of the others where that is old
	done     float64       // reported requests a second, smoothed
	util     float64       // reported use, smoothed
	used     float64       // and as last reported
	reported time.Duration // the latest report
	held     float64       // requests in hand when last asked, and own ones sent since
	seen     time.Duration // its latest answer to a probe
	asked    time.Duration // the latest probe
	asking   []*request    // that wait for its answer
	hash     uint64        // of its id
	part     float64       // of all balancers that draws from it, if they fare like this one
	far      bool          // this one does not
	heard    time.Duration // the latest sign of life or, if later, the first send that waits for one
	passed   time.Duration // when the latest sent of those that it has answered was sent
	failing  float64       // share of failures among the latest outcomes
	judged   time.Duration // the latest of these
	recalled bool          // the estimate is remembered, and nothing was heard since
	until    time.Duration // ejected to then; 0 when not
	trial    bool          // one trial is under way
	back     time.Duration // when it was taken back after its last one
	others   float64       // and the part of its part that it then got from others
	spare    float64       // sends it may get while cold
	weight   float64       // capacity at present, for the request at hand
}

type request struct {
	Request
	class    *Class
	attempts []*attempt
	drawn    []*server     // for the next attempt
	home     *server       // the one drawn for its key
	since    time.Duration // when they were asked; later reports are fresh
	waits    int           // answers to probes that it waits for
	late     uint64        // token of the timer that ends the wait
	due      uint64        // token of the timer at the deadline
	out      int           // attempts in flight
	closed   bool
}

type attempt struct {
	req      *request
	srv      *server
	n        int
	sent     time.Duration
	out      bool
	neverRan bool
	rescued  bool // withdrawn from a silent server, and another attempt is paid for
}

// mayHaveRun is the first attempt that is not known to have had no effect.
func (r *request) mayHaveRun() *attempt {
	if i := slices.IndexFunc(r.attempts, func(a *attempt) bool { return !a.neverRan }); i >= 0 {
		return r.attempts[i]
	}
	return nil
}

// load is what the server would bear for its capacity with one request more.
func (s *server) load() float64 { return float64(len(s.inFlight)+1) / s.weight }

// alone is how many times its part a server gets that was taken back, until those that have their turns later
// know of it too: then this balancer's part is its usual one.
func (s *server) alone(b *Balancer) float64 {
	round := float64(b.horizon) * float64(b.set.Balancers) * s.part
	if known := s.others + float64(b.now-s.back)/round; s.back > 0 && known < 1 {
		return 1 / max(known, 1.0/aloneMost)
	}
	return 1
}

// fresh reports whether the server has told its load since the request asked.
func (r *request) fresh(s *server) bool { return s.seen > 0 && s.seen >= r.since }

// close marks the request as ended; it is kept while attempts are in flight. Its timers go on and mean
// nothing: they must not keep it, as at many requests a second most of the memory would be of those that are
// over.
func (b *Balancer) close(r *request) {
	r.closed = true
	delete(b.timers, r.due)
	delete(b.timers, r.late)
	if r.out == 0 {
		delete(b.requests, r.ID)
	}
}

// coldShare is the part of its capacity that a server has at least, so long after its start.
func (s *server) coldShare(b *Balancer) float64 {
	age := b.now - s.Started
	if s.Started == 0 || age >= b.set.ColdFor {
		return 1
	}
	return b.set.ColdFrom + (1-b.set.ColdFrom)*max(0, float64(age)/float64(b.set.ColdFor))
}

// passedOver reports whether its server has answered one that was sent longer after it than is usual, or any
// other has in good time: there is no jam, and this one is lost or costly, or its server ill.
func (b *Balancer) passedOver(a *attempt) bool {
	return float64(max(a.srv.passed, b.prompt)-a.sent) > b.usual[a.req.Class]
}

// findStall looks whether a tick is overdue: then this process was held up, and what servers did meanwhile
// could not be seen.
func (b *Balancer) findStall() {
	if overdue := b.now - b.tickBy; b.tickBy > 0 && overdue > b.horizon/ticks {
		b.stallEnd, b.stalled = b.now, overdue
		b.tickBy = b.now
	}
}

// ranSince is how long this process has run since some time: less than has passed where it was held up. Of
// several stalls the latest counts.
func (b *Balancer) ranSince(t time.Duration) time.Duration {
	stood := max(0, min(b.stalled, b.stallEnd-t))
	return b.now - t - stood
}

// waited is the time since an attempt was sent, in usual times to an answer.
func (a *attempt) waited(b *Balancer) float64 {
	return float64(b.ranSince(a.sent)) / b.usual[a.req.Class]
}

// patience is the time that the client gave, as a part of that from which an answer is late, 1 at most. The
// less it is, the less it says of a server that no answer came in it.
func (a *attempt) patience(b *Balancer) float64 {
	late := min(copyTimes*b.usual[a.req.Class], float64(a.req.class.Aim))
	return min(1, float64(a.req.Deadline-a.req.attempts[0].sent)/late)
}
