package conntrack

import (
	"container/list"
	"context"
	"errors"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"ternbeam/internal/host/accept"
	"ternbeam/internal/host/membudget"
)

// Listener is a net.Listener whose connections are registered with a Tracker. One goroutine at a time may call Accept. CloseAfter is called
// at most once, from another goroutine.
type Listener struct {
	*net.TCPListener
	tracker       *Tracker
	ending        atomic.Bool
	drainEnd      time.Time   // when Accept stops draining the accept queue, even if it is not empty; set by Accept
	drainEndLimit time.Time   // drainEnd is set no later than this; zero for no limit; set before ending
	handedOver    atomic.Bool // another process accepts on the socket, and takes what is queued
	closed        chan struct{}
	retrier       *accept.Retrier
	socket        *accept.Socket               // accepts connections; nil if it could not be opened, and TCPListener accepts them
	accept        func() (*net.TCPConn, error) // Accept of socket or of TCPListener, or a test's
	readerCloses  bool                         // readers close connections when their read deadline expires
	unfinished    *countedLog                  // connections that ended with an unfinished request
	unread        *countedLog                  // connections closed with unread data
	failures      *countedLog                  // system calls that failed on established connections
	endings       *countedLog                  // connections that the agent closed without a request

	// The following fields are guarded by the Tracker's lock.
	count     int           // connections of this listener
	closeIdle bool          // connections are closed as they become idle
	emptied   chan struct{} // closed when there are no connections; nil if nobody waits for that
}

// Listen returns a Listener whose connections are tracked.
func (t *Tracker) Listen(l *net.TCPListener, log *slog.Logger) *Listener {
	listener := &Listener{TCPListener: l, tracker: t, closed: make(chan struct{}), retrier: accept.NewRetrier(log), accept: l.AcceptTCP,
		unfinished: newCountedLog(log, "connection closed with an unfinished request", countedLinesPerSecond, &t.unfinished),
		unread:     newCountedLog(log, "connection closed over unread data", countedLinesPerSecond, &t.unread),
		failures:   newCountedLog(log, "a call failed on a client's connection that stands, trying again", countedLinesPerSecond, &t.failures),
		endings:    newCountedLog(log, "client connection ended without a request", endLinesPerSecond, &t.endings)}
	socket, err := accept.NewSocket(l)
	if err != nil {
		log.Warn("connections are accepted without a descriptor of their own", "error", err)
		return listener
	}
	listener.socket, listener.accept = socket, socket.Accept
	return listener
}

// SetDeadline sets the deadline after which Accept fails with os.ErrDeadlineExceeded.
func (l *Listener) SetDeadline(t time.Time) error {
	if l.socket != nil {
		return l.socket.SetDeadline(t)
	}
	return l.TCPListener.SetDeadline(t)
}

// Close closes the listening socket.
func (l *Listener) Close() error {
	if l.socket != nil {
		l.socket.Close()
	}
	return l.TCPListener.Close()
}

// ReaderCloses leaves closing connections to their readers and expires the read deadline instead. It is for readers that close a
// connection when its deadline passes without data. It must be called before the first Accept.
func (l *Listener) ReaderCloses() *Listener {
	l.readerCloses = true
	return l
}

// Accept accepts the next connection. After CloseAfter it drains the kernel's accept queue before it returns net.ErrClosed. System errors
// neither end it nor count as an empty queue.
func (l *Listener) Accept() (net.Conn, error) {
	for queued := true; ; queued = false {
		socket, err := accept.Do(l.retrier, func() (*net.TCPConn, error) {
			if !l.drainEnd.IsZero() && time.Now().After(l.drainEnd) {
				return nil, net.ErrClosed
			}
			return l.accept()
		})
		switch {
		case err == nil:
			c, err := newConn(socket, l)
			if err != nil { // the connection is closed already
				continue
			}
			l.tracker.add(&entry{conn: c, listener: l})
			return c, nil
		case !l.ending.Load():
			return nil, err
		case !queued || l.handedOver.Load() || errors.Is(err, net.ErrClosed):
			return nil, l.end()
		}
		if l.drainEnd.IsZero() {
			l.drainEnd = time.Now().Add(maxQueueDrain) // a queue shared by two processes may never be seen empty
			if !l.drainEndLimit.IsZero() && l.drainEndLimit.Before(l.drainEnd) {
				l.drainEnd = l.drainEndLimit
			}
		}
		l.SetDeadline(time.Now().Add(queueEmptyAfter)) // with an expired deadline even queued connections would not be accepted
	}
}

func (l *Listener) end() error {
	l.Close()
	close(l.closed)
	return net.ErrClosed
}

// CloseAfter stops accepting after acceptFor, once the accept queue is empty or at the latest maxQueueDrain later, and waits until then.
// With acceptFor 0 it stops at once: another process shares the listening socket and accepts what is queued. If end is not zero, accepting
// stops early enough for the last connection to be answered by end.
func (l *Listener) CloseAfter(acceptFor time.Duration, end time.Time) {
	if !end.IsZero() {
		l.drainEndLimit = end.Add(-AnswerWriteTime - SilentGrace)
	}
	l.handedOver.Store(acceptFor == 0)
	l.ending.Store(true)
	l.SetDeadline(time.Now().Add(acceptFor))
	<-l.closed
}

// CloseSilent closes the listener's connections on which nothing has been received yet.
func (l *Listener) CloseSilent() {
	l.tracker.mu.Lock()
	defer l.tracker.unlock()
	l.closeWithoutDataLocked(l.tracker.fresh, &l.tracker.stats.EndedSilent)
}

// CloseUnfinished closes the listener's connections without a complete request, including those that have received part of one.
func (l *Listener) CloseUnfinished() {
	l.tracker.mu.Lock()
	defer l.tracker.unlock()
	for _, from := range []*list.List{l.tracker.fresh, l.tracker.idle} {
		l.eachLocked(from, func(e *entry) {
			l.tracker.stats.EndedPartial++
			l.tracker.shutDownLocked(e)
		})
	}
}

// CloseIdle closes the listener's idle connections, and from now on each connection as it becomes idle. Those that have received part of a
// request stay open.
func (l *Listener) CloseIdle() {
	l.tracker.mu.Lock()
	defer l.tracker.unlock()
	l.closeIdle = true
	l.closeWithoutDataLocked(l.tracker.idle, &l.tracker.stats.EndedIdle)
}

// closeWithoutDataLocked closes the listener's connections in a queue that have received no part of a request, and counts them.
func (l *Listener) closeWithoutDataLocked(from *list.List, ended *int) {
	l.eachLocked(from, func(e *entry) {
		if e.requestBegun() {
			l.tracker.stats.KeptPartial++
			return
		}
		*ended++
		l.tracker.shutDownLocked(e)
	})
}

// eachLocked calls do with each of the listener's connections in a queue. Do may remove the connection from it.
func (l *Listener) eachLocked(from *list.List, do func(*entry)) {
	for element := from.Front(); element != nil; {
		next := element.Next()
		if e := element.Value.(*entry); e.listener == l {
			do(e)
		}
		element = next
	}
}

// WaitEmpty waits until the listener, which must have stopped accepting, has no connection left. It returns ctx's error if ctx ends first.
func (l *Listener) WaitEmpty(ctx context.Context) error {
	l.tracker.mu.Lock()
	if l.count == 0 {
		l.tracker.mu.Unlock()
		return nil
	}
	emptied := make(chan struct{})
	l.emptied = emptied
	l.tracker.mu.Unlock()
	select {
	case <-emptied:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Budget returns the budget that all connections share.
func (l *Listener) Budget() *membudget.Budget { return l.tracker.budget }
