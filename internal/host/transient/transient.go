// Package transient repeats operations that fail for a moment: system calls that a signal interrupts, or for which the system has
// no memory, buffers or descriptors just then. Such errors say nothing of the connection or file that they are about.
package transient

import (
	"context"
	"errors"
	"syscall"
	"time"
)

const (
	firstBackoff = time.Millisecond
	mostBackoff  = 50 * time.Millisecond
	// mostFailures bounds the failures in a row of one operation: with the backoff above, some 4.8 s.
	mostFailures = 100
)

// errnos are the errors that pass by themselves.
var errnos = []error{syscall.EINTR, syscall.ENOBUFS, syscall.ENOMEM, syscall.EMFILE, syscall.ENFILE}

// Is reports whether an error is one that passes by itself.
func Is(err error) bool {
	for _, errno := range errnos {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// Backoff is how long to wait after so many failures in a row, of which there is at least one.
func Backoff(failures int) time.Duration {
	return min(firstBackoff<<min(failures-1, 10), mostBackoff)
}

// Read calls read again for as long as it fails with an error that passes.
func Read(read func([]byte) (int, error), p []byte) (n int, err error) {
	for failures := 1; ; failures++ {
		n, err = read(p)
		if n > 0 || !Is(err) || failures > mostFailures {
			return n, err
		}
		time.Sleep(Backoff(failures))
	}
}

// Write writes all of p, and goes on behind what was written after an error that passes.
func Write(write func([]byte) (int, error), p []byte) (n int, err error) {
	for failures := 1; ; failures++ {
		var more int
		more, err = write(p[n:])
		n += more
		if !Is(err) || failures > mostFailures {
			return n, err
		}
		if more > 0 {
			failures = 1
		}
		time.Sleep(Backoff(failures))
	}
}

// Until calls try until it succeeds, the retry function says that its error does not pass, or ctx ends. It returns the last error.
func Until(ctx context.Context, try func() error, retry func(error) bool) error {
	for failures := 1; ; failures++ {
		err := try()
		if err == nil || !retry(err) {
			return err
		}
		select {
		case <-time.After(Backoff(failures)):
		case <-ctx.Done():
			return err
		}
	}
}
