package conntrack

import (
	"container/list"
	"time"

	"ternbeam/internal/sysio/peek"
)

const (
	// partialRequestStaleAfter is how long a partly received request may pause before its connection may be closed for another.
	partialRequestStaleAfter = 500 * time.Millisecond
	// maxClosingSoon limits how many connections may be closing soon at a time (see entry.closingSoon). When it is reached, accepting waits
	// for some of them, but no longer than maxYieldWait: a reader needs no longer to close a connection, unless it is suspended.
	maxClosingSoon = 8
	maxYieldWait   = 20 * time.Millisecond

	// freshGrace is how long a new connection may keep its slot without having sent a request. A connection accepted later that needs the slot
	// waits until it is over, but no longer than maxQueueWait, which includes the time of the latter in the kernel's accept queue.
	freshGrace         = 300 * time.Millisecond
	maxQueueWait       = 200 * time.Millisecond
	graceCheckInterval = 5 * time.Millisecond // how often a connection that waits for a slot is checked for a request

	// idleShareDivisor is the reciprocal of the share of slots that idle connections may hold for as long as their clients keep them. Beyond
	// that share, connections that have been idle for surplusIdleAfter are closed, and no others, as a request may be in transit on each
	// connection that is closed.
	idleShareDivisor = 2
	surplusIdleAfter = 2050 * time.Millisecond

	nearlyFullEighths = 5 // see NearlyFull
)

// awaitClosingSoon waits until fewer than maxClosingSoon connections are closing soon, or maxYieldWait has passed.
func (t *Tracker) awaitClosingSoon() {
	var expired <-chan time.Time
	for t.countClosingSoon() >= maxClosingSoon {
		if expired == nil {
			timer := time.NewTimer(maxYieldWait)
			defer timer.Stop()
			expired = timer.C
		}
		select {
		case <-t.closingSoonChanged:
		case <-expired:
			return
		}
	}
}

// awaitFreshGrace waits, if all slots are taken, until the connection that would be closed for the one just accepted has had freshGrace to
// send a request. It does not wait if the accepted connection itself has sent data or has waited for maxQueueWait.
func (t *Tracker) awaitFreshGrace(accepted *Conn) {
	for wait := t.freshGraceLeft(); wait > 0; wait = t.freshGraceLeft() {
		maxWait := maxQueueWait - accepted.SinceLastData()
		if maxWait <= 0 || accepted.unread() != peek.UnreadNothing {
			return
		}
		time.Sleep(min(wait, maxWait, graceCheckInterval))
	}
}

// freshGraceLeft returns how long the connection that would be closed first may still keep its slot. It is 0 if a slot is free or every
// connection has received data.
func (t *Tracker) freshGraceLeft() time.Duration {
	t.mu.Lock()
	defer t.unlock()
	if len(t.conns) < t.maxConns+t.closingSoon {
		return 0
	}
	for element := t.fresh.Front(); element != nil; element = element.Next() {
		if e := element.Value.(*entry); !e.closingSoon && !e.requestBegun() {
			return freshGrace - t.now().Sub(e.acceptedAt)
		}
	}
	return 0
}

func (t *Tracker) countClosingSoon() int {
	t.mu.Lock()
	defer t.unlock()
	return t.closingSoon
}

// endSurplusIdleLocked closes connections that have been idle for surplusIdleAfter, the longest idle first, while idle ones hold more than
// their share of the slots and fewer than maxClosingSoon connections are closing soon.
func (t *Tracker) endSurplusIdleLocked() {
	next := t.idle.Front()
	for surplus := t.idle.Len() - t.maxConns/idleShareDivisor; surplus > 0 && next != nil && t.closingSoon < maxClosingSoon; surplus-- {
		e := next.Value.(*entry)
		if t.now().Sub(e.queuedAt) < surplusIdleAfter {
			return
		}
		next = next.Next()
		if !e.requestBegun() {
			t.closeOrAskReaderLocked(e, EndedIdle)
		}
	}
}

// makeRoomLocked closes a connection that has received nothing since it was queued, or else one whose partial request has stalled. It closes
// the newest only if there is no other. A connection whose request was read, but not yet reported by MarkBusy, is never closed.
func (t *Tracker) makeRoomLocked(newest *entry) {
	now := t.now()
	for _, eligible := range []func(e *entry) bool{
		func(e *entry) bool { return !e.requestBegun() },
		func(e *entry) bool { return now.Sub(e.conn.lastReceived()) > partialRequestStaleAfter },
	} {
		for _, from := range []*list.List{t.fresh, t.idle} {
			if t.closeOneLocked(from, func(e *entry) bool { return e != newest && eligible(e) }) {
				return
			}
		}
	}
	if newest != nil && t.closeLocked(newest, EndedForRoom) {
		t.stats.ClosedForRoom++
	}
}

// closeOneLocked closes the first eligible connection of a queue that has no unread data. If stop is true, no other connection needs to be
// closed, because
//   - it has closed a connection, or asked its reader to;
//   - or it found a connection whose client has disconnected, as its slot becomes free anyway;
//   - or it could close none and found one whose state the system can't tell, as the client may have disconnected.
func (t *Tracker) closeOneLocked(from *list.List, eligible func(e *entry) bool) (stop bool) {
	unknown := false
	for element := from.Front(); element != nil; element = element.Next() {
		e := element.Value.(*entry)
		if e.closingSoon || !eligible(e) {
			continue
		}
		switch e.conn.unread() {
		case peek.UnreadEnd:
			t.markClosingSoonLocked(e)
			return true
		case peek.UnreadUnknown:
			unknown = true
		case peek.UnreadNothing:
			if t.closeOrAskReaderLocked(e, EndedForRoom) {
				t.stats.ClosedForRoom++
				return true
			}
		}
	}
	return unknown
}

// closeOrAskReaderLocked closes a connection without a request whose slot is needed, or asks its reader to do so if readers close
// connections: only the reader knows whether it has read a request from the kernel that is not recorded yet. It returns false if the
// connection stays open.
func (t *Tracker) closeOrAskReaderLocked(e *entry, cause EndCause) bool {
	if !e.listener.readerCloses {
		return !e.requestBegun() && t.closeLocked(e, cause)
	}
	if !e.conn.KnownOpenAndEmpty() {
		return false
	}
	e.unqueueLocked()
	t.markClosingSoonLocked(e)
	e.conn.end(cause)
	return true
}

// markClosingSoonLocked records that the reader of a connection is about to close it.
func (t *Tracker) markClosingSoonLocked(e *entry) {
	e.closingSoon = true
	t.closingSoon++
}

// unmarkClosingSoonLocked records that a connection is not closing soon any more: it has been closed, or has received a request after all.
func (t *Tracker) unmarkClosingSoonLocked(e *entry) {
	if !e.closingSoon {
		return
	}
	e.closingSoon = false
	t.closingSoon--
	select {
	case t.closingSoonChanged <- struct{}{}:
	default: // a pending value is enough: the waiter checks the count
	}
}

// closeLocked removes a connection and schedules it for closing by unlock, unless data has been received on it. It must not be called for
// connections that are read in any way but by ReadNow.
func (t *Tracker) closeLocked(e *entry, cause EndCause) bool {
	if !e.conn.stopReading(e.receivedBefore) {
		return false
	}
	t.closing = append(t.closing, e.conn)
	t.recordEndLocked(e, cause)
	t.removeLocked(e)
	return true
}

// NearlyFull reports whether connections that have sent data hold at least nearlyFullEighths eighths of the slots.
func (t *Tracker) NearlyFull() bool {
	t.mu.Lock()
	defer t.unlock()
	return len(t.conns)-t.fresh.Len() >= t.maxConns*nearlyFullEighths/8
}
