// Package core runs a decision module for every protocol: it takes calls from the fronts, makes the attempts that the
// module orders through the transports and gives the final answers. It decides nothing itself, and knows nothing of
// how calls and answers are worded.
package core

import (
	"container/heap"
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/discovery"
	"ternbeam/internal/life"
	"ternbeam/internal/pool"
)

// ErrWithdrawn is the cause with which the context of an attempt ends that the module cancels.
var ErrWithdrawn = fmt.Errorf("withdrawn by the module")

// Call is one call of a client. Its Needs name the protocol that a server must speak to be sent it.
type Call struct {
	choice.Request
	Payload any          // for the transports of that protocol
	Answer  func(Answer) // takes the one final answer, on the loop: it must not block

	over     atomic.Bool               // the final answer is given, or the client is gone
	attempts []context.CancelCauseFunc // by number; nil for one that has ended
	out      int                       // attempts in flight
}

// Over reports whether the call has its final answer or its client is gone: nothing may be sent for it any more.
func (c *Call) Over() bool { return c.over.Load() }

// End gives the call up from outside a Core; transports under test use it.
func (c *Call) End() { c.over.Store(true) }

// Kind is what a final answer says.
type Kind int

// The kinds of final answers.
const (
	Served    Kind = iota
	Refused        // trying again does no harm
	Failed         // no promise about its effect
	Duplicate      // a call with this id is under way
)

// Answer is the final answer to a call.
type Answer struct {
	Kind  Kind
	After time.Duration // of a refusal: when to come back, 0 where that is not said
	Reply any           // of a served call: what the transport brought
}

// Attempt is one attempt of a call at a server.
type Attempt struct {
	Call   *Call
	Number int
	Server *life.Server
	Sent   time.Duration // on the module's clock
	Life   life.Attempt  // its transport's

	// Illegal takes a step that must not come: a fault of this program. None is taken where it is nil.
	Illegal func(error)
}

// Heed passes on an illegal step, if it is one.
func (at *Attempt) Heed(err error) {
	if err != nil && at.Illegal != nil {
		at.Illegal(err)
	}
}

// Ending is how an attempt ended.
type Ending struct {
	Result choice.Result
	Report choice.Report
	Reply  any // where it was served
}

// Ended is an Ending that brought nothing.
func Ended(r choice.Result) Ending { return Ending{Result: r, Report: choice.NoReport} }

// Transport makes attempts at servers of one protocol. It returns when the attempt has ended or its context has; the
// result says whether it can have run.
type Transport interface {
	Attempt(ctx context.Context, at *Attempt) Ending
}

// Settings are what a Core is made of.
type Settings struct {
	Module     choice.Settings
	Seed       uint64
	Zones      []string
	MostHeld   int            // calls not answered yet; 0 for no bound
	Known      discovery.List // the list as it was last had
	Discovery  string         // address of the list
	Pool       *pool.Pool
	Transports map[choice.Protocols]Transport // by what a call needs
	Log        *slog.Logger
	Illegal    func(error) // takes steps that must not come; none where nil
}

// Core is one client-side balancer. One goroutine, the loop, owns the Balancer and all the tables; everything else
// posts events to it.
type Core struct {
	set       Settings
	log       *slog.Logger
	events    chan func()
	workers   workers
	malformed atomic.Int64  // calls that no front could read, which the loop never sees
	ready     chan struct{} // closed when clients may begin
	started   time.Time
	origin    time.Duration // module time at the start: Unix time, so that starts of servers need no mapping

	// What follows belongs to the loop.
	balancer  *choice.Balancer
	queue     []choice.Event // to be handled; actions of one event may cause the next
	handling  bool
	timers    timerHeap
	calls     map[string]*Call // not answered yet, or with attempts in flight
	servers   map[string]*life.Server
	open      int    // calls not answered yet
	discovery string // the address that is followed
	watch     func() // begins a watch there
	unwatch   func() // ends it; nothing that it has delivered is applied from then on
	haveWatch bool
	stats     Stats
}

// Stats are counts since the start.
type Stats struct {
	Requests, Served, Refused, Failed, Gone int
	Attempts, Reports                       int
	Results                                 [choice.NotSent + 1]int
}

// New returns a Core that is ready to Run.
func New(set Settings) (*Core, error) {
	balancer, err := choice.New(set.Module, set.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	now := time.Now()
	return &Core{set: set, log: set.Log, events: make(chan func(), 1024), workers: newWorkers(), ready: make(chan struct{}), started: now,
		origin: time.Duration(now.UnixNano()), balancer: balancer, calls: map[string]*Call{},
		servers: map[string]*life.Server{}}, nil
}

// Now is the module's clock: monotonic, in Unix time.
func (c *Core) Now() time.Duration { return c.origin + time.Since(c.started) }

// at turns a time of the module's clock into one of the system's.
func (c *Core) at(t time.Duration) time.Time { return c.started.Add(t - c.origin) }

// post hands an event to the loop.
func (c *Core) post(event func()) { c.events <- event }

// Ready is closed when clients may begin: the list has come, or was waited for long enough.
func (c *Core) Ready() <-chan struct{} { return c.ready }

// Take takes a call from a front. It gets one final answer.
func (c *Core) Take(call *Call) { c.post(func() { c.arrived(call) }) }

// Left takes the news that the client of a call has gone away: no answer is owed any more.
func (c *Core) Left(call *Call) { c.post(func() { c.left(call) }) }

// Malformed counts a call that a front could not read.
func (c *Core) Malformed() { c.malformed.Add(1) }

const (
	// firstList is how long the agent waits for discovery's word before it calls itself ready.
	firstList   = 200 * time.Millisecond
	sweepEvery  = time.Second
	reportEvery = 5 * time.Second
)

// Run is the loop. It owns the Balancer: it takes one event after the other, and timers when they are due.
func (c *Core) Run(ctx context.Context) {
	c.follow(ctx, c.set.Discovery, c.set.Known.Version)
	c.perform(c.balancer.Start(c.Now()))
	c.list(c.set.Known)
	if !c.set.Module.Subscribe {
		c.beginWatch()
	}
	first := time.AfterFunc(firstList, func() { c.post(c.markReady) })
	defer first.Stop()
	sweep, report := time.NewTicker(sweepEvery), time.NewTicker(reportEvery)
	defer sweep.Stop()
	defer report.Stop()
	due := time.NewTimer(0)
	defer due.Stop()
	for {
		for len(c.timers) > 0 && c.timers[0].at <= c.Now() {
			t := heap.Pop(&c.timers).(timer)
			c.handle(choice.TimerFired{Token: t.token})
		}
		if len(c.timers) > 0 {
			due.Reset(c.timers[0].at - c.Now())
		}
		select {
		case event := <-c.events:
			event()
		case <-due.C:
		case <-sweep.C:
			c.set.Pool.Sweep()
		case <-report.C:
			c.report()
		case <-ctx.Done():
			return
		}
	}
}

func (c *Core) markReady() {
	select {
	case <-c.ready:
	default:
		close(c.ready)
	}
}

// Snapshot is what a Core holds at one time.
type Snapshot struct {
	Stats      Stats
	Malformed  int64
	Open, Held int // calls not answered yet; these and those with attempts in flight
	Timers     int
	Servers    []string // the ids of those that can be sent to
}

// Snapshot asks the loop what it holds. It must run.
func (c *Core) Snapshot() Snapshot {
	taken := make(chan Snapshot, 1)
	c.post(func() {
		s := Snapshot{Stats: c.stats, Malformed: c.malformed.Load(), Open: c.open, Held: len(c.calls), Timers: len(c.timers)}
		for id := range c.servers {
			s.Servers = append(s.Servers, id)
		}
		taken <- s
	})
	return <-taken
}

// Report logs the counts.
func (c *Core) Report() {
	done := make(chan struct{})
	c.post(func() { c.report(); close(done) })
	<-done
}

func (c *Core) report() {
	s := &c.stats
	connections, _, waiting := c.set.Pool.Count()
	c.log.Info("counts", "requests", s.Requests, "served", s.Served, "refused", s.Refused, "failed", s.Failed,
		"gone", s.Gone, "malformed", c.malformed.Load(), "attempts", s.Attempts, "reports", s.Reports,
		"results", s.Results, "open", c.open, "held", len(c.calls), "timers", len(c.timers),
		"backends", len(c.servers), "connections", connections, "waiting", waiting)
}

// handle gives the module an event and performs what it orders. Events that the actions cause wait until all
// actions are performed, as these are valid only until the module's next call.
func (c *Core) handle(ev choice.Event) {
	c.queue = append(c.queue, ev)
	if c.handling {
		return
	}
	c.handling = true
	for i := 0; i < len(c.queue); i++ {
		c.perform(c.balancer.Handle(c.Now(), c.queue[i]))
	}
	clear(c.queue)
	c.queue, c.handling = c.queue[:0], false
}

// perform carries out the module's actions. It has no case for probes and messages to peers: the configuration
// rules the ones out, and the module sends none of the others.
func (c *Core) perform(actions []choice.Action) {
	for _, act := range actions {
		switch act.Kind {
		case choice.SetTimer:
			heap.Push(&c.timers, timer{at: c.Now() + act.After, token: act.Token})
		case choice.Subscribe:
			if !c.haveWatch {
				c.beginWatch()
			}
		case choice.Send:
			if call := c.calls[act.Request]; call != nil {
				c.send(call, act.Server, act.After)
			}
		case choice.Cancel:
			call := c.calls[act.Request]
			if call != nil && act.Attempt < len(call.attempts) && call.attempts[act.Attempt] != nil {
				call.attempts[act.Attempt](ErrWithdrawn)
			}
		case choice.Refuse:
			if c.finish(act.Request, Answer{Kind: Refused, After: act.After}) {
				c.stats.Refused++
			}
		case choice.Fail:
			if c.finish(act.Request, Answer{Kind: Failed}) {
				c.stats.Failed++
			}
		}
	}
}

// send begins an attempt, or tells the module at once why there is none. Attempts are numbered in the order in
// which the module orders them, those that are not sent included.
func (c *Core) send(call *Call, server string, after time.Duration) {
	now, n := c.Now(), len(call.attempts)
	call.attempts = append(call.attempts, nil)
	c.stats.Attempts++
	end := call.Deadline
	if after != 0 {
		end = min(end, now+after)
	}
	s, transport := c.servers[server], c.set.Transports[call.Needs]
	failed := choice.Outcome{Request: call.ID, Attempt: n, Server: server, Closed: call.Over(), Report: choice.NoReport}
	switch {
	case failed.Closed || n >= c.set.Module.MaxAttempts || end <= now || transport == nil:
		failed.Result = choice.NotSent
	case s == nil:
		failed.Result = choice.ConnectFailed
	default:
		ctx, cancel := context.WithCancelCause(context.Background())
		call.attempts[n] = cancel
		call.out++
		at := &Attempt{Call: call, Number: n, Server: s, Sent: now, Illegal: c.set.Illegal}
		c.workers.run(func() {
			ctx, stop := context.WithDeadline(ctx, c.at(end))
			defer stop()
			ending := transport.Attempt(ctx, at)
			c.post(func() { c.ended(at, ending) })
		})
		return
	}
	c.stats.Results[failed.Result]++
	c.handle(failed)
}

// ended takes the end of an attempt. The first that is served answers the client.
func (c *Core) ended(at *Attempt, e Ending) {
	call := at.Call
	call.attempts[at.Number](nil)
	call.attempts[at.Number] = nil
	call.out--
	c.stats.Results[e.Result]++
	if e.Report != choice.NoReport {
		c.stats.Reports++
	}
	if e.Result == choice.OK && c.finish(call.ID, Answer{Kind: Served, Reply: e.Reply}) {
		c.stats.Served++
	}
	c.handle(choice.Outcome{Request: call.ID, Attempt: at.Number, Server: at.Server.ID, Result: e.Result,
		Took: c.Now() - at.Sent, Closed: call.Over(), Report: e.Report})
	c.forget(call)
}

// arrived takes a call from its front.
func (c *Core) arrived(call *Call) {
	c.stats.Requests++
	switch {
	case c.calls[call.ID] != nil:
		call.Answer(Answer{Kind: Duplicate}) // an id is never repeated
		return
	case c.set.MostHeld > 0 && c.open >= c.set.MostHeld:
		call.Answer(Answer{Kind: Refused}) // turned away before the module, as in the simulator
		return
	}
	c.calls[call.ID] = call
	c.open++
	c.handle(call.Request)
}

// left takes the news that a client has gone away.
func (c *Core) left(call *Call) {
	if c.calls[call.ID] != call || call.Over() {
		return
	}
	c.stats.Gone++
	c.end(call)
	c.handle(choice.ClientGone{Request: call.ID})
	c.forget(call)
}

// finish gives a call its final answer, if it has none yet.
func (c *Core) finish(id string, ans Answer) bool {
	call := c.calls[id]
	if call == nil || call.Over() {
		return false
	}
	c.end(call)
	call.Answer(ans)
	c.forget(call)
	return true
}

func (c *Core) end(call *Call) {
	call.over.Store(true)
	c.open--
}

// forget drops a call that is answered and has no attempt in flight.
func (c *Core) forget(call *Call) {
	if call.Over() && call.out == 0 && c.calls[call.ID] == call {
		delete(c.calls, call.ID)
	}
}

// timer is a timer of the module's.
type timer struct {
	at    time.Duration
	token uint64
}

// timerHeap is a heap of timers by their times.
type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
