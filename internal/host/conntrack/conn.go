package conntrack

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"ternbeam/internal/sysio/peek"
	"ternbeam/internal/sysio/socketio"
	"ternbeam/internal/sysio/transient"
)

// Conn is a client's connection.
type Conn struct {
	*net.TCPConn
	stream        *socketio.Conn // over the same connection
	receivedBytes atomic.Int64   // bytes that were read in all
	received      atomic.Int64   // when that was last, since the package's start

	listener  *Listener
	unwatched chan struct{} // told when something was read, and nobody may read on

	// mu is waited for by readers that hold the descriptor (ReadNow): nothing that waits for them, as closing does, may be called under it.
	mu      sync.Mutex
	reading bool   // somebody does, and gets what comes
	ahead   []byte // read by Probe, and by nobody else yet
	over    bool   // more came than is kept, so that what follows is of no use
	ending  bool   // who reads is to end it, unless something has come
	stopped bool   // it is being closed, and nothing more is read
	readBy  time.Time
	failure error    // of the last Read that brought nothing
	cause   EndCause // for which its reader is to end it
}

// newConn returns a Conn over a connection that was accepted.
func newConn(socket *net.TCPConn, l *Listener) (*Conn, error) {
	c := &Conn{TCPConn: socket, listener: l, unwatched: make(chan struct{}, 1)}
	var err error
	if c.stream, err = socketio.New(socket, l.failures.failed); err != nil {
		return nil, err
	}
	if l.socket != nil {
		c.stream.Reads().StartAt(l.socket.QueuedSince())
	}
	return c, nil
}

// mostAhead is how many bytes Probe keeps: more than a usual request has.
const mostAhead = 128 << 10

// ReceivedBytes returns how many bytes were read from the connection.
func (c *Conn) ReceivedBytes() int { return int(c.receivedBytes.Load()) }

// Read reads from the connection, as net.Conn's does. Data already received takes precedence over the read deadline.
func (c *Conn) Read(p []byte) (n int, err error) {
	c.mu.Lock()
	if n = copy(p, c.ahead); n > 0 || c.over {
		if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
			c.ahead = nil
		}
		c.goOnLocked()
		c.mu.Unlock()
		if n == 0 {
			err = net.ErrClosed
		}
		return n, err
	}
	c.reading = true
	c.mu.Unlock()
	n, err = c.stream.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		// What has come goes before the time, which may have passed while the process stood still: a connection that is closed over a
		// request that has come leaves that without an answer. Nobody gets more time by this, as nothing is waited for.
		if n = c.takeUnread(p); n > 0 {
			err = nil
		}
	}
	c.mu.Lock()
	if c.reading = false; n > 0 {
		c.goOnLocked()
	} else {
		c.failure = err
	}
	c.mu.Unlock()
	if n > 0 {
		c.Received(n)
		select {
		case c.unwatched <- struct{}{}:
		default: // one that waits to be read stands for any number
		}
	}
	return n, err
}

// takeUnread reads what has come without waiting for more. Where the system does not tell whether something has, it is asked again: the
// connection is about to be closed over that.
func (c *Conn) takeUnread(p []byte) int {
	for failures := 1; ; failures++ {
		n, err := peek.Take(c.TCPConn, p)
		if n > 0 {
			c.stream.Reads().Begin()
			c.stream.Reads().Took()
		}
		if n > 0 || !errors.Is(err, peek.ErrUnclear) || failures == transient.MostFailures {
			return n
		}
		time.Sleep(transient.Backoff(failures))
	}
}

// Write writes to the connection, as net.Conn's does. It goes on through errors for as long as the connection stands: the client waits for
// its final answer. What can be sent at once takes precedence over the write deadline, which may have passed while the process was suspended.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.stream.Write(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if n += c.stream.WriteNow(p[n:]); n == len(p) {
			return n, nil
		}
	}
	return n, err
}

// Close closes the connection. Data that has come and is unread is lost with it, which is logged: a client may wait for an answer to that.
func (c *Conn) Close() error {
	if c.listener != nil && peek.HasData(c.TCPConn) {
		c.listener.unread.ended(c, c.receivedBytes.Load())
	}
	return c.TCPConn.Close()
}

// lastError returns why the last Read brought nothing, or nil, and for what its reader is to end the connection.
func (c *Conn) lastError() (failure error, cause EndCause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure, c.cause
}

// Failed records why a reader that uses ReadNow reads no more, and for what it ends the connection; NotEnded where the client has.
func (c *Conn) Failed(err error, cause EndCause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failure, c.cause = err, cause
}

// SinceLastData is how long ago the last bytes arrived in the kernel, whoever has read them by now and however late. Where the system does not tell
// it is the most that it can be: they came after the latest wait for data, or for a connection.
func (c *Conn) SinceLastData() time.Duration {
	if since, known := peek.SinceLastData(c.TCPConn); known {
		return since
	}
	ready := c.stream.Reads().Since()
	if ready.IsZero() {
		return 0
	}
	return time.Since(ready)
}

// Watched reports whether somebody reads the connection now, who sees its end at once. Where that changes Unwatched is told.
func (c *Conn) Watched() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reading
}

// Unwatched is told when a read of the connection has brought something: nobody may be reading any more.
func (c *Conn) Unwatched() <-chan struct{} { return c.unwatched }

// Disconnected reports whether the client has ended the connection, without waiting. What it sent before stays to be read.
func (c *Conn) Disconnected() bool { return peek.HungUp(c.TCPConn) }

// end expires the read deadline, so that whoever reads the connection closes it. Data that has been received takes precedence, and
// the connection stays open then: no request is both read and left without an answer.
func (c *Conn) end(cause EndCause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending, c.cause = true, cause
	c.TCPConn.SetReadDeadline(time.Unix(1, 0))
}

// goOnLocked restores the read deadline that end has expired.
func (c *Conn) goOnLocked() {
	if c.ending {
		c.ending, c.cause = false, NotEnded
		c.TCPConn.SetReadDeadline(c.readBy)
	}
}

// SetReadDeadline is net.Conn's. A reader that waits for a request sets a time for that; one that takes it back has found a request
// in what it had read before, which the end must not cut short.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readBy = t
	if c.ending = c.ending && !t.IsZero(); c.ending {
		return nil
	}
	c.cause = NotEnded
	return c.TCPConn.SetReadDeadline(t)
}

// LimitReading brings the read deadline forward to some time from now, unless there is none or an earlier one.
func (c *Conn) LimitReading(within time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	by := time.Now().Add(within)
	if c.readBy.IsZero() || c.readBy.Before(by) {
		return
	}
	c.readBy = by
	if !c.ending {
		c.TCPConn.SetReadDeadline(by)
	}
}

// SetDeadline is net.Conn's.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Quiet reports whether it is certain that there is no unread data.
func (c *Conn) Quiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quietLocked()
}

func (c *Conn) quietLocked() bool { return c.unreadLocked() == peek.UnreadNothing }

// unread is what has come and was not read, by Probe neither.
func (c *Conn) unread() peek.Unread {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unreadLocked()
}

func (c *Conn) unreadLocked() peek.Unread {
	if len(c.ahead) > 0 || c.over {
		return peek.UnreadData
	}
	return peek.UnreadOf(c.TCPConn)
}

// stopReading ends the reading of the connection, which is to be closed, if no more than some number of bytes was ever received. It reports
// whether it did.
func (c *Conn) stopReading(received int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.receivedBytes.Load() > received || !c.quietLocked() {
		return false
	}
	c.stopped = true
	return true
}

// ReadNow reads what has come on the connection's descriptor without waiting, for readers that poll it themselves. It is not done where there is
// nothing to read. The connection is not closed for want of data between the reading and its record.
func (c *Conn) ReadNow(fd uintptr, p []byte) (n int, done bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return 0, true, net.ErrClosed
	}
	reads := c.stream.Reads()
	reads.Begin()
	err = transient.Uninterrupted(func() (failed error) {
		n, failed = syscall.Read(int(fd), p)
		return failed
	})
	if n > 0 {
		c.Received(n)
	}
	return max(n, 0), reads.End(fd, unix.POLLIN, err), err
}

// ReadTries decides how often a reader that uses ReadNow tries one read.
func (c *Conn) ReadTries() socketio.Tries {
	return socketio.NewTries("read", c.listener.failures.failed)
}

// Received records that bytes were read.
func (c *Conn) Received(n int) {
	c.received.Store(int64(time.Since(started)))
	c.receivedBytes.Add(int64(n))
}

// started is what times of connections count from.
var started = time.Now()

// lastReceived is when bytes were last read.
func (c *Conn) lastReceived() time.Time { return started.Add(time.Duration(c.received.Load())) }

// parts are what Probe reads into: one of its own for each request would be most of the garbage.
var parts = sync.Pool{New: func() any { return new([4 << 10]byte) }}

// Probe reports, without blocking, whether the client has closed the connection, also when the FIN is queued behind unread data that
// fills the receive buffer. It reads up to mostAhead bytes of that and keeps them for Read. With more than that the connection
// can't carry another request, as over says.
func (c *Conn) Probe() (gone, over bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading { // who reads sees the end itself, unless it comes at this moment
		return peek.HungUp(c.TCPConn), c.over
	}
	part := parts.Get().(*[4 << 10]byte)
	defer parts.Put(part)
	for most := 2 * mostAhead; most > 0; most -= len(part) {
		n, err := peek.Take(c.TCPConn, part[:])
		if err == peek.ErrNothing {
			c.stream.Reads().Empty()
		}
		if n == 0 {
			return !errors.Is(err, peek.ErrNothing) && !errors.Is(err, peek.ErrUnclear), c.over
		}
		c.Received(n)
		c.stream.Reads().Took()
		if c.over = c.over || len(c.ahead)+n > mostAhead; !c.over {
			c.ahead = append(c.ahead, part[:n]...)
		}
	}
	return peek.HungUp(c.TCPConn), c.over
}
