package main

import (
	"context"
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ternbeam/internal/lab/sysfault"
)

// Guards against requests to a draining server because the agent did not read the drain that discovery sent: a system call on the connection to
// discovery failed.
func TestDrainsAreReadDespiteFailedSystemCalls(t *testing.T) {
	t.Parallel()
	for _, errno := range []syscall.Errno{syscall.EAGAIN, syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EIO, syscall.EBADF} {
		for _, every := range []int64{2, 3} {
			t.Run(fmt.Sprintf("%v, each %d.", errno, every), func(t *testing.T) {
				t.Parallel()
				draining, other := newCountingServer(t, nil), newCountingServer(t, nil)
				d := newLocalDiscovery(t, listText(1, listEntry{server: draining}, listEntry{server: other}), true)
				config, listen := configure(t, d.addr, shutdownSettings(2*time.Second), draining.Listener.Addr(), other.Listener.Addr())
				var reads atomic.Int64
				_, log := startUnderFaults(t, []sysfault.Call{sysfault.Read}, func(e sysfault.Event) sysfault.Outcome {
					if e.Remote.String() != d.addr || reads.Add(1)%every != 0 {
						return sysfault.Outcome{}
					}
					return sysfault.Outcome{Errno: errno}
				}, "NODE_CONFIG="+config, "NODE_NAME=n1", "NODE_LISTEN="+listen)
				awaitReadyUnderFaults(t, listen)
				ctx, cancel := context.WithCancel(t.Context())
				wait := sendRequests(ctx, listen)
				defer func() { cancel(); wait() }()
				time.Sleep(500 * time.Millisecond)
				if draining.requests.Load() == 0 {
					t.Fatalf("the server received no request before the drain: no result\n%s", log)
				}
				d.setList(listText(2, listEntry{server: draining, draining: true}, listEntry{server: other}))
				drained := time.Now()
				time.Sleep(2 * time.Second)
				if late := time.Unix(0, draining.latestNanos.Load()).Sub(drained); late > drainGrace+socketSlack {
					t.Errorf("the draining server received requests for %v, over %v\n%s", late, drainGrace+socketSlack, log)
				}
			})
		}
	}
}
