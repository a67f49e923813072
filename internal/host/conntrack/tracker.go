// Package conntrack accepts and tracks the connections of clients for all fronts. It records which have a request and which are idle, and
// decides which are closed when there are too many or when the agent shuts down.
package conntrack

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ternbeam/internal/host/membudget"
)

const (
	queueEmptyAfter = 50 * time.Millisecond  // if no connection arrives for this long, the kernel's accept queue counts as empty
	maxQueueDrain   = 500 * time.Millisecond // how long draining the accept queue may take

	// SilentGrace is how long a connection accepted just before the shutdown has to send a request.
	SilentGrace = 200 * time.Millisecond

	// AnswerWriteTime is the time that is left for writing answers and closing connections at the end of a shutdown
	// (shutdown.Schedule.CloseBy): that long before it, connections without a complete request are closed. The final answers are due earlier,
	// at AnswerBy.
	AnswerWriteTime = 50 * time.Millisecond

	// ProbeInterval is how often a client that waits for an answer is checked for a disconnect while its connection is not being read. From
	// 0.1 s after a client has disconnected, nothing more may be sent to a server for it.
	ProbeInterval = 20 * time.Millisecond
)

// Tracker tracks the connections of all listeners that share it. Listeners always accept, as clients that wait in the
// kernel's queue could be neither served nor refused. When all slots are taken, a connection without a request is closed:
// first the oldest of those that have not sent any data, then the one that has been idle for longest.
//
// A request may arrive on a connection at the moment at which it is closed. A reader must therefore call MarkBusy before it acts on
// a request, and must drop the request if the Tracker has closed the connection: the client retries elsewhere.
//
// A Tracker is safe for concurrent use.
type Tracker struct {
	maxConns int
	now      func() time.Time

	// Totals of the listeners' countedLogs.
	unfinished, unread, failures, endings atomic.Int64

	budget *membudget.Budget // for what connections read ahead

	mu    sync.Mutex
	stats Stats
	conns map[net.Conn]*entry
	fresh *list.List // entries that have not received anything yet, the oldest first
	idle  *list.List // entries between two requests, the longest idle first

	closingSoon        int           // number of entries that are closingSoon
	closingSoonChanged chan struct{} // receives a value when an entry stops being closingSoon
	closing            []*Conn       // removed connections, which unlock closes
}

// unlock releases the lock and then closes the connections that were removed while it was held. Closing waits for system calls in progress
// on the connection, which may take as long as a thread is suspended.
func (t *Tracker) unlock() {
	closing := t.closing
	t.closing = nil
	t.mu.Unlock()
	for _, conn := range closing {
		conn.TCPConn.Close()
	}
}

// Stats counts connections since the start by what happened to them.
type Stats struct {
	Accepted      int
	ClosedForRoom int // closed without a request, to make room for others
	EndedIdle     int // idle ones that their listener's shutdown asked to close, with no data of a request
	EndedSilent   int // ones without any data yet that their listener's shutdown asked to close
	KeptPartial   int // left open by the shutdown at first, as part of a request had been received
	EndedPartial  int // asked to close later in the shutdown, still without a complete request

	Ended EndCounts // closed connections by cause

	ClosedUnfinished int // closed with a partly received request
	ClosedUnread     int // closed with unread data
	SyscallsFailed   int // system calls that failed on established connections, and were retried
	Dropped          int // requests that were read after the Tracker had closed their connection
}

// Budget returns the budget that the connections share.
func (t *Tracker) Budget() *membudget.Budget { return t.budget }

// Stats returns the counts so far.
func (t *Tracker) Stats() Stats {
	t.mu.Lock()
	defer t.unlock()
	stats := t.stats
	stats.ClosedUnfinished, stats.ClosedUnread, stats.SyscallsFailed = int(t.unfinished.Load()), int(t.unread.Load()), int(t.failures.Load())
	return stats
}

// entry is a tracked connection.
type entry struct {
	conn           *Conn
	listener       *Listener
	queue          *list.List    // Tracker.fresh or Tracker.idle; nil while the connection has a request, or its reader was asked to close it
	element        *list.Element // in queue
	receivedBefore int64         // bytes received on the connection before it was queued

	acceptedAt, queuedAt time.Time // when it was registered, and when it was queued

	closingSoon bool // the connection is about to be closed by its reader, and does not count against maxConns
}

// requestBegun reports whether any data of a request has been received since the connection was queued.
func (e *entry) requestBegun() bool { return e.conn.receivedBytes.Load() > e.receivedBefore }

// New returns a Tracker with a maximum number of connections, which share a budget for what they read ahead.
func New(maxConns int, budget *membudget.Budget) *Tracker {
	return &Tracker{maxConns: maxConns, budget: budget, now: time.Now, conns: map[net.Conn]*entry{}, fresh: list.New(), idle: list.New(), closingSoonChanged: make(chan struct{}, 1)}
}

// add registers an accepted connection, and closes others if there are too many.
func (t *Tracker) add(e *entry) {
	t.awaitClosingSoon()
	t.awaitFreshGrace(e.conn)
	t.mu.Lock()
	defer t.unlock()
	t.conns[e.conn] = e
	e.acceptedAt = t.now()
	t.stats.Accepted++
	e.listener.count++
	t.enqueueLocked(e, t.fresh)
	t.endSurplusIdleLocked()
	if len(t.conns) > t.maxConns {
		t.makeRoomLocked(e)
	}
}

// enqueueLocked puts a connection into a queue of connections without a request.
func (t *Tracker) enqueueLocked(e *entry, queue *list.List) {
	e.queue, e.element, e.receivedBefore, e.queuedAt = queue, queue.PushBack(e), e.conn.receivedBytes.Load(), t.now()
}

// MarkBusy records that a request was read from a connection. It returns false if the Tracker has closed the connection: the caller must
// drop the request then.
func (t *Tracker) MarkBusy(c net.Conn) bool {
	t.mu.Lock()
	defer t.unlock()
	e := t.conns[c]
	if e == nil {
		t.stats.Dropped++
		return false
	}
	t.unmarkClosingSoonLocked(e)
	e.unqueueLocked()
	return true
}

// unqueueLocked removes a connection from its queue.
func (e *entry) unqueueLocked() {
	if e.queue != nil {
		e.queue.Remove(e.element)
		e.queue, e.element = nil, nil
	}
}

// MarkIdle records that a connection has no request any more. The Tracker may close it for room, or as its listener shuts down.
func (t *Tracker) MarkIdle(c net.Conn) {
	t.mu.Lock()
	defer t.unlock()
	e := t.conns[c]
	if e == nil || e.queue != nil {
		return
	}
	t.enqueueLocked(e, t.idle)
	if e.listener.closeIdle {
		t.shutDownLocked(e)
		return
	}
	t.endSurplusIdleLocked()
	if len(t.conns) > t.maxConns {
		t.makeRoomLocked(nil)
	}
}

// AwaitsRequest reports whether a connection is tracked and has no request.
func (t *Tracker) AwaitsRequest(c net.Conn) bool {
	t.mu.Lock()
	defer t.unlock()
	e := t.conns[c]
	return e != nil && e.queue != nil
}

// MarkClosed records that a connection was closed. Connections that are not tracked are ignored.
func (t *Tracker) MarkClosed(c net.Conn) {
	t.mu.Lock()
	defer t.unlock()
	e := t.conns[c]
	if e == nil {
		return
	}
	t.recordEndLocked(e, e.endCause())
	t.removeLocked(e)
}

func (t *Tracker) removeLocked(e *entry) {
	t.unmarkClosingSoonLocked(e)
	e.unqueueLocked()
	delete(t.conns, e.conn)
	if e.listener.count--; e.listener.count == 0 && e.listener.emptied != nil {
		close(e.listener.emptied)
		e.listener.emptied = nil
	}
}

// shutDownLocked closes a connection because its listener shuts down.
func (t *Tracker) shutDownLocked(e *entry) {
	if !e.listener.readerCloses {
		t.closeLocked(e, EndedForShutdown)
	} else if e.conn.KnownOpenAndEmpty() {
		e.conn.end(EndedForShutdown)
	}
}

// Count returns the number of connections.
func (t *Tracker) Count() int {
	t.mu.Lock()
	defer t.unlock()
	return len(t.conns)
}
