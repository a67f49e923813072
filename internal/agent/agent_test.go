package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/shutdown"
	"ternbeam/internal/discovery"
	"ternbeam/internal/http/httpmsg"
	"ternbeam/internal/lab/testkit"
	"ternbeam/internal/settings/config"
	"ternbeam/internal/settings/stateconf"
	"ternbeam/internal/thrift/thriftmap"
)

// settings are the settings of the tests, with one class for each effect.
const settings = `{"Balancers":1,"Classes":[
	{"Name":"check","Effect":"repeatable","Group":"all","AimNs":600000000,"DeadlineNs":%[1]d,"Worth":2},
	{"Name":"record","Effect":"by_key","Group":"cell","WindowNs":2000000000,"AimNs":600000000,"DeadlineNs":%[1]d,"Worth":10},
	{"Name":"pay","Effect":"once","AimNs":600000000,"DeadlineNs":%[1]d,"Worth":10}],
	"Ceilings":{"ConnIdleNs":%[2]d,"ConnectTimeoutNs":5000000000,"MayCancel":true,"MostHeld":1000,"MostTries":%[3]d},
	"Discovery":"automatic","Report":{"Fields":["util","qps","eps"]},"TickNs":5000000,"WeightKind":"silent",
	"Tenants":[{"Name":"leith"},{"Name":"oban"}],"Zones":["z"]}`

// testConfig holds the settings that a test varies; zero values stand for defaults.
type testConfig struct {
	deadline, idle time.Duration
	tries, sockets int
	known          []discovery.Entry
}

func (tc testConfig) config(t *testing.T) *config.Config {
	t.Helper()
	if tc.deadline == 0 {
		tc.deadline = testkit.WaitTimeout
	}
	if tc.idle == 0 {
		tc.idle = time.Minute
	}
	if tc.tries == 0 {
		tc.tries = 3
	}
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",
		"seed": "8c1f30d27a5be964", "limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": tc.sockets},
		"known":    discovery.List{Version: 7, Full: true, Servers: tc.known},
		"settings": json.RawMessage(fmt.Sprintf(settings, int64(tc.deadline), int64(tc.idle), tc.tries))})
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

func discardLog() *slog.Logger { return slog.New(slog.DiscardHandler) }

// runningAgent is an agent under test.
type runningAgent struct {
	*Agent
	url    string
	thrift string // address of the Thrift listener
	stop   context.CancelFunc
	done   chan error

	reload chan os.Signal
}

// start runs an agent and stops it at the end of the test.
func start(t *testing.T, cfg *config.Config) *runningAgent { return startWithThrift(t, cfg, nil) }

// startWithThrift is start with a Thrift service; nil for HTTP only.
func startWithThrift(t testing.TB, cfg *config.Config, service *thriftmap.Map) *runningAgent {
	t.Helper()
	return startWithState(t, cfg, service, discardLog(), "")
}

// startWithState is startWithThrift with a log, and with learned state persisted in folder if it is not empty.
func startWithState(t testing.TB, cfg *config.Config, service *thriftmap.Map, log *slog.Logger, folder string) *runningAgent {
	t.Helper()
	cfg.Listen = "127.0.0.1:0"
	a, err := New(cfg, service, log)
	if err != nil {
		t.Fatal(err)
	}
	if folder != "" {
		set := stateconf.Default(folder)
		set.LoadTimeout, set.FinalWriteTimeout = testkit.WaitTimeout, testkit.WaitTimeout
		a.PersistLearned(set)
	}
	return runAgent(t, a, cfg)
}

// runAgent runs an agent, waits until it is ready and stops it at the end of the test.
func runAgent(t testing.TB, a *Agent, cfg *config.Config) *runningAgent {
	t.Helper()
	addrs, err := a.Listen()
	if err != nil {
		t.Fatal(err)
	}
	cfg.Listen = addrs[0]
	t.Cleanup(func() {
		if n := a.illegalSteps.Load(); n > 0 {
			t.Errorf("%d illegal steps", n)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningAgent{Agent: a, url: "http://" + cfg.Listen, stop: cancel, done: make(chan error, 1),
		reload: make(chan os.Signal, 1)}
	if len(addrs) > 1 {
		r.thrift = addrs[1]
	}
	go func() { r.done <- a.Run(ctx, r.reload) }()
	t.Cleanup(cancel)
	testkit.Eventually(t, "the agent is ready", func() bool {
		resp, err := http.Get(r.url + "/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return r
}

// heldAndOpen returns how many requests the core holds, and how many of them are not answered yet.
func (r *runningAgent) heldAndOpen() (held, open int) {
	s := r.core.Snapshot()
	return s.Tracked, s.Unanswered
}

// serverConns returns the number of open connections to servers.
func (r *runningAgent) serverConns() int {
	open, _, _ := r.pool.Count()
	return open
}

// newBackend runs a backend and returns its entry in the list.
func newBackend(t *testing.T, id string, serve http.HandlerFunc) discovery.Entry {
	t.Helper()
	s := httptest.NewServer(serve)
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return discovery.Entry{ID: id, Addr: s.Listener.Addr().String(), Zone: "z", Cell: 1, State: "in_service", Weight: 1}
}

// newRequest returns a request of a class with left seconds until its deadline.
func (r *runningAgent) newRequest(class, id string, left float64, body string) *http.Request {
	method := http.MethodPost
	if class == "check" {
		method = http.MethodGet
	}
	req, err := http.NewRequest(method, r.url+"/"+class+"/7f3a%2F9c?q=1", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("X-Correlation-Id", id)
	req.Header.Set("X-Service-Class", class)
	req.Header.Set("X-Account", "oban")
	req.Header.Set("X-Time-Left", fmt.Sprint(left))
	if class == "record" {
		req.Header.Set("Idempotency-Key", "key-"+id)
	}
	return req
}

func do(t *testing.T, req *http.Request) (status int, body string) {
	t.Helper()
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("broken answer: %v", err)
	}
	return resp.StatusCode, string(text)
}

func TestForwardsRequestAndAnswer(t *testing.T) {
	var got http.Header
	var line, body string
	e := newBackend(t, "b", func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		got, line, body = r.Header.Clone(), r.Method+" "+r.RequestURI, string(text)
		w.Header().Set("X-Backend-Load", "TEXT util=0.5, qps=40, eps=0")
		fmt.Fprint(w, "the answer")
	})
	r := start(t, testConfig{known: []discovery.Entry{e}}.config(t))
	status, answer := do(t, r.newRequest("record", "id1", 5, "a form"))
	if status != 200 || answer != "the answer" {
		t.Errorf("answered %d %q", status, answer)
	}
	if line != "POST /record/7f3a%2F9c?q=1" || body != "a form" {
		t.Errorf("the backend got %q with %q", line, body)
	}
	if got.Get("X-Correlation-Id") != "id1" || got.Get("Idempotency-Key") != "key-id1" {
		t.Errorf("the backend got the headers %v", got)
	}
	if left := got.Get("X-Time-Left"); left > "5.000" || left < "4" {
		t.Errorf("the backend got X-Time-Left %q", left)
	}
	if held, open := r.heldAndOpen(); held != 0 || open != 0 {
		t.Errorf("%d requests kept, %d open, after all were answered", held, open)
	}
	if r.core.Snapshot().Stats.Reports != 1 {
		t.Errorf("%d load reports read", r.core.Snapshot().Stats.Reports)
	}
}

// A connection pool must not retry by itself when a reused connection breaks: that would be an attempt which the choice module
// never ordered.
func TestConnectionPoolDoesNotRetry(t *testing.T) {
	for _, class := range []string{"check", "record"} {
		t.Run(class, func(t *testing.T) {
			var seen testkit.Counter
			e := newBackend(t, "b", func(w http.ResponseWriter, r *http.Request) {
				if seen.Add(r); r.Header.Get("X-Correlation-Id") == "second" {
					testkit.HangUp(w)
				}
			})
			r := start(t, testConfig{known: []discovery.Entry{e}, tries: 1}.config(t))
			if status, _ := do(t, r.newRequest(class, "first", 5, "")); status != 200 {
				t.Fatalf("the first request was answered %d", status)
			}
			if r.serverConns() != 1 {
				t.Fatalf("%d connections kept", r.serverConns())
			}
			status, _ := do(t, r.newRequest(class, "second", 5, ""))
			if n := seen.Count("second"); n != 1 {
				t.Errorf("the backend got the request %d times", n)
			}
			// A keyed request that may have run must not be refused.
			if refused := status == 503; status == 200 || refused != (class == "check") {
				t.Errorf("answered %d", status)
			}
		})
	}
}

// Only an answer marked unprocessed proves that the request did not run, and a backend's status is never passed to the client.
func TestBackendStatusMapsToClientStatus(t *testing.T) {
	for _, c := range []struct {
		name          string
		status        int
		unprocessed   bool
		body, promise string
		want          int
	}{
		{name: "rejected by the server", status: 503, unprocessed: true, want: 503},
		{name: "deadline exceeded", status: 504, unprocessed: true, want: 503},
		{name: "may have run", status: 503, want: 502},
		{name: "too many requests", status: 429, want: 502},
		{name: "error that claims not to have run", status: 500, unprocessed: true, want: 502},
		{name: "other success", status: 204, want: 502},
		{name: "truncated body", status: 200, body: "half", promise: "9", want: 502},
		{name: "body too long", status: 200, body: strings.Repeat("x", httpmsg.MaxBody+1), want: 502},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newBackend(t, "b", func(w http.ResponseWriter, r *http.Request) {
				io.Copy(io.Discard, r.Body)
				if c.unprocessed {
					w.Header().Set("X-Unprocessed", "1")
				}
				if c.promise != "" {
					w.Header().Set("Content-Length", c.promise)
				}
				w.WriteHeader(c.status)
				io.WriteString(w, c.body)
			})
			r := start(t, testConfig{known: []discovery.Entry{e}, tries: 1}.config(t))
			if status, _ := do(t, r.newRequest("pay", "id", 5, "")); status != c.want {
				t.Errorf("answered %d, not %d", status, c.want)
			}
		})
	}
}

// An answer that is delimited by the end of its connection is served after an orderly close, and fails after a reset.
func TestCloseDelimitedAnswerIsServedAfterOrderlyClose(t *testing.T) {
	for name, c := range map[string]struct {
		reset  bool
		status int
		body   string
	}{"orderly": {false, 200, "all of it"}, "reset": {true, 502, ""}} {
		t.Run(name, func(t *testing.T) {
			e := newBackend(t, "b", func(w http.ResponseWriter, r *http.Request) {
				conn, _, _ := w.(http.Hijacker).Hijack()
				defer conn.Close()
				io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nall of it")
				if c.reset {
					time.Sleep(50 * time.Millisecond) // otherwise the reset discards unread data
					conn.(*net.TCPConn).SetLinger(0)
				}
			})
			r := start(t, testConfig{known: []discovery.Entry{e}, tries: 1}.config(t))
			if status, body := do(t, r.newRequest("record", "id", 5, "")); status != c.status || body != c.body {
				t.Errorf("answered %d %q", status, body)
			}
		})
	}
}

func TestRefusedConnectionIsRetriedOnAnotherBackend(t *testing.T) {
	l, err := net.Listen("tcp", "127.66.0.1:0") // other tests take ports of 127.0.0.1
	if err != nil {
		t.Fatal(err)
	}
	dead := discovery.Entry{ID: "dead", Addr: l.Addr().String(), Zone: "z", Cell: 2, State: "in_service", Weight: 1}
	l.Close()
	live := newBackend(t, "live", func(w http.ResponseWriter, r *http.Request) {})
	r := start(t, testConfig{known: []discovery.Entry{dead, live}}.config(t))
	for i := range 8 {
		if status, _ := do(t, r.newRequest("pay", fmt.Sprint(i), 5, "")); status != 200 {
			t.Errorf("request %d was answered %d", i, status)
		}
	}
	if r.core.Snapshot().Stats.Results[choice.ConnectFailed] == 0 {
		t.Error("the dead backend was never tried")
	}
}

// A backend that accepts requests and never answers makes them fail at the deadline, and no state or connection remains.
func TestRequestsToASilentBackendFailAtTheDeadline(t *testing.T) {
	e := newBackend(t, "b", func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	r := start(t, testConfig{known: []discovery.Entry{e}, tries: 1}.config(t))
	var all sync.WaitGroup
	for i := range 20 {
		all.Go(func() {
			begin := time.Now()
			resp, err := http.DefaultTransport.RoundTrip(r.newRequest("record", fmt.Sprint(i), 0.3, ""))
			if err != nil {
				t.Errorf("no answer: %v", err)
				return
			}
			resp.Body.Close()
			if took := time.Since(begin); resp.StatusCode != 502 || took < 250*time.Millisecond {
				t.Errorf("answered %d after %v", resp.StatusCode, took)
			}
		})
	}
	all.Wait()
	testkit.Eventually(t, "requests and connections are removed", func() bool {
		held, open := r.heldAndOpen()
		return held == 0 && open == 0 && r.serverConns() == 0
	})
}

func TestMalformedRequests(t *testing.T) {
	var seen testkit.Counter
	e := newBackend(t, "b", func(w http.ResponseWriter, r *http.Request) { seen.Add(r) })
	r := start(t, testConfig{known: []discovery.Entry{e}}.config(t))
	for name, corrupt := range map[string]func(*http.Request){
		"no id":          func(q *http.Request) { q.Header.Del("X-Correlation-Id") },
		"two ids":        func(q *http.Request) { q.Header.Add("X-Correlation-Id", "other") },
		"no class":       func(q *http.Request) { q.Header.Del("X-Service-Class") },
		"unknown class":  func(q *http.Request) { q.Header.Set("X-Service-Class", "nothing") },
		"other path":     func(q *http.Request) { q.URL.Path, q.URL.RawPath = "/check/a", "" },
		"unknown tenant": func(q *http.Request) { q.Header.Set("X-Account", "nobody") },
		"no time":        func(q *http.Request) { q.Header.Del("X-Time-Left") },
		"time in words":  func(q *http.Request) { q.Header.Set("X-Time-Left", "soon") },
		"not a number":   func(q *http.Request) { q.Header.Set("X-Time-Left", "NaN") },
		"infinite time":  func(q *http.Request) { q.Header.Set("X-Time-Left", "Inf") },
		"negative time":  func(q *http.Request) { q.Header.Set("X-Time-Left", "-1") },
		"no key":         func(q *http.Request) { q.Header.Del("Idempotency-Key") },
		"safe method":    func(q *http.Request) { q.Method = http.MethodGet },
	} {
		t.Run(name, func(t *testing.T) {
			req := r.newRequest("record", "id", 5, "")
			corrupt(req)
			if status, _ := do(t, req); status < 400 || status > 499 || status == 429 {
				t.Errorf("answered %d", status)
			}
		})
	}
	if status, _ := do(t, r.newRequest("record", "id", 5, strings.Repeat("x", httpmsg.MaxBody+1))); status != 413 {
		t.Errorf("an oversized body was answered %d", status)
	}
	if n := seen.Count("id"); n != 0 {
		t.Errorf("%d malformed requests were forwarded", n)
	}
	if status, _ := do(t, r.newRequest("record", "id", 5, strings.Repeat("x", httpmsg.MaxBody))); status != 200 {
		t.Errorf("the largest body was answered %d", status)
	}
}

// sendRaw sends text on a new connection and returns everything that is received until the connection is closed.
func (r *runningAgent) sendRaw(t *testing.T, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", r.cfg.Listen)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testkit.WaitTimeout))
	io.WriteString(c, text)
	answer, err := io.ReadAll(c)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("the connection is still open after %q", answer)
	}
	return string(answer)
}

// Request smuggling: if the end of a request is ambiguous, one reading of it may hide a second request in the body.
func TestSmuggledRequestIsNotForwarded(t *testing.T) {
	var seen testkit.Counter
	e := newBackend(t, "b", func(w http.ResponseWriter, r *http.Request) { seen.Add(r) })
	r := start(t, testConfig{known: []discovery.Entry{e}}.config(t))
	head := func(proto string) string {
		return "POST /pay/x HTTP/" + proto + "\r\nHost: s\r\nX-Correlation-Id: outer\r\nX-Service-Class: pay\r\n" +
			"X-Account: oban\r\nX-Time-Left: 5\r\n"
	}
	inner := strings.Replace(head("1.1"), "outer", "inner", 1) + "\r\n"
	for name, text := range map[string]string{
		"length and chunks":      head("1.1") + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + inner,
		"chunks and length":      head("1.1") + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner,
		"chunks":                 head("1.1") + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"unknown coding":         head("1.1") + "Transfer-Encoding: xchunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + inner,
		"both, in old HTTP":      head("1.0") + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner,
		"two lengths":            head("1.1") + "Content-Length: 5\r\nContent-Length: 0\r\n\r\n0\r\n\r\n" + inner,
		"body of a safe request": strings.NewReplacer("POST /pay", "GET /check", ": pay", ": check").Replace(head("1.1")) + "Content-Length: 5\r\n\r\n0\r\n\r\n" + inner,
	} {
		t.Run(name, func(t *testing.T) {
			if got := r.sendRaw(t, text); strings.Count(got, "HTTP/1.") != 1 ||
				!regexp.MustCompile(`^HTTP/1\.[01] [45]`).MatchString(got) {
				t.Errorf("answered %q", got)
			}
			if seen.Count("outer")+seen.Count("inner") != 0 {
				t.Error("the request was forwarded")
			}
		})
	}
}

// A client that sends nothing, or an incomplete request, soon gets an error or a close. A body that is too long is refused
// without reading it.
func TestIncompleteRequestsGetAnErrorOrAClose(t *testing.T) {
	r := start(t, testConfig{}.config(t))
	head := "POST /pay/x HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: id\r\nX-Service-Class: pay\r\nX-Account: oban\r\n" +
		"X-Time-Left: 15\r\n"
	for name, c := range map[string]struct{ text, want string }{
		"silence":   {"", ""},
		"half head": {head, ""},
		"half body": {head + "Content-Length: 9\r\n\r\nhalf", "HTTP/1.1 400 "},
		"60 MB":     {head + "Content-Length: 60000000\r\n\r\n", "HTTP/1.1 413 "},
		"long head": {head + strings.Repeat("X-More: and more\r\n", 2000), "HTTP/1.1 431 "},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			begin := time.Now()
			if got := r.sendRaw(t, c.text); !strings.HasPrefix(got, c.want) || c.want == "" && got != "" {
				t.Errorf("answered %q", got)
			}
			if took := time.Since(begin); took > 4500*time.Millisecond {
				t.Errorf("it took %v", took)
			}
		})
	}
}

func TestRefusalCarriesRetryAfter(t *testing.T) {
	cfg := testConfig{}.config(t)
	cfg.Module.MaxRetryAfter = time.Second
	r := start(t, cfg) // knows no backend
	begin := time.Now()
	resp, err := http.DefaultTransport.RoundTrip(r.newRequest("pay", "id", 10, ""))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != 503 || resp.Header.Get("Retry-After") != "0.300" || time.Since(begin) > 5*time.Second {
		t.Errorf("answered %d with %v after %v", resp.StatusCode, resp.Header, time.Since(begin))
	}
}

func TestClientDisconnectEndsTheRequest(t *testing.T) {
	arrived := make(chan struct{})
	e := newBackend(t, "b", func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
	})
	r := start(t, testConfig{known: []discovery.Entry{e}, tries: 1}.config(t))
	ctx, disconnect := context.WithCancel(context.Background())
	go func() { <-arrived; disconnect() }()
	if resp, err := http.DefaultTransport.RoundTrip(r.newRequest("pay", "id", 10, "").WithContext(ctx)); err == nil {
		t.Fatalf("answered %d", resp.StatusCode)
	}
	testkit.Eventually(t, "the request has ended", func() bool { _, open := r.heldAndOpen(); return open == 0 })
	if r.core.Snapshot().Stats.Disconnected != 1 {
		t.Errorf("%d clients disconnected", r.core.Snapshot().Stats.Disconnected)
	}
}

func TestDuplicateRequestIDIsRejected(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	e := newBackend(t, "b", func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-release
	})
	r := start(t, testConfig{known: []discovery.Entry{e}}.config(t))
	first := make(chan int)
	go func() { status, _ := do(t, r.newRequest("pay", "id", 10, "")); first <- status }()
	<-arrived
	if status, _ := do(t, r.newRequest("pay", "id", 10, "")); status != 409 {
		t.Errorf("the repeat was answered %d", status)
	}
	close(release)
	if status := <-first; status != 200 {
		t.Errorf("the first was answered %d", status)
	}
}

// A backend closes idle connections after a known time. The agent closes them earlier: a request written at the moment of the
// backend's close would be reset.
func TestIdleBackendConnectionsAreClosed(t *testing.T) {
	closed := make(chan struct{}, 1)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed {
			closed <- struct{}{}
		}
	}
	s.Start()
	defer s.Close()
	e := discovery.Entry{ID: "b", Addr: s.Listener.Addr().String(), Zone: "z", State: "in_service"}
	r := start(t, testConfig{known: []discovery.Entry{e}, idle: 100 * time.Millisecond}.config(t))
	if status, _ := do(t, r.newRequest("pay", "id", 10, "")); status != 200 {
		t.Fatalf("answered %d", status)
	}
	select {
	case <-closed:
	case <-time.After(testkit.WaitTimeout):
		t.Error("the idle connection was kept")
	}
	testkit.Eventually(t, "the connection is no longer counted", func() bool { return r.serverConns() == 0 })
}

// During shutdown an agent keeps accepting for a while, answers all calls that it received and asks clients to close.
func TestGracefulShutdown(t *testing.T) {
	arrived, release := make(chan struct{}, 2), make(chan struct{})
	e := newBackend(t, "b", func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-release
		fmt.Fprint(w, "done")
	})
	r := start(t, testConfig{known: []discovery.Entry{e}}.config(t))
	answers := make(chan *http.Response, 2)
	ask := func(id string) {
		resp, err := new(http.Transport).RoundTrip(r.newRequest("pay", id, 15, ""))
		if err != nil {
			t.Errorf("%s: %v", id, err)
			resp = &http.Response{}
		}
		answers <- resp
	}
	go ask("before")
	<-arrived
	r.stop()
	go ask("after")
	<-arrived
	time.Sleep(shutdown.Plan(r.cfg.MaxDeadline(), false).Accept + 100*time.Millisecond) // both calls must outlast the accept phase
	close(release)
	for range 2 {
		if resp := <-answers; resp.StatusCode != 200 || !resp.Close {
			t.Errorf("answered %d, connection to be closed: %t", resp.StatusCode, resp.Close)
		}
	}
	select {
	case err := <-r.done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(testkit.WaitTimeout):
		t.Error("the agent is still running")
	}
	if c, err := net.Dial("tcp", r.cfg.Listen); err == nil {
		c.Close()
		t.Error("the agent still accepts")
	}
}

// If clients keep more connections than there are descriptors, the agent closes idle ones and no answer is lost.
func TestIdleClientConnectionsAreClosedAtTheSocketLimit(t *testing.T) {
	e := newBackend(t, "b", func(http.ResponseWriter, *http.Request) {})
	cfg := testConfig{known: []discovery.Entry{e}, sockets: config.MinSockets}.config(t)
	r := start(t, cfg)
	for i := range 3 * cfg.ClientSockets() {
		client := &http.Transport{}
		defer client.CloseIdleConnections()
		resp, err := client.RoundTrip(r.newRequest("pay", fmt.Sprint(i), 10, ""))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != 200 {
			t.Fatalf("request %d was answered %d", i, resp.StatusCode)
		}
	}
}

// Clients that send one request and keep their connection must not exhaust the third of the descriptors that clients may use:
// once a fourth is in use, the first answer on a connection closes it. Connections with a second request are kept.
func TestConnectionsCloseAfterTheFirstAnswerWhenSlotsRunShort(t *testing.T) {
	e := newBackend(t, "b", func(http.ResponseWriter, *http.Request) {})
	r := start(t, testConfig{known: []discovery.Entry{e}, sockets: config.MinSockets}.config(t))
	http.DefaultTransport.(*http.Transport).CloseIdleConnections() // the one of the readiness check
	ask := func(client *http.Transport, id string) (closes bool) {
		t.Helper()
		resp, err := client.RoundTrip(r.newRequest("pay", id, 10, ""))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != 200 {
			t.Fatalf("%s was answered %d", id, resp.StatusCode)
		}
		return resp.Close
	}
	closed := 0
	for i := range config.MinSockets / 2 {
		client := &http.Transport{}
		defer client.CloseIdleConnections()
		if ask(client, fmt.Sprint(i)) {
			closed++
		} else if ask(client, fmt.Sprint(i, " again")) {
			t.Error("a connection with a second request was closed")
		}
	}
	if closed == 0 {
		t.Errorf("all of %d connections were kept", config.MinSockets/2)
	}
}

func TestBadConfigurations(t *testing.T) {
	good := fmt.Sprintf(settings, int64(time.Second), int64(time.Second), 1)
	for name, text := range map[string]string{
		"no JSON":     `{`,
		"no settings": `{}`,
		"effect":      `{"settings":` + strings.Replace(good, "repeatable", "maybe", 1) + `}`,
		"streams":     `{"settings":` + strings.Replace(good, `"check",`, `"check","Streamed":true,`, 1) + `}`,
		"probes":      `{"settings":` + strings.Replace(good, `"MayCancel"`, `"Probes":true,"MayCancel"`, 1) + `}`,
		"sockets":     `{"limits":{"sockets":10},"settings":` + good + `}`,
	} {
		if _, err := config.Parse([]byte(text)); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
	if _, err := config.Load(func(string) string { return "" }); err == nil {
		t.Error("no error without NODE_CONFIG")
	}
}
