// Package socketio reads and writes stream connections in spite of system calls that fail.
//
// An error of a system call speaks of that call. Whether the connection is over is asked of the kernel, by poll(2), before an error ends
// anything: a peer that is still connected is owed what it waits for. Where poll(2) fails it is asked again, and the call is not made meanwhile: a
// reset is told once, and looks like an orderly end after that.
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

// Failure is a system call that failed on a connection that stands.
type Failure struct {
	Call string // its name
	Err  error
}

// Conn is a connection whose Read and Write end with an error only when the connection is over, its deadline has passed or it was closed
// here. Several goroutines may use it, one of them reading and one writing at a time; others wait.
type Conn struct {
	net.Conn
	raw     syscall.RawConn
	observe func(Failure) // may be nil
	reads   operation
	writes  operation
}

// New returns a Conn over a TCP or Unix connection. Each failure that it goes on through is told to observe, which may be nil.
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

// Wrap returns a Conn over a TCP or Unix connection. Any other is returned as it is: it may have ways of its own to read and write.
func Wrap(conn net.Conn) net.Conn {
	switch conn.(type) {
	case *net.TCPConn, *net.UnixConn:
		if c, err := New(conn, nil); err == nil {
			return c
		}
	}
	return conn
}

// SyscallConn is syscall.Conn's.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.raw, nil }

// Reads is the account of the connection's reads, for those that are made beside Read, and for whoever asks how long data may have waited.
func (c *Conn) Reads() *Readiness { return &c.reads.ready }

// Read is net.Conn's.
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

// Write is net.Conn's.
func (c *Conn) Write(p []byte) (written int, err error) {
	for written < len(p) && err == nil {
		var n int
		n, err = c.do(&c.writes, p[written:])
		written += n
	}
	return written, err
}

// WriteNow writes what can be written without waiting, whatever the write deadline, and returns how many bytes that were.
func (c *Conn) WriteNow(p []byte) (written int) {
	c.raw.Control(func(fd uintptr) {
		transient.Uninterrupted(func() (failed error) {
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

// operation is reading or writing. Its fields are reused by all calls, so that a call allocates nothing.
type operation struct {
	name  string
	call  func(fd int, p []byte) (int, error)
	event int16                                 // of poll(2), which says that a call would not wait
	wait  func(try func(fd uintptr) bool) error // calls try whenever the descriptor is ready, until it returns true
	try   func(fd uintptr) bool                 // once

	mu    sync.Mutex
	data  []byte
	n     int
	err   error
	ready Readiness
}

// once makes the system call. It returns false where the descriptor is not ready.
func (o *operation) once(fd uintptr) (done bool) {
	o.ready.Begin()
	o.n, o.err = o.call(int(fd), o.data)
	return o.ready.End(fd, o.event, o.err)
}

// run makes one call once the descriptor is ready.
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

// do makes one call, again for as long as it fails and the connection stands.
func (c *Conn) do(o *operation, p []byte) (n int, err error) {
	tries := NewTries(o.name, c.observe)
	for {
		n, err = o.run(p)
		if err == nil || !tries.Again(c, err) {
			break
		}
	}
	if errno, ok := err.(syscall.Errno); ok {
		err = os.NewSyscallError(o.name, errno)
	}
	return n, err
}

// Tries decides how often a call on a connection is made. A Tries is for one call.
type Tries struct {
	name     string
	observe  func(Failure)
	failures int // in a row
}

// NewTries returns Tries for calls of some name. Each failure that they go on through is told to observe.
func NewTries(name string, observe func(Failure)) Tries { return Tries{name: name, observe: observe} }

// Again reports whether a call that has failed with err is to be made once more, and waits until it is.
func (t *Tries) Again(conn net.Conn, err error) bool {
	t.failures++
	if err == syscall.EAGAIN && t.failures == 1 { // something may have come just now, or the end
		return true
	}
	if Over(conn, err) || t.failures > transient.MostFailures {
		return false
	}
	if t.observe != nil {
		t.observe(Failure{t.name, err})
	}
	time.Sleep(transient.Backoff(t.failures))
	return true
}

// Ready reports whether a descriptor is ready for an event of poll(2), or may be: where the system does not tell, the call is tried again.
func Ready(fd uintptr, event int16) bool {
	ask := [1]unix.PollFd{{Fd: int32(fd), Events: event}}
	ready, err := unix.Poll(ask[:], 0)
	return ready > 0 || err != nil
}

// Over reports whether a connection is over, after a call on it has failed with err. It waits for the kernel to tell, for some seconds at the most.
func Over(conn net.Conn, err error) bool {
	if errno := syscall.Errno(0); !errors.As(err, &errno) { // it was closed here, or its deadline has passed
		return true
	}
	for failures := 1; failures <= transient.MostFailures; failures++ {
		if state := peek.StateOf(conn); state != peek.Unclear {
			return state == peek.Ended
		}
		time.Sleep(transient.Backoff(failures))
	}
	return true
}
