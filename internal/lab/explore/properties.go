package explore

import (
	"slices"

	"ternbeam/choice"
	"ternbeam/internal/decide/calltrack"
	"ternbeam/internal/decide/lifecycle"
)

// The properties, each checked where it could be violated. They are checked against data that the world itself records
// from what clients and servers observe.

// checkAnswer records an answer and checks: exactly one final answer for each received call, by its deadline; none after
// its client has disconnected; a served answer is from an attempt of the same call; no refusal of a call that can have
// run, unless it may be repeated.
func (w *world) checkAnswer(c *call, a calltrack.Answer) {
	switch c.answers = append(c.answers, a.Kind); {
	case !c.arrived:
		w.violate("%s is answered before its client sent it", c.tracked.ID)
	case c.disconnected:
		w.violate("%s is answered after its client disconnected", c.tracked.ID)
	case len(c.answers) > 1:
		w.violate("%s is answered twice", c.tracked.ID)
	case w.now > startTime+callDeadline:
		w.violate("%s is answered after its deadline", c.tracked.ID)
	}
	if a.Kind == calltrack.Served {
		at, ok := a.Reply.(*calltrack.Attempt)
		relaying := ok && slices.ContainsFunc(w.attempts, func(t *attempt) bool { return t.Attempt == at && t.relayStarted })
		if !ok || at.Call != c.tracked || !relaying && at.State.Result() != choice.OK {
			w.violate("%s is served an answer that is not its own", c.tracked.ID)
		}
	}
	w.checkRefusal(c)
}

// checkRefusal checks that a refused call never runs, neither before nor after the refusal, unless it is safe.
func (w *world) checkRefusal(c *call) {
	if slices.Contains(c.answers, calltrack.Refused) && c.effect != choice.Safe && len(c.runs) > 0 {
		w.violate("%s is refused and may have run at %s", c.tracked.ID, c.runs[0].server)
	}
}

// checkAttemptStart checks that a call does not exceed the maximum of attempts, and that none is started at a server that is
// draining, removed or taken offline.
func (w *world) checkAttemptStart(t *attempt) {
	c := w.callOf(t)
	if c.attemptCount++; c.attemptCount > w.cfg.Attempts {
		w.violate("%s has more than %d attempts", c.tracked.ID, w.cfg.Attempts)
	}
	if i := w.currentProcess(t.Server.ID).server; w.servers[i].State != choice.Ready || w.offline[i] {
		s := w.servers[i]
		w.violate("attempt %d of %s is started at %s after its drain", t.Number, c.tracked.ID, s.ID)
	}
}

// checkSend checks that nothing is sent after a final answer or the deadline, nor to a server after its drain was
// reported, nor to a process that has ended according to the list, nor after the balancer has canceled the attempt. The
// reports are taken from the world's own records, independent of the code under test.
func (w *world) checkSend(t *attempt) {
	c := w.callOf(t)
	now := w.currentProcess(t.Server.ID)
	if t.sendCount++; t.sendCount > 1 {
		w.violate("attempt %d of %s is sent on two connections", t.Number, c.tracked.ID)
	}
	conn := t.conn
	if mc, _ := w.pendingCallOf(t); mc != nil {
		conn = mc.conn
	}
	switch {
	case len(c.answers) > 0 || c.disconnected:
		w.violate("attempt %d of %s is sent after its final answer", t.Number, c.tracked.ID)
	case w.servers[now.server].State != choice.Ready || w.offline[now.server]:
		w.violate("attempt %d of %s is sent to %s after its drain", t.Number, c.tracked.ID, t.Server.ID)
	case conn.Host.(*connData).peer != now:
		w.violate("attempt %d of %s is sent on a connection to the former process of %s", t.Number, c.tracked.ID, t.Server.ID)
	case w.now >= startTime+callDeadline:
		w.violate("attempt %d of %s is sent after its deadline", t.Number, c.tracked.ID)
	case t.balancerCanceled:
		w.violate("attempt %d of %s is sent after it was canceled", t.Number, c.tracked.ID)
	}
}

// checkCancel checks that no attempt is canceled as at a silent server once the balancer has been told that its answer has started.
func (w *world) checkCancel(t *attempt, a choice.Action) {
	if told := t.answerStart == startTaken || t.answerStart == stallTaken; told && a.Reason == choice.ServerSilent {
		w.violate("attempt %d of %s is canceled as at a silent server, but its answer has started", t.Number, t.Call.ID)
	}
}

// checkRun checks that an unsafe call runs at most once, and a keyed one only within its deduplication scope and window.
func (w *world) checkRun(c *call) {
	first, last := c.runs[0], c.runs[len(c.runs)-1]
	switch {
	case len(c.runs) < 2 || c.effect == choice.Safe:
	case c.effect == choice.Unsafe:
		w.violate("%s may run at %s and again at %s", c.tracked.ID, first.server, last.server)
	case first.cell != last.cell:
		w.violate("%s may run at %s and, in another deduplication scope, at %s", c.tracked.ID, first.server, last.server)
	case last.at-first.at >= dedupWindow:
		w.violate("%s may run at %s and, after its deduplication window, at %s", c.tracked.ID, first.server, last.server)
	}
	w.checkRefusal(c)
}

// checkAttemptEnd checks that an attempt reported as never run has not run.
func (w *world) checkAttemptEnd(t *attempt) {
	r := t.State.Result()
	never := r == choice.Rejected || r == choice.ConnectFailed || r == choice.NotSent
	if never && t.mayHaveRun {
		w.violate("attempt %d of %s is reported as never run, but may have run", t.Number, t.Call.ID)
	}
	if t.mayHaveRun && !t.State.MayHaveRun() {
		w.violate("attempt %d of %s may have run, but its state machine says that it cannot have", t.Number, t.Call.ID)
	}
}

// checkRelayStart checks that an answer whose relay has started is either given to the client or discarded.
func (w *world) checkRelayStart(t *attempt) {
	c := w.callOf(t)
	given := len(c.answers) > 0 && c.answers[0] == calltrack.Served && w.tracker.IsRelaying(c.tracked, t.Attempt)
	if given == t.replyDropped {
		w.violate("the relay of the answer to %s has started; given: %t, discarded: %t", c.tracked.ID, given, t.replyDropped)
	}
}

// checkEndState checks the state in which nothing more can happen: every call has its answer, and no places, calls or
// attempts are left.
func (w *world) checkEndState() {
	for _, c := range w.calls {
		if c.arrived && !c.disconnected && len(c.answers) != 1 {
			w.violate("%s has %d answers at the end", c.tracked.ID, len(c.answers))
		}
	}
	for _, t := range w.attempts {
		w.violate("attempt %d of %s is still %v at the end", t.Number, t.Call.ID, t.State.Stage())
	}
	if open, held := w.tracker.Count(); open != 0 || held != 0 {
		w.violate("%d calls open and %d held at the end", open, held)
	}
	if n := w.tracker.RelayingCount(); n != 0 {
		w.violate("%d answers are still being relayed at the end", n)
	}
	for _, mc := range w.muxConns { // one on which a late reply may still arrive stays in use
		if mc.conn.State() != lifecycle.Idle && len(mc.state.PendingCalls()) == 0 {
			w.violate("a multiplexed connection that carries nothing is %v at the end", mc.conn.State())
		}
	}
	if open, idle, waiting := w.pool.Count(); !w.cfg.Lines && open != idle || waiting != 0 || w.cfg.Lines && open != len(w.muxConns) {
		w.violate("%d places taken, %d idle and %d waited for at the end", open, idle, waiting)
	}
}
