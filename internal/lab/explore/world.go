// Package explore is a model checker: it tries every ordering of the events in a small world of a few calls and a few
// servers. It runs the production code of the balancer, the call tracker, the state machines of attempts and the
// connection pool state, and simulates their host and everything outside: the clock, clients, the server list, the
// network and servers.
package explore

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/addresses"
	"ternbeam/internal/decide/calltrack"
	"ternbeam/internal/decide/lifecycle"
	"ternbeam/internal/decide/membership"
)

// Config sets the size of the world and the events that may happen in it.
type Config struct {
	Servers  int
	Calls    []choice.Effect // the effect of each call's class
	Attempts int             // maximum attempts per call
	Places   int             // maximum open connections
	Lists    int             // maximum changes of the server list
	Words    int             `json:",omitempty"` // maximum operator commands (offline, online)
	Streams  bool            `json:",omitempty"` // answers may be relayed before they are complete
	Begins   bool            `json:",omitempty"` // the start of an answer may be reported, as of one that may be long; without Lines
	More     bool            `json:",omitempty"` // servers may be missing from a full list, or change their address
	Leaves   int             // maximum clients that disconnect
	Cells    int             // number of cells that the servers are spread over
	Past     Past            `json:",omitempty"`
	Races    bool            `json:",omitempty"` // each server has two addresses
	Lines    bool            `json:",omitempty"` // connections are multiplexed: each carries several calls at a time
	Unlisted int             `json:",omitempty"` // number of servers, the last ones, that only SRV records name; then Lists is 0
	Replaced Replacement     `json:",omitempty"` // another process, of another cell, is at the address of the last server
	Plain    bool            `json:",omitempty"` // no reduction: independent steps are tried in every order, too
}

// Replacement says what has happened to the last server before the exploration begins. The connections to the others are to processes that have
// been known for long.
type Replacement string

// The values of Replacement.
const (
	NotReplaced    Replacement = ""
	JustReplaced   Replacement = "just"   // the list does not say so yet, and there was no connection to it
	ReplacedListed Replacement = "listed" // the list has named the new process, as a further server at that address, for long
)

// Past is the history that the balancer has when the exploration begins.
type Past string

// The values of Past. With any but NoPast the balancer evaluates health while calls are open.
const (
	NoPast       Past = ""
	LostCalls    Past = "losing" // servers lost some calls: late attempts get a parallel attempt
	QuickServers Past = "quick"  // servers answered so quickly that late attempts are canceled

	// Extreme states restored from an earlier agent.
	AllFailing    Past = "ill"    // all servers fail, one is ejected and due for a trial, all calls were lost and took no time
	NoCapacity    Past = "out"    // one server is ejected for good, the others have no capacity, all calls took forever
	InvalidMemory Past = "absurd" // invalid figures, unknown servers, other start times
)

// pastMemories holds the state that the balancer restores for such pasts.
var pastMemories = map[Past]choice.Memory{
	AllFailing: newMemory(choice.ServerMemory{Failing: 1, Ejected: true, Rate: 1e30, Trust: 1}, choice.ClassMemory{Usual: 1, Least: 1, Trust: 1}, 1),
	NoCapacity: newMemory(choice.ServerMemory{Failing: 1, Ejected: true, Trial: math.MaxInt64, Rate: 1e-30, Use: 1, Trust: 1},
		choice.ClassMemory{Usual: math.MaxInt64, Least: math.MaxInt64, Trust: 1}, 0),
	InvalidMemory: newMemory(choice.ServerMemory{Started: 1, Failing: math.NaN(), Ejected: true, Trial: math.MinInt64, Rate: math.Inf(1), Use: -1,
		Trust: math.NaN()}, choice.ClassMemory{Usual: math.MinInt64, Least: math.MaxInt64, Trust: math.Inf(-1)}, math.NaN()),
}

// newMemory returns a state with the same figures for every server and class, including some that do not exist.
func newMemory(s choice.ServerMemory, c choice.ClassMemory, share float64) choice.Memory {
	m := choice.Memory{Served: share * 1e9, Lost: share, ColdBad: share, ColdSeen: share * 100}
	for i := range 8 {
		s.ID, c.Name = fmt.Sprint("server ", i), fmt.Sprint(choice.Effect(i))
		m.Servers, m.Classes = append(m.Servers, s), append(m.Classes, c)
		s.Started = 0 // the start time of the servers in the world; only the first entry keeps the given one
	}
	return m
}

// Times in the world, and the size of a message.
const (
	startTime    = time.Minute
	dedupWindow  = 60 * time.Millisecond // deduplication window of keyed calls
	callDeadline = 100 * time.Millisecond
	aim          = 1600 * time.Millisecond // the first health evaluation comes after all calls have ended
	shortAim     = 400 * time.Millisecond  // health is evaluated every 50 ms
	messageSize  = 3                       // bytes
)

// drawSource is a random source that returns the least or the greatest value, as the step requires.
type drawSource struct {
	most  bool
	drawn bool
}

func (c *drawSource) Uint64() uint64 {
	c.drawn = true
	if c.most {
		return 1<<64 - 1
	}
	return 0
}

// world is one state of the explored system.
type world struct {
	cfg             *Config
	settings        choice.Settings
	now             time.Duration
	random          *drawSource
	tracker         *calltrack.Tracker
	balancer        *choice.Balancer
	pool            *lifecycle.PoolState
	dialHistory     *addresses.History
	muxConns        []*muxConn // in use or idle
	timers          []timer
	calls           []*call
	servers         []choice.Server // as in the list; kept by the world itself, independent of the code under test
	moves           []int           // how often the list has changed each server's address
	offline         []bool          // taken offline by operators; kept by the world itself, too
	offlineRestarts []int           // how often each server was restarted while it was offline
	operatorChanges int
	attempts        []*attempt // attempts whose end the loop has not processed, sorted by call: their start order is irrelevant
	attemptsStarted int
	listChanges     int
	disconnects     int
	fault           string // the first violated property
}

type timer struct {
	at    time.Duration
	token uint64
}

// call is a call as observed by its client and the servers.
type call struct {
	tracked      *calltrack.Call
	effect       choice.Effect
	arrived      bool
	disconnected bool
	answers      []calltrack.AnswerKind
	runs         []run
	attemptCount int
}

// run records that a server may have executed a call.
type run struct {
	attempt int // index of the attempt
	server  string
	cell    int
	at      time.Duration
}

// attempt is an attempt as its host sees it.
type attempt struct {
	*calltrack.Attempt
	index            int             // among all attempts of the world
	call             int             // index of its call
	cell             int             // of its server
	conn             *lifecycle.Conn // the connection that it waits for or uses
	hostCanceled     bool            // its host was notified of the cancellation
	balancerCanceled bool            // the balancer has ordered the cancellation
	race             *addresses.Race // its dials, if servers have several addresses
	sendCount        int             // number of connections on which sending was started
	mayHaveRun       bool            // its server may have executed it, and has not rejected it
	notSent          bool            // it ended at the check before sending
	awaitsDial       bool            // waits for a dial that another attempt started
	hung             bool            // no more network events for it
	relayPending     bool            // the relay of its answer has started; the loop has not yet processed that
	relayStarted     bool            // the relay of its answer has started
	replyDropped     bool            // the loop discarded its reply
	answerStart      answerStart     // what has been reported of an answer that is held
	paused           bool            // its host takes no step until something that it depends on changes
}

// answerStart is what the host has reported of the start of an answer, and what the loop has processed of that.
type answerStart int

// The values of answerStart, in their order. A stall may be reported before the loop has processed the start; it then counts for both.
const (
	notStarted answerStart = iota
	startReported
	startTaken
	stallReported
	stallTaken
)

// isHeld reports whether the answer has started and is held, so that the attempt may still be canceled.
func (t *attempt) isHeld() bool {
	return t.answerStart != notStarted && t.State.Stage() == lifecycle.Reading && !t.relayStarted
}

// connData is the simulated state of a connection.
type connData struct {
	strayBytes bool    // unsolicited bytes were received
	attempt    int     // index of the attempt that it carries, or -1
	peer       process // the process at its other end
}

// process identifies one run of a server at one address, as listed when a connection to it was established.
type process struct {
	server          int
	started         time.Duration
	moves           int // address changes in the list
	offlineRestarts int // restarts while it was taken offline by operators
}

// currentProcess returns the process that a server is now, according to the list and the operators.
func (w *world) currentProcess(id string) process {
	i := slices.IndexFunc(w.servers, func(s choice.Server) bool { return s.ID == id })
	return process{i, w.servers[i].Started, w.moves[i], w.offlineRestarts[i]}
}

// cancelObserver is the balancer as the call tracker sees it. It records which attempts the balancer cancels,
// independently of how the tracker handles that.
type cancelObserver struct {
	*choice.Balancer
	w *world
}

// Handle passes an event to the balancer and records the cancellations that it orders.
func (m cancelObserver) Handle(now time.Duration, ev choice.Event) []choice.Action {
	actions := m.Balancer.Handle(now, ev)
	for _, a := range actions {
		if a.Kind != choice.Cancel {
			continue
		}
		for _, t := range m.w.attempts {
			if t.Call.ID == a.Request && t.Number == a.Attempt {
				t.balancerCanceled, t.paused = true, false
				m.w.checkCancel(t, a)
			}
		}
	}
	return actions
}

// newWorld returns the initial state of the world.
func newWorld(cfg *Config) *world {
	w := &world{cfg: cfg, now: startTime, random: &drawSource{}}
	w.settings = choice.Settings{Balancers: 1, Tick: time.Millisecond, MaxAttempts: cfg.Attempts, CanCancel: true,
		ParallelAttempts: cfg.Past == LostCalls}
	effects := []choice.Effect{choice.Safe, choice.Keyed, choice.Unsafe}
	for _, e := range effects {
		c := choice.Class{Name: fmt.Sprint(e), Effect: e, Aim: aim, Deadline: callDeadline, Value: 1}
		if cfg.Past != NoPast {
			c.Aim = shortAim
		}
		if e == choice.Keyed {
			c.DedupScope, c.DedupWindow = choice.DedupCell, dedupWindow
		}
		w.settings.Classes = append(w.settings.Classes, c)
	}
	var err error
	if w.balancer, err = choice.NewWithSource(w.settings, w.random); err != nil {
		panic(err) // the settings are constants and valid
	}
	w.tracker = calltrack.New(w.trackerSettings(), cancelObserver{w.balancer, w})
	w.pool, w.dialHistory = lifecycle.NewPoolState(cfg.Places), addresses.NewHistory(addresses.Defaults)
	var entries []calltrack.Entry
	for i := range cfg.Servers {
		s := choice.Server{ID: fmt.Sprint("server ", i), Cell: i % max(1, cfg.Cells)}
		w.servers, w.moves = append(w.servers, s), append(w.moves, 0)
		w.offline, w.offlineRestarts = append(w.offline, false), append(w.offlineRestarts, 0)
		entries = append(entries, w.listEntry(i))
	}
	if cfg.Unlisted > 0 {
		entries = w.mergeSources(cfg.Unlisted)
	}
	if cfg.Replaced == ReplacedListed {
		entries = append(entries, w.listSuccessor())
	}
	if cfg.Past != NoPast {
		w.now = startTime - time.Second // from then on health is evaluated every 50 ms
	}
	w.execute(w.tracker.Start(w.now))
	w.execute(w.tracker.UpdateServers(w.now, true, entries))
	w.runPast(cfg.Past)
	if m, ok := pastMemories[cfg.Past]; ok {
		w.fireUntil(startTime)
		w.balancer.Recall(startTime, m)
	}
	w.now = startTime
	for i, e := range cfg.Calls {
		c := &call{effect: e}
		c.tracked = &calltrack.Call{Request: choice.Request{ID: fmt.Sprint("call ", i), Class: slices.Index(effects, e)}}
		w.calls = append(w.calls, c)
	}
	return w
}

// listSuccessor lists the process that is at the address of the last server as a further server.
func (w *world) listSuccessor() calltrack.Entry {
	last := len(w.servers) - 1
	s := choice.Server{ID: "successor", Cell: w.cellOf(w.servers[last])}
	e := calltrack.Entry{Server: s, Addr: w.listEntry(last).Addr}
	w.servers, w.moves = append(w.servers, s), append(w.moves, 0)
	w.offline, w.offlineRestarts = append(w.offline, false), append(w.offlineRestarts, 0)
	return e
}

// cellOf returns the cell of the process that is at a server's address.
func (w *world) cellOf(s choice.Server) int {
	if w.cfg.Replaced != NotReplaced && s.ID == w.servers[w.cfg.Servers-1].ID {
		return (s.Cell + 1) % w.cfg.Cells
	}
	return s.Cell
}

// evidenceOf returns what tells which process an attempt's connection leads to.
func (w *world) evidenceOf(t *attempt) lifecycle.Evidence {
	e := lifecycle.Evidence{ListingDelay: lifecycle.ListingDelay, ListCurrentAt: w.now, AddressLastSharedAt: t.Server.AddressLastSharedAt()}
	if w.cfg.Replaced == JustReplaced && t.Server.ID == w.servers[w.cfg.Servers-1].ID {
		e.KnownSince = startTime
	}
	return e
}

// mergeSources returns the servers as the agent merges them from a list, which lacks the last ones, and SRV records, which name all. The world
// takes over the ids that it gives to those.
func (w *world) mergeSources(unlisted int) (entries []calltrack.Entry) {
	set := membership.Defaults
	set.Sources = []membership.Source{{Name: "list", RemoveAbsent: true}, {Name: "srv", RemoveAbsent: true}}
	list, records := membership.Report{Source: 0, Full: true, Version: 1}, membership.Report{Source: 1, Full: true}
	for i, s := range w.servers {
		addr := w.listEntry(i).Addr
		records.Claims = append(records.Claims, membership.Claim{Key: fmt.Sprint("record ", i), Addrs: []string{addr}, Weight: 1})
		if i < len(w.servers)-unlisted {
			list.Claims = append(list.Claims, membership.Claim{Key: s.ID, ID: s.ID, Addrs: []string{addr}, Weight: 1, HasDetails: true, Cell: s.Cell})
		}
	}
	members := membership.New(set)
	entries = append(entries, members.Report(w.now, list)...)
	entries = append(entries, members.Report(w.now, records)...)
	for _, e := range entries {
		i := slices.IndexFunc(w.servers, func(s choice.Server) bool { return strings.HasPrefix(e.Addr, s.ID+" at ") })
		w.servers[i].ID = e.ID
	}
	return entries
}

// trackerSettings returns the settings of the call tracker.
func (w *world) trackerSettings() calltrack.Settings {
	return calltrack.Settings{MaxAttempts: w.cfg.Attempts, HasTransport: func(choice.Protocols) bool { return true },
		OnIllegalStep: func(err error) { w.violate("%v", err) }}
}

// runPast gives the balancer its past: calls that are served and, for LostCalls, one that its server loses while others are
// answered.
func (w *world) runPast(past Past) {
	var callTime time.Duration
	switch past {
	case LostCalls:
		callTime = 10 * time.Millisecond
	case QuickServers:
		callTime = time.Millisecond
	default:
		return
	}
	var lost *calltrack.Attempt
	for n := 0; ; n++ {
		at := w.now + time.Millisecond
		last := at+callDeadline >= startTime // a call from here on would not end before the exploration begins
		w.fireUntil(at)
		if w.now = at; last {
			break
		}
		c := &calltrack.Call{Request: choice.Request{ID: fmt.Sprint("before ", n), Class: n % len(w.settings.Classes), Deadline: at + callDeadline}}
		for _, o := range w.setTimers(w.tracker.CallArrived(at, c)) {
			if o.Kind != calltrack.StartAttempt {
				continue
			}
			if past == LostCalls && lost == nil && at+2*callDeadline >= startTime {
				lost = o.Attempt
				continue
			}
			w.setTimers(w.tracker.AttemptEnded(at+callTime, o.Attempt, calltrack.ResultOnly(choice.OK)))
		}
	}
	if lost != nil {
		w.setTimers(w.tracker.AttemptEnded(w.now, lost, calltrack.ResultOnly(choice.TimedOut)))
	}
	w.fireUntil(startTime) // timers of ended calls, and a health evaluation without findings
}

// fireUntil fires the timers that are due at the given time or before, while the past is played.
func (w *world) fireUntil(at time.Duration) {
	for i := w.nextTimer(at); i >= 0; i = w.nextTimer(at) {
		t := w.removeTimer(i)
		w.setTimers(w.tracker.TimerFired(t.at, t.token))
	}
}

// removeTimer removes a timer from the pending ones and returns it.
func (w *world) removeTimer(i int) timer {
	t := w.timers[i]
	w.timers = slices.Delete(w.timers, i, i+1)
	return t
}

// setTimers carries out the commands that set timers, and returns the others.
func (w *world) setTimers(commands []calltrack.Command) (others []calltrack.Command) {
	for _, o := range commands {
		if o.Kind == calltrack.SetTimer {
			w.timers = append(w.timers, timer{o.At, o.Token})
		} else {
			others = append(others, o)
		}
	}
	return others
}

// copy returns a deep copy of the world.
func (w *world) copy() *world {
	copies := calltrack.NewCopies()
	c := &world{cfg: w.cfg, settings: w.settings, now: w.now, random: &drawSource{}, timers: slices.Clone(w.timers),
		servers: slices.Clone(w.servers), moves: slices.Clone(w.moves), offline: slices.Clone(w.offline),
		offlineRestarts: slices.Clone(w.offlineRestarts), operatorChanges: w.operatorChanges,
		attemptsStarted: w.attemptsStarted, listChanges: w.listChanges, disconnects: w.disconnects, fault: w.fault}
	c.balancer = w.balancer.Clone(c.random)
	c.tracker = w.tracker.Copy(c.trackerSettings(), cancelObserver{c.balancer, c}, copies)
	conns := lifecycle.Copies[lifecycle.Conn]{Fill: func(o, dst *lifecycle.Conn) {
		var host any
		if data, ok := o.Host.(*connData); ok {
			dup := *data
			host = &dup
		}
		o.CopyTo(dst, &copies.Servers, host)
	}}
	c.pool, c.dialHistory = w.pool.Copy(&conns, &copies.Servers), w.dialHistory.Copy()
	c.calls = make([]*call, len(w.calls))
	for i, k := range w.calls {
		dup := *k
		dup.tracked = copies.Calls.Of(k.tracked)
		dup.answers, dup.runs = slices.Clone(k.answers), slices.Clone(k.runs)
		c.calls[i] = &dup
	}
	c.attempts = make([]*attempt, len(w.attempts))
	for i, t := range w.attempts {
		dup := *t
		dup.Attempt = copies.Attempts.Of(t.Attempt)
		dup.OnIllegalStep = func(err error) { c.violate("%v", err) }
		dup.conn, dup.race = conns.Of(t.conn), t.race.Copy(c.dialHistory)
		c.attempts[i] = &dup
	}
	c.muxConns = w.copyMuxConns(copies, &conns)
	return c
}

// violate records a violated property, if it is the first one.
func (w *world) violate(format string, args ...any) {
	if w.fault == "" {
		w.fault = fmt.Sprintf(format, args...)
	}
}

// execute carries out the tracker's commands, as the core does.
func (w *world) execute(commands []calltrack.Command) {
	for _, o := range commands {
		switch o.Kind {
		case calltrack.SetTimer:
			w.timers = append(w.timers, timer{o.At, o.Token})
		case calltrack.StartAttempt:
			w.startAttempt(o.Attempt)
		case calltrack.CancelAttempt:
			for _, t := range w.attempts {
				if t.Attempt == o.Attempt {
					t.hostCanceled, t.paused = true, false
				}
			}
		case calltrack.Reply:
			for i, c := range w.calls {
				if c.tracked == o.Call {
					w.checkAnswer(c, o.Answer)
					w.resumeReady(i)
				}
			}
		case calltrack.DiscardReply:
			for _, t := range w.attempts {
				if t.Attempt == o.Reply {
					t.replyDropped = true
				}
			}
		case calltrack.RetireServer:
			closed, _ := w.pool.RetireServer(o.Server)
			for _, c := range closed {
				c.Host.(*connData).attempt = -1
				w.removeMuxConn(c)
			}
			for _, t := range w.attempts {
				if t.Server == o.Server && t.State.Stage() == lifecycle.Ready {
					t.paused = false
				}
			}
			if len(closed) > 0 {
				w.resumeAfterPoolChange(o.Server, true)
			}
		}
	}
}

func (w *world) startAttempt(at *calltrack.Attempt) {
	t := &attempt{Attempt: at, index: w.attemptsStarted, call: slices.IndexFunc(w.calls, func(c *call) bool { return c.tracked == at.Call })}
	w.attemptsStarted++
	for _, s := range w.servers {
		if s.ID == at.Server.ID {
			t.cell = w.cellOf(s)
		}
	}
	w.attempts = append(w.attempts, t)
	slices.SortFunc(w.attempts, func(a, b *attempt) int { return cmp.Or(a.call-b.call, a.Number-b.Number) })
	w.checkAttemptStart(t)
}

// attemptByIndex returns the attempt with the given index, or nil.
func (w *world) attemptByIndex(n int) *attempt {
	for _, t := range w.attempts {
		if t.index == n {
			return t
		}
	}
	return nil
}

func (w *world) callOf(t *attempt) *call { return w.calls[t.call] }

// hasOpenCalls reports whether a call waits for its answer.
func (w *world) hasOpenCalls() bool {
	open, _ := w.tracker.Count()
	return open > 0
}

// nextTimer returns the index of the earliest timer that is due at the given time or before, or -1.
func (w *world) nextTimer(by time.Duration) int {
	best := -1
	for i, t := range w.timers {
		if t.at <= by && (best < 0 || t.at < w.timers[best].at) {
			best = i
		}
	}
	return best
}

// nextMoment returns the next time that makes a difference: the middle and the end of the deduplication window if there
// is a keyed call, a health evaluation, and the deadline.
func (w *world) nextMoment() time.Duration {
	next := time.Duration(0)
	add := func(at time.Duration) {
		if at > w.now && (next == 0 || at < next) {
			next = at
		}
	}
	if slices.Contains(w.cfg.Calls, choice.Keyed) {
		add(startTime + dedupWindow/2)
		add(startTime + dedupWindow)
	}
	if w.cfg.Past != NoPast {
		add(startTime + shortAim/8)
	}
	add(startTime + callDeadline)
	return next
}
