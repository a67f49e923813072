package explore

import (
	"slices"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/ledger"
	"ternbeam/internal/decide/life"
)

// The steps of an attempt's host, as internal/host/pool and internal/host/exchange take them.

// wide reports whether there is always a place for one more connection. Then attempts touch one another only by idle
// connections to the same server.
func (w *world) wide() bool { return !w.cfg.Lines && w.cfg.Places >= len(w.cfg.Calls)*w.cfg.Attempts }

// wakeBook ends the rest of those whose next step depends on what has changed in the book: the idle connections to a
// server, or where places are scarce anything. Who asks for a connection wakes those that give one back.
func (w *world) wakeBook(s *life.Server, idle bool) {
	for _, t := range w.tries {
		gives := t.Life.Stage() == life.Ended && t.conn != nil
		asks := t.Life.Stage() == life.Placing
		if !w.wide() && (gives || asks) || t.Server == s && (gives || asks && idle) {
			t.rests = false
		}
	}
}

// wakeCall ends the rest of those that wait to be sent for a call.
func (w *world) wakeCall(i int) {
	for _, t := range w.tries {
		if t.call == i && t.Life.Stage() == life.Ready {
			t.rests = false
		}
	}
}

// acquire takes an idle connection, if it is silent, or asks for a new one.
func (w *world) acquire(t *try) {
	lent := false
	for c := w.book.Lend(t.Server, t.Call.Needs, nil); c != nil; c = w.book.Lend(t.Server, t.Call.Needs, nil) {
		lent = true
		if !c.Host.(*on).foreign {
			t.Heed(t.Life.Connect())
			w.carry(t, c)
			w.wakeBook(t.Server, true)
			return
		}
		t.Heed(c.Spoil())
		if w.giveBack(c) {
			w.violate("a connection with foreign bytes is kept")
			return
		}
	}
	c, evicted := w.book.Claim(t.Server, t.Call.Needs)
	if evicted != nil {
		evicted.Host.(*on).by = -1
	}
	t.conn = c
	if c.State() == life.Dialled {
		w.dial(t)
	}
	w.wakeBook(t.Server, lent)
}

// granted lets the host of an attempt whose connection got a place dial.
func (w *world) granted(c *life.Conn) {
	for _, t := range w.tries {
		if c != nil && t.conn == c && t.Life.Stage() == life.Placing {
			w.dial(t)
			t.rests = false
		}
	}
}

// dial begins to dial: one address, or where there are two a race.
func (w *world) dial(t *try) {
	t.Heed(t.Life.Dial())
	if w.cfg.Races {
		t.race = w.addrs.Race(w.now, w.addrsOf(t.Server.ID))
		t.race.Start(w.now, w.room())
	}
}

// addrsOf are the addresses of a server.
func (w *world) addrsOf(id string) []string {
	return []string{"127.0.0.1:1 of " + id, "127.0.0.1:2 of " + id}
}

// room is how many dials there may be beside the first of each race.
func (w *world) room() int {
	open, _, _ := w.book.Count()
	return w.cfg.Places - open
}

// raceOptions are what a race may come to, beside what its first dial does.
func (w *world) raceOptions(t *try) (all []Kind) {
	if t.race == nil {
		return nil
	}
	if _, more := t.race.Due(); more && len(t.race.Out()) <= w.room() {
		all = append(all, DialNext)
	}
	if len(t.race.Out()) > 1 {
		all = append(all, SecondSucceeds, SecondFails)
	}
	return all
}

// dialMore dials what the race says by some time.
func (w *world) dialMore(t *try, by time.Duration) { t.race.Start(max(by, w.now), w.room()) }

// connected says that one of an attempt's dials succeeded. A connection that does not win is closed at once.
func (w *world) connected(t *try, n int) {
	if t.race == nil || t.race.Connected(w.now, t.race.Out()[n]) {
		w.opened(t)
	}
}

// dialFailed says that one of an attempt's dials failed.
func (w *world) dialFailed(t *try, n int) {
	if t.race == nil || t.race.Failed(w.now, t.race.Out()[n]) {
		w.fail(t, life.Broken)
		return
	}
	w.dialMore(t, w.now)
	if len(t.race.Out()) == 0 {
		w.violate("attempt %d dials nothing, and its race is not lost", t.n)
	}
}

// idle is the idle connection that an attempt would get, or nil.
func (w *world) idle(t *try) (last *life.Conn) {
	for _, c := range w.book.Idle() {
		if c.Server == t.Server && c.Speaks == t.Call.Needs {
			last = c
		}
	}
	return last
}

// carry lets a connection carry an attempt.
func (w *world) carry(t *try, c *life.Conn) {
	what := c.Host.(*on)
	if what.by >= 0 {
		w.violate("a connection carries attempts %d and %d", what.by, t.n)
	}
	if what.foreign {
		w.violate("attempt %d uses a connection with foreign bytes", t.n)
	}
	t.conn, what.by = c, t.n
}

func (w *world) giveBack(c *life.Conn) (kept bool) {
	c.Host.(*on).by = -1
	kept, next, err := w.book.Return(c)
	if err != nil {
		w.violate("%v", err)
	}
	w.granted(next)
	return kept
}

// opened says that the dial of an attempt succeeded.
func (w *world) opened(t *try) {
	t.Heed(t.Life.Connect())
	t.Heed(w.book.Open(t.conn, &on{by: -1, to: w.process(t.Server.ID)}))
	w.carry(t, t.conn)
}

// nowFor is what holds for an attempt that would be sent, by what the world knows.
func (w *world) nowFor(t *try) life.Now {
	return life.Now{Withdrawn: t.withdrawn, Late: w.now >= t.End || t.SendBy != 0 && w.now >= t.SendBy,
		Over: t.Call.Over(), Retired: t.Server.Retired()}
}

// send asks whether the attempt may be sent, and begins.
func (w *world) send(t *try) {
	now := w.nowFor(t)
	ok, err := t.Life.Begin(size, now)
	t.Heed(err)
	if !ok {
		t.unsent = true
		w.checkEnding(t)
		return
	}
	w.checkSend(t)
}

// write says that so many bytes are written.
func (w *world) write(t *try, n int) {
	t.Heed(t.Life.Wrote(n))
	if n == size {
		w.run(t)
	}
}

// run says that the server may run the call from now on.
func (w *world) run(t *try) {
	t.ran = true
	c := w.of(t)
	c.runs = append(c.runs, run{t.n, t.Server.ID, t.cell, w.now})
	w.checkRun(c)
}

// answer ends an attempt with its server's answer.
func (w *world) answer(t *try, r choice.Result) {
	t.Heed(t.Life.Read())
	t.Heed(t.Life.Answer(r))
	if r == choice.Rejected && t.ran {
		w.unrun(t)
	}
	w.checkEnding(t)
}

// fail ends an attempt without an answer; its connection is not used again.
func (w *world) fail(t *try, cause life.Cause) {
	t.Heed(t.Life.Fail(cause))
	w.spoil(t)
	w.checkEnding(t)
}

// spoil says that an attempt's connection must not be used again. Where places abound nobody sees when it is closed,
// so that it is at once.
func (w *world) spoil(t *try) {
	if t.conn == nil {
		return
	}
	switch t.conn.State() {
	case life.InUse, life.Retiring:
		t.Heed(t.conn.Spoil())
	}
	if w.wide() && !w.cfg.plain() {
		w.returned(t)
	}
}

// returned gives an attempt's connection back to the book.
func (w *world) returned(t *try) {
	c := t.conn
	t.conn = nil
	switch c.State() {
	case life.Queued, life.Dialled:
		next, err := w.book.GiveUp(c)
		t.Heed(err)
		w.granted(next)
		if !w.wide() {
			w.wakeBook(c.Server, false)
		}
	default:
		if kept := w.giveBack(c); kept || !w.wide() {
			w.wakeBook(c.Server, kept)
		}
	}
}

// takeEnd lets the loop take an attempt's end.
func (w *world) takeEnd(t *try) {
	w.tries = slices.DeleteFunc(w.tries, func(o *try) bool { return o == t })
	e := ledger.Ended(t.Life.Result())
	if e.Result == choice.OK {
		e.Reply = t.Attempt
	}
	w.do(w.ledger.Ended(w.now, t.Attempt, e))
}
