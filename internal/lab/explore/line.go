package explore

import (
	"slices"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/ledger"
	"ternbeam/internal/decide/life"
)

// Lines carry several attempts at a time. Their host's steps are those of internal/thrift/thriftback's multiplexer: what
// happens to one attempt ends others, so that every order of steps is tried.

// perLine is how many attempts one line may carry.
const perLine = 3

// line is a connection that carries several attempts.
type line struct {
	conn *life.Conn
	life *life.Line
	out  []*life.Slot // that are being written, in their order
}

// clock is the world's time as lines take it.
func (w *world) clock() time.Time { return time.Unix(0, 0).Add(w.now) }

// lineOf is the line on which an attempt has a place, and the place, or nil.
func (w *world) lineOf(t *try) (*line, *life.Slot) {
	for _, l := range w.lines {
		for _, s := range l.life.Slots() {
			if s.Host == t.Attempt {
				return l, s
			}
		}
	}
	return nil, nil
}

// tryOn is the attempt that has a place, or nil for one that the loop has taken the end of.
func (w *world) tryOn(s *life.Slot) *try {
	for _, t := range w.tries {
		if t.Attempt == s.Host {
			return t
		}
	}
	return nil
}

// dials returns the attempt that dials the server of another one, or nil.
func (w *world) dials(t *try) *try {
	for _, o := range w.tries {
		if o != t && o.Server == t.Server && o.conn != nil && o.Life.Stage() <= life.Dialling {
			return o
		}
	}
	return nil
}

// joins reports whether a line in use would take an attempt.
func (w *world) joins(t *try) bool {
	return slices.ContainsFunc(w.lines, func(l *line) bool {
		_, reuse := l.life.Rests(false)
		return l.conn.Server == t.Server && l.conn.State() != life.Idle && reuse && len(l.life.Slots()) < perLine
	})
}

// lineOptions are the steps that an attempt's host, its network or its server may take now.
func (w *world) lineOptions(t *try) (all []Kind) {
	stage := t.Life.Stage()
	l, s := w.lineOf(t)
	switch {
	case stage == life.Ended:
		return nil
	case stage >= life.Ready && l == nil:
		w.violate("attempt %d has lost its place on its line", t.n)
		return nil
	case t.withdrawn && (stage != life.Placing || t.waits):
		all = append(all, Withdraw)
	case w.now >= t.End && (stage != life.Placing || t.waits):
		all = append(all, TimeOut)
	}
	switch stage {
	case life.Placing:
		switch {
		case t.conn != nil: // it waits for a place
			all = append(all, NoPlace)
		case t.waits: // for another's dial
		case w.joins(t) || w.dials(t) != nil || w.idle(t) == nil:
			all = append(all, Acquire)
		default:
			all = append(all, Acquire, AcquireSpoken, AcquireClosed)
		}
	case life.Dialling:
		all = append(all, DialSucceeds, DialFails)
	case life.Ready:
		for _, o := range l.life.Slots() { // in their turn
			if o.Life.Stage() == life.Ready {
				if o == s {
					all = append(all, Send)
				}
				break
			}
		}
	case life.Writing:
		all = append(all, WriteCut, AnswerEarly)
		if t.SendBy == 0 || w.now < t.SendBy {
			all = append(all, AnswerEarlyError, AnswerOK)
		}
	case life.Waiting:
		all = append(all, AnswerOK, AnswerError, AnswerReject, AnswerTwice, AnswerGarbled, Reset)
	}
	return all
}

// lineSteps are what happens to lines, whoever is on them.
func (w *world) lineSteps() (all []Step) {
	for i, l := range w.lines {
		if w.givenUp(l) != nil {
			all = append(all, Step{Kind: ReplyLate, N: uint8(i)})
		}
		inTime := true
		for _, s := range l.out {
			by := s.Host.(*ledger.Attempt).SendBy
			inTime = inTime && (by == 0 || w.now < by)
		}
		if len(l.out) > 0 {
			all = append(all, Step{Kind: WriteFails, N: uint8(i)})
			if inTime { // or the write's deadline is over
				all = append(all, Step{Kind: WriteTold, N: uint8(i)})
			}
		}
	}
	return all
}

// givenUp is the first place on a line whose attempt was given up and is written, or nil.
func (w *world) givenUp(l *line) *life.Slot {
	for _, s := range l.life.Slots() {
		if s.Life.Stage() == life.Ended && !slices.Contains(l.out, s) {
			return s
		}
	}
	return nil
}

// takeLine takes a step of a line.
func (w *world) takeLine(l *line, k Kind) {
	switch k {
	case ReplyLate:
		w.reply(l, w.givenUp(l).Seq, nil, choice.OK)
	case WriteTold, WriteFails:
		w.flushed(l, l.out[0], k)
	}
	w.restLines()
}

// takeOnLine takes a step of an attempt's host, its network or its server.
func (w *world) takeOnLine(t *try, k Kind) {
	l, s := w.lineOf(t)
	switch k {
	case AcquireSpoken, AcquireClosed:
		c := w.idle(t)
		if k == AcquireSpoken {
			t.Heed(w.book.Lend(c.Server, c.Speaks, nil).Spoil())
			w.giveBack(c)
		} else {
			next, err := w.book.Drop(c)
			t.Heed(err)
			w.granted(next)
		}
		w.dropLine(c)
		fallthrough
	case Acquire:
		w.join(t)
	case NoPlace:
		w.endDial(t, life.NoPlace)
	case DialSucceeds:
		t.Heed(t.Life.Connect())
		t.Heed(w.book.Open(t.conn, &on{by: -1, to: w.process(t.Server.ID)}))
		l = &line{conn: t.conn, life: life.NewLine(w.clock())}
		t.conn = nil
		w.lines = append(w.lines, l)
		w.enter(l, t)
		w.dialEnded(t, false)
	case DialFails:
		w.endDial(t, life.Broken)
		w.dialEnded(t, true)
	case Send:
		if next := l.life.Next(); next != s {
			w.violate("attempt %d is sent out of its turn", t.n)
		}
		if w.send(t); t.Life.Stage() == life.Ended {
			l.life.Drop(s)
		} else {
			t.Heed(l.life.Begun(s, w.clock()))
			w.run(t) // from here on nobody can tell
			l.out = append(l.out, s)
		}
	case WriteCut:
		w.flushed(l, s, k)
	case AnswerOK, AnswerError, AnswerEarlyError, AnswerReject, AnswerEarly, AnswerTwice:
		r := map[Kind]choice.Result{AnswerError: choice.Failed, AnswerEarlyError: choice.Failed,
			AnswerReject: choice.Rejected, AnswerEarly: choice.Rejected}[k] // else OK
		w.reply(l, s.Seq, t, r)
		if k == AnswerTwice {
			w.reply(l, s.Seq, t, r)
		}
	case AnswerGarbled:
		w.breakLine(l, life.Garbled)
	case Reset:
		w.breakLine(l, life.Broken)
	case Withdraw, TimeOut:
		cause := life.Withdrawn
		if k == TimeOut {
			cause = life.Late
		}
		if l == nil { // no connection has come up
			if k == TimeOut {
				cause = life.Broken
			}
			w.endDial(t, cause)
			w.dialEnded(t, false)
			break
		}
		t.Heed(l.life.Abandon(s, cause))
		w.checkEnding(t)
	}
	w.restLines()
}

// join puts an attempt on a line: one that has room, or else an idle or a new one.
func (w *world) join(t *try) {
	for _, l := range w.lines {
		if l.conn.Server == t.Server && l.conn.State() != life.Idle && w.enter(l, t) {
			return
		}
	}
	if w.dials(t) != nil {
		t.waits = true
		return
	}
	if c := w.book.Lend(t.Server, t.Call.Needs, nil); c != nil {
		t.Heed(t.Life.Connect())
		for _, l := range w.lines {
			if l.conn == c && !w.enter(l, t) {
				w.violate("an idle line takes nothing")
			}
		}
		return
	}
	c, evicted := w.book.Claim(t.Server, t.Call.Needs)
	if evicted != nil {
		w.dropLine(evicted)
	}
	if t.conn = c; c.State() == life.Dialled {
		t.Heed(t.Life.Dial())
	}
}

func (w *world) enter(l *line, t *try) bool {
	s, err := l.life.Join(&t.Life, t.Attempt, perLine)
	t.Heed(err)
	return s != nil
}

// dialEnded lets those go on that waited for a dial: if the server refused it, that is their end too.
func (w *world) dialEnded(t *try, refused bool) {
	for _, o := range w.tries {
		if o.waits && o.Server == t.Server {
			if o.waits = false; refused {
				w.endDial(o, life.Broken)
			}
		}
	}
}

// endDial ends an attempt that has no connection.
func (w *world) endDial(t *try, cause life.Cause) {
	t.waits = false
	t.Heed(t.Life.Fail(cause))
	if t.conn != nil {
		next, err := w.book.GiveUp(t.conn)
		t.conn = nil
		t.Heed(err)
		w.granted(next)
	}
	w.checkEnding(t)
}

// flushed ends a write: whole, or what comes before an attempt whole, it itself in part or not at all, and what comes
// after it not at all.
func (w *world) flushed(l *line, last *life.Slot, k Kind) {
	n := size
	for _, s := range l.out {
		if s == last && k != WriteTold {
			n = map[Kind]int{WriteCut: size - 1}[k]
		}
		t := w.tryOn(s)
		if n < size && t != nil && t.Life.Stage() != life.Ended { // the server has not got it
			w.unrun(t)
		}
		ended, err := l.life.Wrote(s, n, false)
		if err != nil {
			w.violate("%v", err)
		}
		if ended {
			w.endedOnLine(s)
		}
		if s == last && k != WriteTold {
			n = 0
		}
	}
	l.out = nil
	if k != WriteTold || l.life.Broken() {
		w.breakLine(l, life.Broken)
	}
}

// unrun takes back that an attempt may have run.
func (w *world) unrun(t *try) {
	t.ran = false
	c := w.of(t)
	c.runs = slices.DeleteFunc(c.runs, func(r run) bool { return r.by == t.n })
}

// reply lets a reply to some sequence id come, which is meant for an attempt.
func (w *world) reply(l *line, seq int32, meant *try, r choice.Result) {
	s, err := l.life.Reply(seq, w.clock())
	if err != nil {
		w.breakLine(l, life.Garbled)
		return
	}
	if meant != nil && s.Host != meant.Attempt {
		w.violate("the reply to attempt %d is taken for another's", meant.n)
	}
	if r == choice.Rejected && meant != nil {
		w.unrun(meant)
	}
	ended, err := l.life.Answered(s, r)
	if err != nil {
		w.violate("%v", err)
	}
	if ended {
		w.endedOnLine(s)
	}
}

func (w *world) endedOnLine(s *life.Slot) {
	if t := w.tryOn(s); t == nil {
		w.violate("an attempt ends that the loop has taken the end of")
	} else {
		w.checkEnding(t)
	}
}

func (w *world) breakLine(l *line, c life.Cause) {
	ended, err := l.life.Break(c)
	if err != nil {
		w.violate("%v", err)
	}
	for _, s := range ended {
		w.endedOnLine(s)
	}
}

// restLines gives the lines back on which nothing is any more.
func (w *world) restLines() {
	for _, l := range slices.Clone(w.lines) {
		rests, reuse := l.life.Rests(l.conn.Server.Retired())
		if !rests || len(l.out) > 0 || l.conn.State() == life.Idle {
			continue
		}
		if slices.ContainsFunc(l.life.Slots(), func(s *life.Slot) bool { return s.Life.Stage() != life.Ended }) {
			w.violate("a line is given back that carries an attempt")
		}
		if !reuse {
			if err := l.conn.Spoil(); err != nil {
				w.violate("%v", err)
			}
		}
		if !w.giveBack(l.conn) {
			w.dropLine(l.conn)
		}
	}
}

// dropLine forgets a line whose connection is closed.
func (w *world) dropLine(c *life.Conn) {
	w.lines = slices.DeleteFunc(w.lines, func(l *line) bool { return l.conn == c })
}

// copyLines returns equal lines.
func (w *world) copyLines(twins *ledger.Twins, conns *life.Twins[life.Conn]) (all []*line) {
	for _, l := range w.lines {
		slots := life.Twins[life.Slot]{Fill: func(s, twin *life.Slot) {
			at := twins.Attempts.Of(s.Host.(*ledger.Attempt))
			s.CopyTo(twin, &at.Life, at)
		}}
		same := &line{conn: conns.Of(l.conn), life: l.life.Copy(&slots)}
		for _, s := range l.out {
			same.out = append(same.out, slots.Of(s))
		}
		all = append(all, same)
	}
	return all
}
