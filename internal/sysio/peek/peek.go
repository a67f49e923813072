// Package peek inspects the state of connections and their unread data without blocking.
package peek

import (
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"ternbeam/internal/sysio/transient"
)

// ErrNoData is returned by ReadNow if the connection is open and has no unread data.
var ErrNoData = errors.New("no data on the connection")

// ErrUnknown is returned by ReadNow if a system call failed, so that it is unknown whether there is data or whether the connection is open.
var ErrUnknown = errors.New("the system call failed")

// Unread describes what has arrived on a connection and has not been read.
type Unread int

// The values of Unread.
const (
	UnreadUnknown Unread = iota // the system call failed
	UnreadNothing
	UnreadData
	UnreadEnd // the connection has ended or the other side has closed its sending side, and there is no data before that
)

// UnreadOf asks the kernel what is unread on a connection, without reading it.
func UnreadOf(c net.Conn) Unread {
	var b [1]byte
	n, err := receive(c, b[:], unix.MSG_PEEK)
	switch {
	case n > 0:
		return UnreadData
	case errors.Is(err, ErrNoData):
		return UnreadNothing
	case errors.Is(err, ErrUnknown):
		return UnreadUnknown
	}
	return UnreadEnd
}

// KnownOpenAndEmpty reports whether it is certain that a connection has neither unread data nor an unread end. It reads nothing. No other goroutine
// may be reading from the connection.
func KnownOpenAndEmpty(c net.Conn) bool { return UnreadOf(c) == UnreadNothing }

// HasData reports whether it is certain that a connection has unread data.
func HasData(c net.Conn) bool { return UnreadOf(c) == UnreadData }

// ReadNow reads available data from a connection without waiting. At the end of the stream it returns 0 and an error other than ErrNoData
// and ErrUnknown.
func ReadNow(c net.Conn, p []byte) (n int, err error) { return receive(c, p, 0) }

func receive(c net.Conn, p []byte, flags int) (n int, err error) {
	var failed error
	if err := control(c, func(fd int) error {
		n, _, failed = unix.Recvfrom(fd, p, unix.MSG_DONTWAIT|flags)
		return failed
	}); err != nil {
		return 0, err
	}
	switch {
	case failed == unix.EAGAIN:
		return 0, ErrNoData
	case failed != nil && StateOf(c) != Ended: // a later call may succeed
		return 0, fmt.Errorf("%w: %w", ErrUnknown, failed)
	case failed != nil:
		return 0, failed
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// SinceLastData returns how long ago the last bytes arrived on a connection according to the kernel (tcp(7), TCP_INFO), accurate to some
// milliseconds. known is false if the system call failed.
func SinceLastData(c net.Conn) (since time.Duration, known bool) {
	info, err := tcpInfo(c)
	if err != nil {
		return 0, false
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, true
}

// tcpInfo returns what the kernel knows of a connection (tcp(7), TCP_INFO).
func tcpInfo(c net.Conn) (info *unix.TCPInfo, err error) {
	if closed := control(c, func(fd int) error {
		info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err
	}); closed != nil {
		return nil, closed
	}
	return info, err
}

// State is the state of a connection as reported by the kernel.
type State int

// The states.
const (
	Unknown State = iota // the system call failed
	Open                 // this side may send and receive; the other side may have closed its sending side
	Ended                // by a reset or an error, by both sides, or closed on this side
)

// StateOf asks the kernel for the state of a connection.
func StateOf(c net.Conn) State {
	found, err := poll(c, 0) // poll(2) always reports the end of the connection
	switch {
	case err != nil:
		return Unknown
	case found&(unix.POLLERR|unix.POLLHUP|unix.POLLNVAL) != 0:
		return Ended
	}
	return Open
}

// HungUp reports whether the other side has closed its sending side or reset the connection, regardless of unread data before that. It returns
// false if no system call tells, and true for a connection that was closed on this side.
func HungUp(c net.Conn) bool {
	hungUp, _ := EndOf(c)
	return hungUp
}

// EndOf is like HungUp, and also reports whether it is certain that nothing is unread on the connection, neither data nor its end.
func EndOf(c net.Conn) (hungUp, empty bool) {
	found, err := poll(c, unix.POLLRDHUP|unix.POLLIN)
	if err != nil {
		return receivedEnd(c), false
	}
	return found&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0, found == 0
}

// receivedEnd is HungUp for when poll(2) fails: it asks for the state of the TCP connection.
func receivedEnd(c net.Conn) bool {
	info, err := tcpInfo(c)
	return err == nil && slices.Contains(statesAfterEnd, info.State)
}

// statesAfterEnd are the states of a TCP connection whose other side has sent a FIN or a reset (RFC 9293, section 3.3.2).
var statesAfterEnd = []uint8{unix.BPF_TCP_CLOSE_WAIT, unix.BPF_TCP_LAST_ACK, unix.BPF_TCP_CLOSING, unix.BPF_TCP_TIME_WAIT, unix.BPF_TCP_CLOSE}

// poll asks for events on a connection without waiting for them. It returns unix.POLLHUP for one that was closed on this side.
func poll(c net.Conn, events int16) (found int16, err error) {
	fds := [1]unix.PollFd{{Events: events}}
	if closed := control(c, func(fd int) error {
		fds[0].Fd = int32(fd)
		_, err = unix.Poll(fds[:], 0)
		return err
	}); closed != nil {
		return unix.POLLHUP, nil
	}
	return fds[0].Revents, err
}

// control makes a system call on a connection's descriptor and repeats it after EINTR. It returns an error if the connection has no descriptor
// or is closed.
func control(c net.Conn, call func(fd int) error) error {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) {
		transient.RetryEINTR(func() error { return call(int(fd)) })
	})
}
