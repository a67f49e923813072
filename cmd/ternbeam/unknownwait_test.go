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
	late    bool          // it comes late, where it fails for a while otherwise
	unknown time.Duration // for so long TCP_INFO fails
	on      netip.AddrPort

	mu         sync.Mutex
	armed      bool
	since      time.Time // the first call
	unknownNow time.Time // since when TCP_INFO fails
}

// sinceLastData is the option that tells when data has come.
var sinceLastData = sysfault.Option{Level: unix.IPPROTO_TCP, Name: unix.TCP_INFO}

// The cases' times: the client has most of its 1.5 s left after any.
const (
	callFails  = 500 * time.Millisecond
	callIsLate = 400 * time.Millisecond
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
	if !w.armed || e.Local != w.on {
		return sysfault.Outcome{}
	}
	if e.Call == sysfault.Read && w.unknownNow.IsZero() {
		w.unknownNow = time.Now()
	}
	switch {
	case e.Call == w.call:
		return w.delay()
	case e.Option == sinceLastData && !w.unknownNow.IsZero() && time.Since(w.unknownNow) < w.unknown:
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
	case w.late && first:
		return sysfault.Outcome{Hold: callIsLate}
	case !w.late && time.Since(w.since) < callFails:
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
		{sysfault.Accept, false, false}, {sysfault.Accept, true, false}, {sysfault.EpollCtl, false, false},
		{sysfault.Read, false, false}, {sysfault.Read, false, true}, {sysfault.Read, true, true},
	} {
		for _, unknown := range []time.Duration{callFails + 100*time.Millisecond, time.Hour} {
			name := fmt.Sprintf("%s, late %t, kept connection %t, unknown for %v", wait.call, wait.late, wait.kept, unknown)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				untilValid(t, func() bool {
					return askAfterUnknownWait(t, &unknownWait{call: wait.call, late: wait.late, unknown: unknown}, wait.kept)
				})
			})
		}
	}
}

// askAfterUnknownWait sends a request that waits, and others behind it that do not. It is false where the machine itself stood still for longer
// than the terms let a process be held up.
func askAfterUnknownWait(t *testing.T, wait *unknownWait, kept bool) (valid bool) {
	watch := watchMachine()
	world := newWorldRecord()
	config, listen := configure(t, free(t), shutdownSettings(randomDeadline), recordingServer(t, world))
	wait.on = netip.MustParseAddrPort(listen)
	chosen := []sysfault.Call{wait.call, sysfault.Read, sysfault.GetSockOpt} // a call of the runtime that comes late has the whole process stand still
	_, log := startUnderFaults(t, chosen, wait.decide, "NODE_CONFIG="+config, "NODE_NAME=n1", "NODE_LISTEN="+listen)
	eventuallyReady(t, listen)
	c := patientClient{listen: listen, name: "client", class: "form-check", keep: kept}
	defer c.close()
	for number := range 6 {
		if number == 1 {
			wait.arm()
		}
		r := world.request(fmt.Sprint("request-", number), c.class)
		r.begin = time.Now()
		r.body, r.err = c.ask(r.path, r.id)
		if r.took = time.Since(r.begin); !kept {
			c.close()
		}
		testkit.Eventually(t, "the server has recorded it", func() bool {
			world.mu.Lock()
			defer world.mu.Unlock()
			return len(r.arrivals) > 0
		})
	}
	if stoodStill(t, watch()) {
		return false
	}
	problems, requests, served := world.judge()
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
