// Package calltrack tracks calls from acceptance to the final answer. It owns the decision module, holds the state of calls,
// attempts and servers, and returns the commands that its host is to carry out. It does no I/O and reads no clock: times are on
// the clock of the events, which the host reads and passes with each event. It has two hosts: internal/host/core in production,
// and the state explorer in internal/lab/explore.
package calltrack

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/aging"
	"ternbeam/internal/decide/learned"
	"ternbeam/internal/decide/lifecycle"
	"ternbeam/internal/decide/overrides"
	"ternbeam/internal/decide/recentids"
	"ternbeam/internal/decide/routes"
	"ternbeam/internal/decide/subset"
)

// Call is one call of a client. Request.RequiredProtocols names the protocols that a server must speak to receive it.
type Call struct {
	choice.Request
	Payload any              // the message, as the transports of that protocol expect it
	Shape   routes.CallShape // the shape in which the call was received; zero if it has none
	Answer  func(Answer)     // receives the one final answer; called on the event loop, so it must not block

	Connection Connection // the client connection that the call was received on, for its Record

	// PollDisconnected asks the operating system whether the client has closed its connection. Transports call it right before
	// an attempt is written, from any goroutine; it must not block. It is nil if that cannot be determined.
	PollDisconnected func() bool

	// PollMayHaveLeft is like PollDisconnected, and also returns true if the client may have closed its connection without a sign of it. The
	// client still gets an answer, but no further attempt is sent for the call. It may be nil.
	PollMayHaveLeft func() bool

	closed         atomic.Bool // set by the Tracker: it has given the final answer, or handled the client's disconnect
	disconnected   atomic.Bool // set by any goroutine: the client has disconnected; the Tracker may not know it yet
	attempts       []*Attempt  // by attempt number; nil once an attempt has ended
	inFlight       int         // number of attempts in flight
	untranslatable error       // why the call can't be translated into another shape
	relaying       *Attempt    // the attempt whose answer is being relayed to the client; nil before and after

	possiblyRan bool // an attempt has ended that may have run
	groupSends  groupSends

	receivedAt time.Duration   // when the Tracker received the call, on the clock of the events
	history    []AttemptRecord // ended attempts, for the Record
}

// Finished reports whether the call has its final answer or its client has disconnected, even if the Tracker does not know of the
// disconnect yet. Nothing may be sent for the call any more.
func (c *Call) Finished() bool { return c.closed.Load() || c.disconnected.Load() }

// MarkDisconnected records that the client has disconnected. It takes effect at once, from any goroutine: nothing more is
// sent for the call, even if Tracker.ClientDisconnected is called only later.
func (c *Call) MarkDisconnected() { c.disconnected.Store(true) }

// PollFinished is like Finished, but first polls the client's connection, and marks the call if the client has disconnected. So a
// disconnect is detected before the Tracker is notified of it.
func (c *Call) PollFinished() bool {
	if !c.Finished() && c.PollDisconnected != nil && c.PollDisconnected() {
		c.MarkDisconnected()
	}
	return c.Finished()
}

// PollSendable reports whether the attempt may be sent: its call is not finished, by PollFinished, and the client of a further attempt is certain
// to be there.
func (at *Attempt) PollSendable() bool {
	call := at.Call
	return !call.PollFinished() && (at.Number == 0 || call.PollMayHaveLeft == nil || !call.PollMayHaveLeft())
}

// ClientDisconnected reports whether the client is known to have disconnected.
func (c *Call) ClientDisconnected() bool { return c.disconnected.Load() }

// Abort marks the call as finished without a Tracker. Only tests of transports use it.
func (c *Call) Abort() { c.closed.Store(true) }

// AnswerKind is the kind of a final answer.
type AnswerKind int

// The kinds of final answers.
const (
	Served         AnswerKind = iota
	Refused                   // the call had no effect, so a retry is safe
	Failed                    // the call may or may not have taken effect
	Duplicate                 // another call with the same id is in progress
	Untranslatable            // a refusal: no server accepts the call's shape and it can't be translated, so a retry is pointless
)

// Answer is the final answer to a call.
type Answer struct {
	Kind  AnswerKind
	After time.Duration // of a refusal: the delay before a retry; 0 if unspecified
	Reply any           // of a served call: the reply, as the transport returned it
	Cause error         // of an untranslatable call: why it can't be translated
}

// Attempt is one attempt of a call at a server.
type Attempt struct {
	Call     *Call
	Number   int
	Reason   choice.Reason // why the attempt is made
	Server   *lifecycle.Server
	Sent     time.Duration     // when the attempt was started, or when the request body was complete; on the clock of the events
	Deadline time.Duration     // when the attempt times out, on the clock of the events
	Last     bool              // once it may have run, no other attempt of the call can follow
	Bound    bool              // see choice.Action.GroupBound; BeginInGroup decides
	SendBy   time.Duration     // the last byte must be written before this time on the clock of the events; 0 for no limit
	State    lifecycle.Attempt // the state machine, driven by the transport

	Route   routes.Route     // the shape in which the call is sent, if it has one
	Speaks  choice.Protocols // the protocol spoken with the server
	Payload any              // the message to send: the call's own, or its translation

	// OnIllegalStep is called with an illegal state transition, which is a bug in this program. It may be nil.
	OnIllegalStep  func(error)
	OnRelayStart   func(*Attempt, AttemptOutcome)  // set by the host: reports that the answer starts to be relayed; AttemptEnded reports its end
	OnAnswerStart  func(at *Attempt, stalled bool) // set by the host: see ReportAnswerStart; may be nil
	ForwardedCount *atomic.Int64                   // set by the host: counts the attempts that were written completely; may be nil
	Cancel         context.CancelCauseFunc         // set by the host: cancels the attempt's context
	WriteBy        time.Time                       // set by the host: SendBy on the system clock
}

// ReportIllegalStep passes err to OnIllegalStep, unless either is nil.
func (at *Attempt) ReportIllegalStep(err error) {
	if err != nil && at.OnIllegalStep != nil {
		at.OnIllegalStep(err)
	}
}

// ReportAnswerStart reports that the server has begun an answer that may be long, and then with stalled that it does not continue it. The
// attempt goes on.
func (at *Attempt) ReportAnswerStart(stalled bool) {
	if at.OnAnswerStart != nil {
		at.OnAnswerStart(at, stalled)
	}
}

// MarkForwarded counts the attempt as forwarded. Transports call it once, when the last byte of the message is written.
func (at *Attempt) MarkForwarded() {
	if at.ForwardedCount != nil {
		at.ForwardedCount.Add(1)
	}
}

// AttemptOutcome describes how an attempt ended.
type AttemptOutcome struct {
	Result choice.Result
	Report choice.Report
	Reply  any // the reply, if the attempt was served

	Cause                 error // why the attempt was not served, for the log; nil if unknown
	RequestUntranslatable error // nothing was sent, because the call can't be translated into the shape that the server accepts
	ShapeUnknown          bool  // the server answered that it does not know the shape; the call never ran
	ReplyUntranslatable   error // the call was served, but its reply can't be translated into the client's shape
}

// ResultOnly returns an AttemptOutcome with a result and neither a reply nor a load report.
func ResultOnly(r choice.Result) AttemptOutcome {
	return AttemptOutcome{Result: r, Report: choice.NoReport}
}

// Entry is an entry of the server list.
type Entry struct {
	choice.Server
	Addr        string
	Addrs       []string // all addresses of the server, in the order to try them; empty if Addr is the only one
	Multiplexed bool     // the server accepts several concurrent calls on a connection
	Shapes      []string // the shapes that the server accepts, as class/version; empty if it does not check shapes
}

// CommandKind tells what a Command asks for.
type CommandKind int

// The kinds of commands.
const (
	StartAttempt    CommandKind = iota // start Attempt
	CancelAttempt                      // cancel Attempt
	Reply                              // give Answer to Call
	SetTimer                           // call TimerFired with Token at At
	RetireServer                       // close the idle connections to Server
	ShortenDeadline                    // time Attempt out at At, which is earlier than the time set when it started
	DiscardReply                       // drop Reply, as its client is gone or already has an answer
)

// Command is something that the host has to do. The host carries out the commands of a slice one after the other. Kind determines
// which of the other fields are set.
type Command struct {
	Kind    CommandKind
	Attempt *Attempt
	Call    *Call
	Answer  Answer
	Reply   any
	Token   uint64
	At      time.Duration // on the clock of the events
	Server  *lifecycle.Server
}

// Stats holds counts since the start.
type Stats struct {
	Requests, Disconnected int                     // calls received; calls whose client disconnected before the final answer
	ClassStats                                     // sum over all classes
	Attempts, Reports      int                     // attempts that the decision module ordered; load reports received
	Results                [choice.NotSent + 1]int // attempts by their choice.Result
	// Translated attempts, untranslatable calls, attempts of a shape unknown to the server, and untranslatable replies.
	Translated, UntranslatableCalls, UnknownShapes, UntranslatableReplies int
	Classes                                                               []ClassStats // by class
}

// ClassStats counts the final answers to the calls of one class. Each answered call counts in exactly one field.
type ClassStats struct{ Served, Refused, Failed int }

// add counts a call by its final answer.
func (s *ClassStats) add(k AnswerKind) {
	switch k {
	case Served:
		s.Served++
	case Refused, Untranslatable:
		s.Refused++
	case Failed, Duplicate:
		s.Failed++
	}
}

// Module is the decision module as a Tracker uses it: a choice.Balancer, or a wrapper with which the explorer observes one.
type Module interface {
	Start(now time.Duration) []choice.Action
	Handle(now time.Duration, ev choice.Event) []choice.Action
	Export(now time.Duration, into *choice.Memory)
	Recall(now time.Duration, m choice.Memory)
	Revision() uint64 // a count that grows whenever the decision module learns something
	Ejected() int     // the number of servers that the decision module has ejected

	TimerPending(token uint64) bool // reports whether a timer that the decision module has set still has an effect
}

// Settings configure a Tracker.
type Settings struct {
	Classes       int                               // number of call classes
	Effects       []choice.Effect                   // by class; nil to remember no ids of calls that may have run
	MaxAttempts   int                               // per call
	MaxUnanswered int                               // maximum number of unanswered calls; 0 for no limit
	HasTransport  func(needs choice.Protocols) bool // reports whether there is a transport for these protocols
	OnIllegalStep func(error)                       // called with illegal state transitions, which are bugs in this program; may be nil
	Routes        *routes.Router                    // routing by shape; nil if calls have no shapes
	Observe       func(Record)                      // receives the Record of each ended request, on the event loop; nil to keep no records
	Ranks         *subset.Subset                    // this agent's ranks at servers; nil for rank 0 at each
}

// Tracker tracks the calls of an agent. It is not safe for concurrent use.
type Tracker struct {
	settings     Settings
	balancer     Module
	now          time.Duration
	pending      []choice.Event // events that the decision module has not handled yet; actions on one event may add further ones
	handling     bool
	commands     []Command
	calls        map[string]*Call // by id: calls that are unanswered or have attempts in flight
	servers      map[string]*lifecycle.Server
	listed       map[string]Entry // by id: the entries as the server list has them, including draining servers
	addresses    addressBook      // of the listed servers
	overrides    overrides.Set
	unanswered   int // number of unanswered calls
	relaying     int // number of calls whose answer is being relayed
	stats        Stats
	past         *aging.Restored      // facts learned by an earlier process; nil if there are none
	newlyListed  []aging.ListedServer // listed servers that ImportNewlyListed has not looked up in past yet
	routesTimer  time.Duration        // the time for which the timer of routesToken is set; 0 if it is not set
	shutdownBy   time.Duration        // the time by which all calls must be answered, as the process shuts down; 0 before that
	recent       recentids.Set        // ids of calls that may have run
	reasonCounts map[Reason]int       // number of ended requests by reason, if Settings.Observe is set
}

// New returns a Tracker that uses balancer as its decision module.
func New(set Settings, balancer Module) *Tracker {
	return &Tracker{settings: set, balancer: balancer, calls: map[string]*Call{}, servers: map[string]*lifecycle.Server{},
		listed: map[string]Entry{}, addresses: newAddressBook(), stats: Stats{Classes: make([]ClassStats, set.Classes)}, reasonCounts: map[Reason]int{}}
}

// startStep starts the handling of an external event. The commands returned for it are valid until the next one.
func (t *Tracker) startStep(now time.Duration) { t.now, t.commands = now, t.commands[:0] }

func (t *Tracker) emit(c Command) { t.commands = append(t.commands, c) }

// Start returns the commands to carry out before the first event.
func (t *Tracker) Start(now time.Duration) []Command {
	t.startStep(now)
	t.perform(t.balancer.Start(now))
	return t.commands
}

// TimerFired handles the expiry of the timer that was set with token.
func (t *Tracker) TimerFired(now time.Duration, token uint64) []Command {
	t.startStep(now)
	if token == routesToken {
		if t.routesTimer == 0 || now < t.routesTimer { // superseded by a timer that was set for an earlier time
			return t.commands
		}
		t.routesTimer = 0
		t.updateModule(t.settings.Routes.Expire(now))
		return t.commands
	}
	t.handle(choice.TimerFired{Token: token})
	return t.commands
}

// TimerPending reports whether a timer that was set by a command still has an effect.
func (t *Tracker) TimerPending(token uint64) bool {
	return token == routesToken || t.balancer.TimerPending(token)
}

// CallArrived accepts a call from the protocol server that received it.
func (t *Tracker) CallArrived(now time.Duration, call *Call) []Command {
	t.startStep(now)
	t.stats.Requests++
	call.receivedAt, call.Deadline = now, t.clampDeadline(call.Deadline)
	switch {
	case call.ClientDisconnected(): // ClientDisconnected may already have been called and would not be called again to end the call
		call.closed.Store(true)
		t.stats.Disconnected++
		t.observe(call, Failed, ReasonDisconnected)
	case t.isDuplicate(call): // ids must be unique
		t.reply(call, Answer{Kind: Duplicate}, ReasonDuplicateID)
	case t.settings.MaxUnanswered > 0 && t.unanswered >= t.settings.MaxUnanswered: // refused without the decision module
		t.reply(call, Answer{Kind: Refused}, ReasonRequestLimit)
	default:
		t.calls[call.ID] = call
		t.unanswered++
		t.setRequiredProtocols(call)
		t.handle(call.Request)
	}
	return t.commands
}

// ClientDisconnected ends a call whose client has disconnected.
func (t *Tracker) ClientDisconnected(now time.Duration, call *Call) []Command {
	t.startStep(now)
	if t.calls[call.ID] == call && !call.closed.Load() {
		t.endDisconnected(call)
		t.dropIfDone(call)
	}
	return t.commands
}

// endDisconnected closes a call whose client has disconnected.
func (t *Tracker) endDisconnected(call *Call) {
	t.stats.Disconnected++
	t.markClosed(call)
	t.observe(call, Failed, ReasonDisconnected)
	t.handle(choice.ClientDisconnected{Request: call.ID})
}

// AttemptEnded handles the end of an attempt. The first attempt of a call that is served answers the client.
func (t *Tracker) AttemptEnded(now time.Duration, at *Attempt, e AttemptOutcome) []Command {
	t.startStep(now)
	call := at.Call
	call.attempts[at.Number] = nil
	call.inFlight--
	call.possiblyRan = call.possiblyRan || !e.Result.NeverRan()
	if at.Bound {
		call.groupSends.ended(at.Number, e.Result.NeverRan())
	}
	t.recordAttempt(at, e)
	t.stats.Results[e.Result]++
	if call.ClientDisconnected() && !call.closed.Load() { // the transport noticed the disconnect before the protocol server reported it
		t.endDisconnected(call)
	}
	if call.relaying == at { // RelayStarted has already given the decision module the outcome and the client the start of its answer
		t.relayEnded(call, e.Result == choice.OK)
		t.dropIfDone(call)
		return t.commands
	}
	if e.Report != choice.NoReport {
		t.stats.Reports++
	}
	t.learnShape(at, e)
	switch {
	case e.Result == choice.OK && e.ReplyUntranslatable != nil: // the call has run, so it must neither be refused nor be sent again
		t.finish(call.ID, Answer{Kind: Failed}, ReasonUntranslatable)
	case e.Result == choice.OK && t.finish(call.ID, Answer{Kind: Served, Reply: e.Reply}, ReasonAnswered):
	case e.RequestUntranslatable != nil && t.restartUntranslated(at, e.RequestUntranslatable):
		return t.commands
	}
	t.handle(choice.Outcome{Request: call.ID, Attempt: at.Number, Server: at.Server.ID, Result: e.Result,
		Took: now - at.Sent, Closed: call.closed.Load(), Report: e.Report})
	t.dropIfDone(call)
	return t.commands
}

// UpdateServers applies the server list (full) or changes to it, in the Tracker and in the decision module.
func (t *Tracker) UpdateServers(now time.Duration, full bool, entries []Entry) []Command {
	t.startStep(now)
	named := make(map[string]bool, len(entries))
	affected := map[string]bool{} // servers whose addresses are shared with others now, or no more
	setAddrs := func(id string, addrs []string) {
		for _, other := range t.addresses.set(id, addrs) {
			affected[other] = true
		}
	}
	unlist := func(id string) {
		delete(t.listed, id)
		setAddrs(id, nil)
		t.overrides.ServerRemoved(id)
	}
	for _, e := range entries {
		named[e.ID] = true
		if e.State == choice.Removed {
			unlist(e.ID)
		} else {
			e.SubsetRank = t.rank(e.ID)
			t.listed[e.ID] = e
			setAddrs(e.ID, e.allAddrs())
		}
	}
	if full {
		for id := range t.listed {
			if !named[id] {
				unlist(id)
			}
		}
	}
	for id := range affected {
		if s := t.servers[id]; s != nil {
			s.SetAddressShared(t.addresses.isShared(id), now)
		}
	}
	t.applyEntries(full, named, entries)
	return t.commands
}

// rank returns this agent's rank at a server. It reuses the known one, as computing it takes time proportional to the
// number of agents.
func (t *Tracker) rank(id string) float64 {
	if known, ok := t.listed[id]; ok {
		return known.SubsetRank
	}
	if t.settings.Ranks == nil {
		return 0
	}
	return t.settings.Ranks.Rank(id)
}

// applyEntries applies entries of the server list after the operators' overrides.
func (t *Tracker) applyEntries(full bool, named map[string]bool, entries []Entry) {
	ev := choice.ServerList{Full: full}
	for _, e := range entries {
		e.Server = t.overrides.Apply(e.Server)
		e.SubsetRank = t.listed[e.ID].SubsetRank
		ev.Servers = append(ev.Servers, t.moduleEntry(e))
		t.applyEntry(e)
	}
	for id := range t.servers {
		if full && !named[id] {
			t.retire(id)
			if t.settings.Routes != nil {
				t.settings.Routes.RemoveServer(id)
			}
		}
	}
	t.handle(ev)
}

// applyEntry applies one entry of the server list. A server that restarted, or whose addresses or protocol changed, gets new
// connections.
func (t *Tracker) applyEntry(e Entry) {
	started := e.Started.Milliseconds()
	s := t.servers[e.ID]
	if s != nil && (s.Addr != e.Addr || !slices.Equal(s.Addrs, e.Addrs) || s.Started != started || s.Speaks != e.Protocols || s.Multiplexed != e.Multiplexed ||
		e.State != choice.Ready) {
		t.retire(e.ID)
		s = nil
	}
	if s == nil && e.State == choice.Ready {
		s = &lifecycle.Server{ID: e.ID, Addr: e.Addr, Addrs: e.Addrs, Started: started, Speaks: e.Protocols, Multiplexed: e.Multiplexed}
		s.SetAddressShared(t.addresses.isShared(e.ID), t.now)
		t.servers[e.ID] = s
	}
	if s == nil {
		return
	}
	isNew := s.Identity == 0
	s.Identity = learned.Identity(e.Server, e.Addr, e.Multiplexed)
	if isNew && t.past != nil {
		t.newlyListed = append(t.newlyListed, listedServer(s))
	}
}

// retire stops sending to a server. It takes effect at once, not only when the host carries out the command.
func (t *Tracker) retire(id string) {
	t.servers[id].Retire()
	t.emit(Command{Kind: RetireServer, Server: t.servers[id]})
	delete(t.servers, id)
}

// handle gives the decision module an event and performs the actions that it returns. Events caused by these actions are queued
// until all of them are performed, as they are valid only until the decision module's next call.
func (t *Tracker) handle(ev choice.Event) {
	t.pending = append(t.pending, ev)
	if t.handling {
		return
	}
	t.handling = true
	for i := 0; i < len(t.pending); i++ {
		t.perform(t.balancer.Handle(t.now, t.pending[i]))
	}
	clear(t.pending)
	t.pending, t.handling = t.pending[:0], false
}

// perform carries out the decision module's actions. It has no case for probes, which the configuration rules out.
func (t *Tracker) perform(actions []choice.Action) {
	for _, act := range actions {
		switch act.Kind {
		case choice.SetTimer:
			t.emit(Command{Kind: SetTimer, Token: act.Token, At: t.now + act.After})
		case choice.Send:
			if call := t.calls[act.Request]; call != nil {
				t.send(call, act)
			}
		case choice.Cancel:
			call := t.calls[act.Request]
			if call != nil && act.Attempt < len(call.attempts) && call.attempts[act.Attempt] != nil {
				t.emit(Command{Kind: CancelAttempt, Attempt: call.attempts[act.Attempt]})
			}
		case choice.Refuse:
			answer := Answer{Kind: Refused, After: act.After}
			if call := t.calls[act.Request]; call != nil && call.untranslatable != nil && !t.settings.Routes.AnyUntranslated(call.Shape) {
				answer = Answer{Kind: Untranslatable, Cause: call.untranslatable}
			}
			t.finish(act.Request, answer, Reason(act.Reason.String()))
		case choice.Fail:
			t.finish(act.Request, Answer{Kind: Failed}, Reason(act.Reason.String()))
		}
	}
}

// send starts an attempt, or at once gives the decision module its outcome if it is not made. Attempts are numbered in the order
// in which the module orders them, including those that are not sent.
func (t *Tracker) send(call *Call, act choice.Action) {
	n := len(call.attempts)
	call.attempts = append(call.attempts, nil)
	t.stats.Attempts++
	end := call.Deadline
	if act.After != 0 {
		end = min(end, t.now+act.After)
	}
	s := t.servers[act.Server]
	route, fits := t.routeTo(call, act.Server)
	failed := choice.Outcome{Request: call.ID, Attempt: n, Server: act.Server, Closed: call.Finished(), Report: choice.NoReport}
	switch {
	case failed.Closed || n >= t.settings.MaxAttempts || end <= t.now || s != nil && (!fits || !t.settings.HasTransport(route.Protocol)):
		failed.Result = choice.NotSent
	case s == nil:
		failed.Result = choice.ConnectFailed
	default:
		at := &Attempt{Call: call, Number: n, Reason: act.Reason, Server: s, Sent: t.now, Deadline: end, Last: act.Last, Bound: act.GroupBound,
			OnIllegalStep: t.settings.OnIllegalStep, Route: route, Speaks: route.Protocol, Payload: call.Payload}
		if act.SendWithin != 0 {
			at.SendBy = t.now + act.SendWithin
		}
		if route.Plan != nil {
			t.stats.Translated++
		}
		call.attempts[n] = at
		call.inFlight++
		t.emit(Command{Kind: StartAttempt, Attempt: at})
		return
	}
	t.stats.Results[failed.Result]++
	t.recordUnsent(call, act, failed.Result)
	t.handle(failed)
}

// finish gives a call its final answer. It returns false if the call is unknown or already closed.
func (t *Tracker) finish(id string, ans Answer, why Reason) bool {
	call := t.calls[id]
	if call == nil || call.closed.Load() {
		return false
	}
	t.markClosed(call)
	t.reply(call, ans, why)
	t.dropIfDone(call)
	return true
}

// reply emits the final answer and counts it.
func (t *Tracker) reply(call *Call, ans Answer, why Reason) {
	t.observe(call, ans.Kind, why)
	t.emit(Command{Kind: Reply, Call: call, Answer: ans})
	if call.relaying == nil { // a relayed answer is counted when it ends
		t.countAnswer(call, ans.Kind)
	}
}

// countAnswer counts a final answer, in all and for the call's class.
func (t *Tracker) countAnswer(call *Call, k AnswerKind) {
	t.stats.add(k)
	if call.Class >= 0 && call.Class < len(t.stats.Classes) {
		t.stats.Classes[call.Class].add(k)
	}
}

func (t *Tracker) markClosed(call *Call) {
	call.closed.Store(true)
	t.unanswered--
	t.remember(call)
}

// dropIfDone drops a call that is closed and has no attempt in flight.
func (t *Tracker) dropIfDone(call *Call) {
	if call.closed.Load() && call.inFlight == 0 && t.calls[call.ID] == call {
		delete(t.calls, call.ID)
	}
}

// RelayingCount returns the number of calls whose answer is being relayed.
func (t *Tracker) RelayingCount() int { return t.relaying }

// Count returns the number of unanswered calls, and the number of calls that are unanswered or have attempts in flight.
func (t *Tracker) Count() (unanswered, tracked int) { return t.unanswered, len(t.calls) }

// Stats returns the counts since the start.
func (t *Tracker) Stats() Stats {
	s := t.stats
	s.Classes = slices.Clone(s.Classes)
	return s
}

// ServerCount returns the number of servers that calls can be sent to.
func (t *Tracker) ServerCount() int { return len(t.servers) }

// Servers returns the ids of the servers that calls can be sent to, in no particular order.
func (t *Tracker) Servers() (ids []string) {
	for id := range t.servers {
		ids = append(ids, id)
	}
	return ids
}

// Server returns the server with this id if calls can be sent to it, else nil.
func (t *Tracker) Server(id string) *lifecycle.Server { return t.servers[id] }
