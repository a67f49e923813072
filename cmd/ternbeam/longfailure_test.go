package main

import (
	"fmt"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	"ternbeam/internal/lab/sysfault"
)

// failingFor makes the traced system calls of a process fail on some sockets, for some time from the first call after it is armed.
type failingFor struct {
	errno    syscall.Errno
	duration time.Duration

	mu    sync.Mutex
	armed bool
	since time.Time
}

func (f *failingFor) arm() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.armed = true
}

func (f *failingFor) decider(matches func(local netip.AddrPort) bool) sysfault.Decider {
	return func(e sysfault.Event) sysfault.Outcome {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !f.armed || !matches(e.Local) {
			return sysfault.Outcome{}
		}
		if f.since.IsZero() {
			f.since = time.Now()
		}
		if time.Since(f.since) > f.duration {
			return sysfault.Outcome{}
		}
		return sysfault.Outcome{Errno: f.errno}
	}
}

// Guards against answers that are dropped while system calls on their client's connection fail, although the client still waits.
func TestAnswersSurviveSystemCallsThatFailForOverASecond(t *testing.T) {
	t.Parallel()
	const failing = 1200 * time.Millisecond // clients wait for 1.5 s
	for _, call := range []sysfault.Call{sysfault.Write, sysfault.Read, sysfault.Accept} {
		for _, errno := range []syscall.Errno{syscall.ENOBUFS, syscall.EAGAIN, syscall.ECONNRESET} {
			t.Run(fmt.Sprint(call, " ", errno), func(t *testing.T) {
				t.Parallel()
				f := &failingFor{errno: errno, duration: failing}
				config, listen := configure(t, unusedAddr(t), shutdownSettings(randomDeadline), slowServer(t))
				_, log := startUnderFaults(t, []sysfault.Call{call}, f.decider(onAddress(listen)), "NODE_CONFIG="+config, "NODE_NAME=n1", "NODE_LISTEN="+listen)
				awaitReadyUnderFaults(t, listen)
				f.arm()
				var wait sync.WaitGroup
				for number := range 4 {
					c := testClient{listen: listen, name: fmt.Sprint("client-", number), class: []string{"form-check", "refund-pay"}[number%2]}
					wait.Go(func() { c.run(t, 1) })
				}
				wait.Wait()
				if t.Failed() {
					t.Log(log)
				}
			})
		}
	}
}
