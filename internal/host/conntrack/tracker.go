// Package conntrack accepts the connections of clients, for every front, and tracks them: which have a request, which are idle, and
// which give way when there are too many or when the agent ends.
package conntrack

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"
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

	drained     = 50 * time.Millisecond  // without a new connection, the kernel's queue is empty
	mostDrained = 500 * time.Millisecond // how long that is waited for

	// SilentGrace is how long a connection that came just before the end has to send a request.
	SilentGrace = 200 * time.Millisecond

	// AnswerWriteTime is how long before an agent is gone at its end every request that it has taken is answered, and connections
	// without a request are closed: the time to write answers.
	AnswerWriteTime = 50 * time.Millisecond

	// ProbeInterval is how often it is looked whether a client that waits is still there, where nobody reads what it sends. What its
	// client does not want is not to be sent on from 0.1 s later.
	ProbeInterval = 20 * time.Millisecond
)

// Tracker keeps account of the connections of all listeners that share it. They accept always: who waits in the
// kernel's queue could neither be served nor turned away. When every place is taken, one that has no request gives
// way: first the oldest of those that have not said anything yet, then the one that has been idle for longest.
//
// A request may come on a connection at the moment at which it is closed. Whoever reads one says so by Busy before it is
// acted on, and does not act on it where the Tracker has closed the connection: its client asks once more elsewhere.
type Tracker struct {
	most int
	now  func() time.Time

	// Counts of the listeners' logs.
	unfinished, unread, failures, endings atomic.Int64

	mu    sync.Mutex
	stats Stats
	all   map[net.Conn]*entry
	fresh *list.List // of entries on which nothing was received yet, the oldest first
	idle  *list.List // of entries between requests

	yielding int           // connections that are on their way out
	yielded  chan struct{} // told when one of them is gone, or has a request after all
	closing  []*Conn       // forgotten, to be closed by unlock
}

// unlock releases the lock and closes the connections that were forgotten under it. Closing waits for whoever makes a system call on the
// connection, which may take as long as a thread is suspended.
func (t *Tracker) unlock() {
	closing := t.closing
	t.closing = nil
	t.mu.Unlock()
	for _, conn := range closing {
		conn.TCPConn.Close()
	}
}

// Stats counts connections since the start, by what became of them.
type Stats struct {
	Accepted      int
	ClosedForRoom int // closed unused, to make room for others
	EndedIdle     int // told to end at the end of their listener, with no request begun on them
	EndedSilent   int // the same, before they had said anything
	KeptBegun     int // left open then, as a request had begun to come
	EndedBegun    int // told to end later, with a request that had not come whole

	Ended EndCounts // closed, by cause

	ClosedUnfinished int // closed with a request begun that was never read whole
	ClosedUnread     int // closed over data that had come and was not read
	CallsFailed      int // on connections that stand, and tried again
	Dropped          int // requests that were read when their connection had been closed to make room
}

// Stats returns the counts so far.
func (t *Tracker) Stats() Stats {
	t.mu.Lock()
	defer t.unlock()
	stats := t.stats
	stats.ClosedUnfinished, stats.ClosedUnread, stats.CallsFailed = int(t.unfinished.Load()), int(t.unread.Load()), int(t.failures.Load())
	return stats
}

// entry is a tracked connection.
type entry struct {
	conn *Conn
	from *Listener
	in   *list.List    // the queue it is in: fresh or idle; nil while it has a request
	at   *list.Element // of in
	read int64         // bytes that had been read from it when its waiting began

	opened, since time.Time // when it was accepted, and when its waiting began

	yielding bool // its reader is to end it, and its place counts as free
}

// begun reports whether a part of a request was received since the connection was queued.
func (v *entry) begun() bool { return v.conn.receivedBytes.Load() > v.read }

// New returns a Tracker that keeps so many connections at most.
func New(most int) *Tracker {
	return &Tracker{most: most, now: time.Now, all: map[net.Conn]*entry{}, fresh: list.New(), idle: list.New(), yielded: make(chan struct{}, 1)}
}

// enter takes a connection that was accepted.
func (t *Tracker) enter(v *entry) {
	t.awaitYielding()
	t.awaitFreshGrace(v.conn)
	t.mu.Lock()
	defer t.unlock()
	t.all[v.conn] = v
	v.opened = t.now()
	t.stats.Accepted++
	v.from.count++
	t.waitLocked(v, t.fresh)
	t.endSurplusIdleLocked()
	if len(t.all) > t.most {
		t.makeRoomLocked(v)
	}
}

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

// waitLocked puts a connection into a queue of those without a request.
func (t *Tracker) waitLocked(v *entry, in *list.List) {
	v.in, v.at, v.read, v.since = in, in.PushBack(v), v.conn.receivedBytes.Load(), t.now()
}

// Busy records that a request was read from a connection. It returns false if the Tracker has closed the connection: the request must
// not be acted on then.
func (t *Tracker) Busy(c net.Conn) bool {
	t.mu.Lock()
	defer t.unlock()
	v := t.all[c]
	if v == nil {
		t.stats.Dropped++
		return false
	}
	t.yieldedLocked(v)
	v.unqueueLocked()
	return true
}

// unqueueLocked takes a connection out of its queue.
func (v *entry) unqueueLocked() {
	if v.in != nil {
		v.in.Remove(v.at)
		v.in, v.at = nil, nil
	}
}

// Idle records that a connection has no request any more.
func (t *Tracker) Idle(c net.Conn) {
	t.mu.Lock()
	defer t.unlock()
	v := t.all[c]
	if v == nil || v.in != nil {
		return
	}
	t.waitLocked(v, t.idle)
	if v.from.shut {
		t.finishLocked(v)
		return
	}
	t.endSurplusIdleLocked()
	if len(t.all) > t.most {
		t.makeRoomLocked(nil)
	}
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

// Waits reports whether a connection has no request.
func (t *Tracker) Waits(c net.Conn) bool {
	t.mu.Lock()
	defer t.unlock()
	v := t.all[c]
	return v != nil && v.in != nil
}

// Closed records that a connection was closed.
func (t *Tracker) Closed(c net.Conn) {
	t.mu.Lock()
	defer t.unlock()
	v := t.all[c]
	if v == nil {
		return
	}
	t.recordEndLocked(v, v.endCause())
	t.forgetLocked(v)
}

func (t *Tracker) forgetLocked(v *entry) {
	t.yieldedLocked(v)
	v.unqueueLocked()
	delete(t.all, v.conn)
	if v.from.count--; v.from.count == 0 && v.from.emptied != nil {
		close(v.from.emptied)
		v.from.emptied = nil
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

// finishLocked closes a connection at the end of its listener.
func (t *Tracker) finishLocked(v *entry) {
	if !v.from.readerCloses {
		t.closeLocked(v, EndedForShutdown)
	} else if v.conn.Quiet() {
		v.conn.end(EndedForShutdown)
	}
}

// NearlyFull reports whether connections that have sent something hold five eighths of the places.
func (t *Tracker) NearlyFull() bool {
	t.mu.Lock()
	defer t.unlock()
	return len(t.all)-t.fresh.Len() >= t.most*5/8
}

// Count returns the number of connections.
func (t *Tracker) Count() int {
	t.mu.Lock()
	defer t.unlock()
	return len(t.all)
}
