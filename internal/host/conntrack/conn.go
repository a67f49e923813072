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
	stream        *socketio.Conn // reads and writes the same connection
	receivedBytes atomic.Int64   // bytes read so far
	receivedAt    atomic.Int64   // time of the latest read, as the duration since started

	listener *Listener
	readDone chan struct{} // receives a value when a Read has returned data, after which BeingRead may be false

	// mu is acquired by readers that hold the descriptor (ReadNow). Nothing that waits for those, such as closing the connection, may be
	// called while mu is held.
	mu           sync.Mutex
	reading      bool            // a Read is in progress and receives what arrives
	buffered     readAheadBuffer // data that CheckDisconnected has read and Read has not returned yet
	arrivals     arrivalLog
	endHidden    bool // CheckDisconnected has left data to the kernel, behind which the end of the connection may be
	endRequested bool // the reader has been asked to close the connection, unless data has been received
	stopped      bool // the connection is being closed, and nothing more is read
	readDeadline time.Time
	readErr      error    // error of the last Read that returned no data
	endCause     EndCause // why the reader has been asked to close the connection
}

// newConn returns a Conn for an accepted connection.
func newConn(socket *net.TCPConn, l *Listener) (*Conn, error) {
	c := &Conn{TCPConn: socket, listener: l, readDone: make(chan struct{}, 1), buffered: readAheadBuffer{budget: l.tracker.budget}}
	var err error
	if c.stream, err = socketio.New(socket, l.failures.failed); err != nil {
		return nil, err
	}
	if l.socket != nil {
		c.stream.Reads().StartAt(l.socket.QueuedSince())
	}
	return c, nil
}

// ReceivedBytes returns how many bytes have been read from the connection.
func (c *Conn) ReceivedBytes() int { return int(c.receivedBytes.Load()) }

// Read implements net.Conn. Data already received takes precedence over the read deadline.
func (c *Conn) Read(p []byte) (n int, err error) {
	c.mu.Lock()
	if n = c.buffered.read(p); n > 0 {
		c.restoreDeadlineLocked()
		c.mu.Unlock()
		return n, nil
	}
	c.reading = true
	c.mu.Unlock()
	n, err = c.stream.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		// Data already received takes precedence over the deadline, which may have passed while the process was suspended: if the
		// connection were closed, a request that has been received would get no answer. This extends no deadline, as it does not wait.
		if n = c.takeUnread(p); n > 0 {
			err = nil
		}
	}
	c.mu.Lock()
	if c.reading = false; n > 0 {
		c.recordReceivedLocked(n)
		c.restoreDeadlineLocked()
	} else {
		c.readErr = err
	}
	c.mu.Unlock()
	if n > 0 {
		select {
		case c.readDone <- struct{}{}:
		default: // a pending value stands for any number of reads
		}
	}
	return n, err
}

// takeUnread reads what has been received, without waiting for more. If the system can't tell whether there is data, it tries again:
// otherwise the connection would be closed and the data lost.
func (c *Conn) takeUnread(p []byte) int {
	for failures := 1; ; failures++ {
		n, err := peek.ReadNow(c.TCPConn, p)
		if n > 0 {
			c.stream.Reads().Begin()
			c.stream.Reads().RecordSuccess()
		}
		if n > 0 || !errors.Is(err, peek.ErrUnknown) || failures == transient.MaxFailures {
			return n
		}
		time.Sleep(transient.Backoff(failures))
	}
}

// Write implements net.Conn. It retries after errors while the connection is established, as the client waits for its final answer. What
// can be sent at once is sent in spite of the write deadline, which may have passed while the process was suspended.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.stream.Write(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if n += c.stream.WriteNow(p[n:]); n == len(p) {
			return n, nil
		}
	}
	return n, err
}

// Close closes the connection. Unread data is lost, which is logged: a client may be waiting for an answer to it.
func (c *Conn) Close() error {
	if c.listener != nil && peek.HasData(c.TCPConn) {
		c.listener.unread.ended(c, c.receivedBytes.Load())
	}
	c.mu.Lock()
	c.buffered.drop()
	c.mu.Unlock()
	return c.TCPConn.Close()
}

// lastError returns why the reader has been asked to close the connection, and the error of the last Read that returned no data, or nil.
func (c *Conn) lastError() (cause EndCause, failure error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endCause, c.readErr
}

// RecordReadError records the error with which a reader that uses ReadNow stops reading, and why it closes the connection. Cause is
// NotEnded if the client ended it.
func (c *Conn) RecordReadError(err error, cause EndCause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readErr, c.endCause = err, cause
}

// SinceLastData returns how long ago the last bytes arrived in the kernel, whether or not they have been read. If the system can't tell, it
// returns an upper bound: the bytes arrived no earlier than the latest wait for data, or for a connection.
func (c *Conn) SinceLastData() time.Duration {
	if since, known := peek.SinceLastData(c.TCPConn); known {
		return since
	}
	ready := c.stream.Reads().ReadySince()
	if ready.IsZero() {
		return 0
	}
	return time.Since(ready)
}

// SinceArrival returns how long ago the byte before a position of the received data arrived, at most: it may be less by the time between two
// reads of the connection. Later calls must not ask for earlier positions.
func (c *Conn) SinceArrival(position int64) time.Duration {
	c.mu.Lock()
	earliest, behind := c.arrivals.earliest(position), position < c.receivedBytes.Load()
	c.mu.Unlock()
	sinceLast := c.SinceLastData() // nothing arrived later
	if !behind || earliest.IsZero() {
		return sinceLast
	}
	return max(sinceLast, time.Since(earliest))
}

// DrainedAt returns the latest time at which all data that had arrived was known to be read, or the zero time if that is unknown.
func (c *Conn) DrainedAt() time.Time { return c.stream.Reads().ReadySince() }

// BeingRead reports whether a Read is in progress, which would notice a disconnect at once. ReadDone signals when that changes.
func (c *Conn) BeingRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reading
}

// ReadDone returns a channel that receives a value when a Read has returned data: the connection may not be being read any more.
func (c *Conn) ReadDone() <-chan struct{} { return c.readDone }

// Disconnected reports, without blocking, whether the client has ended the connection. Data that it sent before can still be read.
func (c *Conn) Disconnected() bool { return peek.HungUp(c.TCPConn) }

// end sets a read deadline that has passed, so that the reader of the connection closes it. Data that has been received takes
// precedence, and the connection stays open then: no request is read and left without an answer.
func (c *Conn) end(cause EndCause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endRequested, c.endCause = true, cause
	c.TCPConn.SetReadDeadline(time.Unix(1, 0))
}

// restoreDeadlineLocked restores the read deadline that end has expired.
func (c *Conn) restoreDeadlineLocked() {
	if c.endRequested {
		c.endRequested, c.endCause = false, NotEnded
		c.TCPConn.SetReadDeadline(c.readDeadline)
	}
}

// SetReadDeadline implements net.Conn. A reader sets a deadline while it waits for a request. It clears the deadline when it has found a
// request in data that it had read before. This cancels a pending end, so that the request just found is answered.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.endRequested = c.endRequested && !t.IsZero(); c.endRequested {
		return nil
	}
	c.endCause = NotEnded
	return c.TCPConn.SetReadDeadline(t)
}

// LimitReading shortens the read deadline to the given time from now. It has no effect if there is no deadline or an earlier one.
func (c *Conn) LimitReading(within time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	by := time.Now().Add(within)
	if c.readDeadline.IsZero() || c.readDeadline.Before(by) {
		return
	}
	c.readDeadline = by
	if !c.endRequested {
		c.TCPConn.SetReadDeadline(by)
	}
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// KnownOpenAndEmpty reports whether the connection is certain to be open and without unread data.
func (c *Conn) KnownOpenAndEmpty() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.knownOpenAndEmptyLocked()
}

func (c *Conn) knownOpenAndEmptyLocked() bool { return c.unreadLocked() == peek.UnreadNothing }

// unread returns what has been received and not been returned by Read, including data that CheckDisconnected has buffered.
func (c *Conn) unread() peek.Unread {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unreadLocked()
}

func (c *Conn) unreadLocked() peek.Unread {
	if !c.buffered.empty() {
		return peek.UnreadData
	}
	return peek.UnreadOf(c.TCPConn)
}

// stopReading prevents further reads of the connection, which is then closed, if no more than the given number of bytes have been received
// and no data is unread. It reports whether it did.
func (c *Conn) stopReading(received int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.receivedBytes.Load() > received || !c.knownOpenAndEmptyLocked() {
		return false
	}
	c.stopped = true
	return true
}

// ReadNow reads from the connection's descriptor without blocking, for readers that poll it themselves. Done is false if there is nothing
// to read. The read and its record are one step under the lock, so that the connection can't be closed as unused between them.
func (c *Conn) ReadNow(fd uintptr, p []byte) (n int, done bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return 0, true, net.ErrClosed
	}
	reads := c.stream.Reads()
	reads.Begin()
	err = transient.RetryEINTR(func() (failed error) {
		n, failed = syscall.Read(int(fd), p)
		return failed
	})
	done = reads.End(fd, unix.POLLIN, err)
	if n > 0 {
		c.countReceivedLocked(n)
	}
	return max(n, 0), done, err
}

// NewReadTries returns the retry policy of one read, for a reader that uses ReadNow.
func (c *Conn) NewReadTries() socketio.Tries {
	return socketio.NewTries("read", c.listener.failures.failed)
}

// recordReceivedLocked records that n bytes were read, and when they arrived, for SinceArrival.
func (c *Conn) recordReceivedLocked(n int) {
	c.arrivals.record(c.countReceivedLocked(n), c.stream.Reads().ReadySince())
}

// countReceivedLocked records that n bytes were read. It returns the number of bytes read so far.
func (c *Conn) countReceivedLocked(n int) int64 {
	c.receivedAt.Store(int64(time.Since(started)))
	return c.receivedBytes.Add(int64(n))
}

// started is the reference point of receivedAt.
var started = time.Now()

// lastReceived returns when bytes were last read.
func (c *Conn) lastReceived() time.Time { return started.Add(time.Duration(c.receivedAt.Load())) }

// CheckDisconnected reports, without blocking, whether the client has closed the connection, even if the FIN is queued behind unread data
// that fills the receive buffer. It reads that data and keeps it for Read. If it has no room for more, it leaves the data to the kernel, whose
// window then stops the client; an end that is queued behind that data is noticed only as there is room again.
func (c *Conn) CheckDisconnected() (gone bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading { // the reader notices the end itself, unless it arrives at this moment
		return peek.HungUp(c.TCPConn)
	}
	c.endHidden = false
	for part := c.buffered.free(); part != nil; part = c.buffered.free() {
		n, err := peek.ReadNow(c.TCPConn, part)
		c.buffered.fill(n)
		if err == peek.ErrNoData {
			c.stream.Reads().RecordEmpty()
		}
		if n == 0 {
			return !errors.Is(err, peek.ErrNoData) && !errors.Is(err, peek.ErrUnknown)
		}
		c.stream.Reads().RecordSuccess()
		c.recordReceivedLocked(n)
	}
	gone, empty := peek.EndOf(c.TCPConn)
	c.endHidden = !empty
	return gone
}

// MayHaveLeft reports, without blocking, whether the client has closed the connection, or may have done so behind more data than can be read
// ahead.
func (c *Conn) MayHaveLeft() bool {
	gone := c.CheckDisconnected()
	c.mu.Lock()
	defer c.mu.Unlock()
	return gone || c.endHidden && !c.reading
}
