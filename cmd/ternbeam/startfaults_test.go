package main

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"ternbeam/internal/lab/sysfault"
)

// Guards against a process that refuses to start because a system call on its configuration file fails temporarily.
func TestStartRetriesReadingTheConfiguration(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EIO, syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.EINTR, syscall.ESTALE} {
		t.Run(fmt.Sprint(errno), func(t *testing.T) {
			t.Parallel()
			config, listen := configure(t, unusedAddr(t), shutdownSettings(1509*time.Millisecond), slowServer(t))
			var mu sync.Mutex
			failures := 0
			decide := func(e sysfault.Event) sysfault.Outcome {
				mu.Lock()
				defer mu.Unlock()
				if e.Path != config || failures == 20 {
					return sysfault.Outcome{}
				}
				failures++
				return sysfault.Outcome{Errno: errno}
			}
			startReadyUnderFaults(t, []sysfault.Call{sysfault.OpenFile}, decide, config, listen)
			mu.Lock()
			defer mu.Unlock()
			if failures != 20 {
				t.Errorf("%d calls failed", failures)
			}
		})
	}
}

// Guards against a process that refuses to start because the system temporarily denies it sockets.
func TestStartRetriesCreatingSockets(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EACCES, syscall.EPERM, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		t.Run(fmt.Sprint(errno), func(t *testing.T) {
			t.Parallel()
			const denied = 500 * time.Millisecond // from the first call on; a call that is not retried for so long is never retried
			config, listen := configure(t, unusedAddr(t), shutdownSettings(1509*time.Millisecond), slowServer(t))
			var first time.Time
			decide := func(sysfault.Event) sysfault.Outcome {
				if first.IsZero() {
					first = time.Now()
				}
				if time.Since(first) > denied {
					return sysfault.Outcome{}
				}
				return sysfault.Outcome{Errno: errno}
			}
			startReadyUnderFaults(t, []sysfault.Call{sysfault.NewSocket}, decide, config, listen)
		})
	}
}
