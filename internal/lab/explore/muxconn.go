package explore

import (
	"slices"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/calltrack"
	"ternbeam/internal/decide/lifecycle"
)

// Multiplexed connections carry several attempts at a time. The steps of their host are those of the multiplexer in
// internal/thrift/thriftback. Here the end of one attempt can end others, so every order of steps is tried.

// maxAttemptsPerMuxConn limits the attempts that a multiplexed connection carries at a time.
const maxAttemptsPerMuxConn = 3

// muxConn is a connection that carries several attempts.
type muxConn struct {
	conn    *lifecycle.Conn
	state   *lifecycle.MultiplexedConn
	writing []*lifecycle.PendingCall // calls being written, in order
}

// clock returns the world's time as a time.Time.
func (w *world) clock() time.Time { return time.Unix(0, 0).Add(w.now) }

// pendingCallOf returns the multiplexed connection that carries an attempt and the attempt's pending call on it, or nil.
func (w *world) pendingCallOf(t *attempt) (*muxConn, *lifecycle.PendingCall) {
	for _, mc := range w.muxConns {
		for _, p := range mc.state.PendingCalls() {
			if p.Host == t.Attempt {
				return mc, p
			}
		}
	}
	return nil, nil
}

// attemptOf returns the attempt of a pending call, or nil if the loop has already processed its end.
func (w *world) attemptOf(p *lifecycle.PendingCall) *attempt {
	for _, t := range w.attempts {
		if t.Attempt == p.Host {
			return t
		}
	}
	return nil
}

// otherDialing returns another attempt that is dialing the same server, or nil.
func (w *world) otherDialing(t *attempt) *attempt {
	for _, o := range w.attempts {
		if o != t && o.Server == t.Server && o.conn != nil && o.State.Stage() <= lifecycle.Dialing {
			return o
		}
	}
	return nil
}

// canJoin reports whether a multiplexed connection in use can take an attempt.
func (w *world) canJoin(t *attempt) bool {
	return slices.ContainsFunc(w.muxConns, func(mc *muxConn) bool {
		_, reuse := mc.state.CanRelease(false)
		return mc.conn.Server == t.Server && mc.conn.State() != lifecycle.Idle && reuse && len(mc.state.PendingCalls()) < maxAttemptsPerMuxConn
	})
}

// muxOptions returns the steps that an attempt's host, its network or its server may take now, if connections are
// multiplexed.
func (w *world) muxOptions(t *attempt) (all []StepKind) {
	stage := t.State.Stage()
	mc, p := w.pendingCallOf(t)
	switch {
	case stage == lifecycle.Ended:
		return nil
	case stage >= lifecycle.Ready && mc == nil:
		w.violate("attempt %d has lost its slot on its connection", t.index)
		return nil
	case t.hostCanceled && (stage != lifecycle.AwaitingSlot || t.awaitsDial):
		all = append(all, Cancel)
	case w.now >= t.Deadline && (stage != lifecycle.AwaitingSlot || t.awaitsDial):
		all = append(all, TimeOut)
	}
	switch stage {
	case lifecycle.AwaitingSlot:
		switch {
		case t.conn != nil: // waits for a slot in the pool
			all = append(all, NoSlot)
		case t.awaitsDial: // no step until the other attempt's dial ends
		case w.canJoin(t) || w.otherDialing(t) != nil || w.idleConn(t) == nil:
			all = append(all, Acquire)
		default:
			all = append(all, Acquire, AcquireStrayBytes, AcquireClosed)
		}
	case lifecycle.Dialing:
		all = append(all, DialSucceeds, DialFails)
	case lifecycle.Ready:
		for _, o := range mc.state.PendingCalls() { // in the order of sending
			if o.Attempt.Stage() == lifecycle.Ready {
				if o == p {
					all = append(all, Send)
				}
				break
			}
		}
	case lifecycle.Writing:
		all = append(all, WriteCut, AnswerEarly)
		if t.SendBy == 0 || w.now < t.SendBy {
			all = append(all, AnswerEarlyError, AnswerOK)
		}
	case lifecycle.Waiting:
		all = append(all, AnswerOK, AnswerError, AnswerReject, AnswerTwice, AnswerGarbled, Reset)
	}
	return all
}

// muxConnSteps returns the steps of multiplexed connections that belong to no single attempt.
func (w *world) muxConnSteps() (all []Step) {
	for i, mc := range w.muxConns {
		if w.abandonedCall(mc) != nil {
			all = append(all, Step{Kind: LateReply, N: uint8(i)})
		}
		inTime := true
		for _, p := range mc.writing {
			by := p.Host.(*calltrack.Attempt).SendBy
			inTime = inTime && (by == 0 || w.now < by)
		}
		if len(mc.writing) > 0 {
			all = append(all, Step{Kind: WriteFails, N: uint8(i)})
			if inTime { // after the write deadline the write cannot complete
				all = append(all, Step{Kind: WriteCompletes, N: uint8(i)})
			}
		}
	}
	return all
}

// abandonedCall returns the first pending call of a connection whose attempt was written and then abandoned, or nil.
func (w *world) abandonedCall(mc *muxConn) *lifecycle.PendingCall {
	for _, p := range mc.state.PendingCalls() {
		if p.Attempt.Stage() == lifecycle.Ended && !slices.Contains(mc.writing, p) {
			return p
		}
	}
	return nil
}

// applyToMuxConn applies a step of a multiplexed connection.
func (w *world) applyToMuxConn(mc *muxConn, k StepKind) {
	switch k {
	case LateReply:
		w.deliverReply(mc, w.abandonedCall(mc).Seq, nil, choice.OK)
	case WriteCompletes, WriteFails:
		w.writeEnded(mc, mc.writing[0], k)
	}
	w.releaseUnusedMuxConns()
}

// applyMux applies a step of an attempt on a multiplexed connection: of its host, its network or its server.
func (w *world) applyMux(t *attempt, k StepKind) {
	mc, p := w.pendingCallOf(t)
	switch k {
	case AcquireStrayBytes, AcquireClosed:
		c := w.idleConn(t)
		if k == AcquireStrayBytes {
			t.ReportIllegalStep(w.pool.AcquireIdle(c.Server, c.Speaks, nil).Spoil())
			w.releaseConn(c)
		} else {
			next, err := w.pool.CloseIdle(c)
			t.ReportIllegalStep(err)
			w.slotGranted(next)
		}
		w.removeMuxConn(c)
		fallthrough
	case Acquire:
		w.join(t)
	case NoSlot:
		w.failUnconnected(t, lifecycle.NoSlot)
	case DialSucceeds:
		t.ReportIllegalStep(t.State.Connect())
		t.ReportIllegalStep(w.pool.Open(t.conn, &connData{attempt: -1, peer: w.currentProcess(t.Server.ID)}))
		mc = &muxConn{conn: t.conn, state: lifecycle.NewMultiplexedConn(w.clock())}
		t.conn = nil
		w.muxConns = append(w.muxConns, mc)
		w.joinConn(mc, t)
		w.dialEnded(t, false)
	case DialFails:
		w.failUnconnected(t, lifecycle.Broken)
		w.dialEnded(t, true)
	case Send:
		if next := mc.state.Next(); next != p {
			w.violate("attempt %d is sent out of order", t.index)
		}
		if w.send(t); t.State.Stage() == lifecycle.Ended {
			mc.state.Remove(p)
		} else {
			t.ReportIllegalStep(mc.state.WriteStarted(p, w.clock()))
			w.recordRun(t) // from here on the attempt may have run
			mc.writing = append(mc.writing, p)
		}
	case WriteCut:
		w.writeEnded(mc, p, k)
	case AnswerOK, AnswerError, AnswerEarlyError, AnswerReject, AnswerEarly, AnswerTwice:
		r := map[StepKind]choice.Result{AnswerError: choice.Failed, AnswerEarlyError: choice.Failed,
			AnswerReject: choice.Rejected, AnswerEarly: choice.Rejected}[k] // else OK
		w.deliverReply(mc, p.Seq, t, r)
		if k == AnswerTwice {
			w.deliverReply(mc, p.Seq, t, r)
		}
	case AnswerGarbled:
		w.breakMuxConn(mc, lifecycle.Malformed)
	case Reset:
		w.breakMuxConn(mc, lifecycle.Broken)
	case Cancel, TimeOut:
		cause := lifecycle.Canceled
		if k == TimeOut {
			cause = lifecycle.TimedOut
		}
		if mc == nil { // no connection was established
			if k == TimeOut {
				cause = lifecycle.Broken
			}
			w.failUnconnected(t, cause)
			w.dialEnded(t, false)
			break
		}
		t.ReportIllegalStep(mc.state.Abandon(p, cause))
		w.checkAttemptEnd(t)
	}
	w.releaseUnusedMuxConns()
}

// join assigns an attempt to a multiplexed connection: one in use that can take one more, else an idle or a new one.
func (w *world) join(t *attempt) {
	for _, mc := range w.muxConns {
		if mc.conn.Server == t.Server && mc.conn.State() != lifecycle.Idle && w.joinConn(mc, t) {
			return
		}
	}
	if w.otherDialing(t) != nil {
		t.awaitsDial = true
		return
	}
	if c := w.pool.AcquireIdle(t.Server, t.Call.RequiredProtocols, nil); c != nil {
		t.ReportIllegalStep(t.State.Connect())
		for _, mc := range w.muxConns {
			if mc.conn == c && !w.joinConn(mc, t) {
				w.violate("an idle multiplexed connection accepts no attempt")
			}
		}
		return
	}
	c, evicted := w.pool.ReserveSlot(t.Server, t.Call.RequiredProtocols)
	if evicted != nil {
		w.removeMuxConn(evicted)
	}
	if t.conn = c; c.State() == lifecycle.Dialed {
		t.ReportIllegalStep(t.State.Dial())
	}
}

func (w *world) joinConn(mc *muxConn, t *attempt) bool {
	p, err := mc.state.Join(&t.State, t.Attempt, maxAttemptsPerMuxConn)
	t.ReportIllegalStep(err)
	return p != nil
}

// dialEnded resumes the attempts that waited for another attempt's dial. If the server refused it, they fail too.
func (w *world) dialEnded(t *attempt, refused bool) {
	for _, o := range w.attempts {
		if o.awaitsDial && o.Server == t.Server {
			if o.awaitsDial = false; refused {
				w.failUnconnected(o, lifecycle.Broken)
			}
		}
	}
}

// failUnconnected ends an attempt that has no connection.
func (w *world) failUnconnected(t *attempt, cause lifecycle.Cause) {
	t.awaitsDial = false
	t.ReportIllegalStep(t.State.Fail(cause))
	if t.conn != nil {
		next, err := w.pool.Abort(t.conn)
		t.conn = nil
		t.ReportIllegalStep(err)
		w.slotGranted(next)
	}
	w.checkAttemptEnd(t)
}

// writeEnded ends a write. Either all of it was written, or all attempts before last were written completely, last
// partly or not at all, and the attempts after it not at all.
func (w *world) writeEnded(mc *muxConn, last *lifecycle.PendingCall, k StepKind) {
	n := messageSize
	for _, p := range mc.writing {
		if p == last && k != WriteCompletes {
			n = map[StepKind]int{WriteCut: messageSize - 1}[k]
		}
		t := w.attemptOf(p)
		if n < messageSize && t != nil && t.State.Stage() != lifecycle.Ended { // the server has not received it
			w.undoRun(t)
		}
		ended, err := mc.state.WriteEnded(p, n, false)
		if err != nil {
			w.violate("%v", err)
		}
		if ended {
			w.pendingCallEnded(p)
		}
		if p == last && k != WriteCompletes {
			n = 0
		}
	}
	mc.writing = nil
	if k != WriteCompletes || mc.state.Broken() {
		w.breakMuxConn(mc, lifecycle.Broken)
	}
}

// undoRun reverts recordRun: the attempt has not run.
func (w *world) undoRun(t *attempt) {
	t.mayHaveRun = false
	c := w.callOf(t)
	c.runs = slices.DeleteFunc(c.runs, func(r run) bool { return r.attempt == t.index })
}

// deliverReply delivers a reply with the given sequence id. intended is the attempt that the server replies to, or nil.
func (w *world) deliverReply(mc *muxConn, seq int32, intended *attempt, r choice.Result) {
	p, err := mc.state.ReplyStarted(seq, w.clock())
	if err != nil {
		w.breakMuxConn(mc, lifecycle.Malformed)
		return
	}
	if intended != nil && p.Host != intended.Attempt {
		w.violate("the reply to attempt %d is assigned to another attempt", intended.index)
	}
	if r == choice.Rejected && intended != nil {
		w.undoRun(intended)
	}
	ended, err := mc.state.ReplyEnded(p, r)
	if err != nil {
		w.violate("%v", err)
	}
	if ended {
		w.pendingCallEnded(p)
	}
}

func (w *world) pendingCallEnded(p *lifecycle.PendingCall) {
	if t := w.attemptOf(p); t == nil {
		w.violate("an attempt ends a second time, after the loop has processed its end")
	} else {
		w.checkAttemptEnd(t)
	}
}

func (w *world) breakMuxConn(mc *muxConn, c lifecycle.Cause) {
	ended, err := mc.state.Break(c)
	if err != nil {
		w.violate("%v", err)
	}
	for _, p := range ended {
		w.pendingCallEnded(p)
	}
}

// releaseUnusedMuxConns releases the multiplexed connections that carry nothing any more.
func (w *world) releaseUnusedMuxConns() {
	for _, mc := range slices.Clone(w.muxConns) {
		release, reuse := mc.state.CanRelease(mc.conn.Server.Retired())
		if !release || len(mc.writing) > 0 || mc.conn.State() == lifecycle.Idle {
			continue
		}
		if slices.ContainsFunc(mc.state.PendingCalls(), func(p *lifecycle.PendingCall) bool { return p.Attempt.Stage() != lifecycle.Ended }) {
			w.violate("a multiplexed connection that carries an attempt is released")
		}
		if !reuse {
			if err := mc.conn.Spoil(); err != nil {
				w.violate("%v", err)
			}
		}
		if !w.releaseConn(mc.conn) {
			w.removeMuxConn(mc.conn)
		}
	}
}

// removeMuxConn removes a multiplexed connection that was closed.
func (w *world) removeMuxConn(c *lifecycle.Conn) {
	w.muxConns = slices.DeleteFunc(w.muxConns, func(mc *muxConn) bool { return mc.conn == c })
}

// copyMuxConns returns deep copies of the multiplexed connections.
func (w *world) copyMuxConns(copies *calltrack.Copies, conns *lifecycle.Copies[lifecycle.Conn]) (all []*muxConn) {
	for _, mc := range w.muxConns {
		pendingCalls := lifecycle.Copies[lifecycle.PendingCall]{Fill: func(p, dst *lifecycle.PendingCall) {
			at := copies.Attempts.Of(p.Host.(*calltrack.Attempt))
			p.CopyTo(dst, &at.State, at)
		}}
		dup := &muxConn{conn: conns.Of(mc.conn), state: mc.state.Copy(&pendingCalls)}
		for _, p := range mc.writing {
			dup.writing = append(dup.writing, pendingCalls.Of(p))
		}
		all = append(all, dup)
	}
	return all
}
