package main

import (
	"net/netip"
	"syscall"
	"testing"
	"time"

	"ternbeam/internal/lab/sysfault"
)

// openConnectionFaults returns faults with errors that the manual pages document and that normally mean that a connection or a listener is unusable,
// for connections and listeners that are in order.
func openConnectionFaults() (all []callFault) {
	const everySeventh, interval = 7, 25 * time.Millisecond // accepting a connection takes six calls in a row
	add := func(call sysfault.Call, errnos ...syscall.Errno) {
		all = append(all, withBothPatterns(call, everySeventh, interval, errnos...)...)
	}
	add(sysfault.Write, syscall.EAGAIN, syscall.ECONNRESET, syscall.EPIPE, syscall.EINVAL, syscall.EBADF, syscall.ENOTCONN, syscall.EFAULT)
	add(sysfault.Read, syscall.EAGAIN, syscall.ECONNRESET, syscall.ENOTCONN, syscall.EINVAL, syscall.EBADF, syscall.EFAULT)
	add(sysfault.RecvFrom, syscall.EAGAIN, syscall.ECONNRESET, syscall.ECONNREFUSED, syscall.ENOTCONN, syscall.ENOTSOCK, syscall.EINVAL, syscall.EBADF)
	add(sysfault.Poll, syscall.EINVAL, syscall.EFAULT)
	add(sysfault.Accept, syscall.EAGAIN, syscall.EINVAL, syscall.EBADF, syscall.ENOTSOCK, syscall.EOPNOTSUPP, syscall.EPERM, syscall.EFAULT, syscall.ENOSR)
	add(sysfault.EpollCtl, syscall.EBADF, syscall.EEXIST, syscall.EINVAL, syscall.ELOOP, syscall.ENOENT, syscall.EPERM)
	add(sysfault.GetSockOpt, syscall.ENOBUFS, syscall.EINVAL, syscall.ENOTSOCK, syscall.ENOPROTOOPT)
	add(sysfault.SetSockOpt, syscall.ENOBUFS, syscall.EINVAL, syscall.ENOPROTOOPT)
	add(sysfault.GetSockName, syscall.ENOBUFS, syscall.EINVAL)
	add(sysfault.GetPeerName, syscall.ENOBUFS, syscall.ENOTCONN)
	add(sysfault.Fcntl, syscall.EMFILE, syscall.EAGAIN, syscall.EINVAL)
	add(sysfault.Shutdown, syscall.ENOTCONN)
	add(sysfault.Close, syscall.EIO, syscall.EINTR)
	return all
}

// Guards against client connections that end without a complete answer because a failed call is taken for the end of a connection that is still
// open.
func TestOpenClientConnectionsSurviveFailedSystemCalls(t *testing.T) {
	t.Parallel()
	for _, fault := range openConnectionFaults() {
		testAnswersUnderFault(t, fault, onAddress)
	}
}

// Guards against requests that fail because a failed call is taken for the end of a connection to a server that is still open.
func TestServerConnectionsSurviveFailedSystemCalls(t *testing.T) {
	t.Parallel()
	for _, fault := range openConnectionFaults() {
		if fault.call != sysfault.Read && fault.call != sysfault.Write && fault.call != sysfault.RecvFrom {
			continue
		}
		testAnswersUnderFault(t, fault, func(string) func(netip.AddrPort) bool { return isOutgoing })
	}
}
