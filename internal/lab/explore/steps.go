package explore

import (
	"fmt"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/calltrack"
	"ternbeam/internal/decide/lifecycle"
)

// StepKind says what happens in a step.
type StepKind uint8

// The values of StepKind.
const (
	CallArrives       StepKind = iota // a client sends a call; N is the call
	ClientDisconnects                 // a client disconnects; N is the call
	Drain                             // the list reports that a server drains; N is the server, up to PutOnline
	Restart                           // the list reports that a server has restarted at its address
	ServerRemoved                     // the list reports that a server was removed
	MissingFromList                   // a full list arrives that lacks a server
	AddressChanges                    // the list reports another address of a server
	TakenOffline                      // the operators take a server offline
	PutOnline                         // they put it back online, after a restart that the list has not reported
	AdvanceTime                       // time advances to the next moment that makes a difference
	FireTimer                         // the loop fires the next timer that is due
	TakeEnd                           // the loop processes the end of an attempt; N is the attempt from here on
	TakeRelayStart                    // the loop processes that the relay of its answer has started
	TakeAnswerStart                   // the loop processes that its answer has started, or does not continue
	Acquire                           // the attempt asks for a connection
	AcquireStrayBytes                 // the same; the idle connection that it would get has received unsolicited bytes
	AcquireClosed                     // the same; that connection was idle for too long or closed by its server
	NoSlot                            // it stops waiting for a slot in the pool
	DialSucceeds                      // its dial succeeds
	DialFails                         // its dial fails
	DialNext                          // its dial takes long, and the next address is dialed in parallel
	SecondSucceeds                    // the dial that was started second succeeds
	SecondFails                       // that dial fails
	LoserConnects                     // a dial succeeds after another one has
	Send                              // it is sent, if the check before sending allows it
	WriteAll                          // its last byte is written
	WriteNone                         // the connection breaks before any byte is written
	WriteCut                          // the same, before the last byte is written
	WriteUncertain                    // the connection breaks, and it is unknown how much was written
	AnswerEarly                       // the server rejects it before all is written
	AnswerEarlyError                  // the server answers with an error before all is written
	AnswerOK                          // the server serves it
	AnswerError                       // the server answers with an error
	AnswerReject                      // the server rejects it
	AnswerTwice                       // the server serves it and sends the reply twice
	AnswerGarbled                     // the server's answer cannot be parsed
	AnswerBegins                      // the server's answer is long, and its relay to the client starts
	AnswerEnds                        // that answer is complete
	AnswerBreaks                      // the server breaks it off
	AnswerStarts                      // the server's answer starts, and may be long; it is held and not relayed yet
	AnswerStalls                      // that answer does not continue for some time
	Reset                             // the connection breaks after the last byte was written
	Hang                              // no more network events for it
	Pause                             // its host pauses until something that it depends on changes
	Release                           // its connection is released
	Cancel                            // its host processes the cancellation
	TimeOut                           // its host processes that its deadline has passed
	LateReply                         // a reply to an abandoned attempt arrives; N is the multiplexed connection from here on
	WriteCompletes                    // the write in progress on it completes
	WriteFails                        // the connection breaks before anything of that write is sent
	kindCount
)

// mayDraw reports whether the balancer may draw random numbers in such a step.
func (k StepKind) mayDraw() bool {
	return k == CallArrives || k == FireTimer || k == TakeEnd || k == TakeAnswerStart
}

// kindNames has the names of the kinds of steps, as printed and as stored in trace files.
var kindNames = [kindCount]string{"asks", "leaves", "drains", "restarts", "is gone", "is missing from the whole list", "moves",
	"is taken out", "is put back",
	"time passes",
	"the loop fires a timer", "is over for the loop", "begins to be passed on for the loop", "has an answer that begins, for the loop", "asks for a connection",
	"asks for a connection, where the idle one has spoken unasked", "asks for a connection, where the idle one is closed",
	"has waited long enough for a place", "dial succeeds", "dial fails", "dials the next address, too", "second dial succeeds",
	"second dial fails", "other dial succeeds after the first", "is sent, if it still may be",
	"last byte is written", "breaks before the first byte", "breaks before the last byte", "breaks, nobody can tell where",
	"is turned away before all is written", "is answered with an error before all is written", "is served",
	"is answered with an error", "is turned away", "is served twice", "gets a garbled answer", "gets an answer that begins to be passed on",
	"has its answer passed on whole", "has its answer broken off", "gets the begin of an answer", "gets no more of that answer for a while", "breaks after the last byte",
	"hangs", "rests", "gives its connection back", "is seen to be withdrawn", "is out of time",
	"gets a reply to what was given up", "has written all", "breaks before it has written anything"}

// Step is one event.
type Step struct {
	Kind StepKind
	N    uint8 // index of the call, server, attempt or multiplexed connection, depending on Kind
	Most bool  // random draws of the balancer return the greatest value, else the least
}

// String describes the step in words.
func (s Step) String() string {
	draw := ""
	if s.Most {
		draw = ", chance gives the most"
	}
	switch {
	case s.Kind <= ClientDisconnects:
		return fmt.Sprintf("the client of call %d %s%s", s.N, kindNames[s.Kind], draw)
	case s.Kind == TakenOffline || s.Kind == PutOnline:
		return fmt.Sprintf("the operators: server %d %s", s.N, kindNames[s.Kind])
	case s.Kind <= AddressChanges:
		return fmt.Sprintf("the list says: server %d %s", s.N, kindNames[s.Kind])
	case s.Kind <= FireTimer:
		return kindNames[s.Kind] + draw
	}
	if s.Kind >= LateReply {
		return fmt.Sprintf("line %d %s", s.N, kindNames[s.Kind])
	}
	return fmt.Sprintf("attempt %d %s%s", s.N, kindNames[s.Kind], draw)
}

// enabled returns the steps that are possible next, without their variants by random draws. With the reduction, these are only
// the steps of one attempt, if it has any: the result is the same if those of the others come later. An attempt whose next step
// depends on others can pause instead.
func (w *world) enabled() (all []Step) {
	for _, t := range w.attempts {
		kinds := w.options(t)
		for _, k := range kinds {
			all = append(all, Step{Kind: k, N: uint8(t.index)})
		}
		if len(kinds) > 0 && !w.cfg.allOrders() { // reduction: the steps of the others may follow later
			return all
		}
	}
	return append(append(all, w.muxConnSteps()...), w.loopSteps()...)
}

// loopSteps returns the possible steps of the core's loop, the clock, clients, the list and the operators.
func (w *world) loopSteps() (all []Step) {
	add := func(k StepKind, n int) { all = append(all, Step{Kind: k, N: uint8(n)}) }
	for i, c := range w.calls {
		if !c.arrived && w.now == startTime {
			add(CallArrives, i)
			break // calls of one effect differ only in their names; others arrive in this order
		}
	}
	for i, c := range w.calls {
		if c.arrived && !c.disconnected && len(c.answers) == 0 && w.disconnects < w.cfg.Leaves {
			add(ClientDisconnects, i)
		}
	}
	for i, s := range w.servers {
		if w.listChanges < w.cfg.Lists && s.State == choice.Ready {
			add(Drain, i)
			add(Restart, i)
			add(ServerRemoved, i)
			if w.cfg.More {
				add(MissingFromList, i)
				add(AddressChanges, i)
			}
		}
	}
	for i, s := range w.servers {
		switch {
		case w.operatorChanges >= w.cfg.Words || s.State == choice.Removed:
		case w.offline[i]:
			add(PutOnline, i)
		default:
			add(TakenOffline, i)
		}
	}
	inFlight := false
	for _, t := range w.attempts {
		switch {
		case t.answerStart == startReported || t.answerStart == stallReported:
			add(TakeAnswerStart, t.index)
		case t.relayPending: // it is queued ahead of the attempt's end
			add(TakeRelayStart, t.index)
		case t.State.Stage() == lifecycle.Ended && t.conn == nil:
			add(TakeEnd, t.index)
		}
		inFlight = true
	}
	for len(w.timers) > 0 { // timers that the balancer ignores are no steps
		i := w.nextTimer(w.now)
		if i < 0 || w.balancer.TimerPending(w.timers[i].token) {
			break
		}
		w.removeTimer(i)
	}
	if w.nextTimer(w.now) >= 0 {
		add(FireTimer, 0)
	} else if (inFlight || w.hasOpenCalls()) && w.nextMoment() > 0 {
		add(AdvanceTime, 0)
	}
	return all
}

// options returns the steps that an attempt's host, its network or its server may take now. There are none for a paused
// attempt. If the host may pause, that is one of the steps.
func (w *world) options(t *attempt) []StepKind {
	if w.cfg.Lines {
		return w.muxOptions(t)
	}
	if t.paused && !w.cfg.allOrders() {
		return nil
	}
	var all []StepKind
	orPause := func(may bool) []StepKind {
		if may && len(all) > 0 && !w.cfg.allOrders() {
			all = append(all, Pause)
		}
		return all
	}
	orHang := func() []StepKind {
		if !w.cfg.allOrders() {
			all = append(all, Hang)
		}
		return all
	}
	if t.hung || w.cfg.allOrders() { // what ends a wait for the network
		switch stage := t.State.Stage(); {
		case stage != lifecycle.Dialing && stage != lifecycle.Writing && stage != lifecycle.Waiting && !t.isHeld():
		case t.hostCanceled:
			all = append(all, Cancel)
		case stage == lifecycle.Writing && t.SendBy != 0 && w.now >= t.SendBy:
			all = append(all, WriteCut) // the write deadline has passed
		case w.now >= t.Deadline:
			all = append(all, TimeOut)
		}
		if t.hung && t.State.Stage() != lifecycle.Ended {
			return all
		}
	}
	switch t.State.Stage() {
	case lifecycle.AwaitingSlot:
		switch {
		case t.conn != nil: // waits for a slot in the pool
			all = append(all, NoSlot)
		case w.idleConn(t) != nil:
			all = append(all, Acquire, AcquireStrayBytes, AcquireClosed)
		default:
			all = append(all, Acquire)
		}
		return orPause(!w.hasSparePlaces() && (t.conn == nil || w.now < t.Deadline))
	case lifecycle.Dialing:
		all = append(all, DialSucceeds, DialFails)
		all = append(all, w.raceOptions(t)...)
		return orHang()
	case lifecycle.Ready:
		all = append(all, Send)
		if t.race != nil && len(t.race.Dialing()) > 0 {
			all = append(all, LoserConnects)
		}
		return orPause(!t.hostCanceled && w.now < t.Deadline)
	case lifecycle.Writing:
		if t.SendBy == 0 || w.now < t.SendBy { // after the write deadline these are impossible
			all = append(all, WriteAll, WriteUncertain, AnswerEarlyError)
		}
		all = append(all, WriteNone, WriteCut, AnswerEarly)
		if w.callOf(t).effect == choice.Keyed { // the time of writing matters
			orPause(w.now < t.Deadline)
		}
		return orHang()
	case lifecycle.Waiting:
		all = append(all, AnswerOK, AnswerError, AnswerReject, AnswerTwice, AnswerGarbled, Reset)
		if w.cfg.Streams {
			all = append(all, AnswerBegins)
		}
		if w.cfg.Begins {
			all = append(all, AnswerStarts)
		}
		if t.race != nil && len(t.race.Dialing()) > 0 {
			all = append(all, LoserConnects)
		}
		return orHang()
	case lifecycle.Reading:
		all = append(all, AnswerEnds, AnswerBreaks)
		if !t.isHeld() {
			return all
		}
		if t.answerStart == startReported || t.answerStart == startTaken {
			all = append(all, AnswerStalls)
		}
		return orHang()
	}
	if t.conn != nil {
		all = append(all, Release)
	}
	return orPause(!w.hasSparePlaces())
}

// apply applies one step to the world.
func (w *world) apply(s Step) {
	w.random.most = s.Most
	if s.Kind < TakeEnd {
		w.applyOutside(s)
		return
	}
	if s.Kind >= LateReply {
		w.applyToMuxConn(w.muxConns[s.N], s.Kind)
		return
	}
	t := w.attemptByIndex(int(s.N))
	if w.cfg.Lines && s.Kind != TakeEnd {
		w.applyMux(t, s.Kind)
		return
	}
	switch s.Kind {
	case TakeEnd:
		w.takeEnd(t)
	case TakeRelayStart:
		t.relayPending = false
		w.execute(w.tracker.RelayStarted(w.now, t.Attempt, calltrack.AttemptOutcome{Result: choice.OK, Report: choice.NoReport, Reply: t.Attempt}))
		w.checkRelayStart(t)
	case TakeAnswerStart:
		stalled := t.answerStart == stallReported
		t.answerStart++
		w.execute(w.tracker.AnswerStarted(w.now, t.Attempt, stalled))
	case AnswerStarts:
		t.ReportIllegalStep(t.State.Read())
		t.answerStart = startReported
	case AnswerStalls:
		t.answerStart = stallReported
	case AnswerBegins:
		t.ReportIllegalStep(t.State.Read())
		t.relayPending, t.relayStarted = true, true
	case AnswerEnds:
		t.ReportIllegalStep(t.State.Answer(choice.OK))
		w.checkAttemptEnd(t)
	case AnswerBreaks:
		w.fail(t, lifecycle.Broken)
	case Acquire:
		w.acquire(t)
	case AcquireStrayBytes:
		w.idleConn(t).Host.(*connData).strayBytes = true
		w.acquire(t)
	case AcquireClosed:
		next, err := w.pool.CloseIdle(w.idleConn(t))
		t.ReportIllegalStep(err)
		w.slotGranted(next)
		w.resumeAfterPoolChange(t.Server, true)
		w.acquire(t)
	case NoSlot:
		w.fail(t, lifecycle.NoSlot)
	case DialSucceeds:
		w.dialSucceeded(t, 0)
	case DialFails:
		w.dialFailed(t, 0)
	case DialNext:
		due, _ := t.race.NextStart()
		w.startDials(t, due)
	case SecondSucceeds:
		w.dialSucceeded(t, 1)
	case SecondFails:
		w.dialFailed(t, 1)
	case LoserConnects:
		w.dialSucceeded(t, 0)
	case Send:
		w.send(t)
	case WriteAll:
		w.write(t, messageSize)
	case WriteNone:
		w.fail(t, lifecycle.Broken)
	case WriteCut:
		w.write(t, messageSize-1)
		w.fail(t, lifecycle.Broken)
	case WriteUncertain:
		t.ReportIllegalStep(t.State.MarkUncertain())
		w.recordRun(t)
		w.fail(t, lifecycle.Broken)
	case AnswerOK:
		w.answer(t, choice.OK)
	case AnswerError:
		w.answer(t, choice.Failed)
	case AnswerReject:
		w.answer(t, choice.Rejected)
	case AnswerTwice:
		t.conn.Host.(*connData).strayBytes = true // received with the answer, so noticed before the connection is released
		w.answer(t, choice.OK)
		w.spoil(t)
	case AnswerEarly:
		w.write(t, messageSize-1)
		w.answer(t, choice.Rejected)
		w.spoil(t)
	case AnswerEarlyError:
		w.write(t, 1)
		w.recordRun(t) // it may have run
		w.answer(t, choice.Failed)
		w.spoil(t)
	case AnswerGarbled:
		t.ReportIllegalStep(t.State.Read())
		w.fail(t, lifecycle.Malformed)
	case Reset:
		w.fail(t, lifecycle.Broken)
	case Hang:
		t.hung = true
	case Pause:
		t.paused = true
	case Release:
		w.releaseAttemptConn(t)
	case Cancel:
		w.fail(t, lifecycle.Canceled)
	case TimeOut:
		cause := lifecycle.TimedOut
		if t.State.Stage() == lifecycle.Dialing {
			cause = lifecycle.Broken // as reported by the dial
		}
		w.fail(t, cause)
	}
}

// applyOutside applies a step of the loop, the clock, a client, the list or the operators.
func (w *world) applyOutside(s Step) {
	switch s.Kind {
	case CallArrives:
		c := w.calls[s.N]
		c.arrived, c.tracked.Deadline = true, startTime+callDeadline
		w.execute(w.tracker.CallArrived(w.now, c.tracked))
	case ClientDisconnects:
		w.disconnects++
		w.calls[s.N].disconnected = true
		w.execute(w.tracker.ClientDisconnected(w.now, w.calls[s.N].tracked))
		w.resumeReady(int(s.N))
	case Drain, Restart, ServerRemoved, MissingFromList, AddressChanges:
		w.listChanges++
		e := &w.servers[s.N]
		switch s.Kind {
		case Drain:
			e.State = choice.Draining
		case ServerRemoved:
			e.State = choice.Removed
		case MissingFromList:
			e.State = choice.Removed
			var others []calltrack.Entry
			for i, o := range w.servers {
				if o.State == choice.Ready {
					others = append(others, w.listEntry(i))
				}
			}
			w.execute(w.tracker.UpdateServers(w.now, true, others))
			return
		case AddressChanges:
			w.moves[s.N]++
		case Restart:
			e.Started = startTime
		}
		w.execute(w.tracker.UpdateServers(w.now, false, []calltrack.Entry{w.listEntry(int(s.N))}))
	case TakenOffline, PutOnline:
		w.operatorChanges++
		w.offline[s.N] = s.Kind == TakenOffline
		override := w.tracker.Offline
		if s.Kind == PutOnline {
			override = w.tracker.Online
			w.offlineRestarts[s.N]++
		}
		commands, known := override(w.now, w.servers[s.N].ID)
		if !known {
			w.violate("the operators' command for server %d is rejected", s.N)
		}
		w.execute(commands)
	case AdvanceTime:
		w.now = w.nextMoment()
		w.resumeByTime()
	case FireTimer:
		w.execute(w.tracker.TimerFired(w.now, w.removeTimer(w.nextTimer(w.now)).token))
	}
}

// listEntry returns a server's entry in the list.
func (w *world) listEntry(i int) calltrack.Entry {
	return calltrack.Entry{Server: w.servers[i], Addr: fmt.Sprint(w.servers[i].ID, " at ", w.moves[i])}
}

// resumeByTime resumes the paused attempts for which the time makes a difference: those of keyed calls that are being
// written, those that may no longer be sent, and those that wait for a slot.
func (w *world) resumeByTime() {
	for _, t := range w.attempts {
		switch t.State.Stage() {
		case lifecycle.Ready:
			if w.conditionsFor(t).TimedOut {
				t.paused = false
			}
		case lifecycle.Writing:
			t.paused = false
		case lifecycle.AwaitingSlot:
			if t.conn != nil {
				t.paused = false
			}
		}
	}
}

// elapsedMS returns the time since the exploration began, in milliseconds.
func (w *world) elapsedMS() float64 { return float64(w.now-startTime) / float64(time.Millisecond) }
