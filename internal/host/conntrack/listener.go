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
)

// Listener is a net.Listener that accepts through a Tracker.
type Listener struct {
	*net.TCPListener
	tracker      *Tracker
	ending       atomic.Bool
	by           time.Time   // when the taking from the queue ends at the latest; who accepts sets it
	latest       time.Time   // what by may be at the most, zero for any; set before ending is
	left         atomic.Bool // to another process, which accepts what stands in the queue
	closed       chan struct{}
	retry        *accept.Retrier
	socket       *accept.Socket               // accepts; nil where it could not be opened, and TCPListener does
	accept       func() (*net.TCPConn, error) // of one of them, or a test's
	readerCloses bool                         // who reads a connection ends it, by its read deadline
	unfinished   *countedLog                  // connections that ended with an unfinished request
	unread       *countedLog                  // connections that are closed over unread data
	failures     *countedLog                  // calls that failed on connections that stand
	endings      *countedLog                  // connections that the agent ends without a request

	// What follows is under the Tracker's lock.
	count   int           // of its connections
	shut    bool          // none stays idle
	emptied chan struct{} // closed when there are none; nil where nobody waits for that
}

// Listen returns a Listener whose connections are tracked.
func (t *Tracker) Listen(l *net.TCPListener, log *slog.Logger) *Listener {
	listener := &Listener{TCPListener: l, tracker: t, closed: make(chan struct{}), retry: accept.NewRetrier(log), accept: l.AcceptTCP,
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

// SetDeadline sets when Accept fails with os.ErrDeadlineExceeded.
func (l *Listener) SetDeadline(t time.Time) error {
	if l.socket != nil {
		return l.socket.SetDeadline(t)
	}
	return l.TCPListener.SetDeadline(t)
}

// Close ends the listening.
func (l *Listener) Close() error {
	if l.socket != nil {
		l.socket.Close()
	}
	return l.TCPListener.Close()
}

// ReaderCloses leaves the closing of connections to their readers, whose read deadline is expired instead: for readers that close a
// connection when its deadline passes without data. It must be called before the first Accept.
func (l *Listener) ReaderCloses() *Listener {
	l.readerCloses = true
	return l
}

// Accept accepts the next connection. After CloseAfter it drains the accept queue of the kernel before it returns net.ErrClosed. Errors
// of the system neither end it nor count as an empty queue.
func (l *Listener) Accept() (net.Conn, error) {
	for queued := true; ; queued = false {
		socket, err := accept.Do(l.retry, func() (*net.TCPConn, error) {
			if !l.by.IsZero() && time.Now().After(l.by) {
				return nil, net.ErrClosed
			}
			return l.accept()
		})
		switch {
		case err == nil:
			c, err := newConn(socket, l)
			if err != nil { // it is closed already
				continue
			}
			l.tracker.enter(&entry{conn: c, from: l})
			return c, nil
		case !l.ending.Load():
			return nil, err
		case !queued || l.left.Load() || errors.Is(err, net.ErrClosed):
			return nil, l.end()
		}
		if l.by.IsZero() {
			l.by = time.Now().Add(mostDrained) // a queue of two processes is never empty for long
			if !l.latest.IsZero() && l.latest.Before(l.by) {
				l.by = l.latest
			}
		}
		l.SetDeadline(time.Now().Add(drained)) // one that has passed lets nothing in that waits already
	}
}

func (l *Listener) end() error {
	l.Close()
	close(l.closed)
	return net.ErrClosed
}

// CloseAfter stops accepting after a while, once the accept queue is empty or mostDrained later, and waits for that. With lingering 0
// it stops at once: another process shares the listening socket and accepts what is queued. With an end, accepting stops early
// enough for the last connection to be answered by then.
func (l *Listener) CloseAfter(lingering time.Duration, end time.Time) {
	if !end.IsZero() {
		l.latest = end.Add(-AnswerWriteTime - SilentGrace)
	}
	l.left.Store(lingering == 0)
	l.ending.Store(true)
	l.SetDeadline(time.Now().Add(lingering))
	<-l.closed
}

// CloseSilent closes the listener's connections on which nothing was received yet.
func (l *Listener) CloseSilent() {
	l.tracker.mu.Lock()
	defer l.tracker.unlock()
	l.closeUnbegunLocked(l.tracker.fresh, &l.tracker.stats.EndedSilent)
}

// CloseUnfinished closes the listener's connections that have no whole request, also those that have received a part of one.
func (l *Listener) CloseUnfinished() {
	l.tracker.mu.Lock()
	defer l.tracker.unlock()
	for _, from := range []*list.List{l.tracker.fresh, l.tracker.idle} {
		l.eachLocked(from, func(v *entry) {
			l.tracker.stats.EndedBegun++
			l.tracker.finishLocked(v)
		})
	}
}

// CloseIdle closes the listener's idle connections, and from now on each as it becomes idle. One that has received a part of a
// request stays.
func (l *Listener) CloseIdle() {
	l.tracker.mu.Lock()
	defer l.tracker.unlock()
	l.shut = true
	l.closeUnbegunLocked(l.tracker.idle, &l.tracker.stats.EndedIdle)
}

// closeUnbegunLocked closes the listener's connections in a queue that have received nothing of a request, and counts them.
func (l *Listener) closeUnbegunLocked(from *list.List, ended *int) {
	l.eachLocked(from, func(v *entry) {
		if v.begun() {
			l.tracker.stats.KeptBegun++
			return
		}
		*ended++
		l.tracker.finishLocked(v)
	})
}

// eachLocked calls do with each of the listener's connections in a queue. Do may take the connection out of it.
func (l *Listener) eachLocked(from *list.List, do func(*entry)) {
	for e := from.Front(); e != nil; {
		next := e.Next()
		if v := e.Value.(*entry); v.from == l {
			do(v)
		}
		e = next
	}
}

// Empty waits until the listener, which has stopped accepting, has no connection left, or until ctx ends.
func (l *Listener) Empty(ctx context.Context) error {
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
