package httpback

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/lifecycle"
	"ternbeam/internal/host/core"
	"ternbeam/internal/host/exchange"
	"ternbeam/internal/host/membudget"
	"ternbeam/internal/host/pool"
	"ternbeam/internal/http/httpmsg"
	"ternbeam/internal/lab/testkit"
	"ternbeam/internal/sysio/peek"
)

// newTransport returns a transport over a pool of its own, with generous defaults for settings that are left out.
func newTransport(set pool.Settings) *exchange.Transport {
	if set.DialTimeout == 0 {
		set.DialTimeout = testkit.WaitTimeout
	}
	if set.MaxConns == 0 {
		set.MaxConns = 100
	}
	set.IdleTimeout = time.Minute
	return New(pool.New(set), []string{"util", "qps", "eps"}, false, membudget.New(16<<20))
}

func attempt(id string, s *lifecycle.Server) *core.Attempt {
	return &core.Attempt{Call: &core.Call{Request: choice.Request{ID: id}}, Server: s, Payload: &httpmsg.Request{
		Method: http.MethodPost, URL: &url.URL{Path: "/pay/x"}, Header: http.Header{"X-Correlation-Id": {id}}}}
}

func openConns(u *exchange.Transport) int { open, _, _ := u.Pool.Count(); return open }
func idleConns(u *exchange.Transport) int { _, idle, _ := u.Pool.Count(); return idle }

// startServer starts a server with the given handler.
func startServer(t *testing.T, serve http.HandlerFunc) *lifecycle.Server {
	t.Helper()
	s := httptest.NewServer(serve)
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return &lifecycle.Server{ID: "b", Addr: s.Listener.Addr().String()}
}

// While a dial is in progress, the call may end, its deadline may pass, the module may cancel the attempt or the backend may begin to
// drain: then nothing may be sent.
func TestAttemptThatEndsDuringDialIsNotSent(t *testing.T) {
	for name, c := range map[string]struct {
		meanwhile func(u *exchange.Transport, a *core.Attempt, cancel context.CancelCauseFunc)
		want      choice.Result
	}{
		"nothing":            {func(*exchange.Transport, *core.Attempt, context.CancelCauseFunc) {}, choice.OK},
		"answered":           {func(_ *exchange.Transport, a *core.Attempt, _ context.CancelCauseFunc) { a.Call.Abort() }, choice.NotSent},
		"client disconnects": {func(_ *exchange.Transport, a *core.Attempt, _ context.CancelCauseFunc) { a.Call.MarkDisconnected() }, choice.NotSent},
		"client disconnects, not reported": {func(_ *exchange.Transport, a *core.Attempt, _ context.CancelCauseFunc) {
			a.Call.PollDisconnected = func() bool { return true }
		}, choice.NotSent},
		"drains":              {func(u *exchange.Transport, a *core.Attempt, _ context.CancelCauseFunc) { u.Pool.Retire(a.Server) }, choice.ConnectFailed},
		"withdrawn":           {func(_ *exchange.Transport, _ *core.Attempt, cancel context.CancelCauseFunc) { cancel(core.ErrCanceled) }, choice.Canceled},
		"send window is over": {func(_ *exchange.Transport, a *core.Attempt, _ context.CancelCauseFunc) { a.WriteBy = time.Now() }, choice.NotSent},
		"deadline is over": {func(_ *exchange.Transport, _ *core.Attempt, cancel context.CancelCauseFunc) {
			cancel(context.DeadlineExceeded)
		}, choice.NotSent},
	} {
		t.Run(name, func(t *testing.T) {
			var seen testkit.Counter
			ctx, cancel := context.WithCancelCause(context.Background())
			a := attempt("id", startServer(t, func(_ http.ResponseWriter, r *http.Request) { seen.Add(r) }))
			var u *exchange.Transport
			u = newTransport(pool.Settings{Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
				conn, err := new(net.Dialer).DialContext(ctx, network, addr)
				c.meanwhile(u, a, cancel)
				return conn, err
			}})
			got, sent := u.Attempt(ctx, a).Result, seen.Count("id")
			if want := map[bool]int{true: 1}[c.want == choice.OK]; got != c.want || sent != want {
				t.Errorf("result %d, not %d; the backend got %d requests, not %d", got, c.want, sent, want)
			}
		})
	}
}

// Only the status that the call's shape declares, together with the server's explicit statement that it has not begun, proves that the
// shape is unknown and nothing has run. The reply headers that the shape declares are returned with the answer.
func TestUnknownShapeAndReplyHeaders(t *testing.T) {
	b := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		h := w.Header()
		h.Set("x-receipt", "r-9")
		h.Set("Other", "x")
		if id := r.Header.Get("X-Correlation-Id"); strings.Contains(id, "unprocessed") {
			h.Set("X-Unprocessed", "1")
		}
		status := 200
		fmt.Sscan(r.Header.Get("X-Correlation-Id"), &status)
		w.WriteHeader(status)
	})
	u := newTransport(pool.Settings{})
	for id, c := range map[string]struct {
		want    choice.Result
		unknown bool
	}{"415 unprocessed": {choice.Rejected, true}, "415": {choice.Failed, false}, "400 unprocessed": {choice.Failed, false},
		"503 unprocessed": {choice.Rejected, false}, "200": {choice.OK, false}} {
		a := attempt(id, b)
		p := a.Payload.(*httpmsg.Request)
		p.UnknownShapeStatus, p.ReplyHeaders, p.ForwardHeaders = 415, []string{"X-Receipt"}, []string{"X-Kiosk"}
		e := u.Attempt(context.Background(), a)
		if e.Result != c.want || e.ShapeUnknown != c.unknown {
			t.Errorf("%s: result %d, shape unknown: %t", id, e.Result, e.ShapeUnknown)
		}
		if reply, ok := e.Reply.(*httpmsg.Reply); ok && (len(reply.Header) != 1 || reply.Header[0] != [2]string{"X-Receipt", "r-9"}) {
			t.Errorf("%s: headers %q", id, reply.Header)
		}
	}
}

// A request that the backend may have read completely may have run. Only an incomplete write, or one that never started, proves
// that it did not.
func TestResultWhenConnectionBreaks(t *testing.T) {
	var seen testkit.Counter
	b := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if seen.Add(r); r.Header.Get("X-Correlation-Id") != "whole" {
			testkit.HangUp(w)
		}
	})
	var breaks atomic.Bool
	u := newTransport(pool.Settings{Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return failingWrites{c.(*net.TCPConn), &breaks}, nil
	}})
	do := func(id string) choice.Result { return u.Attempt(context.Background(), attempt(id, b)).Result }
	if got := do("read and closed"); got != choice.Reset {
		t.Errorf("result %d of a request that was read", got)
	}
	if got := do("whole"); got != choice.OK || idleConns(u) != 1 {
		t.Fatalf("result %d, %d idle connections", got, idleConns(u))
	}
	breaks.Store(true)
	if got := do("half written"); got != choice.ConnectFailed || seen.Count("half written") != 0 {
		t.Errorf("result %d of a request whose write was incomplete", got)
	}
	if openConns(u) != 0 {
		t.Errorf("%d broken connections are kept", openConns(u))
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

// scriptedServer starts a server that answers with the given texts.
func scriptedServer(t *testing.T, answers ...string) (*lifecycle.Server, *atomic.Int32) {
	t.Helper()
	addr, accepted := testkit.ServeRaw(t, answers...)
	return &lifecycle.Server{ID: "b", Addr: addr}, accepted
}

func replyBody(e core.AttemptOutcome) string {
	if r, ok := e.Reply.(*httpmsg.Reply); ok {
		return string(r.Body)
	}
	return ""
}

func exchangeOnce(t *testing.T, u *exchange.Transport, b *lifecycle.Server, id string) core.AttemptOutcome {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testkit.WaitTimeout)
	defer cancel()
	return u.Attempt(ctx, attempt(id, b))
}

// An attempt with an invalid answer may have run. The answer is recognized as invalid well before the deadline, while the connection
// stays open, and that connection is not used again.
func TestInvalidAnswers(t *testing.T) {
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
		"no length, no end": ok + "\r\nok",
		"no length, 70 kB":  ok + "\r\n" + strings.Repeat("x", 70_000),
		"endless 1xx":       strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 1000),
		"other protocol":    "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			b, _ := scriptedServer(t, answer)
			u := newTransport(pool.Settings{})
			got := exchangeOnce(t, u, b, "id")
			if got.Result != choice.Failed && got.Result != choice.Reset {
				t.Errorf("result %d", got.Result)
			}
			if got.Cause == nil {
				t.Error("there is no cause")
			}
			if openConns(u) != 0 {
				t.Error("the connection is kept")
			}
		})
	}
}

// An attempt that is not served has a cause; one that is served has none.
func TestCausesOfAttempts(t *testing.T) {
	for answer, want := range map[string]string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok":                  "",
		"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n": "status 500",
		"HTTP/1.1 fine\r\n\r\n":                                           "spoilt answer: status",
	} {
		b, _ := scriptedServer(t, answer)
		got := exchangeOnce(t, newTransport(pool.Settings{}), b, "id")
		if cause := fmt.Sprint(got.Cause); (got.Cause == nil) != (want == "") || !strings.HasPrefix(cause, want) && want != "" {
			t.Errorf("%q: %v", answer, got.Cause)
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	if got := exchangeOnce(t, newTransport(pool.Settings{}), &lifecycle.Server{ID: "b", Addr: l.Addr().String()}, "id"); !errors.Is(got.Cause, syscall.ECONNREFUSED) {
		t.Errorf("nobody listens: %v", got.Cause)
	}
}

// An answer of unknown length is complete if its connection closes in order. If the connection is reset, the call may have run.
func TestAnswersOfUnknownLength(t *testing.T) {
	for name, c := range map[string]struct {
		head, body string
		reset      bool
		want       choice.Result
	}{
		"closed":              {"HTTP/1.1 200 OK\r\nConnection: close", "checked", false, choice.OK},
		"closed, no header":   {"HTTP/1.1 200 OK", "checked", false, choice.OK},
		"closed, HTTP/1.0":    {"HTTP/1.0 200 OK", "checked", false, choice.OK},
		"closed, empty":       {"HTTP/1.1 200 OK\r\nConnection: close", "", false, choice.OK},
		"closed, 64 KiB":      {"HTTP/1.1 200 OK", strings.Repeat("x", httpmsg.MaxBody), false, choice.OK},
		"reset":               {"HTTP/1.1 200 OK\r\nConnection: close", "checked", true, choice.Reset},
		"closed in the head":  {"HTTP/1.1 200 OK\r\nConnection: clo", "", false, choice.Reset},
		"closed in a length":  {"HTTP/1.1 200 OK\r\nContent-Length: 9", "checked", false, choice.Reset},
		"closed in chunks":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked", "7\r\nchecked\r\n", false, choice.Reset},
		"an error, no length": {"HTTP/1.1 500 Oh", "no", false, choice.Failed},
	} {
		t.Run(name, func(t *testing.T) {
			b := startServer(t, func(w http.ResponseWriter, r *http.Request) {
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer conn.Close()
				text := c.head + "\r\n\r\n" + c.body
				if name == "closed in the head" {
					text = c.head
				}
				io.WriteString(conn, text)
				if c.reset {
					time.Sleep(50 * time.Millisecond) // otherwise the reset discards what was not read
					conn.(*net.TCPConn).SetLinger(0)
				}
			})
			u := newTransport(pool.Settings{})
			got := exchangeOnce(t, u, b, "id")
			if got.Result != c.want || got.Result == choice.OK && replyBody(got) != c.body {
				t.Errorf("result %v, %.20q", got.Result, replyBody(got))
			}
			if openConns(u) != 0 {
				t.Error("the connection is kept")
			}
		})
	}
}

// Valid answers with something unusual in them are accepted.
func TestUnusualValidAnswers(t *testing.T) {
	const good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for name, answer := range map[string]string{
		"plain":             good,
		"1xx ahead":         strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n", 3) + good,
		"chunks":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n",
		"unreadable report": strings.Replace(good, "\r\n", "\r\nX-Backend-Load: TEXT util=\x80, qps\r\n", 1),
	} {
		t.Run(name, func(t *testing.T) {
			b, _ := scriptedServer(t, answer)
			u := newTransport(pool.Settings{})
			got := exchangeOnce(t, u, b, "id")
			if got.Result != choice.OK || replyBody(got) != "ok" || got.Report != choice.NoReport {
				t.Errorf("result %d, %q, report %+v", got.Result, replyBody(got), got.Report)
			}
		})
	}
}

// The time that one exchange may take does not limit how long its connection may be idle.
func TestStallTimeoutDoesNotLimitIdleTime(t *testing.T) {
	const good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	b, accepted := scriptedServer(t, good, good)
	u := newTransport(pool.Settings{})
	u.StallTimeout = 50 * time.Millisecond
	exchangeOnce(t, u, b, "first")
	time.Sleep(3 * u.StallTimeout)
	if got := exchangeOnce(t, u, b, "second"); got.Result != choice.OK || accepted.Load() != 1 {
		t.Errorf("result %d, %d connections", got.Result, accepted.Load())
	}
}

// Bytes behind an answer must not be taken for the answer to the next request.
func TestExtraBytesAfterAnswerCloseConnection(t *testing.T) {
	const good = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
	u := newTransport(pool.Settings{})
	for name, more := range map[string]string{"a second copy": good, "noise": "\x00\x01"} {
		t.Run(name, func(t *testing.T) {
			b, accepted := scriptedServer(t, good+more)
			for i := range 2 {
				if got := exchangeOnce(t, u, b, fmt.Sprint(i)); got.Result != choice.OK || replyBody(got) != "first" {
					t.Errorf("request %d: result %d, %q", i, got.Result, replyBody(got))
				}
			}
			if n := accepted.Load(); n != 2 {
				t.Errorf("%d connections for two requests", n)
			}
		})
	}
}

// Bytes that arrive while a connection is idle must not be taken for the answer to the next request either.
func TestIdleConnectionThatReceivesDataIsClosed(t *testing.T) {
	conns := make(chan net.Conn, 2)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {}))
	s.Config.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			conns <- c
		}
	}
	s.Start()
	defer s.Close()
	var dialed net.Conn
	u := newTransport(pool.Settings{Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, addr)
		dialed = c
		return c, err
	}})
	b := &lifecycle.Server{ID: "b", Addr: s.Listener.Addr().String()}
	if got := exchangeOnce(t, u, b, "first"); got.Result != choice.OK || idleConns(u) != 1 {
		t.Fatalf("result %d, %d idle connections", got.Result, idleConns(u))
	}
	first := dialed
	io.WriteString(<-conns, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst")
	testkit.Eventually(t, "the bytes have arrived", func() bool { return !peek.KnownOpenAndEmpty(first) })
	if got := exchangeOnce(t, u, b, "second"); got.Result != choice.OK || len(replyBody(got)) != 0 {
		t.Errorf("result %d, %q", got.Result, replyBody(got))
	}
	if idleConns(u) != 1 || dialed == first {
		t.Error("the connection was used again")
	}
}

// An answer may arrive before a large request is completely sent; the pending write must not block it.
func TestEarlyAnswer(t *testing.T) {
	// Set before connecting: a buffer that is shrunk later may already have taken the whole request.
	small := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		failed := raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
		return errors.Join(failed, err)
	}}
	l, err := small.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
		l.Accept() // reads nothing until the test ends
		c.Close()
	}()
	u := newTransport(pool.Settings{Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, addr)
		if err == nil {
			c.(*net.TCPConn).SetWriteBuffer(4 << 10)
		}
		return c, err
	}})
	a := attempt("id", &lifecycle.Server{ID: "b", Addr: l.Addr().String()})
	a.Payload.(*httpmsg.Request).Body = make([]byte, httpmsg.MaxBody)
	ctx, cancel := context.WithTimeout(context.Background(), testkit.WaitTimeout)
	defer cancel()
	if got := u.Attempt(ctx, a).Result; got != choice.Rejected || openConns(u) != 0 {
		t.Errorf("result %d, %d connections", got, openConns(u))
	}
}

// At the connection limit, the connection that has been idle longest is closed. With none idle an attempt waits for one, and is not
// sent if none is released in time.
func TestConnectionLimit(t *testing.T) {
	hold := make(chan struct{})
	arrived := make(chan struct{}, 1)
	serve := func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Correlation-Id") == "held" {
			arrived <- struct{}{}
			<-hold
		}
	}
	x, y := startServer(t, serve), startServer(t, serve)
	var noDeadline atomic.Bool
	u := newTransport(pool.Settings{MaxConns: 1})
	do := func(id string, b *lifecycle.Server) choice.Result {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		if noDeadline.Load() {
			ctx = context.Background()
		}
		return u.Attempt(ctx, attempt(id, b)).Result
	}
	noDeadline.Store(true)
	if a, b := do("a", x), do("b", y); a != choice.OK || b != choice.OK || openConns(u) != 1 {
		t.Errorf("results %d and %d, %d connections", a, b, openConns(u))
	}
	first, waiting := make(chan choice.Result, 1), make(chan choice.Result, 2)
	go func() { first <- do("held", x) }()
	<-arrived
	noDeadline.Store(false)
	queued := func() int { _, _, n := u.Pool.Count(); return n }
	if got := do("c", y); got != choice.NotSent || queued() != 0 {
		t.Errorf("result %d with every connection in use, %d waiting", got, queued())
	}
	noDeadline.Store(true)
	for _, id := range []string{"d", "e"} {
		go func() { waiting <- do(id, y) }()
	}
	testkit.Eventually(t, "two attempts wait", func() bool { return queued() == 2 })
	close(hold)
	if a, b, c := <-first, <-waiting, <-waiting; a != choice.OK || b != choice.OK || c != choice.OK {
		t.Errorf("results %d of the attempt in flight, %d and %d of those that waited", a, b, c)
	}
	if openConns(u) > 1 {
		t.Errorf("%d connections", openConns(u))
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
