// Package choice holds the decisions of a client-side load balancer: which server gets a request, when an
// attempt is given up or repeated, and what is refused. Every client process has a Balancer of its own; they
// share nothing. A Balancer does no I/O and reads no clock: events go in with the time, actions come out.
package choice

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// Effect says what repeating a request of a class would do.
type Effect int

// The effects of a repeat.
const (
	Safe   Effect = iota // may be repeated at will
	Keyed                // carries a key: repeats are dropped within a group, for a while
	Unsafe               // must never run twice
)

// Group names the servers that drop repeats of a keyed request among themselves.
type Group int

// The groups of servers.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class describes one class of request.
type Class struct {
	Name     string
	Effect   Effect
	Group    Group         // of a keyed class
	Window   time.Duration // of a keyed class: repeats are dropped so long after the first send
	Aim      time.Duration // an answer within this time earns the full worth
	Deadline time.Duration // the client's patience over all its tries
	Worth    float64
}

// Settings are all that a Balancer is told at start. They do not change while it lives.
type Settings struct {
	Balancers      int           // how many balancers front the same servers
	Tick           time.Duration // the least time between two events; timers are that exact
	Classes        []Class
	Zone           int           // where this balancer runs
	CrossZonePrice float64       // what an attempt in another zone costs, as a share of a request; 0 for nothing
	ListWeights    bool          // the list's weights say something of the servers' capacities
	WarmKeys       bool          // a server that met a request's key lately does less work for it
	Probes         bool          // servers may be probed
	ProbePrice     float64       // what a probe costs, as a share of a request
	ReportsLoad    bool          // reports state the requests that a server has in hand
	MaxAttempts    int           // for one request
	ParallelCopies bool          // a request may have two attempts out at a time
	CanCancel      bool          // attempts may be cancelled
	MaxRetryAfter  time.Duration // the longest come-back time that clients heed; 0 where they are given none
	ColdFrom       float64       // a server starts with this share of its capacity at least
	ColdFor        time.Duration // and has all of it after this time at the latest
	Stall          time.Duration // by how much a send may be held up past its Within
}

// check says in plain words what is wrong with the settings.
func (set *Settings) check() error {
	if len(set.Classes) == 0 {
		return errors.New("choice: settings name no class of requests")
	}
	for _, c := range set.Classes {
		if c.Aim <= 0 || c.Deadline <= 0 {
			return fmt.Errorf("choice: class %q needs an aim and a deadline above 0", c.Name)
		}
		if c.Effect == Keyed && c.Window <= 0 {
			return fmt.Errorf("choice: keyed class %q needs a window above 0", c.Name)
		}
	}
	if set.Stall < 0 {
		return errors.New("choice: the stall must not be below 0")
	}
	if set.MaxAttempts < 1 {
		return errors.New("choice: settings allow no attempt")
	}
	if !(set.CrossZonePrice >= 0 && set.ProbePrice >= 0) {
		return errors.New("choice: prices must not be below 0")
	}
	if set.ColdFor > 0 && (set.ColdFrom <= 0 || set.ColdFrom > 1) {
		return errors.New("choice: the cold share must be above 0 and at most 1")
	}
	return nil
}

// Protocols is a set of protocols, one bit each. What a bit stands for is the host's matter.
type Protocols uint64

// State is what the list says of a server.
type State int

// The states of a server.
const (
	Ready    State = iota
	Draining       // finishes its work; gets nothing new
	Gone           // removed; in changes only
)

// Server is an entry of the list.
type Server struct {
	ID      string
	State   State
	Zone    int
	Cell    int           // a small set of servers that drop each other's repeats
	Weight  float64       // the list's figure for its size
	Started time.Duration // its latest start, on the clock of the events; 0 for long ago
	Speaks  Protocols
	Place   float64 // this balancer's among all that might draw from it, from 0 to below 1; see package subset
}

// Report is what a server says of its own load. A negative figure is one that it does not state.
type Report struct {
	Util     float64 // share of its cores' time in use
	Rate     float64 // requests done a second
	Errors   float64 // errors a second
	InFlight float64
	Queue    float64
}

// NoReport is the Report of an answer that brought none.
var NoReport = Report{Util: -1, Rate: -1, Errors: -1, InFlight: -1, Queue: -1}

// Result is how an attempt or a probe ended.
type Result int

// The results of an attempt.
const (
	OK            Result = iota // served
	Failed                      // an error came back; it may have run
	Rejected                    // turned away unseen; it never ran
	TimedOut                    // no answer in the time allowed; it may have run
	ConnectFailed               // no connection in time; it never ran
	Reset                       // the connection broke; it may have run
	Cancelled                   // withdrawn; it may have run
	NotSent                     // not sent at all: too late, or one attempt too many
)

// neverRan reports whether the result proves that the request had no effect.
func (r Result) neverRan() bool { return r == Rejected || r == ConnectFailed || r == NotSent }

// Event is something that a Balancer is told: one of the types below.
type Event interface{ event() }

type (
	// ServerList brings the list of servers or a change of it. The slice is only read.
	ServerList struct {
		Full    bool // the whole list, not only the entries that changed
		Servers []Server
	}
	// Request is a client's request. It is owed one final answer: a served attempt, a Refuse or a Fail.
	Request struct {
		ID            string
		Class, Tenant int
		Key           string        // what it is about; may be empty
		Deadline      time.Duration // when the client gives this try up, on the clock of the events
		Again         bool          // the client's own repeat, where clients say so
		Needs         Protocols     // all of these a server must speak to be sent it; 0 where any will do
		Coming        bool          // its last bytes are still to come; Whole says when they have
	}
	// Whole says that a request that was coming is here to its last byte. Its time counts from now.
	Whole struct {
		Request  string
		Deadline time.Duration
	}
	// Outcome ends one attempt. Every Send gets one. The first OK answers the client by itself.
	Outcome struct {
		Request string
		Attempt int // numbered from 0 in the order of the sends
		Server  string
		Result  Result
		Took    time.Duration
		Closed  bool // the request needs no final answer any more
		Report  Report
	}
	// Streaming says that a streamed answer has begun: the attempt belongs to the client now.
	Streaming struct {
		Request string
		Attempt int
	}
	// ClientGone says that the client left; nothing more is owed.
	ClientGone struct{ Request string }
	// Probed is the result of a probe.
	Probed struct {
		Server string
		Result Result
		Took   time.Duration
		Report Report
	}
	// Ending says that the process ends: every open request gets its final answer by then at the latest.
	Ending struct{ By time.Duration }
	// TimerFired says that a timer set by SetTimer is due.
	TimerFired struct{ Token uint64 }
)

func (ServerList) event() {}
func (Request) event()    {}
func (Whole) event()      {}
func (Outcome) event()    {}
func (Streaming) event()  {}
func (ClientGone) event() {}
func (Probed) event()     {}
func (Ending) event()     {}
func (TimerFired) event() {}

// ActionKind names what an Action does and which of its fields count.
type ActionKind int

// The kinds of actions.
const (
	Send     ActionKind = iota // Request to Server, given up after After (0: when the client does); see Within
	Cancel                     // attempt number Attempt of Request
	Refuse                     // Request: trying again does no harm; the client stays away for After
	Fail                       // Request: no promise about its effect
	SetTimer                   // TimerFired with Token comes after After
	Probe                      // Server
)

// Action is something that the Balancer wants done. Actions take effect in order.
type Action struct {
	Kind    ActionKind
	Request string
	Server  string
	Attempt int
	After   time.Duration
	Within  time.Duration // a Send must be written whole so soon, or not at all; 0 for any time
	Token   uint64
	Reason  Reason // why, for logs and counts
}

// New returns a Balancer. Its random numbers follow from the seed alone.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	b := &Balancer{set: set, rng: rand.New(rand.NewPCG(seed, 0)), byID: map[string]*server{},
		requests: map[string]*request{}, timers: map[uint64]*request{}, token: firstToken,
		budget: retrySaved, trialBy: Unsafe, tightest: set.Classes[0].Aim, jamWeight: jamWeight}
	for _, c := range set.Classes {
		b.usual, b.least = append(b.usual, float64(c.Aim)/4), append(b.least, float64(c.Aim)/4)
		b.horizon = max(b.horizon, c.Aim)
		b.tightest = min(b.tightest, c.Aim)
		b.trialBy = min(b.trialBy, c.Effect)
		b.worth += c.Worth / float64(len(set.Classes))
	}
	return b, nil
}

// Start returns what a new Balancer wants done before its first event.
func (b *Balancer) Start(now time.Duration) []Action {
	b.now, b.actions = now, b.actions[:0]
	b.startTick()
	return b.actions
}

// Handle takes one event and returns what is to be done, in order. The actions hold until the next call. What
// concerns a request, attempt or server that is not known is passed over. The time is that of a clock which
// all balancers and servers have, to a small part of an aim; a rule is never broken by one that is off.
func (b *Balancer) Handle(now time.Duration, ev Event) []Action {
	b.now, b.actions = now, b.actions[:0]
	b.findStall()
	switch e := ev.(type) {
	case ServerList:
		b.list(e)
	case Request:
		b.request(e)
	case Whole:
		b.whole(e)
	case Outcome:
		b.outcome(e)
	case Streaming:
		if r := b.requests[e.Request]; r != nil {
			b.close(r)
		}
	case ClientGone:
		if r := b.requests[e.Request]; r != nil {
			b.close(r)
		}
	case Probed:
		b.probed(e)
	case Ending:
		b.endAll(e.By)
	case TimerFired:
		b.fired(e.Token)
	}
	return b.actions
}

// Tokens of the timers that belong to no request.
const (
	tickToken uint64 = iota
	firstToken
)

func (b *Balancer) fired(token uint64) {
	switch r := b.timers[token]; {
	case token == tickToken:
		b.tick()
	case r != nil && token == r.due:
		b.finish(r, DeadlinePassed)
	case r != nil && r.waits > 0 && token == r.late:
		b.choose(r)
	}
	delete(b.timers, token)
}

func (b *Balancer) act(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) timer(token uint64, after time.Duration) {
	b.act(Action{Kind: SetTimer, Token: token, After: after})
}

// startTick sets the timer of the next look at health.
func (b *Balancer) startTick() {
	b.tickBy = b.now + b.horizon/ticks
	b.timer(tickToken, b.horizon/ticks)
}

// timerFor sets a timer for a request and returns its token.
func (b *Balancer) timerFor(r *request, after time.Duration) uint64 {
	b.token++
	b.timers[b.token] = r
	b.timer(b.token, after)
	return b.token
}
