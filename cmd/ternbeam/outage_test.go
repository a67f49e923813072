package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// The platform's terms for drains: where lists are pushed, what discovery gets at its return counts as told at once, and nothing new
// may go to a server so long after it was told that it drains.
const (
	drainGrace  = 500 * time.Millisecond
	socketSlack = 50 * time.Millisecond
)

// outage is how discovery behaves while it is down. The calls that it took then are never answered, but for queued ones.
type outage string

const (
	hangs        outage = "takes calls and says nothing"
	answersHead  outage = "answers with a head and nothing behind it"
	breaksMidway outage = "answers with half a list and nothing behind it"
	dripsSpace   outage = "answers with a list that never ends"
	unavailable  outage = "answers 503"
	resets       outage = "resets who connects"
	refuses      outage = "refuses connections"
	notAccepting outage = "accepts no connection, its queue is full"
)

// localDiscovery is the discovery service beside one agent: it answers each call at once with what it has, and is down for a while.
type localDiscovery struct {
	addr string

	mu     sync.Mutex
	down   outage        // empty while it is up
	list   string        // the whole list, one line
	turn   chan struct{} // closed at the next outage or return
	calls  chan struct{} // one for each call or connection
	listen net.Listener  // nil while it refuses connections
	fill   []net.Conn    // which fill the queue while it accepts none
}

// newLocalDiscovery runs one until the test ends.
func newLocalDiscovery(t *testing.T, list string) *localDiscovery {
	t.Helper()
	d := &localDiscovery{addr: free(t), list: list, turn: make(chan struct{}), calls: make(chan struct{}, 10_000)}
	d.open(t)
	t.Cleanup(func() { d.setDown(hangs); d.listen.Close() })
	return d
}

// open listens, with a queue as short as there is.
func (d *localDiscovery) open(t *testing.T) {
	t.Helper()
	at, err := net.ResolveTCPAddr("tcp", d.addr)
	if err != nil {
		t.Fatal(err)
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "discovery")
	defer file.Close()
	address := &unix.SockaddrInet4{Port: at.Port, Addr: [4]byte(at.IP.To4())}
	for _, step := range []func() error{
		func() error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1) },
		func() error { return unix.Bind(fd, address) },
		func() error { return unix.Listen(fd, 1) },
	} {
		if err := step(); err != nil {
			t.Fatal(err)
		}
	}
	listen, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	d.mu.Lock()
	d.listen = listen
	d.mu.Unlock()
	server := &http.Server{Handler: http.HandlerFunc(d.serve)}
	go server.Serve(gate{listen, d})
}

// gate accepts no connection while discovery does not, and resets them while that is what it does.
type gate struct {
	net.Listener
	d *localDiscovery
}

func (g gate) Accept() (net.Conn, error) {
	for {
		conn, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		down, turn, _ := g.d.now()
		switch down {
		case notAccepting:
			<-turn
		case resets:
			g.d.called()
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
			continue
		}
		return conn, nil
	}
}

// now is how it behaves, what is closed when that changes, and the list.
func (d *localDiscovery) now() (outage, <-chan struct{}, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.down, d.turn, d.list
}

func (d *localDiscovery) called() { d.calls <- struct{}{} }

// setDown begins an outage.
func (d *localDiscovery) setDown(how outage) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = how
	close(d.turn)
	d.turn = make(chan struct{})
	switch how {
	case refuses:
		d.listen.Close()
	case notAccepting:
		for range 4 { // the queue, and the one that is accepted already
			conn, err := (&net.Dialer{Timeout: 50 * time.Millisecond}).Dial("tcp", d.addr)
			if err == nil {
				d.fill = append(d.fill, conn)
			}
		}
	}
}

// setUp ends the outage: from this moment on it has another list.
func (d *localDiscovery) setUp(t *testing.T, list string) {
	t.Helper()
	down, _, _ := d.now()
	if down == refuses {
		d.open(t)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down, d.list = "", list
	close(d.turn)
	d.turn = make(chan struct{})
	for _, conn := range d.fill {
		conn.Close()
	}
	d.fill = nil
}

// serve answers one call, or falls silent on it. A watch ends or falls silent with the outage, by its kind.
func (d *localDiscovery) serve(w http.ResponseWriter, r *http.Request) {
	down, turn, list := d.now()
	d.called()
	write := func(text string) {
		fmt.Fprint(w, text)
		w.(http.Flusher).Flush()
	}
	silent := func() { <-r.Context().Done() }
	switch down {
	case "", notAccepting:
	case unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case answersHead:
		write("")
		silent()
		return
	case breaksMidway:
		write(list[:len(list)/2])
		silent()
		return
	case dripsSpace:
		write(list[:1])
		for r.Context().Err() == nil {
			write(" ")
			time.Sleep(20 * time.Millisecond)
		}
		return
	default:
		silent()
		return
	}
	write(list)
	if !r.URL.Query().Has("stream") {
		return
	}
	heartbeat := time.NewTicker(2 * time.Second)
	defer heartbeat.Stop()
	for {
		select {
		case <-heartbeat.C:
			write("\n")
			continue
		case <-turn:
		case <-r.Context().Done():
			return
		}
		switch down, _, _ := d.now(); down {
		case unavailable, resets, refuses:
			panic(http.ErrAbortHandler)
		}
		silent() // for good: a watch that has fallen silent is broken
		return
	}
}

// countingServer answers at once and notes when it got its latest request.
type countingServer struct {
	*httptest.Server
	requests atomic.Int64
	latest   atomic.Int64 // Unix nanoseconds
}

func newCountingServer(t *testing.T) *countingServer {
	t.Helper()
	s := &countingServer{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.latest.Store(time.Now().UnixNano())
		s.requests.Add(1)
		fmt.Fprint(w, "done")
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s
}

// sendRequests has some clients send one request after the other until the context ends.
func sendRequests(ctx context.Context, listen string, clients int) (wait func()) {
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for n := 0; ctx.Err() == nil; n++ {
				resp, err := client.Do(word(http.MethodGet, listen, "/form-check/1", "form-check", fmt.Sprintf("%08x%08x", i+1, n), "2"))
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

// listText words a whole list of two servers, of which the first may drain.
func listText(version int, firstState string, servers ...*countingServer) string {
	entries := ""
	for i, s := range servers {
		state := "in_service"
		if i == 0 {
			state = firstState
		} else {
			entries += ","
		}
		entries += fmt.Sprintf(`{"id":"s-%d","addr":%q,"zone":"z","state":%q,"weight":1}`, i, s.Listener.Addr(), state)
	}
	return fmt.Sprintf(`{"version":%d,"full":true,"servers":[%s]}`+"\n", version, entries)
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
	draining, other := newCountingServer(t), newCountingServer(t)
	before, after := listText(1, "in_service", draining, other), listText(2, "terminating", draining, other)
	d := newLocalDiscovery(t, before)
	config, listen := configure(t, d.addr, shutdownSettings(2*time.Second), draining.Listener.Addr(), other.Listener.Addr())
	if c.atStart {
		d.setDown(c.how)
	}
	p := start(t, "NODE_CONFIG="+config, "NODE_NAME=n1", "NODE_LISTEN="+listen)
	awaitReady(t, listen)
	ctx, cancel := context.WithCancel(t.Context())
	wait := sendRequests(ctx, listen, 4)
	defer func() { cancel(); wait() }()
	if !c.atStart {
		time.Sleep(300 * time.Millisecond)
		d.setDown(c.how)
		time.Sleep(4 * time.Second) // open watches have been found silent by then
	}
	d.awaitCall()
	watch := watchMachine()
	got := draining.requests.Load()
	d.setUp(t, after)
	told := time.Now()
	if c.stalled {
		p.signals(t, syscall.SIGSTOP)
		time.Sleep(longestStall)
		p.signals(t, syscall.SIGCONT)
	}
	time.Sleep(time.Until(told.Add(2 * time.Second)))
	bears := longestStall
	if c.stalled { // which has been held up for as long as the terms say already
		bears = longestStall / 3
	}
	if stood := watch(); stood > bears {
		t.Logf("void: the machine stood still for %v", stood)
		return 0, "", true
	}
	if other.requests.Load() == 0 || got == 0 {
		t.Fatalf("the servers had %d and %d requests: nothing is shown\n%s", got, other.requests.Load(), p.log)
	}
	latest := time.Unix(0, draining.latest.Load())
	t.Logf("its latest request came at %s", latest.UTC().Format("15:04:05.000"))
	return latest.Sub(told), p.log.String(), false
}

// awaitCall returns right after a call that discovery takes while it is down, or soon where it sees none.
func (d *localDiscovery) awaitCall() {
	for len(d.calls) > 0 {
		<-d.calls
	}
	select {
	case <-d.calls:
	case <-time.After(time.Second):
	}
	time.Sleep(5 * time.Millisecond)
}

// Discovery beside the agent is down, and returns with a drain right after it has taken a call that it never answers: the worst
// moment. Nothing goes to the server that drains by the grace after the return, whatever the outage is like, and also where the
// process is held up just then.
func TestDrainsOfAnOutageAreHeardInTime(t *testing.T) {
	for _, how := range []outage{hangs, answersHead, breaksMidway, dripsSpace, unavailable, resets, refuses, notAccepting} {
		for _, c := range []outageCase{{how: how}, {how: how, stalled: true}, {how: how, atStart: true}} {
			t.Run(c.String(), func(t *testing.T) {
				t.Parallel()
				for range mostVoidRuns {
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
				t.Fatalf("the machine stood still in each of %d runs: nothing can be said", mostVoidRuns)
			})
		}
	}
}
