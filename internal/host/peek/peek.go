// Package peek looks at what has come on a connection without reading it.
package peek

import (
	"errors"
	"net"
	"syscall"
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
