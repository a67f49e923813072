package httpfront

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/routes"
	"ternbeam/internal/decide/shutdown"
	"ternbeam/internal/discovery"
	"ternbeam/internal/host/conntrack"
	"ternbeam/internal/host/core"
	"ternbeam/internal/host/membudget"
	"ternbeam/internal/host/pool"
	"ternbeam/internal/http/httpmsg"
	"ternbeam/internal/lab/standin"
	"ternbeam/internal/lab/testkit"
	"ternbeam/internal/protocol"
	"ternbeam/internal/settings/config"
	"ternbeam/internal/sysio/peek"
)

// stubServers is a transport without sockets: it passes each attempt to the test and ends it with the outcome that the test provides.
type stubServers struct {
	started  chan *core.Attempt
	outcomes chan core.AttemptOutcome

	mu   sync.Mutex
	seen map[string]int // number of attempts by call ID
}

func (s *stubServers) Attempt(ctx context.Context, at *core.Attempt) core.AttemptOutcome {
	s.mu.Lock()
	s.seen[at.Call.ID]++
	s.mu.Unlock()
	s.started <- at
	select {
	case e := <-s.outcomes:
		return e
	case <-ctx.Done():
		if errors.Is(context.Cause(ctx), core.ErrCanceled) {
			return core.ResultOnly(choice.Canceled)
		}
		return core.ResultOnly(choice.TimedOut)
	}
}

func (s *stubServers) attempts(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen[id]
}

// answerAll serves every attempt until the context ends.
func (s *stubServers) answerAll(ctx context.Context) {
	for {
		select {
		case s.outcomes <- core.AttemptOutcome{Result: choice.OK, Report: choice.NoReport, Reply: &httpmsg.Reply{Body: []byte("done")}}:
		case <-s.started:
		case <-ctx.Done():
			return
		}
	}
}

// testFront is a front on loopback with a core whose servers are stubs.
type testFront struct {
	*Front
	servers       *stubServers
	addr          string
	acceptedConns chan *conntrack.Conn // in the order in which they are accepted
}

// newTestFront returns a testFront that does not serve yet, with at most maxClients connections.
func newTestFront(t *testing.T, maxClients int) *testFront {
	t.Helper()
	servers := &stubServers{started: make(chan *core.Attempt, 1<<14), outcomes: make(chan core.AttemptOutcome), seen: map[string]int{}} // more than any test sends: a full channel would block
	r := newTestFrontOn(t, maxClients, servers, "")
	r.servers = servers
	return r
}

// newTestFrontOn returns a testFront that makes its attempts with the given transport. With an operations address, bodies may be long.
func newTestFrontOn(t *testing.T, maxClients int, servers core.Transport, ops string) *testFront {
	t.Helper()
	cfg, c := newTestCore(t, servers)
	cfg.Ops = ops
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go c.Run(ctx)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &testFront{acceptedConns: make(chan *conntrack.Conn, 1<<14)} // more than any test opens: a full channel would block accepting
	r.addr = l.Addr().String()
	r.Front = New(cfg, c, conntrack.New(maxClients, membudget.New(16<<20)), l.(*net.TCPListener), slog.New(slog.DiscardHandler))
	r.probeInterval = time.Millisecond
	r.http.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		r.acceptedConns <- conn.(*recordingConn).Conn
		return r.withClientConn(ctx, conn)
	}
	t.Cleanup(func() { r.http.Close() })
	return r
}

// newTestCore returns a core that does not run yet and makes its attempts with the given transport.
func newTestCore(t *testing.T, servers core.Transport) (*config.Config, *core.Core) {
	t.Helper()
	cfg, err := config.Parse(standin.Platform{Listen: "127.0.0.1:0", Discovery: "127.0.0.1:1", CanCancel: true, MaxAttempts: 6, Deadline: time.Minute}.Config())
	if err != nil {
		t.Fatal(err)
	}
	known := discovery.List{Full: true}
	for i := range 64 { // enough that the attempts that a test leaves unanswered don't make the servers look silent
		known.Servers = append(known.Servers, discovery.Entry{ID: fmt.Sprint("s", i), Addr: "127.0.0.1:1", Zone: "z", State: "in_service"})
	}
	c, err := core.New(core.Settings{Module: cfg.Module, Zones: cfg.Host.Zones, InitialList: known, Discovery: cfg.Discovery, Log: slog.New(slog.DiscardHandler),
		Pool:       pool.New(pool.Settings{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxConns: 10}),
		Transports: map[choice.Protocols]core.Transport{protocol.HTTP: servers}})
	if err != nil {
		t.Fatal(err)
	}
	return cfg, c
}

// panickingShapes panics on some requests.
type panickingShapes struct{}

func (panickingShapes) HTTP(_ string, r *httpmsg.Request) (shape routes.CallShape, keyLast bool, err error) {
	if strings.Contains(r.URL.Path, "panic") {
		panic("planted")
	}
	return routes.CallShape{}, true, nil
}

// Guards against a connection that closes without an answer when the handler of its request panics.
func TestRequestIsAnsweredIfItsHandlerPanics(t *testing.T) {
	r := newTestFront(t, 10)
	r.WithShapes(panickingShapes{})
	r.serve()
	client := r.dial(t)
	client.SetDeadline(time.Now().Add(testkit.WaitTimeout))
	send(t, client, strings.Replace(requestsByKind["safe"]("panics"), "/form-check/k", "/form-check/panic", 1))
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusBadGateway || !resp.Close {
		t.Errorf("%d, close %t, %v", resp.StatusCode, resp.Close, err)
	}
}

// stop shuts the front down as the agent does, but stops accepting at once. The shutdown ends closeBy from now.
func (r *testFront) stop(closeBy time.Duration) {
	begin := time.Now()
	r.core.BeginShutdown(begin, begin.Add(closeBy-conntrack.AnswerWriteTime))
	r.Stop(begin, shutdown.Schedule{Accept: time.Nanosecond, AnswerBy: closeBy - conntrack.AnswerWriteTime, CloseBy: closeBy})
}

// Guards against a shutdown that waits for a silent client a second time for as long as idle connections stay open.
func TestSilentConnectionsDoNotDelayShutdown(t *testing.T) {
	const idle, slack, closeBy = time.Second, 500 * time.Millisecond, 10 * time.Second
	r := newTestFront(t, 10)
	r.serve()
	r.dial(t)
	testkit.Eventually(t, "the connection is accepted", func() bool { return r.conns.Count() == 1 })
	begin := time.Now()
	r.Stop(begin, shutdown.Schedule{Accept: idle, Idle: idle, AnswerBy: closeBy - conntrack.AnswerWriteTime, CloseBy: closeBy})
	if took := time.Since(begin); took > idle+conntrack.SilentGrace+slack {
		t.Errorf("the shutdown takes %v", took)
	}
}

func (r *testFront) serve() *testFront { go r.Serve(); return r }

func (r *testFront) dial(t *testing.T) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c.(*net.TCPConn)
}

// requestsByKind maps the kind of a call to a function that returns the text of a request with the given ID.
var requestsByKind = map[string]func(id string) string{
	"safe": func(id string) string {
		return "GET /form-check/k HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: " + id + "\r\nX-Service-Class: form-check\r\nX-Account: leith\r\nX-Time-Left: 30\r\n\r\n"
	},
	"keyed": func(id string) string {
		return "POST /refund-record/k HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: " + id + "\r\nX-Service-Class: refund-record\r\nX-Account: leith\r\nX-Time-Left: 30\r\n" +
			"Idempotency-Key: " + id + "\r\nContent-Length: 4\r\n\r\nform"
	},
	"unsafe": func(id string) string {
		return "POST /pay-out/k HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: " + id + "\r\nX-Service-Class: pay-out\r\nX-Account: leith\r\nX-Time-Left: 30\r\nContent-Length: 4\r\n\r\nform"
	},
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// disconnect closes the client's end of the connection, or resets the connection.
func disconnect(c *net.TCPConn, reset bool) {
	if reset {
		c.SetLinger(0)
	}
	c.Close()
}

// neverRan is the outcome of an attempt that has not run, so that another one is made if the call is still wanted.
var neverRan = core.ResultOnly(choice.ConnectFailed)

// net/http reads no further than the first byte behind a request, so it does not notice the disconnect of a client that has sent more.
// Neither the waiting request nor the one behind it may be forwarded after the disconnect.
func TestDisconnectAfterPipelinedDataIsDetected(t *testing.T) {
	for kind, request := range requestsByKind {
		for _, reset := range []bool{false, true} {
			for name, more := range map[string]string{"a byte": "G", "a request": request("b"), "much": strings.Repeat(request("b"), 1000)} {
				t.Run(fmt.Sprint(kind, ", ", name, ", reset ", reset), func(t *testing.T) {
					r := newTestFront(t, 10).serve()
					c := r.dial(t)
					send(t, c, request("a"))
					at := <-r.servers.started
					go io.WriteString(c, more) // it may not all be accepted
					served := <-r.acceptedConns
					testkit.Eventually(t, "data is received behind the request", func() bool { return !peek.KnownOpenAndEmpty(served) || served.ReceivedBytes() > len(request("a")) })
					disconnect(c, reset)
					testkit.Eventually(t, "the disconnect is noticed", at.Call.Finished)
					select {
					case r.servers.outcomes <- neverRan:
					case <-time.After(10 * time.Millisecond): // the attempt was canceled before
					}
					testkit.Eventually(t, "the connection is released", func() bool { return r.conns.Count() == 0 })
					testkit.Eventually(t, "the call is released", func() bool {
						s := r.core.Snapshot()
						return s.Unanswered == 0 && s.Tracked == 0 && s.Stats.Disconnected == 1
					})
					if a, b := r.servers.attempts("a"), r.servers.attempts("b"); a != 1 || b != 0 {
						t.Errorf("%d attempts for the first request, %d for the one behind it", a, b)
					}
				})
			}
		}
	}
}

// A client may disconnect before its request is read: while the request is in the kernel's queue, or while the agent is suspended.
func TestClientDisconnectsBeforeItsRequestIsRead(t *testing.T) {
	for kind, request := range requestsByKind {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(kind, ", reset ", reset), func(t *testing.T) {
				r := newTestFront(t, 10)
				c := r.dial(t)
				send(t, c, request("a"))
				disconnect(c, reset)
				r.serve()
				<-r.acceptedConns
				testkit.Eventually(t, "the connection is released", func() bool { return r.conns.Count() == 0 })
				if n, s := r.servers.attempts("a"), r.core.Snapshot(); n != 0 || s.Unanswered != 0 || s.Stats.Requests != 0 {
					t.Errorf("%d attempts; %d open of %d", n, s.Unanswered, s.Stats.Requests)
				}
			})
		}
	}
}

// Guards against an answer that is lost because it is late, after the agent was suspended: a client whose connection closes without an
// answer retries a request that may have taken effect.
func TestAnswerIsSentAfterWriteTimeout(t *testing.T) {
	r := newTestFront(t, 10)
	r.http.WriteTimeout = 1 // counted from the request
	c := r.serve().dial(t)
	send(t, c, requestsByKind["keyed"]("a"))
	<-r.servers.started
	r.servers.outcomes <- core.AttemptOutcome{Result: choice.OK, Report: choice.NoReport, Reply: &httpmsg.Reply{Body: []byte("done")}}
	if status, body := read(t, c); status != http.StatusOK || body != "done" {
		t.Errorf("%d %q", status, body)
	}
}

func read(t *testing.T, c net.Conn) (status int, body string) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(testkit.WaitTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(text)
}

// serveOne serves one request on a connection, which is idle afterwards.
func (r *testFront) serveOne(t *testing.T, c net.Conn) {
	t.Helper()
	send(t, c, requestsByKind["safe"]("before"))
	<-r.servers.started
	r.servers.outcomes <- core.AttemptOutcome{Result: choice.OK, Report: choice.NoReport, Reply: &httpmsg.Reply{}}
	if status, _ := read(t, c); status != http.StatusOK {
		t.Fatal(status)
	}
}

// Another client takes the last free connection after a request has been read from an idle connection, but before its handler runs. The
// idle connection must not be the one that is closed, and its request is answered once. The new connection, on which nothing was
// received, is closed.
func TestLastSlotIsTakenWhileARequestIsRead(t *testing.T) {
	for kind, request := range requestsByKind {
		t.Run(kind, func(t *testing.T) {
			r := newTestFront(t, 4)
			var connectAnother func()
			var secondRequest atomic.Bool
			closed := make(chan net.Conn, 10)
			newcomers := make(chan *conntrack.Conn, 1)
			r.http.ConnState = func(c net.Conn, state http.ConnState) {
				if state == http.StateActive && secondRequest.Load() { // the request has been read, but its handler has not run
					connectAnother()
				}
				r.connState(c, state)
				if state == http.StateClosed && secondRequest.Load() {
					closed <- c.(*recordingConn).Conn
				}
			}
			c := r.serve().dial(t)
			r.serveOne(t, c)
			first := <-r.acceptedConns
			testkit.Eventually(t, "the connection is idle", func() bool { return r.conns.AwaitsRequest(first) })
			for i := range 3 {
				id := fmt.Sprint("other", i)
				send(t, r.dial(t), requestsByKind["safe"](id))
				testkit.Eventually(t, "the attempt has started", func() bool { return r.servers.attempts(id) > 0 })
				<-r.acceptedConns
			}
			connectAnother = sync.OnceFunc(func() { // another client connects and takes the last free connection
				r.dial(t)
				newcomers <- <-r.acceptedConns
			})
			secondRequest.Store(true)
			send(t, c, request("a"))
			if conn, newcomer := <-closed, <-newcomers; conn != net.Conn(newcomer) {
				t.Fatal("a connection other than the new one is closed")
			}
			go r.servers.answerAll(t.Context()) // the other attempts too: it is unknown which one takes an outcome
			if status, body := read(t, c); status != http.StatusOK || body != "done" {
				t.Errorf("%d %q", status, body)
			}
			if n := r.servers.attempts("a"); n == 0 || kind == "unsafe" && n > 1 {
				t.Errorf("%d attempts", n)
			}
		})
	}
}

// The tracker has closed a connection before a request that was read from it is handled. The request must not be forwarded: its client,
// which gets no answer, retries elsewhere, and the request must not take effect twice.
func TestConnectionIsClosedWhileARequestIsRead(t *testing.T) {
	for kind, request := range requestsByKind {
		t.Run(kind, func(t *testing.T) {
			r := newTestFront(t, 4)
			var secondRequest atomic.Bool
			closed := make(chan net.Conn, 10)
			r.http.ConnState = func(c net.Conn, state http.ConnState) {
				if state == http.StateActive && secondRequest.Load() { // the request has been read, but its handler has not run
					r.conns.MarkClosed(c.(*recordingConn).Conn)
				}
				r.connState(c, state)
				if state == http.StateClosed && secondRequest.Load() {
					closed <- c.(*recordingConn).Conn
				}
			}
			c := r.serve().dial(t)
			r.serveOne(t, c)
			first := <-r.acceptedConns
			testkit.Eventually(t, "the connection is idle", func() bool { return r.conns.AwaitsRequest(first) })
			secondRequest.Store(true)
			send(t, c, request("a"))
			if conn := <-closed; conn != net.Conn(first) { // nobody serves it any more
				t.Fatal("a different connection is closed")
			}
			if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("the client gets %v", err)
			}
			if n, s := r.servers.attempts("a"), r.core.Snapshot(); n != 0 || s.Unanswered != 0 {
				t.Errorf("%d attempts, %d open", n, s.Unanswered)
			}
		})
	}
}

// sendHalf sends the first bytes of a request, on a new connection or one that was idle, and returns the rest of the request.
func (r *testFront) sendHalf(t *testing.T, fresh bool, text string) (c net.Conn, rest string) {
	t.Helper()
	c = r.dial(t)
	if !fresh {
		r.serveOne(t, c)
	}
	conn := <-r.acceptedConns
	half := conn.ReceivedBytes() + 10
	send(t, c, text[:10])
	testkit.Eventually(t, "the first bytes are read", func() bool { return conn.ReceivedBytes() >= half })
	return c, text[10:]
}

// A request that arrives in pieces while the agent begins to shut down is answered, on a connection that was idle before
// and on a new one.
func TestRequestInPiecesIsAnsweredDuringShutdown(t *testing.T) {
	for _, fresh := range []bool{false, true} {
		for kind, request := range requestsByKind {
			t.Run(fmt.Sprint(kind, ", fresh ", fresh), func(t *testing.T) {
				r := newTestFront(t, 10).serve()
				c, rest := r.sendHalf(t, fresh, request("a"))
				stopped := make(chan struct{})
				go func() { r.stop(testkit.WaitTimeout); close(stopped) }()
				testkit.Eventually(t, "the agent no longer accepts", func() bool {
					other, err := net.Dial("tcp", r.addr)
					if err == nil {
						other.Close()
					}
					return err != nil
				})
				r.listener.CloseIdle()
				r.listener.CloseSilent() // as the agent does a little later
				send(t, c, rest)
				<-r.servers.started
				r.servers.outcomes <- core.AttemptOutcome{Result: choice.OK, Report: choice.NoReport, Reply: &httpmsg.Reply{Body: []byte("done")}}
				if status, body := read(t, c); status != http.StatusOK || body != "done" {
					t.Errorf("%d %q", status, body)
				}
				<-stopped
			})
		}
	}
}

// Stop waits for the last answer and for nothing else.
func TestStopWaitsForAnswersOnly(t *testing.T) {
	r := newTestFront(t, 10).serve()
	idle, busy := r.dial(t), r.dial(t)
	r.serveOne(t, idle)
	send(t, busy, requestsByKind["unsafe"]("a"))
	<-r.servers.started
	stopped := make(chan struct{})
	go func() { r.stop(testkit.WaitTimeout); close(stopped) }()
	if _, err := idle.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the idle connection closes with %v", err)
	}
	select {
	case <-stopped:
		t.Fatal("Stop did not wait for the answer")
	case r.servers.outcomes <- neverRan:
	}
	<-r.servers.started // the attempt never ran, so another one is made
	r.servers.outcomes <- core.ResultOnly(choice.Failed)
	if status, _ := read(t, busy); status != http.StatusBadGateway {
		t.Error(status)
	}
	<-stopped
}

// Guards against a leaked stream, with a writer that waits for a reader, when an answer starts as its client disconnects.
func TestAnswerToDisconnectedClientIsClosed(t *testing.T) {
	for name, race := range map[string]func(s answerSlot, ans core.Answer){
		"the answer first":     func(s answerSlot, ans core.Answer) { s.deliver(ans); s.call.MarkDisconnected(); s.discard() },
		"the disconnect first": func(s answerSlot, ans core.Answer) { s.call.MarkDisconnected(); s.discard(); s.deliver(ans) },
		"between":              func(s answerSlot, ans core.Answer) { s.call.MarkDisconnected(); s.deliver(ans); s.discard() },
	} {
		t.Run(name, func(t *testing.T) {
			in, out := io.Pipe()
			race(newAnswerSlot(&core.Call{}), core.Answer{Reply: &httpmsg.Reply{Stream: in}})
			if _, err := out.Write([]byte("x")); err != io.ErrClosedPipe {
				t.Error(err)
			}
		})
	}
}

// Many clients disconnect at once, in rounds of up to 200, half of them after sending bytes that nobody reads. From 0.1 s later, nothing
// may be forwarded for them, and all that they held is released. Time in which the machine itself paused is not counted.
func TestManyClientsDisconnectAtOnce(t *testing.T) {
	r := newTestFront(t, 1000)
	r.probeInterval = conntrack.ProbeInterval
	r.serve()
	var longestPause atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			start := time.Now()
			time.Sleep(time.Millisecond)
			longestPause.Store(max(longestPause.Load(), int64(time.Since(start)-time.Millisecond)))
		}
	}()
	longest := time.Duration(0)
	for round := 0; r.core.Snapshot().Stats.Disconnected < 1000; round++ { // some are answered before
		if round == 20 {
			t.Fatal("most clients are answered before they disconnect")
		}
		longestPause.Store(0)
		disconnected := map[string]time.Time{}
		clients, attempts := map[string]*net.TCPConn{}, map[string]*core.Attempt{}
		for i := range 200 {
			id := fmt.Sprint("r", round, "c", i)
			c := r.dial(t)
			send(t, c, requestsByKind[[]string{"safe", "keyed", "unsafe"}[i%3]](id))
			clients[id] = c
			for tries := 100; attempts[id] == nil && tries > 0 && !peek.HasData(c); tries-- { // meanwhile, copies of other attempts start
				select {
				case at := <-r.servers.started:
					attempts[at.Call.ID] = at
				case <-time.After(time.Millisecond):
				}
			}
			if attempts[id] == nil { // on a slow machine the balancer rejects or holds some calls, as its servers answer none
				disconnect(c, i%4 < 2)
				delete(clients, id)
				continue
			}
			if i%2 == 0 {
				send(t, c, "G")
			}
		}
		for id, c := range clients {
			disconnected[id] = time.Now()
			disconnect(c, len(id)%2 == 0)
		}
		largest := time.Duration(0)
		for len(disconnected) > 0 {
			for id, at := range disconnected {
				if attempts[id].Call.Finished() {
					largest = max(largest, time.Since(at))
					delete(disconnected, id)
				} else if time.Since(at) > testkit.WaitTimeout {
					t.Fatalf("the disconnect of %s is not noticed", id)
				}
			}
			time.Sleep(time.Millisecond)
		}
		if longest = max(longest, largest); largest > 100*time.Millisecond+time.Duration(longestPause.Load()) {
			t.Errorf("noticed after %v; the machine paused for at most %v", largest, time.Duration(longestPause.Load()))
		}
		testkit.Eventually(t, "everything is released", func() bool {
			for range 200 { // attempts already sent go on until their answer or deadline
				select {
				case r.servers.outcomes <- core.AttemptOutcome{Result: choice.OK, Report: choice.NoReport, Reply: &httpmsg.Reply{}}:
				default:
				}
			}
			s := r.core.Snapshot()
			// Requests of clients that disconnected before they were read are not counted.
			ended := s.Stats.Disconnected + s.Stats.Served + s.Stats.Refused + s.Stats.Failed
			return s.Unanswered == 0 && s.Tracked == 0 && ended == s.Stats.Requests && r.conns.Count() == 0
		})
	}
	t.Logf("%d disconnects, the longest noticed after %v", r.core.Snapshot().Stats.Disconnected, longest)
}

// A request is completely received when the agent is about to exit, and its own deadline is later than that. As the request was
// read, it must get its final answer before the process exits.
func TestRequestReadJustBeforeExitIsAnswered(t *testing.T) {
	for _, fresh := range []bool{false, true} {
		for kind, request := range requestsByKind {
			t.Run(fmt.Sprint(kind, ", fresh ", fresh), func(t *testing.T) {
				t.Parallel()
				r := newTestFront(t, 10).serve()
				c, rest := r.sendHalf(t, fresh, request("a"))
				stopped := make(chan struct{})
				go func() { r.stop(time.Second); close(stopped) }()
				testkit.Eventually(t, "the front shuts down", r.shuttingDown.Load)
				send(t, c, rest)
				<-r.servers.started // and its server hangs
				if status, _ := read(t, c); status == http.StatusOK {
					t.Error("served although no server answered")
				}
				<-stopped
			})
		}
	}
}

// Data of the next request that was read during the previous request counts as received: when the agent shuts down right after the
// first answer, the connection stays open for the next request, although nothing of it is left in the kernel.
func TestReadAheadRequestIsAnsweredAtShutdown(t *testing.T) {
	for name, sendBoth := range map[string]func(t *testing.T, c net.Conn, awaitStart func()){
		"in net/http's buffer": func(t *testing.T, c net.Conn, awaitStart func()) {
			send(t, c, requestsByKind["safe"]("a")+requestsByKind["safe"]("b"))
			awaitStart()
		},
		"by the read that detects a disconnect": func(t *testing.T, c net.Conn, awaitStart func()) {
			send(t, c, requestsByKind["safe"]("a"))
			awaitStart()
			send(t, c, requestsByKind["safe"]("b"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestFront(t, 10)
			ending := sync.OnceFunc(func() { r.shuttingDown.Store(true); r.listener.CloseIdle() })
			r.http.ConnState = func(c net.Conn, state http.ConnState) {
				if state == http.StateIdle { // the first answer is written
					ending()
				}
				r.connState(c, state)
			}
			c := r.serve().dial(t)
			sendBoth(t, c, func() { <-r.servers.started })
			conn := <-r.acceptedConns
			testkit.Eventually(t, "the next request is read ahead", func() bool {
				return conn.ReceivedBytes() == 2*len(requestsByKind["safe"]("a")) && peek.KnownOpenAndEmpty(conn)
			})
			in := bufio.NewReader(c)
			c.SetReadDeadline(time.Now().Add(testkit.WaitTimeout))
			for i := range 2 {
				r.servers.outcomes <- core.AttemptOutcome{Result: choice.OK, Report: choice.NoReport, Reply: &httpmsg.Reply{Body: []byte("done")}}
				resp, err := http.ReadResponse(in, nil)
				if err != nil {
					t.Fatalf("answer %d: %v", i, err)
				}
				if io.Copy(io.Discard, resp.Body); resp.StatusCode != http.StatusOK || resp.Close != (i == 1) {
					t.Errorf("answer %d: %s, close %t", i, resp.Status, resp.Close)
				}
			}
		})
	}
}

// The agent was suspended, so the deadline for a head has passed when the agent reads. A request that was completely received is still
// answered, but a client that has sent nothing or only part of a request is not waited for.
func TestCompleteRequestIsAnsweredAfterReadTimeout(t *testing.T) {
	for kind, request := range requestsByKind {
		t.Run(kind, func(t *testing.T) {
			r := newTestFront(t, 10)
			r.http.ReadHeaderTimeout, r.http.ReadTimeout = 1, 1
			c, half, none := r.dial(t), r.dial(t), r.dial(t)
			send(t, c, request("a"))
			send(t, half, request("b")[:20])
			r.serve()
			<-r.servers.started
			r.servers.outcomes <- core.AttemptOutcome{Result: choice.OK, Report: choice.NoReport, Reply: &httpmsg.Reply{Body: []byte("done")}}
			if status, body := read(t, c); status != http.StatusOK || body != "done" {
				t.Errorf("%d %q", status, body)
			}
			for name, c := range map[string]net.Conn{"half": half, "none": none} {
				c.SetReadDeadline(time.Now().Add(testkit.WaitTimeout))
				if _, err := io.ReadAll(c); errors.Is(err, os.ErrDeadlineExceeded) {
					t.Errorf("the client %q is waited for", name)
				}
			}
			if s := r.core.Snapshot(); s.Stats.Disconnected != 0 || s.Stats.Requests != 1 {
				t.Errorf("%d requests, %d disconnected", s.Stats.Requests, s.Stats.Disconnected)
			}
		})
	}
}

// A client has disconnected, and nobody has noticed yet: the check right before an attempt is written must detect this, whether or not
// the client had sent more data, and must not mistake a connected client for a disconnected one.
func TestDisconnectIsDetectedBeforeEachAttempt(t *testing.T) {
	for _, more := range []string{"", "G", strings.Repeat("GET / HTTP/1.1\r\n", 100)} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d bytes more, reset %t", len(more), reset), func(t *testing.T) {
				r := newTestFront(t, 10)
				r.probeInterval = time.Hour
				c := r.serve().dial(t)
				send(t, c, requestsByKind["unsafe"]("a"))
				at := <-r.servers.started
				if more != "" {
					send(t, c, more)
					conn := <-r.acceptedConns
					testkit.Eventually(t, "the connection is no longer being read", func() bool { return !conn.BeingRead() })
				}
				if at.Call.PollFinished() {
					t.Fatal("the client is still connected")
				}
				disconnect(c, reset)
				testkit.Eventually(t, "the disconnect is detected", at.Call.PollFinished)
			})
		}
	}
}
