package transient

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

func failure(errno syscall.Errno) error {
	return &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", errno)}
}

func isENFILE(err error) bool { return errors.Is(err, syscall.ENFILE) }

func TestRetry(t *testing.T) {
	calls := 0
	if err := Retry(context.Background(), func() error {
		if calls++; calls < 4 {
			return failure(syscall.ENFILE)
		}
		return nil
	}, isENFILE); err != nil || calls != 4 {
		t.Errorf("%v in %d calls", err, calls)
	}
	if err := Retry(context.Background(), func() error { return os.ErrNotExist }, isENFILE); err != os.ErrNotExist {
		t.Error(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if err := Retry(ctx, func() error { return failure(syscall.ENFILE) }, isENFILE); !errors.Is(err, syscall.ENFILE) {
		t.Error(err)
	}
}

func TestNotifyFirst(t *testing.T) {
	var notified []error
	retry := NotifyFirst(func(err error) { notified = append(notified, err) }, isENFILE)
	first, second := failure(syscall.ENFILE), failure(syscall.EMFILE)
	if !retry(first) || retry(second) || len(notified) != 1 || notified[0] != first {
		t.Errorf("notified of %v", notified)
	}
}
