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

// The platform's rules for drains: if lists are pushed, the agent counts as knowing of a drain at once, or as soon as discovery is up again. From
// drainGrace after that, no new request may go to the draining server.
const (
	drainGrace  = 500 * time.Millisecond
	socketSlack = 50 * time.Millisecond
)

// countingServer answers at once, counts requests and records when it received the latest.
type countingServer struct {
	*httptest.Server
	requests    atomic.Int64
	latestNanos atomic.Int64 // Unix nanoseconds
}

// newCountingServer starts a server that runs until the test ends. It calls onRequest for each request, unless that is nil.
func newCountingServer(t *testing.T, onRequest func()) *countingServer {
	t.Helper()
	s := &countingServer{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.latestNanos.Store(time.Now().UnixNano())
		s.requests.Add(1)
		if onRequest != nil {
			onRequest()
		}
		fmt.Fprint(w, "done")
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s
}

// requestClients is how many clients send requests at a time, each about 200 a second.
const requestClients = 2

// sendRequests starts clients that each send one request after the other until the context ends.
func sendRequests(ctx context.Context, listen string) (wait func()) {
	var clients sync.WaitGroup
	for i := range requestClients {
		clients.Go(func() {
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
	return clients.Wait
}

// listEntry is an entry of a list.
type listEntry struct {
	server    *countingServer
	draining  bool
	startedMS int64
}

// listText returns a full list as text. Server ids follow from their order, as in configure.
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

// outageCase describes how discovery goes down and comes back.
type outageCase struct {
	how     outage
	atStart bool // it is down when the process starts, and the drain is in its list from then on
	stalled bool // the process is stopped when discovery comes back
}

func (c outageCase) String() string {
	switch {
	case c.atStart:
		return string(c.how) + ", at the start"
	case c.stalled:
		return string(c.how) + ", process stopped"
	}
	return string(c.how)
}

// run runs the case and returns for how long the draining server received requests after the agent counts as knowing of the drain. The run is void
// if the machine itself stalled for longer than the platform may stall a process.
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
		time.Sleep(4 * time.Second) // by then the agent has detected that its watches are silent
	}
	for end := time.Now().Add(time.Minute); draining.requests.Load() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond) // until the server receives requests
	}
	d.awaitCall()
	watch := watchMachineStalls()
	requestsBefore := draining.requests.Load()
	d.setUp(t, after)
	returned := time.Now()
	if c.stalled {
		p.sendSignals(t, syscall.SIGSTOP)
		time.Sleep(maxStall)
		p.sendSignals(t, syscall.SIGCONT)
	}
	time.Sleep(time.Until(returned.Add(2 * time.Second)))
	tolerance := maxStall
	if c.stalled { // the test already stopped the process for as long as the platform may
		tolerance = maxStall / 3
	}
	if longest := watch(); longest > tolerance {
		t.Logf("void: the machine stood still for %v", longest)
		return 0, "", true
	}
	if other.requests.Load() == 0 || requestsBefore == 0 {
		t.Fatalf("the servers received %d and %d requests: no result\n%s", requestsBefore, other.requests.Load(), p.log)
	}
	latest := time.Unix(0, draining.latestNanos.Load())
	t.Logf("the draining server received its latest request at %s", latest.UTC().Format("15:04:05.000"))
	return latest.Sub(returned), p.log.String(), false
}

// Checks that no request reaches a draining server later than the grace period after discovery comes back with the drain, for every kind of outage.
// Discovery comes back at the worst moment, right after it has accepted a call that it never answers; the process may be stopped just then.
func TestDrainsTakeEffectInTimeAfterADiscoveryOutage(t *testing.T) {
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
					t.Logf("the draining server received requests for %v", late)
					if late > drainGrace+socketSlack {
						t.Errorf("the draining server received requests for %v after discovery came back, over %v\n%s", late, drainGrace+socketSlack, log)
					}
					return
				}
				t.Fatalf("the machine stood still in each of %d runs: no result", maxVoidRuns)
			})
		}
	}
}
