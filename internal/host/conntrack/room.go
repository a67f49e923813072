package conntrack

import (
	"container/list"
	"time"

	"ternbeam/internal/sysio/peek"
)

const (
	// staleAfter is how long a request that has begun to come may pause before its connection may give way to another.
	staleAfter = 500 * time.Millisecond
	// mostYielding is how many connections may be on their way out at a time, beyond the places that there are. Accepting waits for some of
	// them then, for yieldWait at the most: a reader that is to end a connection needs no longer, unless it is suspended.
	mostYielding = 8
	yieldWait    = 20 * time.Millisecond

	// freshGrace is for how long a new connection has its place to send a request, where that does not have a newcomer wait for over
	// mostQueued, in the kernel's queue and here.
	freshGrace = 300 * time.Millisecond
	mostQueued = 200 * time.Millisecond
	roomLook   = 5 * time.Millisecond // how often it is looked whether a newcomer that waits has sent a request

	// keptPart is the part of the places, inverted, that idle connections may hold for as long as their clients keep them. Beyond that, ones that
	// have been idle for idleAfter give way: a request may be on its way on each that is closed.
	keptPart  = 2
	idleAfter = 2050 * time.Millisecond
)

// awaitYielding waits until few connections are on their way out.
func (t *Tracker) awaitYielding() {
	var expired <-chan time.Time
	for t.yieldingCount() >= mostYielding {
		if expired == nil {
			timer := time.NewTimer(yieldWait)
			defer timer.Stop()
			expired = timer.C
		}
		select {
		case <-t.yielded:
		case <-expired:
			return
		}
	}
}

// awaitFreshGrace has a newcomer wait, where every place is taken, until the connection that would give way to it has had its time to send a
// request, unless the newcomer has sent one itself or has waited for long.
func (t *Tracker) awaitFreshGrace(newcomer *Conn) {
	for wait := t.freshGraceLeft(); wait > 0; wait = t.freshGraceLeft() {
		mostWait := mostQueued - newcomer.SinceLastData()
		if mostWait <= 0 || newcomer.unread() != peek.UnreadNothing {
			return
		}
		time.Sleep(min(wait, mostWait, roomLook))
	}
}

// freshGraceLeft is for how long the connection that would give way first has its place yet; 0 where there is room, or none that said nothing.
func (t *Tracker) freshGraceLeft() time.Duration {
	t.mu.Lock()
	defer t.unlock()
	if len(t.all) < t.most+t.yielding {
		return 0
	}
	for e := t.fresh.Front(); e != nil; e = e.Next() {
		if v := e.Value.(*entry); !v.yielding && !v.begun() {
			return freshGrace - t.now().Sub(v.opened)
		}
	}
	return 0
}

func (t *Tracker) yieldingCount() int {
	t.mu.Lock()
	defer t.unlock()
	return t.yielding
}

// endSurplusIdleLocked ends connections that have been idle for idleAfter, the longest first, while idle ones hold more than their part of the
// places and few connections are on their way out.
func (t *Tracker) endSurplusIdleLocked() {
	next := t.idle.Front()
	for surplus := t.idle.Len() - t.most/keptPart; surplus > 0 && next != nil && t.yielding < mostYielding; surplus-- {
		v := next.Value.(*entry)
		if t.now().Sub(v.since) < idleAfter {
			return
		}
		next = next.Next()
		if !v.begun() {
			t.yieldLocked(v, EndedIdle)
		}
	}
}

// makeRoomLocked closes a connection on which nothing was received, or else one whose request has stalled; the newest only if
// there is no other. A request that was read, and that Busy was not called for yet, is never cut off.
func (t *Tracker) makeRoomLocked(newest *entry) {
	now := t.now()
	for _, may := range []func(v *entry) bool{
		func(v *entry) bool { return !v.begun() },
		func(v *entry) bool { return now.Sub(v.conn.lastReceived()) > staleAfter },
	} {
		for _, from := range []*list.List{t.fresh, t.idle} {
			if t.yieldOneLocked(from, func(v *entry) bool { return v != newest && may(v) }) {
				return
			}
		}
	}
	if newest != nil && t.closeLocked(newest, EndedForRoom) {
		t.stats.ClosedForRoom++
	}
}

// yieldOneLocked has the first connection of a queue give way that may and on which nothing is unread. It reports whether no other has to: one that
// its client has left does as well, and one of which the system does not tell may be such a one.
func (t *Tracker) yieldOneLocked(from *list.List, may func(v *entry) bool) (done bool) {
	unknown := false
	for e := from.Front(); e != nil; e = e.Next() {
		v := e.Value.(*entry)
		if v.yielding || !may(v) {
			continue
		}
		switch v.conn.unread() {
		case peek.UnreadEnd:
			t.startYieldingLocked(v)
			return true
		case peek.UnreadUnknown:
			unknown = true
		case peek.UnreadNothing:
			if t.yieldLocked(v, EndedForRoom) {
				t.stats.ClosedForRoom++
				return true
			}
		}
	}
	return unknown
}

// yieldLocked closes a connection without a request whose place is needed. Its reader does so where it can: only the reader knows whether it has taken a
// request from the kernel that is not recorded yet.
func (t *Tracker) yieldLocked(v *entry, cause EndCause) bool {
	if !v.from.readerCloses {
		return !v.begun() && t.closeLocked(v, cause)
	}
	if !v.conn.Quiet() {
		return false
	}
	v.unqueueLocked()
	t.startYieldingLocked(v)
	v.conn.end(cause)
	return true
}

// startYieldingLocked counts a connection as on its way out.
func (t *Tracker) startYieldingLocked(v *entry) {
	v.yielding = true
	t.yielding++
}

// yieldedLocked ends the count of a connection as yielding: it is closed, or has a request after all.
func (t *Tracker) yieldedLocked(v *entry) {
	if !v.yielding {
		return
	}
	v.yielding = false
	t.yielding--
	select {
	case t.yielded <- struct{}{}:
	default: // who waits looks at the count
	}
}

// closeLocked has unlock close a connection unless something has come on it. Nobody may be reading it, but by ReadNow.
func (t *Tracker) closeLocked(v *entry, cause EndCause) bool {
	if !v.conn.stopReading(v.read) {
		return false
	}
	t.closing = append(t.closing, v.conn)
	t.recordEndLocked(v, cause)
	t.forgetLocked(v)
	return true
}

// NearlyFull reports whether connections that have sent something hold five eighths of the places.
func (t *Tracker) NearlyFull() bool {
	t.mu.Lock()
	defer t.unlock()
	return len(t.all)-t.fresh.Len() >= t.most*5/8
}
