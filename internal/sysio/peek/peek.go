// Package peek looks at connections without waiting.
package peek

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"ternbeam/internal/sysio/transient"
)

// ErrNothing says that nothing has come on a connection, and that it is open.
var ErrNothing = errors.New("nothing has come")

// ErrUnclear says that the system did not tell whether something has come, or whether the connection is open.
var ErrUnclear = errors.New("the system call failed")

// Unread is what has come on a connection and was not read.
type Unread int

// What may have come.
const (
	UnreadUnknown Unread = iota // the system does not tell
	UnreadNothing
	UnreadData
	UnreadEnd // of the connection, or of the other side's sending, and nothing before that
)

// UnreadOf asks the kernel what is unread on a connection, and leaves it there.
func UnreadOf(c net.Conn) Unread {
	var b [1]byte
	n, err := receive(c, b[:], unix.MSG_PEEK)
	switch {
	case n > 0:
		return UnreadData
	case errors.Is(err, ErrNothing):
		return UnreadNothing
	case errors.Is(err, ErrUnclear):
		return UnreadUnknown
	}
	return UnreadEnd
}

// Silent reports whether it is certain that nothing has come on a connection that nobody reads, not even its end. What has come stays there.
func Silent(c net.Conn) bool { return UnreadOf(c) == UnreadNothing }

// HasData reports whether it is certain that data has come on a connection that nobody has read.
func HasData(c net.Conn) bool { return UnreadOf(c) == UnreadData }

// Take reads what has come on a connection. At its end it reads nothing, with another error than ErrNothing and ErrUnclear.
func Take(c net.Conn, p []byte) (n int, err error) { return receive(c, p, 0) }

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
		return 0, ErrNothing
	case failed != nil && StateOf(c) != Ended: // the next look may tell
		return 0, fmt.Errorf("%w: %w", ErrUnclear, failed)
	case failed != nil:
		return 0, failed
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// SinceLastData is how long ago the last bytes arrived on a connection, by the kernel's account (tcp(7), TCP_INFO), to some milliseconds. It is not
// known where the system does not tell.
func SinceLastData(c net.Conn) (since time.Duration, known bool) {
	var info *unix.TCPInfo
	var failed error
	err := control(c, func(fd int) error {
		info, failed = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return failed
	})
	if err != nil || failed != nil {
		return 0, false
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, true
}

// State is what the kernel says of a connection.
type State int

// The states.
const (
	Unclear State = iota // the system does not tell
	Open                 // this side may send and receive; the other side may have ended its sending
	Ended                // by a reset or an error, by both sides, or closed here
)

// StateOf asks the kernel for the state of a connection.
func StateOf(c net.Conn) State {
	var ask [1]unix.PollFd // for no event: that the connection has ended is told always
	var failed error
	err := control(c, func(fd int) error {
		ask[0].Fd = int32(fd)
		_, failed = unix.Poll(ask[:], 0)
		return failed
	})
	switch {
	case err == nil && failed != nil:
		return Unclear
	case err != nil, ask[0].Revents&(unix.POLLERR|unix.POLLHUP|unix.POLLNVAL) != 0:
		return Ended
	}
	return Open
}

// HungUp reports whether the other side of a connection has ended its sending or reset it, whatever lies unread before that. It is false where
// the system does not tell, and true for a connection that this side has closed.
func HungUp(c net.Conn) bool {
	ask := [1]unix.PollFd{{Events: unix.POLLRDHUP}}
	ready := 0
	err := control(c, func(fd int) (failed error) {
		ask[0].Fd = int32(fd)
		ready, failed = unix.Poll(ask[:], 0)
		return failed
	})
	if err != nil {
		return true
	}
	return ready > 0 && ask[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// control makes a system call on a connection's descriptor, once more where a signal came between. An error says that it has
// none, or none any more.
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
		transient.Uninterrupted(func() error { return call(int(fd)) })
	})
}
