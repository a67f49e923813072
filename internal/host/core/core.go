// Package core runs the decision module for all protocols. It accepts calls from the fronts, executes the attempts that
// the decision module requests through the transports, and returns the final answers. It makes no decisions itself and is
// independent of how calls and answers are encoded.
package core

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/clock"
	"ternbeam/internal/decide/calltrack"
	"ternbeam/internal/decide/handover"
	"ternbeam/internal/decide/learned"
	"ternbeam/internal/decide/pacing"
	"ternbeam/internal/decide/recentids"
	"ternbeam/internal/decide/routes"
	"ternbeam/internal/decide/subset"
	"ternbeam/internal/discovery"
	"ternbeam/internal/host/conntrack"
	"ternbeam/internal/host/membudget"
	"ternbeam/internal/host/pool"
)

// ErrCanceled is the cancellation cause of an attempt's context when the decision module cancels the attempt.
var ErrCanceled = errors.New("canceled by the decision module")

// Types of package calltrack that fronts and transports use.
type (
	Call           = calltrack.Call
	Answer         = calltrack.Answer
	Attempt        = calltrack.Attempt
	AttemptOutcome = calltrack.AttemptOutcome
	Stats          = calltrack.Stats
)

// The kinds of final answers.
const (
	Served         = calltrack.Served
	Refused        = calltrack.Refused
	Failed         = calltrack.Failed
	Duplicate      = calltrack.Duplicate      // a call with this id is in progress
	Untranslatable = calltrack.Untranslatable // the call could not be translated
)

// ResultOnly returns an AttemptOutcome that has a result and no answer.
func ResultOnly(r choice.Result) AttemptOutcome { return calltrack.ResultOnly(r) }

// Transport makes attempts at servers of one protocol. Attempt returns when the attempt or its context has ended; the
// result tells whether the server may have executed the call.
type Transport interface {
	Attempt(ctx context.Context, at *Attempt) AttemptOutcome
}

// Settings configure a Core.
type Settings struct {
	Module        choice.Settings
	Seed          uint64
	Zones         []string
	MaxUnanswered int                  // limit on calls that are not answered yet; 0 for no limit
	InitialList   discovery.List       // the list of servers to start with
	Discovery     string               // address of the list service
	Freshness     *discovery.Freshness // is kept up to date while the list service is watched; may be nil
	Pacing        pacing.Settings
	Feed          Feed // if not nil, it provides the list; InitialList is ignored then
	Pool          *pool.Pool
	Transports    map[choice.Protocols]Transport // by the protocol that a server speaks
	Log           *slog.Logger
	OnIllegalStep func(error)            // is called with illegal state transitions; may be nil
	Routes        *routes.Router         // by the shapes of calls; nil if calls have none
	OpsEnabled    bool                   // operations are enabled: Figures are published, and other processes may replace this one
	ClientStats   func() conntrack.Stats // counts the connections of clients; may be nil
	BudgetStats   func() membudget.Stats // figures of the memory for data of clients and servers; may be nil
	Inherited     *InheritedState        // state of the process that this one replaces; nil if there is none
}

// Core runs the event loop around a calltrack.Tracker. One goroutine, the event loop, owns the Tracker and the timers;
// everything else posts events to it.
type Core struct {
	set           Settings
	log           *slog.Logger
	events        chan func()
	urgent        chan func() // takes precedence over events: operator commands and lists, which do not wait behind queued calls
	workers       workers
	unsubmitted   atomic.Int64  // calls whose clients disconnected before the calls could be submitted
	malformed     atomic.Int64  // calls that a front could not read; the loop never sees them
	expiredBodies atomic.Int64  // calls whose client may have had no time left before their body was received
	rests         atomic.Int64  // times that a connection rested as its client sent too fast
	ready         chan struct{} // closed when clients may send calls

	// Callbacks of all attempts.
	onAnswerStart func(at *Attempt, stalled bool)
	onRelayStart  func(*Attempt, AttemptOutcome)

	figures    atomic.Pointer[Figures]
	forwards   atomic.Int64 // attempts whose message was written completely
	clockSteps clock.Steps  // of the wall clock

	undelivered *undeliveredLog // answers that did not reach their clients

	// The following fields are used by the event loop only.
	tracker      *calltrack.Tracker
	requests     *requestLog
	timers       timers
	discovery    string               // address of the list service being watched
	abandoned    handover.Abandoned   // of those watched before
	startWatch   func()               // watches that list service
	stopWatch    func()               // ends the watch; lists that it has delivered are no longer applied
	learnedClock func() learned.Clock // nil if no learned state was restored
	publishedAt  time.Duration        // when the figures were last published
	list         discovery.List       // the current list
	subscribers  map[*Subscriber]bool // other processes of this agent, which are sent this one's updates
	announced    []recentids.Hash     // ids of calls that the subscribers are to be sent
}

// New returns a Core; Run starts it. An error means that the decision module rejects its settings.
func New(set Settings) (*Core, error) {
	balancer, err := choice.New(set.Module, set.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	requests := newRequestLog(set.Log, set.Module.Classes)
	tracker := calltrack.New(calltrack.Settings{Classes: len(set.Module.Classes), Effects: effects(set.Module.Classes), Observe: func(r calltrack.Record) { requests.observe(time.Now(), r) }, MaxAttempts: set.Module.MaxAttempts, MaxUnanswered: set.MaxUnanswered,
		HasTransport: func(needs choice.Protocols) bool { return set.Transports[needs] != nil }, OnIllegalStep: set.OnIllegalStep, Routes: set.Routes,
		Ranks: subset.New(subset.Settings{Agents: set.Module.Balancers, Me: set.Pacing.Me, Seed: set.Seed})}, balancer)
	c := &Core{set: set, log: set.Log, events: make(chan func(), 1024), urgent: make(chan func()), workers: newWorkers(), ready: make(chan struct{}),
		tracker: tracker, requests: requests, undelivered: newUndeliveredLog(set.Log), subscribers: map[*Subscriber]bool{}}
	c.onRelayStart = func(at *Attempt, e AttemptOutcome) {
		c.post(func() { c.execute(c.tracker.RelayStarted(c.Now(), at, e)) })
	}
	c.onAnswerStart = func(at *Attempt, stalled bool) {
		c.post(func() { c.execute(c.tracker.AnswerStarted(c.Now(), at, stalled)) })
	}
	c.publish() // so that Figures never returns nil
	return c, nil
}

// effects returns the effects of classes.
func effects(classes []choice.Class) []choice.Effect {
	all := make([]choice.Effect, len(classes))
	for i, c := range classes {
		all[i] = c.Effect
	}
	return all
}

// Now returns the time of the clock of the events: monotonic, as the time since the Unix epoch.
func (c *Core) Now() time.Duration { return clock.Now() }

// ReplaceRoutes replaces the table of shapes and returns once the new one is in use.
func (c *Core) ReplaceRoutes(ctx context.Context, t *routes.Table) error {
	result, err := query(ctx, c, func() error {
		commands, err := c.tracker.ReplaceRoutes(c.Now(), t)
		c.execute(commands)
		return err
	})
	return cmp.Or(err, result)
}

// post queues an event for the event loop.
func (c *Core) post(event func()) { c.events <- event }

// postUrgent hands the event loop an event that takes precedence over all queued ones, unless the context ends first. Drains must
// take effect within a bounded time, however many calls are queued.
func (c *Core) postUrgent(ctx context.Context, event func()) { postOn(ctx, c.urgent, event) }

// Ping returns once the event loop has handled all events that were queued before the call, or ctx has ended.
func (c *Core) Ping(ctx context.Context) {
	query(ctx, c, func() struct{} { return struct{}{} })
}

// Ready returns a channel that is closed when clients may send calls: the list was received, or the wait for it timed out.
func (c *Core) Ready() <-chan struct{} { return c.ready }

// BeginShutdown records that the process was asked to terminate at the time signaled. All requests, open ones and later ones, are
// answered by answerBy.
func (c *Core) BeginShutdown(signaled, answerBy time.Time) {
	c.post(func() {
		c.requests.shutdownAt = clock.FromTime(signaled)
		c.execute(c.tracker.Shutdown(c.Now(), clock.FromTime(answerBy)))
	})
}

// Submit accepts a call from a front. The call gets exactly one final answer, unless its client disconnects.
func (c *Core) Submit(call *Call) {
	c.post(func() {
		commands := c.tracker.CallArrived(c.Now(), call)
		c.announce(call)
		c.execute(commands)
	})
}

// RequestReceived records that the last byte of a call that was still being received has arrived. left is the time until its client
// gives up.
func (c *Core) RequestReceived(call *Call, left time.Duration) {
	deadline := c.Now() + left
	c.post(func() { c.execute(c.tracker.RequestComplete(c.Now(), call, deadline)) })
}

// BodyExpired records that the client of a call that is still being received may have no time left, as its server reads the body too slowly.
func (c *Core) BodyExpired(call *Call) {
	c.expiredBodies.Add(1)
	c.RequestReceived(call, 0)
}

// ClientDisconnected records that the client of a call has disconnected and no longer expects an answer. From this moment on nothing
// more is sent for the call, however many events are queued before this one.
func (c *Core) ClientDisconnected(call *Call) {
	call.MarkDisconnected()
	c.post(func() { c.execute(c.tracker.ClientDisconnected(c.Now(), call)) })
}

// CountUnsubmitted counts a call whose client disconnected before the call could be submitted.
func (c *Core) CountUnsubmitted() { c.unsubmitted.Add(1) }

// CountRefused counts a call that a front has received at the given time and refused as there is no memory for it. It was not submitted.
func (c *Core) CountRefused(call *Call, received time.Duration) {
	c.post(func() { c.tracker.CountRefused(c.Now(), received, call) })
}

// CountMalformed counts a call that a front could not read.
func (c *Core) CountMalformed() { c.malformed.Add(1) }

// CountRest counts that a connection rests as its client sends too fast.
func (c *Core) CountRest() { c.rests.Add(1) }

const (
	// firstListTimeout is how long the agent waits for the first list before it reports itself ready. emptyListTimeout applies
	// instead if the agent knows no server and would refuse all calls, and shares its list service with other agents: a service
	// that is busy with a whole fleet may need that long to answer.
	firstListTimeout = 200 * time.Millisecond
	emptyListTimeout = 5 * time.Second
	sweepInterval    = time.Second     // between closing server connections that were idle for too long or closed by the server
	reportInterval   = 5 * time.Second // between log lines with the counts
)

// Run runs the event loop until ctx ends: it handles one event at a time, and timers when they are due.
func (c *Core) Run(ctx context.Context) {
	if c.set.Inherited != nil {
		c.abandoned = c.set.Inherited.Abandoned.Without(c.set.Discovery)
	}
	if c.set.Feed != nil {
		c.discovery = c.set.Discovery
		c.execute(c.tracker.Start(c.Now()))
		c.inheritOperatorState()
		c.startFeed(ctx)
	} else {
		c.switchDiscovery(ctx, c.set.Discovery, c.set.InitialList)
		c.execute(c.tracker.Start(c.Now()))
		c.inheritOperatorState()
		c.applyList(c.set.InitialList)
		c.inheritLearned()
		go c.startWatch()
	}
	wait := firstListTimeout
	if c.set.Pacing.Shared && c.tracker.ServerCount() == 0 {
		wait = emptyListTimeout
	}
	first := time.AfterFunc(wait, func() { c.post(c.markReady) })
	defer first.Stop()
	sweep, report := time.NewTicker(sweepInterval), time.NewTicker(reportInterval)
	defer sweep.Stop()
	defer report.Stop()
	due := time.NewTimer(0)
	defer due.Stop()
	var publish <-chan time.Time // nil, which never fires, if figures are not published
	if c.set.OpsEnabled {
		ticks := time.NewTicker(publishInterval)
		defer ticks.Stop()
		publish = ticks.C
	}
	for {
		if c.set.OpsEnabled && c.Now()-c.publishedAt >= publishInterval { // under full load the ticker alone could be late
			c.publish()
		}
		for token, expired := c.timers.next(c.Now()); expired; token, expired = c.timers.next(c.Now()) {
			c.execute(c.tracker.TimerFired(c.Now(), token))
		}
		if at, set := c.timers.earliest(); set {
			due.Reset(at - c.Now())
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
			c.flushAnnounced()
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

// Snapshot holds the counts and the servers of a Core at one moment.
type Snapshot struct {
	Stats               Stats
	Malformed           int64
	Unanswered, Tracked int // calls not answered yet; these, and answered calls with attempts in flight
	Timers              int
	Servers             []string // ids of the servers that calls can be sent to
}

// Snapshot returns the state of the event loop, which must be running.
func (c *Core) Snapshot() Snapshot {
	taken := make(chan Snapshot, 1)
	c.post(func() {
		unanswered, tracked := c.tracker.Count()
		s := Snapshot{Stats: c.tracker.Stats(), Malformed: c.malformed.Load(), Unanswered: unanswered, Tracked: tracked, Timers: c.timers.count(),
			Servers: c.tracker.Servers()}
		taken <- s
	})
	return <-taken
}

// Report logs the counts and returns once they are logged.
func (c *Core) Report() {
	done := make(chan struct{})
	c.post(func() { c.report(); close(done) })
	<-done
}

func (c *Core) report() {
	if step := c.clockSteps.Read(); step != 0 {
		c.log.Warn("the wall clock was stepped", "by", step)
	}
	s := c.tracker.Stats()
	unanswered, tracked := c.tracker.Count()
	connections, _, waiting := c.set.Pool.Count()
	if c.set.Routes != nil {
		c.log.Info("shapes", "translated", s.Translated, "unfit", s.UntranslatableCalls, "unknown", s.UnknownShapes, "untold", s.UntranslatableReplies)
	}
	if c.set.ClientStats != nil {
		s := c.set.ClientStats()
		c.log.Info("client connections", "accepted", s.Accepted, "closed_for_room", s.ClosedForRoom, "closed_unfinished", s.ClosedUnfinished,
			"closed_unread", s.ClosedUnread, "requests_dropped", s.Dropped, "calls_failed", s.SyscallsFailed, "ended", s.Ended.String())
	}
	if c.set.BudgetStats != nil {
		s := c.set.BudgetStats()
		c.log.Info("memory for data of peers", "budget", s.Size, "used", s.Used, "peak", s.Peak, "waits", s.Waits, "failures", s.Failures)
	}
	c.log.Info("counts", "requests", s.Requests, "served", s.Served, "refused", s.Refused, "failed", s.Failed,
		"gone", s.Disconnected, "abandoned", c.unsubmitted.Load(), "malformed", c.malformed.Load(), "rests", c.rests.Load(), "bodies_expired", c.expiredBodies.Load(), "undelivered", c.undelivered.count.Load(), "attempts", s.Attempts, "reports", s.Reports,
		"results", resultsText(s.Results[:]), "reasons", reasonsText(c.tracker.ReasonCounts()), "open", unanswered, "held", tracked, "timers", c.timers.count(),
		"backends", c.tracker.ServerCount(), "connections", connections, "waiting", waiting)
}

// execute carries out the Tracker's commands, one after the other.
func (c *Core) execute(commands []calltrack.Command) {
	for _, command := range commands {
		switch command.Kind {
		case calltrack.SetTimer:
			c.timers.set(command.At, command.Token, c.tracker.TimerPending)
		case calltrack.StartAttempt:
			c.startAttempt(command.Attempt)
		case calltrack.CancelAttempt:
			command.Attempt.Cancel(ErrCanceled)
		case calltrack.Reply:
			command.Call.Answer(command.Answer)
		case calltrack.RetireServer:
			c.set.Pool.Retire(command.Server)
		case calltrack.ShortenDeadline:
			cancel := command.Attempt.Cancel
			time.AfterFunc(command.At-c.Now(), func() { cancel(context.DeadlineExceeded) })
		case calltrack.DiscardReply:
			if r, ok := command.Reply.(io.Closer); ok {
				r.Close()
			}
		}
	}
}

// startAttempt makes an attempt on a worker goroutine.
func (c *Core) startAttempt(at *Attempt) {
	ctx, cancel := context.WithCancelCause(context.Background())
	at.Cancel, at.ForwardedCount, at.OnAnswerStart, at.OnRelayStart = cancel, &c.forwards, c.onAnswerStart, c.onRelayStart
	if at.SendBy != 0 {
		at.WriteBy = clock.ToTime(at.SendBy)
	}
	transport, end := c.set.Transports[at.Speaks], clock.ToTime(at.Deadline)
	c.workers.run(func() {
		ctx, stop := context.WithDeadline(ctx, end)
		outcome := transport.Attempt(ctx, at)
		stop()
		cancel(nil)
		c.post(func() { c.execute(c.tracker.AttemptEnded(c.Now(), at, outcome)) })
	})
}
