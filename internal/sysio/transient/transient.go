// Package transient retries operations that fail temporarily, such as system calls that are interrupted by a signal or that find the system
// short of memory, buffers or descriptors.
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
	maxBackoff   = 50 * time.Millisecond
	// MaxFailures limits the consecutive failures of one operation. With Backoff between them this takes some 4.8 s.
	MaxFailures = 100
)

// Backoff returns how long to wait after this number of consecutive failures, which is at least 1.
func Backoff(failures int) time.Duration {
	return min(firstBackoff<<min(failures-1, 10), maxBackoff)
}

// ErrnoExcept returns a retry function for Retry that accepts every error which wraps a syscall.Errno, except for the permanent ones given.
func ErrnoExcept(permanent ...syscall.Errno) func(error) bool {
	return func(err error) bool {
		errno := syscall.Errno(0)
		return errors.As(err, &errno) && !slices.Contains(permanent, errno)
	}
}

// Always is a retry function for Retry that accepts every error.
func Always(error) bool { return true }

// NotifyFirst returns a retry function for Retry that decides like the given one and calls notify for the first failure.
func NotifyFirst(notify func(error), retry func(error) bool) func(error) bool {
	notified := false
	return func(err error) bool {
		if !notified {
			notified = true
			notify(err)
		}
		return retry(err)
	}
}

// RetryEINTR makes a system call and repeats it as long as it returns EINTR.
func RetryEINTR(call func() error) error {
	for {
		if err := call(); err != syscall.EINTR {
			return err
		}
	}
}

// Retry calls try until it succeeds, the retry function rejects its error, or ctx is done. It waits for Backoff between the calls and returns
// the last error.
func Retry(ctx context.Context, try func() error, retry func(error) bool) error {
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
