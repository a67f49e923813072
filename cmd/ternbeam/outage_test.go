package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// The platform's terms for drains: where lists are pushed, what discovery gets at its return counts as told at once, and nothing new
// may go to a server so long after it was told that it drains.
const (
	drainGrace  = 500 * time.Millisecond
	socketSlack = 50 * time.Millisecond
)

// countingServer answers at once and notes when it got its latest request.
type countingServer struct {
	*httptest.Server
	requests    atomic.Int64
	latestNanos atomic.Int64 // Unix nanoseconds
}

// newCountingServer runs one until the test ends. Each request is told to got, where that is not nil.
func newCountingServer(t *testing.T, got func()) *countingServer {
	t.Helper()
	s := &countingServer{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.latestNanos.Store(time.Now().UnixNano())
		s.requests.Add(1)
		if got != nil {
			got()
		}
		fmt.Fprint(w, "done")
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s
}

// requestClients is how many clients send requests at a time, each some two hundred a second.
const requestClients = 2

// sendRequests has clients send one request after the other until the context ends.
func sendRequests(ctx context.Context, listen string) (wait func()) {
	var all sync.WaitGroup
	for i := range requestClients {
		all.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for n := 0; ctx.Err() == nil; n++ {
				resp, err := client.Do(newRequest(http.MethodGet, listen, "/form-check/1", "form-check", fmt.Sprintf("%08x%08x", i+1, n), "2"))
				if err == nil {
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	return all.Wait
}

// listed is an entry of a list.
type listEntry struct {
	server    *countingServer
	draining  bool
	startedMS int64
}

// listText words a whole list. Servers are named in their order, as configure names them.
func listText(version int, servers ...listEntry) string {
	entries := make([]string, 0, len(servers))
	for i, s := range servers {
		state := "in_service"
		if s.draining {
			state = "terminating"
		}
		entries = append(entries, fmt.Sprintf(`{"id":"s-%d","addr":%q,"zone":"z","state":%q,"weight":1,"started_ms":%d}`,
			i, s.server.Listener.Addr(), state, s.startedMS))
	}
	return fmt.Sprintf(`{"version":%d,"full":true,"servers":[%s]}`+"\n", version, strings.Join(entries, ","))
}

// outageCase is one way in which discovery is down and returns.
type outageCase struct {
	how     outage
	atStart bool // it is down as the process starts, and has the drain from the process's first moment on
	stalled bool // the process is held up as discovery returns
}

func (c outageCase) String() string {
	switch {
	case c.atStart:
		return string(c.how) + ", at the start"
	case c.stalled:
		return string(c.how) + ", held up"
	}
	return string(c.how)
}

// run plays the case and returns for how long the server that drains was sent to after the agent counts as told. The run is void
// where the machine itself stood still for longer than the terms let a process be held up.
func (c outageCase) run(t *testing.T) (late time.Duration, log string, void bool) {
	draining, other := newCountingServer(t, nil), newCountingServer(t, nil)
	before := listText(1, listEntry{server: draining}, listEntry{server: other})
	after := listText(2, listEntry{server: draining, draining: true}, listEntry{server: other})
	d := newLocalDiscovery(t, before, false)
	config, listen := configure(t, d.addr, shutdownSettings(2*time.Second), draining.Listener.Addr(), other.Listener.Addr())
	if c.atStart {
		d.setDown(c.how)
	}
	p := start(t, "NODE_CONFIG="+config, "NODE_NAME=n1", "NODE_LISTEN="+listen)
	awaitReady(t, listen)
	ctx, cancel := context.WithCancel(t.Context())
	wait := sendRequests(ctx, listen)
	defer func() { cancel(); wait() }()
	if !c.atStart {
		time.Sleep(300 * time.Millisecond)
		d.setDown(c.how)
		time.Sleep(4 * time.Second) // open watches have been found silent by then
	}
	for end := time.Now().Add(time.Minute); draining.requests.Load() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond) // until there is something to stop
	}
	d.awaitCall()
	watch := watchMachineStalls()
	got := draining.requests.Load()
	d.setUp(t, after)
	told := time.Now()
	if c.stalled {
		p.sendSignals(t, syscall.SIGSTOP)
		time.Sleep(maxStall)
		p.sendSignals(t, syscall.SIGCONT)
	}
	time.Sleep(time.Until(told.Add(2 * time.Second)))
	bears := maxStall
	if c.stalled { // which has been held up for as long as the terms say already
		bears = maxStall / 3
	}
	if stood := watch(); stood > bears {
		t.Logf("void: the machine stood still for %v", stood)
		return 0, "", true
	}
	if other.requests.Load() == 0 || got == 0 {
		t.Fatalf("the servers had %d and %d requests: nothing is shown\n%s", got, other.requests.Load(), p.log)
	}
	latest := time.Unix(0, draining.latestNanos.Load())
	t.Logf("its latest request came at %s", latest.UTC().Format("15:04:05.000"))
	return latest.Sub(told), p.log.String(), false
}

// Discovery beside the agent is down, and returns with a drain right after it has taken a call that it never answers: the worst
// moment. Nothing goes to the server that drains by the grace after the return, whatever the outage is like, and also where the
// process is held up just then.
func TestDrainsOfAnOutageAreHeardInTime(t *testing.T) {
	t.Parallel()
	for _, how := range []outage{hangs, sendsHeadOnly, sendsHalfList, sendsSpaces, unavailable, resets, refuses, notAccepting} {
		for _, c := range []outageCase{{how: how}, {how: how, stalled: true}, {how: how, atStart: true}} {
			t.Run(c.String(), func(t *testing.T) {
				t.Parallel()
				for range maxVoidRuns {
					late, log, void := c.run(t)
					if void {
						continue
					}
					t.Logf("the server that drains was sent to for %v", late)
					if late > drainGrace+socketSlack {
						t.Errorf("a server that drains was sent to for %v after the return, over %v\n%s", late, drainGrace+socketSlack, log)
					}
					return
				}
				t.Fatalf("the machine stood still in each of %d runs: nothing can be said", maxVoidRuns)
			})
		}
	}
}
