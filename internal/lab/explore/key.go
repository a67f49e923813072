package explore

import (
	"encoding/binary"
	"slices"

	"ternbeam/choice"
	"ternbeam/internal/decide/lifecycle"
)

// key appends an encoding of the state: everything that later steps depend on and that the properties check. An exact
// key includes the balancer's whole state, the other one only the part that can still affect its decisions.
func (w *world) key(dst []byte, exact bool) []byte {
	num := func(all ...int) {
		for _, x := range all {
			dst = binary.AppendVarint(dst, int64(x))
		}
	}
	flag := func(all ...bool) {
		for _, x := range all {
			if x {
				dst = append(dst, 1)
			} else {
				dst = append(dst, 0)
			}
		}
	}
	unsentCalls := 0
	for _, c := range w.calls {
		if !c.arrived && w.now == startTime {
			unsentCalls++
		}
	}
	num(int(w.now-startTime), w.listChanges, w.operatorChanges, w.disconnects, unsentCalls, w.tracker.RelayingCount())
	switch {
	case exact:
		dst = w.balancer.Fingerprint(dst)
	case w.hasOpenCalls() || unsentCalls > 0: // else the balancer has nothing left to decide
		dst = w.balancer.ReducedFingerprint(dst, choice.Remaining{Now: w.now, Requests: unsentCalls, HealthChecks: w.cfg.Past != NoPast})
	}
	timers := make([]int, 0, 8)
	for _, t := range w.timers {
		if w.balancer.TimerPending(t.token) {
			timers = append(timers, int(t.at-startTime))
		}
	}
	slices.Sort(timers)
	num(timers...)
	for i, s := range w.servers {
		num(int(s.State), int(s.Started), w.moves[i], w.offlineRestarts[i])
		flag(w.offline[i])
	}
	server := func(s *lifecycle.Server) {
		dst = append(append(dst, s.ID...), 0)
		num(int(s.Started))
		flag(s.Retired())
	}
	live := make([]int, len(w.calls)) // attempts whose end the loop has not processed, by call
	for _, t := range w.attempts {
		live[t.call]++
	}
	for i, c := range w.calls {
		flag(c.arrived, c.disconnected, c.tracked.Finished(), w.tracker.Holds(c.tracked))
		num(len(c.answers))
		if !exact && len(c.answers)+live[i] > 0 && live[i] == 0 && !w.tracker.Holds(c.tracked) {
			continue // no more steps for it
		}
		num(c.attemptCount)
		if w.cfg.Replaced != NotReplaced {
			begun, allCertain := c.tracked.GroupSends()
			num(begun)
			flag(allCertain)
		}
		for _, a := range c.answers {
			num(int(a))
		}
		switch {
		case exact || c.effect == choice.Keyed:
			for _, r := range c.runs {
				dst = append(append(dst, r.server...), 0)
				num(int(r.at - startTime))
			}
		case c.effect == choice.Unsafe: // properties check only whether an unsafe call has runs, and not the runs of a safe one
			num(len(c.runs))
		}
	}
	for _, t := range w.attempts {
		a := t.State
		stage := a.Stage()
		switch {
		case !exact && t.hung && stage == lifecycle.Writing && t.SendBy == 0:
			stage = lifecycle.Dialing // hung without a write deadline, it can only end as a hung dial does
		case stage == lifecycle.Ended:
			r := a.Result()
			if !exact && unsentCalls == 0 && w.cfg.Past == NoPast {
				r = canonicalResult(r)
			}
			num(int(r))
		}
		num(t.call, t.Number, int(stage), int(t.SendBy))
		server(t.Server)
		flag(t.hostCanceled && stage != lifecycle.Ended, t.balancerCanceled && stage != lifecycle.Ended, t.mayHaveRun, a.MayHaveRun(),
			t.hung, t.paused, t.awaitsDial, t.relayPending, t.relayStarted, t.replyDropped)
		if w.cfg.Begins {
			num(int(t.answerStart))
		}
		if t.conn != nil && (exact || !w.hasSparePlaces()) {
			num(int(t.conn.State()), slices.Index(w.pool.Queue(), t.conn))
		}
	}
	if w.cfg.Races {
		for _, s := range w.servers {
			for _, addr := range w.dialHistory.Sorted(w.now, w.addrsOf(s.ID)) {
				dst = append(append(dst, addr...), 0)
			}
		}
		for _, t := range w.attempts {
			if t.race == nil {
				continue
			}
			_, more := t.race.NextStart()
			flag(more)
			for _, addr := range t.race.Dialing() {
				dst = append(append(dst, addr...), 0)
			}
			num(len(t.race.Dialing()), t.sendCount)
		}
	}
	for _, c := range w.pool.Idle() { // correct code keeps no idle connection to a former process
		if p := c.Host.(*connData).peer; p != w.currentProcess(c.Server.ID) && !c.Server.Retired() {
			num(p.server, int(p.started), p.moves, p.offlineRestarts)
		}
	}
	for _, t := range w.attempts {
		if c := t.conn; c != nil && c.Host != nil {
			p := c.Host.(*connData).peer
			num(int(p.started), p.moves, p.offlineRestarts)
		}
	}
	for _, mc := range w.muxConns {
		peer := mc.conn.Host.(*connData).peer
		num(int(peer.started), peer.moves, peer.offlineRestarts)
		num(int(mc.conn.State()), len(mc.writing))
		server(mc.conn.Server)
		number := func(p *lifecycle.PendingCall) int {
			return slices.IndexFunc(w.attempts, func(t *attempt) bool { return t.Attempt == p.Host })
		}
		dst = mc.state.Fingerprint(dst, number)
		for _, p := range mc.writing {
			num(int(p.Seq))
		}
	}
	if w.hasSparePlaces() && !exact {
		return dst // an idle connection only saves a dial, which may succeed, fail or hang in any case
	}
	idle := w.pool.Idle()
	num(len(idle))
	for _, c := range idle {
		server(c.Server)
		flag(c.Host.(*connData).strayBytes)
	}
	open, _, waiting := w.pool.Count()
	num(open, waiting)
	return dst
}

// canonicalResult returns one result for all those that a balancer does not distinguish if it neither evaluates health
// nor admits another call while calls are open.
func canonicalResult(r choice.Result) choice.Result {
	switch r {
	case choice.Rejected:
		return choice.ConnectFailed // never ran
	case choice.Reset, choice.TimedOut:
		return choice.Failed // may have run
	}
	return r
}
