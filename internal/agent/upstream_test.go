package agent

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ternbeam/choice"
)

// A dial takes time, and meanwhile the request may have ended, its time may be up, the module may have withdrawn
// it or the backend may have begun to drain: then nothing may be sent.
func TestNothingIsSentAfterASlowDial(t *testing.T) {
	for name, c := range map[string]struct {
		meanwhile func(a *attempt, withdraw context.CancelCauseFunc)
		want      choice.Result
	}{
		"nothing":      {func(*attempt, context.CancelCauseFunc) {}, choice.OK},
		"answered":     {func(a *attempt, _ context.CancelCauseFunc) { a.req.over.Store(true) }, choice.NotSent},
		"drains":       {func(a *attempt, _ context.CancelCauseFunc) { a.backend.closed.Store(true) }, choice.ConnectFailed},
		"withdrawn":    {func(_ *attempt, w context.CancelCauseFunc) { w(errWithdrawn) }, choice.Cancelled},
		"time is over": {func(_ *attempt, w context.CancelCauseFunc) { w(context.DeadlineExceeded) }, choice.NotSent},
	} {
		t.Run(name, func(t *testing.T) {
			var seen attempts
			e := newBackend(t, "b", func(_ http.ResponseWriter, r *http.Request) { seen.add(r) })
			u := newUpstream(trial{}.config(t))
			ctx, withdraw := context.WithCancelCause(context.Background())
			a := &attempt{req: forwardable("id"), backend: &backend{id: "b", addr: e.Addr}}
			dial := u.dial
			u.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
				conn, err := dial(ctx, network, addr)
				c.meanwhile(a, withdraw)
				return conn, err
			}
			got, sent := u.do(ctx, a).result, seen.of("id")
			if want := map[bool]int{true: 1}[c.want == choice.OK]; got != c.want || sent != want {
				t.Errorf("result %d, not %d; the backend got %d requests, not %d", got, c.want, sent, want)
			}
		})
	}
}

// What the backend may have read in whole may have run; only a write that fell short or never began proves that
// it did not.
func TestBreaks(t *testing.T) {
	var seen attempts
	e := newBackend(t, "b", func(w http.ResponseWriter, r *http.Request) {
		if seen.add(r); r.Header.Get("X-Correlation-Id") != "whole" {
			hangUp(w)
		}
	})
	u := newUpstream(trial{}.config(t))
	var breaks atomic.Bool
	dial := u.dial
	u.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return failingWrites{c.(*net.TCPConn), &breaks}, nil
	}
	b := &backend{id: "b", addr: e.Addr}
	do := func(id string) choice.Result {
		return u.do(context.Background(), &attempt{req: forwardable(id), backend: b}).result
	}
	if got := do("read and closed"); got != choice.Reset {
		t.Errorf("result %d of a request that was read", got)
	}
	if got := do("whole"); got != choice.OK || len(b.idle) != 1 {
		t.Fatalf("result %d, %d idle connections", got, len(b.idle))
	}
	breaks.Store(true)
	if got := do("half written"); got != choice.ConnectFailed || seen.of("half written") != 0 {
		t.Errorf("result %d of a request whose write fell short", got)
	}
	if u.count() != 0 {
		t.Errorf("%d broken connections are kept", u.count())
	}
}

type failingWrites struct {
	*net.TCPConn
	breaks *atomic.Bool
}

func (f failingWrites) Write(p []byte) (int, error) {
	if !f.breaks.Load() {
		return f.TCPConn.Write(p)
	}
	n, _ := f.TCPConn.Write(p[:len(p)/2])
	return n, errors.New("broken pipe")
}

// script runs a backend that answers each request on a connection with the next of these texts, as they are, and
// then leaves the connection open and silent.
func script(t *testing.T, answers ...string) (e endpoint, accepted *atomic.Int32) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	accepted = new(atomic.Int32)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for _, answer := range answers {
					req, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					io.Copy(io.Discard, req.Body)
					io.WriteString(c, answer)
				}
				io.Copy(io.Discard, in)
			}()
		}
	}()
	return endpoint{ID: "b", Addr: l.Addr().String(), Zone: "z", Cell: 1, State: "in_service"}, accepted
}

func exchangeOnce(t *testing.T, u *upstream, b *backend, id string) attemptResult {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	return u.do(ctx, &attempt{req: forwardable(id), backend: b})
}

// A spoilt answer is an attempt that may have run. It is known for one well before the time is up, while the
// connection stays open, and that connection is not used again.
func TestSpoiltAnswers(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, answer := range map[string]string{
		"noise":             "\x8e\x1f7\x00noise without a line",
		"noise in lines":    "some\r\nnoise\r\n\r\n",
		"no status":         "HTTP/1.1 fine\r\nContent-Length: 2\r\n\r\nok",
		"unreadable head":   ok + "\x00\x01: \x02\r\nContent-Length: 2\r\n\r\nok",
		"endless head":      ok + strings.Repeat("X-More: and more\r\n", 4000),
		"endless line":      ok + "X-More: " + strings.Repeat("more", 20000),
		"head cut short":    ok + "Content-Len",
		"body cut short":    ok + "Content-Length: 9\r\n\r\nhalf",
		"3 GB":              ok + "Content-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 100000),
		"negative length":   ok + "Content-Length: -2\r\n\r\nok",
		"two lengths":       ok + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok!",
		"length and chunks": ok + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"broken chunks":     ok + "Transfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n0\r\n\r\n",
		"unknown coding":    ok + "Transfer-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
		"no length":         ok + "\r\nok",
		"endless 1xx":       strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 1000),
		"other protocol":    "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			e, _ := script(t, answer)
			u := newUpstream(trial{}.config(t))
			got := exchangeOnce(t, u, &backend{id: "b", addr: e.Addr}, "id")
			if got.result != choice.Failed && got.result != choice.Reset {
				t.Errorf("result %d", got.result)
			}
			if u.count() != 0 {
				t.Error("the connection is kept")
			}
		})
	}
}

// Answers that are in order in spite of what comes with them.
func TestOddAnswers(t *testing.T) {
	const good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for name, answer := range map[string]string{
		"plain":             good,
		"1xx ahead":         strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n", 3) + good,
		"chunks":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n",
		"unreadable report": strings.Replace(good, "\r\n", "\r\nX-Backend-Load: TEXT util=\x80, qps\r\n", 1),
	} {
		t.Run(name, func(t *testing.T) {
			e, _ := script(t, answer)
			u := newUpstream(trial{}.config(t))
			got := exchangeOnce(t, u, &backend{id: "b", addr: e.Addr}, "id")
			if got.result != choice.OK || string(got.body) != "ok" || got.report != choice.NoReport {
				t.Errorf("result %d, %q, report %+v", got.result, got.body, got.report)
			}
		})
	}
}

// The time that one exchange may take says nothing of how long its connection may be idle.
func TestIdleConnectionIsUsedAgain(t *testing.T) {
	const good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	e, accepted := script(t, good, good)
	u := newUpstream(trial{}.config(t))
	u.stall = 50 * time.Millisecond
	b := &backend{id: "b", addr: e.Addr}
	exchangeOnce(t, u, b, "first")
	time.Sleep(3 * u.stall)
	if got := exchangeOnce(t, u, b, "second"); got.result != choice.OK || accepted.Load() != 1 {
		t.Errorf("result %d, %d connections", got.result, accepted.Load())
	}
}

// What stands behind an answer must not be taken for the answer to the next request.
func TestBytesBehindAnAnswerEndItsConnection(t *testing.T) {
	const good = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
	u := newUpstream(trial{}.config(t))
	for name, more := range map[string]string{"a second copy": good, "noise": "\x00\x01"} {
		t.Run(name, func(t *testing.T) {
			e, accepted := script(t, good+more)
			b := &backend{id: "b", addr: e.Addr}
			for i := range 2 {
				if got := exchangeOnce(t, u, b, fmt.Sprint(i)); got.result != choice.OK || string(got.body) != "first" {
					t.Errorf("request %d: result %d, %q", i, got.result, got.body)
				}
			}
			if n := accepted.Load(); n != 2 {
				t.Errorf("%d connections for two requests", n)
			}
		})
	}
}

// The same, where it comes while the connection is idle.
func TestIdleConnectionThatSpeaksIsDropped(t *testing.T) {
	conns := make(chan net.Conn, 2)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {}))
	s.Config.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			conns <- c
		}
	}
	s.Start()
	defer s.Close()
	u := newUpstream(trial{}.config(t))
	b := &backend{id: "b", addr: s.Listener.Addr().String()}
	if got := exchangeOnce(t, u, b, "first"); got.result != choice.OK || len(b.idle) != 1 {
		t.Fatalf("result %d, %d idle connections", got.result, len(b.idle))
	}
	first := b.idle[0]
	io.WriteString(<-conns, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst")
	eventually(t, "it has come", func() bool { return !silent(first.Conn) })
	if got := exchangeOnce(t, u, b, "second"); got.result != choice.OK || len(got.body) != 0 {
		t.Errorf("result %d, %q", got.result, got.body)
	}
	if len(b.idle) != 1 || b.idle[0] == first {
		t.Error("the connection was used again")
	}
}

// An answer may come before a large request is taken whole; the write must not stand in its way.
func TestEarlyAnswer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		c.(*net.TCPConn).SetReadBuffer(4 << 10)
		io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
		l.Accept() // reads nothing till the test ends
		c.Close()
	}()
	u := newUpstream(trial{}.config(t))
	dial := u.dial
	u.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err == nil {
			c.(*net.TCPConn).SetWriteBuffer(4 << 10)
		}
		return c, err
	}
	a := &attempt{req: forwardable("id"), backend: &backend{id: "b", addr: l.Addr().String()}}
	a.req.body = make([]byte, maxBody)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if got := u.do(ctx, a).result; got != choice.Rejected || u.count() != 0 {
		t.Errorf("result %d, %d connections", got, u.count())
	}
}

// At the limit of descriptors the connection that was idle for longest gives way; with none idle an attempt waits
// for a place, and is not sent if none is given up in time.
func TestConnectionLimit(t *testing.T) {
	hold := make(chan struct{})
	arrived := make(chan struct{}, 1)
	serve := func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Correlation-Id") == "held" {
			arrived <- struct{}{}
			<-hold
		}
	}
	x, y := newBackend(t, "x", serve), newBackend(t, "y", serve)
	u := newUpstream(trial{}.config(t))
	u.most = 1
	do := func(id string, e endpoint) choice.Result {
		return exchangeOnce(t, u, &backend{id: e.ID, addr: e.Addr}, id).result
	}
	if a, b := do("a", x), do("b", y); a != choice.OK || b != choice.OK || u.count() != 1 {
		t.Errorf("results %d and %d, %d connections", a, b, u.count())
	}
	first, waiting := make(chan choice.Result, 1), make(chan choice.Result, 2)
	go func() { first <- do("held", x) }()
	<-arrived
	u.timeout = 10 * time.Millisecond
	if got := do("c", y); got != choice.NotSent || len(u.queue) != 0 {
		t.Errorf("result %d with every connection in use, %d wait", got, len(u.queue))
	}
	u.timeout = patience
	for _, id := range []string{"d", "e"} {
		go func() { waiting <- do(id, y) }()
	}
	eventually(t, "two wait", func() bool {
		u.mu.Lock()
		defer u.mu.Unlock()
		return len(u.queue) == 2
	})
	close(hold)
	if a, b, c := <-first, <-waiting, <-waiting; a != choice.OK || b != choice.OK || c != choice.OK {
		t.Errorf("results %d of the one that was in use, %d and %d of those that waited", a, b, c)
	}
	if u.count() > 1 {
		t.Errorf("%d connections", u.count())
	}
}

// A backend that the list says has restarted or moved is another one, with connections of its own.
func TestRestartedBackendGetsNewConnections(t *testing.T) {
	e := newBackend(t, "b", func(http.ResponseWriter, *http.Request) {})
	a, err := New(trial{}.config(t), quiet())
	if err != nil {
		t.Fatal(err)
	}
	a.list(endpointList{Full: true, Servers: []endpoint{e}})
	old := a.backends["b"]
	if got := a.upstream.do(context.Background(), &attempt{req: forwardable("id"), backend: old}); got.result != choice.OK {
		t.Fatalf("result %d", got.result)
	}
	a.list(endpointList{Servers: []endpoint{e}})
	if a.backends["b"] != old || len(old.idle) != 1 {
		t.Error("an entry without news cost the connections")
	}
	e.StartedMS = time.Now().UnixMilli()
	a.list(endpointList{Servers: []endpoint{e}})
	if a.backends["b"] == old || !old.closed.Load() || a.upstream.count() != 0 {
		t.Error("the connections of its earlier life are kept")
	}
	e.State = "terminating"
	a.list(endpointList{Servers: []endpoint{e}})
	if len(a.backends) != 0 {
		t.Error("a draining backend can still be sent to")
	}
}

func TestParseReport(t *testing.T) {
	fields := []string{"util", "qps", "eps"}
	for text, want := range map[string]choice.Report{
		"TEXT util=0.61, qps=40.5, eps=0": {Util: 0.61, Rate: 40.5, Errors: 0, InFlight: -1, Queue: -1},
		"TEXT qps=7,inflight=3":           {Util: -1, Rate: 7, Errors: -1, InFlight: -1, Queue: -1},
		"TEXT util=NaN, qps=-1, eps=x":    choice.NoReport,
		"util=0.5":                        choice.NoReport,
		"":                                choice.NoReport,
	} {
		if got := parseReport(text, fields); got != want {
			t.Errorf("%q: %+v", text, got)
		}
	}
}
