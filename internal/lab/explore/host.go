package explore

import (
	"slices"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/calltrack"
	"ternbeam/internal/decide/lifecycle"
)

// The steps of an attempt's host, as internal/host/pool and internal/host/exchange take them.

// hasSparePlaces reports whether there is always a place for one more connection. Then attempts affect one another only
// through idle connections to the same server.
func (w *world) hasSparePlaces() bool {
	return !w.cfg.Lines && w.cfg.Places >= len(w.cfg.Calls)*w.cfg.Attempts
}

// resumeAfterPoolChange resumes the paused attempts whose next step depends on a change in the pool: of the idle
// connections to a server, or, if places are scarce, of anything. An attempt that asks for a connection resumes those
// that release one.
func (w *world) resumeAfterPoolChange(s *lifecycle.Server, idle bool) {
	for _, t := range w.attempts {
		releases := t.State.Stage() == lifecycle.Ended && t.conn != nil
		acquires := t.State.Stage() == lifecycle.AwaitingSlot
		if !w.hasSparePlaces() && (releases || acquires) || t.Server == s && (releases || acquires && idle) {
			t.paused = false
		}
	}
}

// resumeReady resumes the paused attempts of a call that are ready to be sent.
func (w *world) resumeReady(i int) {
	for _, t := range w.attempts {
		if t.call == i && t.State.Stage() == lifecycle.Ready {
			t.paused = false
		}
	}
}

// acquire takes an idle connection without stray bytes, or reserves a new one.
func (w *world) acquire(t *attempt) {
	tookIdle := false
	for c := w.pool.AcquireIdle(t.Server, t.Call.RequiredProtocols, nil); c != nil; c = w.pool.AcquireIdle(t.Server, t.Call.RequiredProtocols, nil) {
		tookIdle = true
		if !c.Host.(*connData).strayBytes {
			t.ReportIllegalStep(t.State.Connect())
			w.carry(t, c)
			w.resumeAfterPoolChange(t.Server, true)
			return
		}
		t.ReportIllegalStep(c.Spoil())
		if w.releaseConn(c) {
			w.violate("a connection with stray bytes is kept in the pool")
			return
		}
	}
	c, evicted := w.pool.ReserveSlot(t.Server, t.Call.RequiredProtocols)
	if evicted != nil {
		evicted.Host.(*connData).attempt = -1
	}
	t.conn = c
	if c.State() == lifecycle.Dialed {
		w.dial(t)
	}
	w.resumeAfterPoolChange(t.Server, tookIdle)
}

// slotGranted starts the dial of the attempt whose queued connection got a slot.
func (w *world) slotGranted(c *lifecycle.Conn) {
	for _, t := range w.attempts {
		if c != nil && t.conn == c && t.State.Stage() == lifecycle.AwaitingSlot {
			w.dial(t)
			t.paused = false
		}
	}
}

// dial starts to dial one address, or a race if the server has two.
func (w *world) dial(t *attempt) {
	t.ReportIllegalStep(t.State.Dial())
	if w.cfg.Races {
		t.race = w.dialHistory.NewRace(w.now, w.addrsOf(t.Server.ID))
		t.race.Start(w.now, w.spareDials())
	}
}

// addrsOf returns the addresses of a server.
func (w *world) addrsOf(id string) []string {
	return []string{"127.0.0.1:1 of " + id, "127.0.0.1:2 of " + id}
}

// spareDials returns how many dials are allowed in addition to the first one of each race.
func (w *world) spareDials() int {
	open, _, _ := w.pool.Count()
	return w.cfg.Places - open
}

// raceOptions returns the possible steps of a race, except those of its first dial.
func (w *world) raceOptions(t *attempt) (all []StepKind) {
	if t.race == nil {
		return nil
	}
	if _, more := t.race.NextStart(); more && len(t.race.Dialing()) <= w.spareDials() {
		all = append(all, DialNext)
	}
	if len(t.race.Dialing()) > 1 {
		all = append(all, SecondSucceeds, SecondFails)
	}
	return all
}

// startDials starts the dials that the race schedules until the given time.
func (w *world) startDials(t *attempt, by time.Duration) {
	t.race.Start(max(by, w.now), w.spareDials())
}

// dialSucceeded reports the success of one of an attempt's dials. A connection that does not win the race is closed at
// once.
func (w *world) dialSucceeded(t *attempt, n int) {
	if t.race == nil || t.race.Connected(w.now, t.race.Dialing()[n]) {
		w.connOpened(t)
	}
}

// dialFailed reports the failure of one of an attempt's dials.
func (w *world) dialFailed(t *attempt, n int) {
	if t.race == nil || t.race.Failed(w.now, t.race.Dialing()[n]) {
		w.fail(t, lifecycle.Broken)
		return
	}
	w.startDials(t, w.now)
	if len(t.race.Dialing()) == 0 {
		w.violate("attempt %d has no dial in progress, and its race has not failed", t.index)
	}
}

// idleConn returns the idle connection that an attempt would get, or nil.
func (w *world) idleConn(t *attempt) (last *lifecycle.Conn) {
	for _, c := range w.pool.Idle() {
		if c.Server == t.Server && c.Speaks == t.Call.RequiredProtocols {
			last = c
		}
	}
	return last
}

// carry assigns a connection to an attempt.
func (w *world) carry(t *attempt, c *lifecycle.Conn) {
	data := c.Host.(*connData)
	if data.attempt >= 0 {
		w.violate("a connection carries attempts %d and %d", data.attempt, t.index)
	}
	if data.strayBytes {
		w.violate("attempt %d uses a connection with stray bytes", t.index)
	}
	t.conn, data.attempt = c, t.index
}

// releaseConn returns a connection to the pool and reports whether the pool kept it. A slot that becomes free goes to an attempt
// that waits for one.
func (w *world) releaseConn(c *lifecycle.Conn) (kept bool) {
	c.Host.(*connData).attempt = -1
	kept, next, err := w.pool.Release(c)
	if err != nil {
		w.violate("%v", err)
	}
	w.slotGranted(next)
	return kept
}

// connOpened continues an attempt whose dial succeeded.
func (w *world) connOpened(t *attempt) {
	t.ReportIllegalStep(t.State.Connect())
	t.ReportIllegalStep(w.pool.Open(t.conn, &connData{attempt: -1, peer: w.currentProcess(t.Server.ID)}))
	w.carry(t, t.conn)
}

// conditionsFor returns the conditions under which an attempt would be sent now.
func (w *world) conditionsFor(t *attempt) lifecycle.Conditions {
	return lifecycle.Conditions{Canceled: t.hostCanceled, TimedOut: w.now >= t.Deadline || t.SendBy != 0 && w.now >= t.SendBy,
		CallFinished: t.Call.Finished(), Retired: t.Server.Retired()}
}

// send checks whether the attempt may still be sent, and starts sending.
func (w *world) send(t *attempt) {
	now := w.conditionsFor(t)
	if t.Bound {
		switch t.BeginInGroup(new(lifecycle.Identity).IsCertain(w.evidenceOf(t))) {
		case calltrack.ProcessDoubtful:
			now.Retired = true
		case calltrack.GroupUnknown:
			now.GroupUnknown = true
		}
	}
	ok, err := t.State.Begin(messageSize, now)
	t.ReportIllegalStep(err)
	if !ok {
		t.notSent = true
		w.checkAttemptEnd(t)
		return
	}
	w.checkSend(t)
}

// write reports that n bytes were written.
func (w *world) write(t *attempt, n int) {
	t.ReportIllegalStep(t.State.Wrote(n))
	if n == messageSize {
		w.recordRun(t)
	}
}

// recordRun records that the server may execute the call from now on.
func (w *world) recordRun(t *attempt) {
	t.mayHaveRun = true
	c := w.callOf(t)
	c.runs = append(c.runs, run{t.index, t.Server.ID, t.cell, w.now})
	w.checkRun(c)
}

// answer ends an attempt with its server's answer.
func (w *world) answer(t *attempt, r choice.Result) {
	t.ReportIllegalStep(t.State.Read())
	t.ReportIllegalStep(t.State.Answer(r))
	if r == choice.Rejected && t.mayHaveRun {
		w.undoRun(t)
	}
	w.checkAttemptEnd(t)
}

// fail ends an attempt without an answer; its connection is not reused.
func (w *world) fail(t *attempt, cause lifecycle.Cause) {
	t.ReportIllegalStep(t.State.Fail(cause))
	w.spoil(t)
	w.checkAttemptEnd(t)
}

// spoil marks an attempt's connection as not reusable. If there are always spare places, the time of closing makes no
// difference, and it is closed at once.
func (w *world) spoil(t *attempt) {
	if t.conn == nil {
		return
	}
	switch t.conn.State() {
	case lifecycle.InUse, lifecycle.Retiring:
		t.ReportIllegalStep(t.conn.Spoil())
	}
	if w.hasSparePlaces() && !w.cfg.allOrders() {
		w.releaseAttemptConn(t)
	}
}

// releaseAttemptConn releases an attempt's connection to the pool.
func (w *world) releaseAttemptConn(t *attempt) {
	c := t.conn
	t.conn = nil
	switch c.State() {
	case lifecycle.Queued, lifecycle.Dialed:
		next, err := w.pool.Abort(c)
		t.ReportIllegalStep(err)
		w.slotGranted(next)
		if !w.hasSparePlaces() {
			w.resumeAfterPoolChange(c.Server, false)
		}
	default:
		if kept := w.releaseConn(c); kept || !w.hasSparePlaces() {
			w.resumeAfterPoolChange(c.Server, kept)
		}
	}
}

// takeEnd lets the core's loop process the end of an attempt.
func (w *world) takeEnd(t *attempt) {
	w.attempts = slices.DeleteFunc(w.attempts, func(o *attempt) bool { return o == t })
	e := calltrack.ResultOnly(t.State.Result())
	if e.Result == choice.OK {
		e.Reply = t.Attempt
	}
	w.execute(w.tracker.AttemptEnded(w.now, t.Attempt, e))
}
