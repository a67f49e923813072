// Package transient repeats operations that fail for a moment, as system calls do that a signal interrupts, or for which the system has no
// memory, buffers or descriptors just then.
package transient

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"
)

const (
	firstBackoff = time.Millisecond
	mostBackoff  = 50 * time.Millisecond
	// MostFailures bounds the failures in a row of one operation: with Backoff between them, some 4.8 s.
	MostFailures = 100
)

// Backoff is how long to wait after so many failures in a row, of which there is at least one.
func Backoff(failures int) time.Duration {
	return min(firstBackoff<<min(failures-1, 10), mostBackoff)
}

// Passing returns a retry function for Until, which reports whether an error is one of the system that may pass: not one of those that last.
func Passing(lasting ...syscall.Errno) func(error) bool {
	return func(err error) bool {
		errno := syscall.Errno(0)
		return errors.As(err, &errno) && !slices.Contains(lasting, errno)
	}
}

// Always is a retry function for Until that goes on through every error.
func Always(error) bool { return true }

// TellingFirst returns a retry function for Until that decides as another does, and tells of the first failure.
func TellingFirst(tell func(error), retry func(error) bool) func(error) bool {
	told := false
	return func(err error) bool {
		if !told {
			told = true
			tell(err)
		}
		return retry(err)
	}
}

// Uninterrupted makes a system call, again for as long as a signal comes between.
func Uninterrupted(call func() error) error {
	for {
		if err := call(); err != syscall.EINTR {
			return err
		}
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
