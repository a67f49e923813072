package explore

import (
	"encoding/binary"
	"slices"

	"ternbeam/choice"
	"ternbeam/internal/decide/life"
)

// key is a fingerprint of the state: all that what comes next depends on, and what the properties look at. An exact one
// holds the module to the last bit, the other one what it can still heed.
func (w *world) key(to []byte, exact bool) []byte {
	num := func(all ...int) {
		for _, x := range all {
			to = binary.AppendVarint(to, int64(x))
		}
	}
	flag := func(all ...bool) {
		for _, x := range all {
			if x {
				to = append(to, 1)
			} else {
				to = append(to, 0)
			}
		}
	}
	asks := 0
	for _, c := range w.calls {
		if !c.asked && w.now == start {
			asks++
		}
	}
	num(int(w.now-start), w.lists, w.words, w.leaves, asks, w.ledger.Passing())
	switch {
	case exact:
		to = w.module.Fingerprint(to)
	case w.open() || asks > 0: // or there is nothing left that it could decide
		to = w.module.Outlook(to, choice.Ahead{Now: w.now, Requests: asks, Looks: w.cfg.Past != NoPast})
	}
	timers := make([]int, 0, 8)
	for _, t := range w.timers {
		if w.module.Heeds(t.token) {
			timers = append(timers, int(t.at-start))
		}
	}
	slices.Sort(timers)
	num(timers...)
	for i, s := range w.servers {
		num(int(s.State), int(s.Started), w.moves[i], w.lives[i])
		flag(w.out[i])
	}
	server := func(s *life.Server) {
		to = append(append(to, s.ID...), 0)
		num(int(s.Started))
		flag(s.Retired())
	}
	live := make([]int, len(w.calls))
	for _, t := range w.tries {
		live[t.call]++
	}
	for i, c := range w.calls {
		flag(c.asked, c.left, c.life.Over(), w.ledger.Knows(c.life))
		num(len(c.answers))
		if !exact && len(c.answers)+live[i] > 0 && live[i] == 0 && !w.ledger.Knows(c.life) {
			continue // nothing more can come of it
		}
		num(c.attempts)
		for _, a := range c.answers {
			num(int(a))
		}
		switch {
		case exact || c.effect == choice.Keyed:
			for _, r := range c.runs {
				to = append(append(to, r.server...), 0)
				num(int(r.at - start))
			}
		case c.effect == choice.Unsafe: // of safe ones no property looks at the runs, of these at whether there is one
			num(len(c.runs))
		}
	}
	for _, t := range w.tries {
		a := t.Life
		stage := a.Stage()
		switch {
		case !exact && t.hangs && stage == life.Writing && t.SendBy == 0:
			stage = life.Dialling // it ends as that would
		case stage == life.Ended:
			r := a.Result()
			if !exact && asks == 0 && w.cfg.Past == NoPast {
				r = meaning(r)
			}
			num(int(r))
		}
		num(t.call, t.Number, int(stage), int(t.SendBy))
		server(t.Server)
		flag(t.withdrawn && stage != life.Ended, t.taken && stage != life.Ended, t.ran, a.CanHaveRun(), t.hangs, t.rests, t.waits, t.begins, t.passes, t.dropped)
		if t.conn != nil && (exact || !w.wide()) {
			num(int(t.conn.State()), slices.Index(w.book.Queue(), t.conn))
		}
	}
	if w.cfg.Races {
		for _, s := range w.servers {
			for _, addr := range w.addrs.Order(w.now, w.addrsOf(s.ID)) {
				to = append(append(to, addr...), 0)
			}
		}
		for _, t := range w.tries {
			if t.race == nil {
				continue
			}
			_, more := t.race.Due()
			flag(more)
			for _, addr := range t.race.Out() {
				to = append(append(to, addr...), 0)
			}
			num(len(t.race.Out()), t.sent)
		}
	}
	for _, c := range w.book.Idle() { // there is none in code that keeps its word
		if p := c.Host.(*on).to; p != w.process(c.Server.ID) && !c.Server.Retired() {
			num(p.server, int(p.started), p.moves, p.lives)
		}
	}
	for _, t := range w.tries {
		if c := t.conn; c != nil && c.Host != nil {
			p := c.Host.(*on).to
			num(int(p.started), p.moves, p.lives)
		}
	}
	for _, l := range w.lines {
		p := l.conn.Host.(*on).to
		num(int(p.started), p.moves, p.lives)
		num(int(l.conn.State()), len(l.out))
		server(l.conn.Server)
		number := func(s *life.Slot) int {
			return slices.IndexFunc(w.tries, func(t *try) bool { return t.Attempt == s.Host })
		}
		to = l.life.Fingerprint(to, number)
		for _, s := range l.out {
			num(int(s.Seq))
		}
	}
	if w.wide() && !exact {
		return to // an idle connection spares a dial that might as well succeed, or fail, or hang
	}
	idle := w.book.Idle()
	num(len(idle))
	for _, c := range idle {
		server(c.Server)
		flag(c.Host.(*on).foreign)
	}
	open, _, waiting := w.book.Count()
	num(open, waiting)
	return to
}

// meaning is one result for all that mean the same to a module that neither looks at health nor has anything more to
// admit while calls are open.
func meaning(r choice.Result) choice.Result {
	switch r {
	case choice.Rejected:
		return choice.ConnectFailed // never ran
	case choice.Reset, choice.TimedOut:
		return choice.Failed // may have run
	}
	return r
}
