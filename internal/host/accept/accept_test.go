package accept

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// documented are the errors that accept(2) lists, except EAGAIN and EINTR, which the poller handles.
var documented = []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM,
	syscall.EPROTO, syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP,
	syscall.ENETUNREACH, syscall.ETIMEDOUT, syscall.ECONNRESET, syscall.ENOSR, syscall.EINVAL, syscall.EBADF}

func acceptError(err error) error {
	return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
}

// Accepting continues after each documented error, whether it occurs once or repeatedly.
func TestAcceptContinuesAfterDocumentedErrors(t *testing.T) {
	for _, errno := range documented {
		for _, times := range []int{1, 100} {
			t.Run(fmt.Sprint(errno, " ", times), func(t *testing.T) {
				var text strings.Builder
				r := NewRetrier(slog.New(slog.NewTextHandler(&text, nil)))
				var waits []time.Duration
				r.sleep = func(d time.Duration) { waits = append(waits, d) }
				calls := 0
				got, err := Do(r, func() (string, error) {
					if calls++; calls <= times {
						return "", acceptError(errno)
					}
					return "connection", nil
				})
				if err != nil || got != "connection" || r.TotalFailures() != times {
					t.Errorf("%q, %v after %d failures", got, err, r.TotalFailures())
				}
				if waits[0] != 0 {
					t.Errorf("waits for %v after a single failure", waits[0])
				}
				for _, d := range waits {
					if d > 50*time.Millisecond {
						t.Errorf("waits for %v", d)
					}
				}
				if n := strings.Count(text.String(), "\n"); n < 1 || n > 2 || !strings.Contains(text.String(), errno.Error()) {
					t.Errorf("%d lines: %s", n, text.String())
				}
			})
		}
	}
}

// Errors that end the listener itself are not retried.
func TestPermanentErrorsAreNotRetried(t *testing.T) {
	for _, final := range []error{net.ErrClosed, os.ErrDeadlineExceeded} {
		r := NewRetrier(slog.New(slog.DiscardHandler))
		if _, err := Do(r, func() (net.Conn, error) { return nil, &net.OpError{Op: "accept", Err: final} }); !errors.Is(err, final) {
			t.Errorf("%v for %v", err, final)
		}
	}
}
