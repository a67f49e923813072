// Package core runs a decision module for every protocol: it takes calls from the fronts, makes the attempts that the
// module orders through the transports and gives the final answers. It decides nothing itself, and knows nothing of
// how calls and answers are worded.
package core

import (
	"cmp"
	"container/heap"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/clock"
	"ternbeam/internal/decide/asking"
	"ternbeam/internal/decide/learned"
	"ternbeam/internal/decide/ledger"
	"ternbeam/internal/decide/routes"
	"ternbeam/internal/decide/subset"
	"ternbeam/internal/discovery"
	"ternbeam/internal/host/conntrack"
	"ternbeam/internal/host/pool"
)

// ErrWithdrawn is the cause with which the context of an attempt ends that the module cancels.
var ErrWithdrawn = errors.New("withdrawn by the module")

// What fronts and transports know of a call is the ledger's.
type (
	Call    = ledger.Call
	Answer  = ledger.Answer
	Attempt = ledger.Attempt
	Ending  = ledger.Ending
	Stats   = ledger.Stats
)

// The kinds of final answers.
const (
	Served    = ledger.Served
	Refused   = ledger.Refused
	Failed    = ledger.Failed
	Duplicate = ledger.Duplicate
	Unfit     = ledger.Unfit
)

// Ended is an Ending that brought nothing.
func Ended(r choice.Result) Ending { return ledger.Ended(r) }

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
	Asking     asking.Settings
	Feed       Feed // brings the list where not nil; Known and Discovery mean nothing then
	Pool       *pool.Pool
	Transports map[choice.Protocols]Transport // by what a server is spoken to in
	Log        *slog.Logger
	Illegal    func(error)            // takes steps that must not come; none where nil
	Routes     *routes.Routes         // by the shapes of calls; nil where they have none
	Publish    bool                   // figures are wanted
	Clients    func() conntrack.Stats // counts the connections of clients; nil where nobody does
	Inherited  *Inheritance           // what a process that this one replaces has left; nil where there is none
}

// Core is one client-side balancer: the host of a Ledger. One goroutine, the loop, owns the Ledger and the timers;
// everything else posts events to it.
type Core struct {
	set       Settings
	log       *slog.Logger
	events    chan func()
	urgent    chan func() // goes before events: the operators' word and lists, which wait for no queue of calls
	workers   workers
	abandoned atomic.Int64           // calls whose clients were gone before they could be taken
	malformed atomic.Int64           // calls that no front could read, which the loop never sees
	ready     chan struct{}          // closed when clients may begin
	begun     func(*Attempt, Ending) // one for all attempts
	figures   atomic.Pointer[Figures]
	forwards  atomic.Int64 // attempts that were written whole
	steps     clock.Steps  // of the wall clock

	undelivered *undeliveredLog // answers that did not reach their clients

	// What follows belongs to the loop.
	ledger    *ledger.Ledger
	requests  *requestLog
	timers    timerHeap
	discovery string               // the address that is followed
	watch     func()               // begins a watch there
	unwatch   func()               // ends it; nothing that it has delivered is applied from then on
	clock     func() learned.Clock // nil where nothing is remembered
	published time.Duration        // when the figures were
	list      discovery.List       // as it stands
	others    map[*Other]bool      // processes that this one tells what it is told
}

// New returns a Core that is ready to Run.
func New(set Settings) (*Core, error) {
	balancer, err := choice.New(set.Module, set.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	requests := newRequestLog(set.Log, set.Module.Classes)
	books := ledger.New(ledger.Settings{Classes: len(set.Module.Classes), Observe: func(r ledger.Record) { requests.observe(time.Now(), r) }, MaxAttempts: set.Module.MaxAttempts, MostHeld: set.MostHeld,
		Carries: func(needs choice.Protocols) bool { return set.Transports[needs] != nil }, Illegal: set.Illegal, Routes: set.Routes,
		Places: subset.New(subset.Settings{Agents: set.Module.Balancers, Me: set.Asking.Me, Seed: set.Seed})}, balancer)
	c := &Core{set: set, log: set.Log, events: make(chan func(), 1024), urgent: make(chan func()), workers: newWorkers(), ready: make(chan struct{}),
		ledger: books, requests: requests, undelivered: newUndeliveredLog(set.Log), others: map[*Other]bool{}}
	c.begun = func(at *Attempt, e Ending) { c.post(func() { c.do(c.ledger.Begun(c.Now(), at, e)) }) }
	c.publish() // so that there are figures from the start
	return c, nil
}

// Now is the module's clock: monotonic, in Unix time.
func (c *Core) Now() time.Duration { return clock.Now() }

// Reroute takes another table of shapes, once it is in use.
func (c *Core) Reroute(ctx context.Context, t *routes.Table) error {
	result, err := ask(ctx, c, func() error {
		orders, err := c.ledger.Reroute(c.Now(), t)
		c.do(orders)
		return err
	})
	return cmp.Or(err, result)
}

// post hands an event to the loop.
func (c *Core) post(event func()) { c.events <- event }

// postUrgent hands the loop an event that goes before all that are queued, unless the context ends first. Drains are to count
// within a time, however many calls wait.
func (c *Core) postUrgent(ctx context.Context, event func()) { postOn(ctx, c.urgent, event) }

// Respond returns once the loop has handled an event behind those that are queued, or ctx has ended.
func (c *Core) Respond(ctx context.Context) {
	ask(ctx, c, func() struct{} { return struct{}{} })
}

// Ready is closed when clients may begin: the list has come, or was waited for long enough.
func (c *Core) Ready() <-chan struct{} { return c.ready }

// End says that the process was told to end at some time and has every request answered by another: those that are open, and
// those that come from now on.
func (c *Core) End(told, answerBy time.Time) {
	c.post(func() {
		c.requests.endingAt = clock.Of(told)
		c.do(c.ledger.End(c.Now(), clock.Of(answerBy)))
	})
}

// Take takes a call from a front. It gets one final answer.
func (c *Core) Take(call *Call) {
	c.post(func() { c.do(c.ledger.Arrived(c.Now(), call)) })
}

// Whole takes the news that the last byte of a call that was Coming is here, and when its client gives up.
func (c *Core) Whole(call *Call, left time.Duration) {
	deadline := c.Now() + left
	c.post(func() { c.do(c.ledger.Whole(c.Now(), call, deadline)) })
}

// Left takes the news that the client of a call has gone away: no answer is owed any more.
// Nothing more is sent for it from this moment on, however many events are queued before this one.
func (c *Core) Left(call *Call) {
	call.Leave()
	c.post(func() { c.do(c.ledger.Left(c.Now(), call)) })
}

// Abandoned counts a call whose client was gone before it could be taken.
func (c *Core) Abandoned() { c.abandoned.Add(1) }

// Malformed counts a call that a front could not read.
func (c *Core) Malformed() { c.malformed.Add(1) }

const (
	// firstList is how long the agent waits for discovery's word before it calls itself ready, and anyList how long where it
	// knows no server and would refuse all calls: what a list service that is busy with a whole fleet needs, if it is not too slow.
	firstList   = 200 * time.Millisecond
	anyList     = 5 * time.Second
	sweepEvery  = time.Second
	reportEvery = 5 * time.Second
)

// Run is the loop. It owns the Balancer: it takes one event after the other, and timers when they are due.
func (c *Core) Run(ctx context.Context) {
	if c.set.Feed != nil {
		c.do(c.ledger.Start(c.Now()))
		c.feed(ctx)
	} else {
		c.follow(ctx, c.set.Discovery, c.set.Known)
		c.do(c.ledger.Start(c.Now()))
		c.inherit()
		c.apply(c.set.Known)
		c.learn()
		go c.watch()
	}
	wait := firstList
	if c.set.Asking.Shared && c.ledger.ServerCount() == 0 {
		wait = anyList
	}
	first := time.AfterFunc(wait, func() { c.post(c.markReady) })
	defer first.Stop()
	sweep, report := time.NewTicker(sweepEvery), time.NewTicker(reportEvery)
	defer sweep.Stop()
	defer report.Stop()
	due := time.NewTimer(0)
	defer due.Stop()
	var publish <-chan time.Time // never where nobody wants figures
	if c.set.Publish {
		ticks := time.NewTicker(publishEvery)
		defer ticks.Stop()
		publish = ticks.C
	}
	for {
		if c.set.Publish && c.Now()-c.published >= publishEvery { // under full load the timer alone may wait its turn
			c.publish()
		}
		for len(c.timers) > 0 && c.timers[0].at <= c.Now() {
			t := heap.Pop(&c.timers).(timer)
			c.do(c.ledger.Fired(c.Now(), t.token))
		}
		if len(c.timers) > 0 {
			due.Reset(c.timers[0].at - c.Now())
		}
		select {
		case event := <-c.urgent:
			event()
			continue
		default:
		}
		select {
		case event := <-c.urgent:
			event()
		case event := <-c.events:
			event()
		case <-publish:
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
		open, held := c.ledger.Count()
		s := Snapshot{Stats: c.ledger.Stats(), Malformed: c.malformed.Load(), Open: open, Held: held, Timers: len(c.timers),
			Servers: c.ledger.Servers()}
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
	if step := c.steps.Read(); step != 0 {
		c.log.Warn("the wall clock was stepped", "by", step)
	}
	s := c.ledger.Stats()
	open, held := c.ledger.Count()
	connections, _, waiting := c.set.Pool.Count()
	if c.set.Routes != nil {
		c.log.Info("shapes", "translated", s.Translated, "unfit", s.Unfit, "unknown", s.Unknown, "untold", s.Untold)
	}
	if c.set.Clients != nil {
		s := c.set.Clients()
		c.log.Info("client connections", "accepted", s.Accepted, "closed_for_room", s.ClosedForRoom, "closed_unfinished", s.ClosedUnfinished,
			"closed_unread", s.ClosedUnread, "requests_dropped", s.Dropped, "calls_failed", s.CallsFailed, "ended", s.Ended.String())
	}
	c.log.Info("counts", "requests", s.Requests, "served", s.Served, "refused", s.Refused, "failed", s.Failed,
		"gone", s.Gone, "abandoned", c.abandoned.Load(), "malformed", c.malformed.Load(), "undelivered", c.undelivered.count.Load(), "attempts", s.Attempts, "reports", s.Reports,
		"results", resultsText(s.Results[:]), "reasons", reasonsText(c.ledger.Reasons()), "open", open, "held", held, "timers", len(c.timers),
		"backends", c.ledger.ServerCount(), "connections", connections, "waiting", waiting)
}

// do carries out the ledger's orders.
func (c *Core) do(orders []ledger.Order) {
	for _, o := range orders {
		switch o.Kind {
		case ledger.SetTimer:
			heap.Push(&c.timers, timer{at: o.At, token: o.Token})
		case ledger.Begin:
			c.begin(o.Attempt)
		case ledger.Withdraw:
			o.Attempt.Withdraw(ErrWithdrawn)
		case ledger.Reply:
			o.Call.Answer(o.Answer)
		case ledger.Retire:
			c.set.Pool.Retire(o.Server)
		case ledger.Bound:
			withdraw := o.Attempt.Withdraw
			time.AfterFunc(o.At-c.Now(), func() { withdraw(context.DeadlineExceeded) })
		case ledger.Discard:
			if r, ok := o.Reply.(io.Closer); ok {
				r.Close()
			}
		}
	}
}

// begin makes an attempt on a goroutine of its own.
func (c *Core) begin(at *Attempt) {
	ctx, cancel := context.WithCancelCause(context.Background())
	at.Withdraw, at.Forwards, at.Begun = cancel, &c.forwards, c.begun
	if at.SendBy != 0 {
		at.WriteBy = clock.At(at.SendBy)
	}
	transport, end := c.set.Transports[at.Speaks], clock.At(at.End)
	c.workers.run(func() {
		ctx, stop := context.WithDeadline(ctx, end)
		ending := transport.Attempt(ctx, at)
		stop()
		cancel(nil)
		c.post(func() { c.do(c.ledger.Ended(c.Now(), at, ending)) })
	})
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
