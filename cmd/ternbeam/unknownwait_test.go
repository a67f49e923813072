package main

import (
	"fmt"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"ternbeam/internal/lab/sysfault"
	"ternbeam/internal/lab/testkit"
)

// unknownWait makes one request wait in the kernel, through a system call that fails for a while or is delayed, and hides for how long: TCP_INFO
// fails from the first read of the request's connection on.
type unknownWait struct {
	call    sysfault.Call // the call that reads the request or accepts its connection
	delayed bool          // the call is delayed; otherwise it fails for a while
	unknown time.Duration // how long TCP_INFO fails
	listen  netip.AddrPort

	mu           sync.Mutex
	armed        bool
	since        time.Time // the first call
	unknownSince time.Time // when TCP_INFO started to fail
}

// sinceLastData is the socket option that returns when data last arrived.
var sinceLastData = sysfault.Option{Level: unix.IPPROTO_TCP, Name: unix.TCP_INFO}

// How long the call fails or is delayed. The client has most of its 1.5 s left after either.
const (
	callFailsFor = 500 * time.Millisecond
	callDelay    = 400 * time.Millisecond
)

func (w *unknownWait) arm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed = true
}

// decide is a sysfault.Decider.
func (w *unknownWait) decide(e sysfault.Event) sysfault.Outcome {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.armed || e.Local != w.listen {
		return sysfault.Outcome{}
	}
	if e.Call == sysfault.Read && w.unknownSince.IsZero() {
		w.unknownSince = time.Now()
	}
	switch {
	case e.Call == w.call:
		return w.delay()
	case e.Option == sinceLastData && !w.unknownSince.IsZero() && time.Since(w.unknownSince) < w.unknown:
		return sysfault.Outcome{Errno: syscall.EINVAL}
	}
	return sysfault.Outcome{}
}

func (w *unknownWait) delay() sysfault.Outcome {
	first := w.since.IsZero()
	if first {
		w.since = time.Now()
	}
	switch {
	case w.delayed && first:
		return sysfault.Outcome{Hold: callDelay}
	case !w.delayed && time.Since(w.since) < callFailsFor:
		return sysfault.Outcome{Errno: syscall.ENOBUFS}
	}
	return sysfault.Outcome{}
}

// Guards against a forwarded deadline that is too long if a request has waited in the kernel and the kernel does not report for how long.
func TestUnknownWaitInTheKernelCountsAgainstTheDeadline(t *testing.T) {
	for _, wait := range []struct {
		call          sysfault.Call
		delayed, kept bool
	}{
		{sysfault.Accept, false, false}, {sysfault.Accept, true, false}, {sysfault.EpollCtl, false, false},
		{sysfault.Read, false, false}, {sysfault.Read, false, true}, {sysfault.Read, true, true},
	} {
		for _, unknown := range []time.Duration{callFailsFor + 100*time.Millisecond, time.Hour} {
			name := fmt.Sprintf("%s, late %t, kept connection %t, unknown for %v", wait.call, wait.delayed, wait.kept, unknown)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				retryUntilValid(t, func() bool {
					return tryUnknownWait(t, &unknownWait{call: wait.call, delayed: wait.delayed, unknown: unknown}, wait.kept)
				})
			})
		}
	}
}

// tryUnknownWait sends a request that waits in the kernel, and others behind it that do not. It returns false if the machine itself stalled for
// longer than the platform may stall a process.
func tryUnknownWait(t *testing.T, wait *unknownWait, kept bool) (valid bool) {
	watch := watchMachineStalls()
	traffic := newTrafficRecord()
	config, listen := configure(t, unusedAddr(t), shutdownSettings(randomDeadline), recordingServer(t, traffic))
	wait.listen = netip.MustParseAddrPort(listen)
	calls := []sysfault.Call{wait.call, sysfault.Read, sysfault.GetSockOpt} // a delayed call of the Go runtime stalls the whole process
	_, log := startUnderFaults(t, calls, wait.decide, "NODE_CONFIG="+config, "NODE_NAME=n1", "NODE_LISTEN="+listen)
	awaitReadyUnderFaults(t, listen)
	c := testClient{listen: listen, name: "client", class: "form-check", keepAlive: kept}
	defer c.close()
	for number := range 6 {
		if number == 1 {
			wait.arm()
		}
		r := traffic.request(fmt.Sprint("request-", number), c.class)
		r.sentAt = time.Now()
		r.body, r.err = c.do(r.path, r.id)
		if r.took = time.Since(r.sentAt); !kept {
			c.close()
		}
		testkit.Eventually(t, "the server has recorded it", func() bool {
			traffic.mu.Lock()
			defer traffic.mu.Unlock()
			return len(r.arrivals) > 0
		})
	}
	if machineStalled(t, watch()) {
		return false
	}
	violations, requests, served := traffic.evaluate()
	for _, violation := range violations {
		t.Error(violation)
	}
	if served != requests {
		t.Errorf("%d of %d served", served, requests)
	}
	if t.Failed() {
		t.Log(log)
	}
	return true
}
