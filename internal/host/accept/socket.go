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

// Socket accepts the connections of a listener. It keeps a connection that the kernel has handed over even if registering it fails at first.
//
// net.TCPListener closes an accepted connection if registering it with the poller fails for lack of memory or of watches
// (epoll_ctl(2): ENOMEM, ENOSPC). A client's request may have arrived on it by then and would be lost. A Socket retries the registration
// up to maxRegistrations times instead. One goroutine at a time may call Accept; the other methods are safe for concurrent use.
type Socket struct {
	file   *os.File // a duplicate descriptor of the listening socket
	raw    syscall.RawConn
	closed atomic.Bool
	ready  socketio.Readiness // of the accept queue
}

// openTimeout is how long opening a Socket is retried.
const openTimeout = 4 * time.Second

// NewSocket returns a Socket for a listener, which stays open. It retries for up to openTimeout after errors such as a lack of descriptors.
func NewSocket(l *net.TCPListener) (*Socket, error) {
	var file *os.File
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	if err := transient.Retry(ctx, func() (err error) {
		file, err = l.File()
		return err
	}, func(err error) bool { return !errors.Is(err, net.ErrClosed) }); err != nil {
		return nil, fmt.Errorf("duplicating the listener's descriptor: %w", err)
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

// QueuedSince returns the earliest time at which the connection that was accepted last may have entered the queue, which was empty before.
// It is the zero time if that is unknown.
func (s *Socket) QueuedSince() time.Time { return s.ready.ReadySince() }

// SetDeadline sets the deadline after which Accept fails with os.ErrDeadlineExceeded. The zero time means no deadline.
func (s *Socket) SetDeadline(t time.Time) error { return s.file.SetReadDeadline(t) }

// Close makes pending and future calls of Accept fail with net.ErrClosed.
func (s *Socket) Close() error {
	s.closed.Store(true)
	return s.file.Close()
}

// maxEmptyAccepts limits consecutive accepts that find nothing although the queue is not empty afterwards: usually a connection has arrived
// between the two calls.
const maxEmptyAccepts = 3

// Accept accepts the next connection. Its errors are those of accept4(2), except transient ones that it retries at once.
func (s *Socket) Accept() (*net.TCPConn, error) {
	accepted, failed := -1, error(nil)
	err := s.raw.Read(func(listener uintptr) (done bool) {
		for range maxEmptyAccepts {
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

// accept accepts a connection if one is queued. It does not use unix.Accept4, which makes another system call on the connection to
// determine its protocol, and closes it if that fails.
func accept(listener int) (accepted int, err error) {
	err = transient.RetryEINTR(func() (failed error) {
		accepted, _, failed = syscall.Accept4(listener, unix.SOCK_CLOEXEC)
		return failed
	})
	return accepted, err
}

// maxRegistrations limits the attempts to register one connection, which take some 4.8 s with the backoff between them.
const maxRegistrations = 100

// register returns a connection for a descriptor. It closes the descriptor itself, as the connection has a duplicate.
func register(accepted int) (*net.TCPConn, error) {
	file := os.NewFile(uintptr(accepted), "accepted")
	defer file.Close() // the connection has its own descriptor
	for failures := 1; ; failures++ {
		conn, err := net.FileConn(file)
		if err == nil {
			return conn.(*net.TCPConn), nil
		}
		if failures == maxRegistrations {
			return nil, fmt.Errorf("an accepted connection is closed as it can't be registered: %w", err)
		}
		time.Sleep(transient.Backoff(failures))
	}
}
