package explore

import (
	"fmt"
	"slices"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/ledger"
	"ternbeam/internal/life"
)

// Kind is what happens in a step.
type Kind uint8

// The kinds of steps.
const (
	Ask           Kind = iota // a client asks; N is the call
	Leave                     // a client leaves; N is the call
	Drain                     // the list says that a server drains; N is the server
	Restart                   // it says that a server has restarted at its address
	Gone                      // it says that a server is gone
	Time                      // time passes to the next moment at which something is due
	Fire                      // the loop takes the next timer that is due
	Take                      // the loop takes the next ending of an attempt
	Acquire                   // from here on N is the attempt: it asks for a connection
	AcquireSpoken             // the same, and the server has spoken unasked on the idle one that it would get
	DialSucceeds              // its dial succeeds
	DialFails                 // its dial fails
	Send                      // it is sent, if that is still right
	SendWhole                 // it is sent, if that is still right, and its last byte is written
	WriteAll                  // its last byte is written
	WriteCut                  // the connection breaks before the last byte is written
	AnswerOK                  // the server serves it
	AnswerError               // the server answers with an error
	AnswerReject              // the server turns it away
	AnswerTwice               // the server serves it, and sends the reply a second time
	AnswerEarly               // the server turns it away before all is written
	AnswerSpoilt              // nobody can tell what the server answers
	Reset                     // the connection breaks after the last byte
	Withdraw                  // its host sees that it was withdrawn
	TimeOut                   // its host sees that its time is over
	kinds
)

var kindNames = [kinds]string{"asks", "leaves", "drains", "restarts", "is gone", "time passes",
	"the loop fires a timer", "the loop takes an ending", "asks for a connection",
	"asks for a connection, where the idle one has spoken unasked", "dial succeeds", "dial fails", "is sent", "is sent whole",
	"last byte is written", "breaks before the last byte", "is served", "is answered with an error", "is turned away",
	"is served twice", "is turned away before all is written", "gets a spoilt answer", "breaks after the last byte",
	"is seen to be withdrawn", "is out of time"}

// Step is one step: what happens, to what, and what chance gives where the module draws.
type Step struct {
	Kind Kind
	N    uint8
	Most bool
}

// String tells the step in words.
func (s Step) String() string {
	luck := ""
	if s.Most {
		luck = ", chance gives the most"
	}
	switch {
	case s.Kind <= Leave:
		return fmt.Sprintf("the client of call %d %s%s", s.N, kindNames[s.Kind], luck)
	case s.Kind <= Gone:
		return fmt.Sprintf("the list says: server %d %s", s.N, kindNames[s.Kind])
	case s.Kind <= Take:
		return kindNames[s.Kind] + luck
	}
	return fmt.Sprintf("attempt %d %s", s.N, kindNames[s.Kind])
}

// enabled lists the steps that may come next.
func (w *world) enabled() (all []Step) {
	add := func(k Kind, n int) { all = append(all, Step{Kind: k, N: uint8(n)}) }
	drawn := func(k Kind, n int) { // those in which the module may draw
		all = append(all, Step{Kind: k, N: uint8(n)}, Step{Kind: k, N: uint8(n), Most: true})
	}
	under := false
	for i, c := range w.calls {
		if !c.asked && w.now == start {
			drawn(Ask, i)
			break // calls of one kind differ in nothing but their names; those of others are asked in this order
		}
	}
	for i, c := range w.calls {
		if c.asked && !c.left && len(c.answers) == 0 && w.leaves < w.cfg.Leaves {
			add(Leave, i)
		}
	}
	for i, s := range w.servers {
		if w.lists < w.cfg.Lists && s.State == choice.Ready {
			add(Drain, i)
			add(Restart, i)
			add(Gone, i)
		}
	}
	for i, t := range w.tries {
		stage := t.Life.Stage()
		if stage == life.Ended {
			continue
		}
		under = true
		if t.withdrawn && stage != life.Ready { // one that is ready sees it when it is sent
			add(Withdraw, i)
		}
		if w.now >= t.End && stage != life.Ready && !(stage == life.Placing && t.claim == nil) {
			add(TimeOut, i)
		}
		switch stage {
		case life.Placing:
			if t.claim == nil {
				add(Acquire, i)
				if w.lends(t) != nil {
					add(AcquireSpoken, i)
				}
			} else if t.claim.Granted() {
				add(DialSucceeds, i)
				add(DialFails, i)
			}
		case life.Ready:
			add(Send, i)
			if t.call.effect != choice.Keyed {
				add(SendWhole, i)
			}
		case life.Writing:
			if t.call.effect == choice.Keyed && (t.SendBy == 0 || w.now < t.SendBy) { // or the write's deadline is over
				add(WriteAll, i)
			}
			add(WriteCut, i)
			add(AnswerEarly, i)
		case life.Waiting:
			for k := AnswerOK; k <= Reset; k++ {
				if k != AnswerEarly {
					add(k, i)
				}
			}
		}
	}
	if len(w.posts) > 0 {
		drawn(Take, 0)
	}
	if w.due() >= 0 {
		drawn(Fire, 0)
	}
	if (under || len(w.posts) > 0 || w.open()) && w.due() < 0 && w.next() > 0 {
		add(Time, 0)
	}
	return all
}

func (w *world) open() bool {
	open, _ := w.ledger.Count()
	return open > 0
}

// due is the timer that is to be fired next, or -1.
func (w *world) due() int {
	best := -1
	for i, t := range w.timers {
		if t.at <= w.now && (best < 0 || t.at < w.timers[best].at) {
			best = i
		}
	}
	return best
}

// next is the next moment that matters: the midst of a keyed call's window and its end, where there is such a call, and
// the deadline.
func (w *world) next() time.Duration {
	keyed := slices.Contains(w.cfg.Calls, choice.Keyed)
	for i, at := range []time.Duration{start + window/2, start + window, start + deadline} {
		if at > w.now && (keyed || i == 2) {
			return at
		}
	}
	return 0
}

// take takes one step.
func (w *world) take(s Step) {
	w.chance.most = s.Most
	var t *try
	if s.Kind >= Acquire {
		t = w.tries[s.N]
	}
	switch s.Kind {
	case Ask:
		c := w.calls[s.N]
		c.asked, c.life.Deadline = true, start+deadline
		w.do(w.ledger.Arrived(w.now, c.life))
	case Leave:
		w.leaves++
		w.calls[s.N].left = true
		w.do(w.ledger.Left(w.now, w.calls[s.N].life))
	case Drain, Restart, Gone:
		w.change(s)
	case Time:
		w.now = w.next()
	case Fire:
		i := w.due()
		token := w.timers[i].token
		w.timers = slices.Delete(w.timers, i, i+1)
		w.do(w.ledger.Fired(w.now, token))
	case Take:
		p := w.posts[0]
		w.posts, p.try.taken = w.posts[1:], true
		w.do(w.ledger.Ended(w.now, p.try.Attempt, p.ending))
	case Acquire:
		w.acquire(t)
	case AcquireSpoken:
		wireOf(w.lends(t)).foreign = true
		w.acquire(t)
	case DialSucceeds:
		t.Heed(t.Life.Dial())
		w.opened(t)
	case DialFails:
		t.Heed(t.Life.Dial())
		w.fail(t, life.Broken)
	case Send:
		w.send(t)
	case SendWhole:
		if w.send(t); t.Life.Stage() == life.Writing {
			w.write(t, size)
		}
	case WriteAll:
		w.write(t, size)
	case WriteCut:
		w.write(t, size-1)
		w.fail(t, life.Broken)
	case AnswerOK:
		w.answer(t, choice.OK, true)
	case AnswerError:
		w.answer(t, choice.Failed, true)
	case AnswerReject:
		w.answer(t, choice.Rejected, true)
	case AnswerTwice:
		wireOf(t.conn).foreign = true // with the answer: it is seen before the connection is given back
		w.answer(t, choice.OK, false)
	case AnswerEarly:
		w.write(t, size-1)
		w.answer(t, choice.Rejected, false)
	case AnswerSpoilt:
		t.Heed(t.Life.Read())
		w.fail(t, life.Spoilt)
	case Reset:
		w.fail(t, life.Broken)
	case Withdraw:
		w.fail(t, life.Withdrawn)
	case TimeOut:
		cause := life.Late
		if t.Life.Stage() == life.Placing && !t.claim.Granted() {
			cause = life.NoPlace
		}
		w.fail(t, cause)
	}
}

// lends is the idle connection that an attempt would get, or nil.
func (w *world) lends(t *try) (last *life.Conn) {
	for _, c := range w.book.Idle() {
		if c.Server == t.Server && c.Speaks == t.Call.Needs {
			last = c
		}
	}
	return last
}

// change lets the list say something of a server.
func (w *world) change(s Step) {
	w.lists++
	e := &w.servers[s.N]
	switch s.Kind {
	case Drain:
		e.State = choice.Draining
	case Gone:
		e.State = choice.Gone
	case Restart:
		e.Started = start
	}
	w.do(w.ledger.List(w.now, false, []ledger.Entry{{Server: *e, Addr: e.ID}}))
}
