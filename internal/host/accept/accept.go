// Package accept accepts connections and retries after system errors. accept(2) documents many errors that do not concern the
// listener: errors of the connection to be accepted, and temporary shortages of descriptors or memory. None of them may stop a
// server.
package accept

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"ternbeam/internal/sysio/socketio"
	"ternbeam/internal/sysio/transient"
)

const logInterval = time.Second // minimum interval between log lines

// IsFinal reports whether an error of an accept means that nothing more will be accepted: the listener was closed by this process, or
// its deadline has passed.
func IsFinal(err error) bool {
	return errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded)
}

// Retrier repeats accepts that fail. It is safe for concurrent use.
type Retrier struct {
	log   *slog.Logger
	sleep func(time.Duration)

	mu         sync.Mutex
	failures   int // in a row
	total      int
	lastLogged time.Time
}

// NewRetrier returns a Retrier that logs failures, at most one line per second.
func NewRetrier(log *slog.Logger) *Retrier { return &Retrier{log: log, sleep: time.Sleep} }

// TotalFailures returns how many accepts have failed since the start.
func (r *Retrier) TotalFailures() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}

// Do calls accept until it succeeds or fails with an error for which IsFinal is true. It waits between failures.
func Do[C any](r *Retrier, accept func() (C, error)) (C, error) {
	for {
		conn, err := accept()
		if err == nil {
			r.succeeded()
			return conn, nil
		}
		if IsFinal(err) {
			return conn, err
		}
		r.sleep(r.failed(err))
	}
}

func (r *Retrier) succeeded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = 0
}

// failed counts a failure and returns how long to wait: 0 after a single failure, which may concern only one connection.
func (r *Retrier) failed(err error) (backoff time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures++
	r.total++
	now := time.Now()
	if now.Sub(r.lastLogged) >= logInterval {
		r.lastLogged = now
		r.log.Warn("accepting a connection failed, trying again", "error", err, "in_a_row", r.failures, "in_all", r.total)
	}
	if r.failures == 1 {
		return 0
	}
	return transient.Backoff(r.failures - 1)
}

// Listener is a net.Listener whose Accept fails only when nothing more can be accepted.
type Listener struct {
	*net.TCPListener
	socket  *Socket
	retrier *Retrier
}

// Wrap returns a Listener that accepts from l.
func Wrap(l *net.TCPListener, log *slog.Logger) (*Listener, error) {
	socket, err := NewSocket(l)
	if err != nil {
		return nil, err
	}
	return &Listener{TCPListener: l, socket: socket, retrier: NewRetrier(log)}, nil
}

// Accept implements net.Listener. Reads and writes of the connection are retried after errors while it is established.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := Do(l.retrier, l.socket.Accept)
	if err != nil {
		return nil, err
	}
	return socketio.Wrap(conn), nil
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.socket.Close()
	return l.TCPListener.Close()
}
