package transient

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

func failure(errno syscall.Errno) error {
	return &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", errno)}
}

// Short writes that end in an error which passes lose and repeat no byte.
func TestWriteGoesOnBehindWhatWasWritten(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR} {
		t.Run(fmt.Sprint(errno), func(t *testing.T) {
			var got bytes.Buffer
			calls := 0
			n, err := Write(func(p []byte) (int, error) {
				if calls++; calls%4 != 0 {
					short := min(calls%3, len(p))
					got.Write(p[:short])
					return short, failure(errno)
				}
				return got.Write(p[:min(len(p), 5)])
			}, []byte("an answer of some bytes"))
			for n < len("an answer of some bytes") && err == nil { // a short write without an error is the caller's to go on with
				var more int
				more, err = Write(got.Write, []byte("an answer of some bytes")[n:])
				n += more
			}
			if err != nil || got.String() != "an answer of some bytes" || n != got.Len() {
				t.Errorf("%d bytes, %v: %q", n, err, got.String())
			}
		})
	}
}

// An error that says that the connection is over ends a read or a write at once.
func TestEndedConnectionsAreNotRetried(t *testing.T) {
	for _, over := range []error{failure(syscall.EPIPE), failure(syscall.ECONNRESET), failure(syscall.ENOTCONN), failure(syscall.EBADF), io.EOF, net.ErrClosed,
		os.ErrDeadlineExceeded} {
		calls := 0
		fail := func([]byte) (int, error) { calls++; return 0, over }
		if n, err := Write(fail, []byte("x")); n != 0 || !errors.Is(err, over) || calls != 1 {
			t.Errorf("write: %d, %v in %d calls", n, err, calls)
		}
		if n, err := Read(fail, make([]byte, 1)); n != 0 || !errors.Is(err, over) || calls != 2 {
			t.Errorf("read: %d, %v in %d calls", n, err, calls-1)
		}
	}
}

// An error that may end a connection, or may say nothing of it, is told by the next call: the connection ends there if it is over, after
// two calls and no more, and goes on if it is not.
func TestErrorsThatSayNothingOfThePeer(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.EIO, syscall.EPERM, syscall.ENOMEM} {
		for next, want := range map[error]int{failure(syscall.EPIPE): 0, failure(syscall.ECONNRESET): 0, nil: 1} {
			for name, operation := range map[string]func(func([]byte) (int, error), []byte) (int, error){"read": Read, "write": Write} {
				calls := 0
				n, err := operation(func(p []byte) (int, error) {
					if calls++; calls == 1 {
						return 0, failure(errno)
					}
					return want, next
				}, make([]byte, 1))
				if n != want || err != next || calls != 2 {
					t.Errorf("%s, %v, then %v: %d, %v in %d calls", name, errno, next, n, err, calls)
				}
			}
		}
	}
}

func TestReadIsRepeated(t *testing.T) {
	calls := 0
	n, err := Read(func(p []byte) (int, error) {
		if calls++; calls < 5 {
			return 0, failure(syscall.ENOMEM)
		}
		return copy(p, "x"), io.EOF
	}, make([]byte, 4))
	if n != 1 || err != io.EOF || calls != 5 {
		t.Errorf("%d, %v in %d calls", n, err, calls)
	}
}

func TestUntil(t *testing.T) {
	calls := 0
	if err := Until(context.Background(), func() error {
		if calls++; calls < 4 {
			return failure(syscall.ENFILE)
		}
		return nil
	}, Is); err != nil || calls != 4 {
		t.Errorf("%v in %d calls", err, calls)
	}
	if err := Until(context.Background(), func() error { return os.ErrNotExist }, Is); err != os.ErrNotExist {
		t.Error(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if err := Until(ctx, func() error { return failure(syscall.ENFILE) }, Is); !errors.Is(err, syscall.ENFILE) {
		t.Error(err)
	}
}
