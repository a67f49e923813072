// Package peek looks at what has come on a connection without reading it.
package peek

import (
	"errors"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Silent reports whether nothing has come on a connection that nobody reads, not even its end.
func Silent(c net.Conn) bool {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	var peeked error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, peeked = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && errors.Is(peeked, syscall.EAGAIN)
}

// ErrNothing says that nothing has come on a connection, and that it is open.
var ErrNothing = errors.New("nothing has come")

// Take reads what has come on a connection, without waiting. At its end it reads nothing, with another error than ErrNothing.
func Take(c syscall.Conn, p []byte) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	var taken error
	if err := raw.Control(func(fd uintptr) {
		for n, _, taken = unix.Recvfrom(int(fd), p, unix.MSG_DONTWAIT); taken == unix.EINTR; {
			n, _, taken = unix.Recvfrom(int(fd), p, unix.MSG_DONTWAIT)
		}
	}); err != nil {
		return 0, err
	}
	switch {
	case taken == unix.EAGAIN:
		return 0, ErrNothing
	case taken != nil:
		return 0, taken
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// HungUp reports whether the other side of a connection has ended its sending or reset it, whatever lies unread before that.
func HungUp(c net.Conn) bool {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	hung := false
	err = raw.Control(func(fd uintptr) {
		ask := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(ask[:], 0)
		for err == unix.EINTR {
			n, err = unix.Poll(ask[:], 0)
		}
		hung = n > 0 && ask[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err != nil || hung // a connection that this side has closed is one, too
}
