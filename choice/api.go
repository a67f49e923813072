// Package choice makes the decisions of a client-side load balancer: which server gets a request, when an
// attempt is retried, hedged or canceled, and which requests are shed. Every client process, called an agent
// in other packages, has its own Balancer; balancers share no state. A Balancer does no I/O and reads
// no clock: the host passes it events with their time and carries out the actions that it returns.
package choice

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// Effect says whether a request of a class may run more than once.
type Effect int

// The effects of running a request again, in the order of the harm that a repeat may do: New takes the
// minimum to find the least harmful effect.
const (
	Safe   Effect = iota // may be repeated any number of times
	Keyed                // has an idempotency key: servers drop repeats within a scope, for a limited time
	Unsafe               // must never run twice
)

// DedupScope names the servers that recognize and drop each other's repeats of a keyed request.
type DedupScope int

// The scopes of deduplication.
const (
	DedupAll  DedupScope = iota // all servers
	DedupZone                   // servers of the same zone
	DedupCell                   // servers of the same cell
)

// Class describes one class of requests.
type Class struct {
	Name        string
	Effect      Effect
	DedupScope  DedupScope    // keyed classes: which servers drop repeats
	DedupWindow time.Duration // keyed classes: how long after the first send repeats are dropped
	Aim         time.Duration // target latency: an answer within it has the full value
	Deadline    time.Duration // how long the client waits, over all its tries
	Value       float64       // relative value of an answer: requests of low value are shed first
}

// Settings configure a Balancer. They are fixed for its lifetime. Tick is a property of the clock and has
// nothing to do with the tick method, which does the periodic work.
type Settings struct {
	Balancers         int           // number of balancers that use the same servers
	Tick              time.Duration // minimum time between two events, and the precision of timers
	Classes           []Class       // indexed by Request.Class
	Zone              int           // zone in which this balancer runs
	CrossZoneCost     float64       // cost of an attempt in another zone, as a share of a request; 0 if free
	UseListWeights    bool          // the weights in the server list reflect the servers' capacities
	KeyAffinity       bool          // a server that recently handled a request's key does less work for it
	CanProbe          bool          // servers may be probed
	ProbeCost         float64       // cost of a probe, as a share of a request
	ReportsInFlight   bool          // reports state the number of requests that a server has in flight
	MaxAttempts       int           // per request
	ParallelAttempts  bool          // a request may have two attempts in flight at a time (hedging)
	CanCancel         bool          // attempts may be canceled
	MaxRetryAfter     time.Duration // maximum retry-after time that clients honor; 0 if none is sent
	SlowStartMinShare float64       // minimum share of its capacity that a server has right after its start
	SlowStartWindow   time.Duration // time after its start at which it has all of it at the latest
	MaxSendDelay      time.Duration // how late a write may be if the host stalls after its check of SendWithin
}

// check returns an error for the first invalid setting.
func (s *Settings) check() error {
	if len(s.Classes) == 0 {
		return errors.New("choice: settings have no request classes")
	}
	for _, c := range s.Classes {
		if c.Aim <= 0 || c.Deadline <= 0 {
			return fmt.Errorf("choice: class %q: aim and deadline must be above 0", c.Name)
		}
		if c.Effect == Keyed && c.DedupWindow <= 0 {
			return fmt.Errorf("choice: keyed class %q: deduplication window must be above 0", c.Name)
		}
	}
	if s.MaxSendDelay < 0 {
		return errors.New("choice: the maximum send delay must not be negative")
	}
	if s.MaxAttempts < 1 {
		return errors.New("choice: the maximum number of attempts must be at least 1")
	}
	if !(s.CrossZoneCost >= 0 && s.ProbeCost >= 0) {
		return errors.New("choice: the costs of cross-zone attempts and probes must be at least 0")
	}
	if s.SlowStartWindow > 0 && (s.SlowStartMinShare <= 0 || s.SlowStartMinShare > 1) {
		return errors.New("choice: the minimum share in slow start must be above 0 and at most 1")
	}
	return nil
}

// Protocols is a set of bits, which the host assigns. A bit stands for a protocol, or for another capability
// that a request may require of a server, such as a shape of messages in package routes. Where a single
// protocol is meant, one bit is set.
type Protocols uint64

// State is the state of a server in the list.
type State int

// The states of a server.
const (
	Ready    State = iota // gets requests
	Draining              // finishes its requests in flight and gets no new ones
	Removed               // removed from the list; only in incremental updates
)

// Server is an entry of the server list.
type Server struct {
	ID         string
	State      State
	Zone       int
	Cell       int           // small group of servers that drop each other's repeats
	Weight     float64       // relative size according to the list
	Started    time.Duration // time of its latest start, on the clock of the events; 0 if long ago
	Protocols  Protocols     // protocols that the server speaks, and its other capabilities
	SubsetRank float64       // rank of this balancer among all at the server, in [0, 1); see package subset

	// No source states the zone or the cell, which is a placeholder: the server is not known to share it.
	ZoneUnknown, CellUnknown bool
}

// Report is the load that a server reports about itself. A negative figure means that it is not stated.
type Report struct {
	Util     float64 // utilization: share of the time of its cores in use
	Rate     float64 // requests completed per second
	Errors   float64 // errors per second
	InFlight float64 // requests in flight
	Queue    float64 // requests queued
}

// NoReport is the Report of an answer that carries no load figures.
var NoReport = Report{Util: -1, Rate: -1, Errors: -1, InFlight: -1, Queue: -1}

// Result is the outcome of an attempt or a probe.
type Result int

// The results of an attempt or a probe.
const (
	OK            Result = iota // served
	Failed                      // the server returned an error; the request may have run
	Rejected                    // the server refused to process the request; it never ran
	TimedOut                    // no answer in the time allowed; the request may have run
	ConnectFailed               // no connection in time; the request never ran
	Reset                       // the connection broke; the request may have run
	Canceled                    // canceled; the request may have run
	NotSent                     // not sent: too late, or one attempt too many; the request never ran
)

// NeverRan reports whether the result proves that the request had no effect.
func (r Result) NeverRan() bool { return r == Rejected || r == ConnectFailed || r == NotSent }

// Event is an input of a Balancer: one of the types below.
type Event interface{ event() }

type (
	// ServerList carries the list of servers or an incremental update. The Balancer only reads the slice.
	ServerList struct {
		Full    bool // the complete list: servers that are missing from it are removed
		Servers []Server
	}
	// Request is a client's request. It gets one final answer: a served attempt, a Refuse or a Fail. It needs
	// none after ClientDisconnected, StreamStarted or an Outcome with Closed.
	Request struct {
		ID                string
		Class, Tenant     int           // Class is an index into Settings.Classes
		Key               string        // what the request is about, for key affinity; may be empty
		Deadline          time.Duration // when the client gives up this try, on the clock of the events
		ClientRetry       bool          // the client marked this try as its own retry
		RequiredProtocols Protocols     // a server must have all of these to get the request; 0 if any will do
		BodyPending       bool          // the end of the body is not yet received; BodyReceived follows
	}
	// BodyReceived reports that a request with BodyPending is received to its last byte. The latencies of its
	// attempts count from this event on.
	BodyReceived struct {
		Request  string
		Deadline time.Duration // replaces that of the Request
	}
	// Outcome ends one attempt. Every Send gets one. The host sets Closed with the first OK, which then is the
	// final answer. If Closed is not set, the request may be tried again, even after an OK.
	Outcome struct {
		Request string
		Attempt int // index in the order of the sends, from 0
		Server  string
		Result  Result
		Took    time.Duration
		Closed  bool // the request needs no final answer any more
		Report  Report
	}
	// StreamStarted reports that a streamed answer has begun to be passed to the client: the request needs no
	// other attempt and no other final answer. Hosts that report the Outcome, with Closed, when the answer
	// begins, as package calltrack does, don't send it.
	StreamStarted struct {
		Request string
		Attempt int
	}
	// AnswerStarted reports that the server has begun to answer an attempt with what may be a long answer.
	// The attempt goes on. If the answer then does not continue, a second event with Stalled says so: the
	// server may be slow, or have stopped.
	AnswerStarted struct {
		Request string
		Attempt int
		Stalled bool
	}
	// ClientDisconnected reports that the client has disconnected: its request needs no final answer.
	ClientDisconnected struct{ Request string }
	// Probed is the result of a probe.
	Probed struct {
		Server string
		Result Result
		Took   time.Duration
		Report Report
	}
	// Shutdown reports that the process shuts down: every open request gets its final answer by Deadline at
	// the latest.
	Shutdown struct{ Deadline time.Duration }
	// TimerFired reports that a timer set by SetTimer has expired.
	TimerFired struct{ Token uint64 }
)

func (ServerList) event()         {}
func (Request) event()            {}
func (BodyReceived) event()       {}
func (Outcome) event()            {}
func (StreamStarted) event()      {}
func (AnswerStarted) event()      {}
func (ClientDisconnected) event() {}
func (Probed) event()             {}
func (Shutdown) event()           {}
func (TimerFired) event()         {}

// ActionKind is the kind of an Action. It determines which of the fields are used.
type ActionKind int

// The kinds of actions.
const (
	Send     ActionKind = iota // send Request to Server; time out after After, or at its deadline if 0
	Cancel                     // cancel attempt number Attempt of Request
	Refuse                     // answer Request: a retry does no harm, but should wait for After
	Fail                       // answer Request: it may or may not have run
	SetTimer                   // deliver TimerFired with Token after After
	Probe                      // probe Server
)

// Action is an instruction to the host, which carries out actions in order.
type Action struct {
	Kind       ActionKind
	Request    string
	Server     string
	Attempt    int
	After      time.Duration
	SendWithin time.Duration // a Send is to be written whole in this time, see MaxSendDelay; 0 for no limit
	Token      uint64
	Reason     Reason // why, for logs and metrics
	Last       bool   // of a Send: once it may have run, no other attempt can follow
	GroupBound bool   // of a Send: of its attempts that may run, all must go to processes of one zone or cell
}

// New returns a Balancer. All its random numbers derive from the seed.
func New(settings Settings, seed uint64) (*Balancer, error) {
	if err := settings.check(); err != nil {
		return nil, err
	}
	b := &Balancer{settings: settings, rng: rand.New(rand.NewPCG(seed, 0)), byID: map[string]*server{},
		requests: map[string]*request{}, timers: map[uint64]*request{}, lastToken: firstToken,
		retryBudget: maxRetryBudget, trialEffect: Unsafe, shortestAim: settings.Classes[0].Aim,
		congestionWeight: maxCongestionWeight}
	for _, c := range settings.Classes {
		// Until there are samples, a quarter of the target latency is assumed.
		b.meanLatency, b.minLatency = append(b.meanLatency, float64(c.Aim)/4),
			append(b.minLatency, float64(c.Aim)/4)
		b.horizon = max(b.horizon, c.Aim)
		b.shortestAim = min(b.shortestAim, c.Aim)
		b.trialEffect = min(b.trialEffect, c.Effect)
		b.meanValue += c.Value / float64(len(settings.Classes))
	}
	return b, nil
}

// Start returns the actions to carry out before the first event.
func (b *Balancer) Start(now time.Duration) []Action {
	b.now, b.actions = now, b.actions[:0]
	b.startTick()
	return b.actions
}

// Handle processes one event and returns the resulting actions, in order. The returned slice is valid until
// the next call. Events that name an unknown request, attempt or server are ignored. now is the time of a
// clock that is synchronized between all balancers and servers, accurate to a small part of a target latency;
// an inaccurate clock never causes a rule to be broken.
func (b *Balancer) Handle(now time.Duration, ev Event) []Action {
	b.now, b.actions = now, b.actions[:0]
	b.detectStall()
	switch e := ev.(type) {
	case ServerList:
		b.handleServerList(e)
	case Request:
		b.handleRequest(e)
	case BodyReceived:
		b.handleBodyReceived(e)
	case Outcome:
		b.handleOutcome(e)
	case StreamStarted:
		if r := b.requests[e.Request]; r != nil {
			b.close(r)
		}
	case AnswerStarted:
		b.handleAnswerStarted(e)
	case ClientDisconnected:
		if r := b.requests[e.Request]; r != nil {
			b.close(r)
		}
	case Probed:
		b.handleProbed(e)
	case Shutdown:
		b.handleShutdown(e.Deadline)
	case TimerFired:
		b.handleTimer(e.Token)
	}
	return b.actions
}

// Timer tokens. Those above firstToken belong to requests.
const (
	tickToken uint64 = iota
	firstToken
)

func (b *Balancer) handleTimer(token uint64) {
	switch r := b.timers[token]; {
	case token == tickToken:
		b.tick()
	case r != nil && token == r.deadlineTimer:
		b.endUnserved(r, DeadlinePassed)
	case r != nil && r.pendingProbes > 0 && token == r.probeTimer:
		b.sendToBest(r)
	}
	delete(b.timers, token)
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) setTimer(token uint64, after time.Duration) {
	b.emit(Action{Kind: SetTimer, Token: token, After: after})
}

// startTick sets the timer for the next tick.
func (b *Balancer) startTick() {
	b.nextTick = b.now + b.horizon/ticksPerHorizon
	b.setTimer(tickToken, b.horizon/ticksPerHorizon)
}

// setRequestTimer sets a timer for a request and returns its token.
func (b *Balancer) setRequestTimer(r *request, after time.Duration) uint64 {
	b.lastToken++
	b.timers[b.lastToken] = r
	b.setTimer(b.lastToken, after)
	return b.lastToken
}
