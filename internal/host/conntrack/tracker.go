// Package conntrack accepts the connections of clients, for every front, and tracks them: which have a request, which are idle, and
// which give way when there are too many or when the agent ends.
package conntrack

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
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

// finishLocked closes a connection at the end of its listener.
func (t *Tracker) finishLocked(v *entry) {
	if !v.from.readerCloses {
		t.closeLocked(v, EndedForShutdown)
	} else if v.conn.Quiet() {
		v.conn.end(EndedForShutdown)
	}
}

// Count returns the number of connections.
func (t *Tracker) Count() int {
	t.mu.Lock()
	defer t.unlock()
	return len(t.all)
}
