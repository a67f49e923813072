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

// unknownWait keeps one request waiting in the kernel, by a call that fails for a while or comes late, and lets the system not tell for how long:
// TCP_INFO fails from the first read of the request's connection on.
type unknownWait struct {
	call    sysfault.Call // which reads the request, or accepts its connection
	delayed bool          // it comes late, where it fails for a while otherwise
	unknown time.Duration // for so long TCP_INFO fails
	listen  netip.AddrPort

	mu           sync.Mutex
	armed        bool
	since        time.Time // the first call
	unknownSince time.Time // since when TCP_INFO fails
}

// sinceLastData is the option that tells when data has come.
var sinceLastData = sysfault.Option{Level: unix.IPPROTO_TCP, Name: unix.TCP_INFO}

// The cases' times: the client has most of its 1.5 s left after any.
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

// Guards against a deadline that is too long where a request has waited in the kernel and the system does not tell for how long.
func TestUnknownWaitCountsForTheDeadline(t *testing.T) {
	for _, wait := range []struct {
		call       sysfault.Call
		late, kept bool
	}{
		{sysfault.Accept, false, false}, {sysfault.Accept, true, false}, {sysfault.EpollAdd, false, false},
		{sysfault.Read, false, false}, {sysfault.Read, false, true}, {sysfault.Read, true, true},
	} {
		for _, unknown := range []time.Duration{callFailsFor + 100*time.Millisecond, time.Hour} {
			name := fmt.Sprintf("%s, late %t, kept connection %t, unknown for %v", wait.call, wait.late, wait.kept, unknown)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				retryUntilValid(t, func() bool {
					return tryUnknownWait(t, &unknownWait{call: wait.call, delayed: wait.late, unknown: unknown}, wait.kept)
				})
			})
		}
	}
}

// askAfterUnknownWait sends a request that waits, and others behind it that do not. It is false where the machine itself stood still for longer
// than the terms let a process be held up.
func tryUnknownWait(t *testing.T, wait *unknownWait, kept bool) (valid bool) {
	watch := watchMachineStalls()
	world := newTrafficRecord()
	config, listen := configure(t, unusedAddr(t), shutdownSettings(randomDeadline), recordingServer(t, world))
	wait.listen = netip.MustParseAddrPort(listen)
	chosen := []sysfault.Call{wait.call, sysfault.Read, sysfault.GetOption} // a call of the runtime that comes late has the whole process stand still
	_, log := startUnderFaults(t, chosen, wait.decide, "NODE_CONFIG="+config, "NODE_NAME=n1", "NODE_LISTEN="+listen)
	awaitReadyUnderFaults(t, listen)
	c := testClient{listen: listen, name: "client", class: "form-check", keepAlive: kept}
	defer c.close()
	for number := range 6 {
		if number == 1 {
			wait.arm()
		}
		r := world.request(fmt.Sprint("request-", number), c.class)
		r.sentAt = time.Now()
		r.body, r.err = c.do(r.path, r.id)
		if r.took = time.Since(r.sentAt); !kept {
			c.close()
		}
		testkit.Eventually(t, "the server has recorded it", func() bool {
			world.mu.Lock()
			defer world.mu.Unlock()
			return len(r.arrivals) > 0
		})
	}
	if machineStalled(t, watch()) {
		return false
	}
	problems, requests, served := world.evaluate()
	for _, problem := range problems {
		t.Error(problem)
	}
	if served != requests {
		t.Errorf("%d of %d served", served, requests)
	}
	if t.Failed() {
		t.Log(log)
	}
	return true
}
