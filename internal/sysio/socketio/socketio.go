// Package socketio reads and writes stream connections and retries system calls that fail while the connection is still open.
//
// A failed system call does not prove that the connection has ended. Before an error is returned, the kernel is asked by poll(2) whether the
// connection is still open, because a connected peer still waits for its data. If poll(2) fails it is repeated, and the read or write is not
// retried meanwhile: the kernel reports a reset only once, and further calls would see an orderly end of the stream.
package socketio

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"ternbeam/internal/sysio/peek"
	"ternbeam/internal/sysio/transient"
)

// Failure describes a system call that failed on a connection that is still open.
type Failure struct {
	Call string // name of the system call
	Err  error
}

// Conn is a connection whose Read and Write return an error only if the connection has ended, the deadline has passed or it was closed
// on this side. It is safe for concurrent use; reads are serialized, and so are writes.
type Conn struct {
	net.Conn
	raw     syscall.RawConn
	observe func(Failure) // may be nil
	reads   operation
	writes  operation
}

// New returns a Conn over a TCP or Unix connection. It calls observe, which may be nil, for each failure that is retried.
func New(conn net.Conn, observe func(Failure)) (*Conn, error) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: conn, raw: raw, observe: observe}
	c.reads = operation{name: "read", call: syscall.Read, event: unix.POLLIN, wait: raw.Read}
	c.writes = operation{name: "write", call: syscall.Write, event: unix.POLLOUT, wait: raw.Write}
	c.reads.try, c.writes.try = c.reads.once, c.writes.once
	return c, nil
}

// Wrap returns a Conn over a TCP or Unix connection. Any other connection is returned unchanged, as it may read and write in its own way.
func Wrap(conn net.Conn) net.Conn {
	switch conn.(type) {
	case *net.TCPConn, *net.UnixConn:
		if c, err := New(conn, nil); err == nil {
			return c
		}
	}
	return conn
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.raw, nil }

// Reads returns the Readiness of the connection's reads, for callers that read without Read or need to know how long data may have waited.
func (c *Conn) Reads() *Readiness { return &c.reads.ready }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	n, err := c.do(&c.reads, p)
	if n == 0 && err == nil {
		return 0, io.EOF
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (written int, err error) {
	for written < len(p) && err == nil {
		var n int
		n, err = c.do(&c.writes, p[written:])
		written += n
	}
	return written, err
}

// WriteNow writes as much as possible without waiting, regardless of the write deadline, and returns the number of bytes written.
func (c *Conn) WriteNow(p []byte) (written int) {
	c.raw.Control(func(fd uintptr) {
		transient.RetryEINTR(func() (failed error) {
			for written < len(p) && failed == nil {
				var n int
				n, failed = syscall.Write(int(fd), p[written:])
				written += max(n, 0)
			}
			return failed
		})
	})
	return written
}

// operation is the read or the write side of a Conn. Its fields are reused by all calls, so a call does not allocate.
type operation struct {
	name  string
	call  func(fd int, p []byte) (int, error)
	event int16                                 // of poll(2): set when a call would not block
	wait  func(try func(fd uintptr) bool) error // calls try each time the descriptor becomes ready, until it returns true
	try   func(fd uintptr) bool                 // once

	mu    sync.Mutex
	data  []byte
	n     int
	err   error
	ready Readiness
}

// once makes the system call. It returns false if the descriptor is not ready.
func (o *operation) once(fd uintptr) (done bool) {
	o.ready.Begin()
	o.n, o.err = o.call(int(fd), o.data)
	return o.ready.End(fd, o.event, o.err)
}

// run waits until the descriptor is ready and makes one call.
func (o *operation) run(p []byte) (n int, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.data = p
	defer func() { o.data = nil }()
	if err := o.wait(o.try); err != nil {
		return 0, err
	}
	return max(o.n, 0), o.err
}

// do makes one call and retries it while it fails and the connection is open.
func (c *Conn) do(o *operation, p []byte) (n int, err error) {
	tries := NewTries(o.name, c.observe)
	for {
		n, err = o.run(p)
		if err == nil || !tries.ShouldRetry(c, err) {
			break
		}
	}
	if errno, ok := err.(syscall.Errno); ok {
		err = os.NewSyscallError(o.name, errno)
	}
	return n, err
}

// Tries decides whether a failed call on a connection is retried. A Tries is used for a single operation.
type Tries struct {
	name     string
	observe  func(Failure)
	failures int // in a row
}

// NewTries returns a Tries for the system call with this name. It calls observe, which may be nil, for each failure that is retried.
func NewTries(name string, observe func(Failure)) Tries { return Tries{name: name, observe: observe} }

// ShouldRetry reports whether a call that failed with err must be repeated, after waiting for the backoff time.
func (t *Tries) ShouldRetry(conn net.Conn, err error) bool {
	t.failures++
	if err == syscall.EAGAIN && t.failures == 1 { // data or the end may have arrived just now
		return true
	}
	if ConnEnded(conn, err) || t.failures > transient.MaxFailures {
		return false
	}
	if t.observe != nil {
		t.observe(Failure{t.name, err})
	}
	time.Sleep(transient.Backoff(t.failures))
	return true
}

// Ready reports whether a descriptor is ready for an event of poll(2). It also returns true if poll(2) fails, so that the call is tried again.
func Ready(fd uintptr, event int16) bool {
	fds := [1]unix.PollFd{{Fd: int32(fd), Events: event}}
	ready, err := unix.Poll(fds[:], 0)
	return ready > 0 || err != nil
}

// ConnEnded reports whether a connection has ended, after a call on it failed with err. If poll(2) fails it retries for some seconds at most
// (transient.MaxFailures) and then returns true.
func ConnEnded(conn net.Conn, err error) bool {
	if errno := syscall.Errno(0); !errors.As(err, &errno) { // closed on this side, or the deadline has passed
		return true
	}
	for failures := 1; failures <= transient.MaxFailures; failures++ {
		if state := peek.StateOf(conn); state != peek.Unknown {
			return state == peek.Ended
		}
		time.Sleep(transient.Backoff(failures))
	}
	return true
}
