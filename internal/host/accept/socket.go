package accept

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"ternbeam/internal/sysio/socketio"
	"ternbeam/internal/sysio/transient"
)

// Socket accepts the connections of a listener and holds each from the moment at which the kernel hands it over.
//
// net.TCPListener closes a connection that it has accepted where registering it with the poller fails, for want of memory or of watches
// (epoll_ctl(2): ENOMEM, ENOSPC). A client's request may have arrived on it by then, which would be lost. A Socket repeats the
// registration until it succeeds.
type Socket struct {
	file   *os.File // a descriptor of its own, of the same listening socket
	raw    syscall.RawConn
	closed atomic.Bool
	ready  socketio.Readiness // of the accept queue
}

// openWithin is how long the opening of a Socket may fail.
const openWithin = 4 * time.Second

// NewSocket returns a Socket over a listener, which stays open. It tries for some seconds where the system has no descriptor.
func NewSocket(l *net.TCPListener) (*Socket, error) {
	var file *os.File
	ctx, cancel := context.WithTimeout(context.Background(), openWithin)
	defer cancel()
	if err := transient.Until(ctx, func() (err error) {
		file, err = l.File()
		return err
	}, func(err error) bool { return !errors.Is(err, net.ErrClosed) }); err != nil {
		return nil, fmt.Errorf("another descriptor of the listener: %w", err)
	}
	raw, err := file.SyscallConn()
	if err != nil {
		file.Close()
		return nil, err
	}
	s := &Socket{file: file, raw: raw}
	s.ready.StartAt(time.Now())
	return s, nil
}

// QueuedSince is since when the connection that was accepted last may have waited in the queue at the most: the queue was empty before. It is the
// zero time where that is unknown.
func (s *Socket) QueuedSince() time.Time { return s.ready.Since() }

// SetDeadline sets when Accept fails with os.ErrDeadlineExceeded; the zero time is never.
func (s *Socket) SetDeadline(t time.Time) error { return s.file.SetReadDeadline(t) }

// Close ends an Accept that waits, with net.ErrClosed, and those to come.
func (s *Socket) Close() error {
	s.closed.Store(true)
	return s.file.Close()
}

// mostEmptyAccepts bounds the accepts in a row that find nothing though the queue is not empty: a connection comes between the two as a rule.
const mostEmptyAccepts = 3

// Accept accepts the next connection. Its errors are those of accept4(2), but for the ones that pass by themselves at once.
func (s *Socket) Accept() (*net.TCPConn, error) {
	accepted, failed := -1, error(nil)
	err := s.raw.Read(func(listener uintptr) (done bool) {
		for range mostEmptyAccepts {
			s.ready.Begin()
			accepted, failed = accept(int(listener))
			if done = s.ready.End(listener, unix.POLLIN, failed); !done || failed != unix.EAGAIN {
				return done
			}
		}
		return true
	})
	switch {
	case s.closed.Load():
		if err == nil && failed == nil {
			unix.Close(accepted)
		}
		return nil, net.ErrClosed
	case err != nil:
		return nil, err
	case failed != nil:
		return nil, os.NewSyscallError("accept4", failed)
	}
	return register(accepted)
}

// accept accepts a connection if one is there. It does not use unix.Accept4, which makes a further call on the connection to find out its
// protocol, and closes it where that fails.
func accept(listener int) (accepted int, err error) {
	err = transient.Uninterrupted(func() (failed error) {
		accepted, _, failed = syscall.Accept4(listener, unix.SOCK_CLOEXEC)
		return failed
	})
	return accepted, err
}

// mostRegistrations bounds the attempts to register one connection: with the backoff between them, some 4.8 s.
const mostRegistrations = 100

// register makes a connection of a descriptor, which is closed.
func register(accepted int) (*net.TCPConn, error) {
	file := os.NewFile(uintptr(accepted), "accepted")
	defer file.Close() // the connection has a descriptor of its own
	for failures := 1; ; failures++ {
		conn, err := net.FileConn(file)
		if err == nil {
			return conn.(*net.TCPConn), nil
		}
		if failures == mostRegistrations {
			return nil, fmt.Errorf("an accepted connection is closed as it can't be registered: %w", err)
		}
		time.Sleep(transient.Backoff(failures))
	}
}
