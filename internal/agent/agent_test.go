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

// settings are those of the tests: a class of each effect.
const settings = `{"Balancers":1,"Classes":[
	{"Name":"check","Effect":"repeatable","Group":"all","AimNs":600000000,"DeadlineNs":%[1]d,"Worth":2},
	{"Name":"record","Effect":"by_key","Group":"cell","WindowNs":2000000000,"AimNs":600000000,"DeadlineNs":%[1]d,"Worth":10},
	{"Name":"pay","Effect":"once","AimNs":600000000,"DeadlineNs":%[1]d,"Worth":10}],
	"Ceilings":{"ConnIdleNs":%[2]d,"ConnectTimeoutNs":5000000000,"MayCancel":true,"MostHeld":1000,"MostTries":%[3]d},
	"Discovery":"automatic","Report":{"Fields":["util","qps","eps"]},"TickNs":5000000,"WeightKind":"silent",
	"Tenants":[{"Name":"leith"},{"Name":"oban"}],"Zones":["z"]}`

// trial is what a test varies.
type trial struct {
	deadline, idle time.Duration
	tries, sockets int
	known          []discovery.Entry
}

func (tr trial) config(t *testing.T) *config.Config {
	t.Helper()
	if tr.deadline == 0 {
		tr.deadline = testkit.Patience
	}
	if tr.idle == 0 {
		tr.idle = time.Minute
	}
	if tr.tries == 0 {
		tr.tries = 3
	}
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",
		"seed": "8c1f30d27a5be964", "limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": tr.sockets},
		"known":    discovery.List{Version: 7, Full: true, Servers: tr.known},
		"settings": json.RawMessage(fmt.Sprintf(settings, int64(tr.deadline), int64(tr.idle), tr.tries))})
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

func quiet() *slog.Logger { return slog.New(slog.DiscardHandler) }

// running is an agent under test.
type running struct {
	*Agent
	url    string
	thrift string // where it takes Thrift
	end    context.CancelFunc
	done   chan error

	reload chan os.Signal
}

// start runs an agent; one that the test did not end is ended after it.
func start(t *testing.T, cfg *config.Config) *running { return startWith(t, cfg, nil) }

// startWith runs one that takes Thrift too.
func startWith(t testing.TB, cfg *config.Config, service *thriftmap.Map) *running {
	t.Helper()
	return startKeeping(t, cfg, service, quiet(), "")
}

// startKeeping runs one that logs, and keeps what it learns in a folder if one is given.
func startKeeping(t testing.TB, cfg *config.Config, service *thriftmap.Map, log *slog.Logger, folder string) *running {
	t.Helper()
	cfg.Listen = "127.0.0.1:0"
	a, err := New(cfg, service, log)
	if err != nil {
		t.Fatal(err)
	}
	if folder != "" {
		set := stateconf.Default(folder)
		set.Load, set.End = testkit.Patience, testkit.Patience
		a.Keep(set)
	}
	return run(t, a, cfg)
}

// run runs an agent; one that the test did not end is ended after it.
func run(t testing.TB, a *Agent, cfg *config.Config) *running {
	t.Helper()
	at, err := a.Listen()
	if err != nil {
		t.Fatal(err)
	}
	cfg.Listen = at[0]
	t.Cleanup(func() {
		if n := a.illegal.Load(); n > 0 {
			t.Errorf("%d illegal steps", n)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{Agent: a, url: "http://" + cfg.Listen, end: cancel, done: make(chan error, 1),
		reload: make(chan os.Signal, 1)}
	if len(at) > 1 {
		r.thrift = at[1]
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

// held asks the loop how many requests and timers it keeps.
func (r *running) held() (requests, open int) {
	s := r.core.Snapshot()
	return s.Held, s.Open
}

// connections is the number of those to servers.
func (r *running) connections() int {
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

// ask words a request of a class.
func (r *running) ask(class, id string, left float64, body string) *http.Request {
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

func TestPassesRequestAndAnswerOn(t *testing.T) {
	var got http.Header
	var line, body string
	e := newBackend(t, "b", func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		got, line, body = r.Header.Clone(), r.Method+" "+r.RequestURI, string(text)
		w.Header().Set("X-Backend-Load", "TEXT util=0.5, qps=40, eps=0")
		fmt.Fprint(w, "the answer")
	})
	r := start(t, trial{known: []discovery.Entry{e}}.config(t))
	status, answer := do(t, r.ask("record", "id1", 5, "a form"))
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
	if held, open := r.held(); held != 0 || open != 0 {
		t.Errorf("%d requests kept, %d open, after all were answered", held, open)
	}
	if r.core.Snapshot().Stats.Reports != 1 {
		t.Errorf("%d load reports read", r.core.Snapshot().Stats.Reports)
	}
}

// A pool that sends again by itself when a reused connection breaks makes an attempt that the module never ordered.
func TestNeverSendsAgainByItself(t *testing.T) {
	for _, class := range []string{"check", "record"} {
		t.Run(class, func(t *testing.T) {
			var seen testkit.Counter
			e := newBackend(t, "b", func(w http.ResponseWriter, r *http.Request) {
				if seen.Add(r); r.Header.Get("X-Correlation-Id") == "second" {
					testkit.HangUp(w)
				}
			})
			r := start(t, trial{known: []discovery.Entry{e}, tries: 1}.config(t))
			if status, _ := do(t, r.ask(class, "first", 5, "")); status != 200 {
				t.Fatalf("the first request was answered %d", status)
			}
			if r.connections() != 1 {
				t.Fatalf("%d connections kept", r.connections())
			}
			status, _ := do(t, r.ask(class, "second", 5, ""))
			if n := seen.Of("second"); n != 1 {
				t.Errorf("the backend got the request %d times", n)
			}
			// A keyed request that may have run must not be refused.
			if refused := status == 503; status == 200 || refused != (class == "check") {
				t.Errorf("answered %d", status)
			}
		})
	}
}

// Only an answer that says so proves that the request never ran, and no backend's status gets to the client.
func TestStatusOfBackends(t *testing.T) {
	for _, c := range []struct {
		name          string
		status        int
		unprocessed   bool
		body, promise string
		want          int
	}{
		{name: "turned away", status: 503, unprocessed: true, want: 503},
		{name: "over already", status: 504, unprocessed: true, want: 503},
		{name: "may have run", status: 503, want: 502},
		{name: "too many", status: 429, want: 502},
		{name: "error that claims not to have run", status: 500, unprocessed: true, want: 502},
		{name: "other success", status: 204, want: 502},
		{name: "cut short", status: 200, body: "half", promise: "9", want: 502},
		{name: "too long", status: 200, body: strings.Repeat("x", httpmsg.MaxBody+1), want: 502},
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
			r := start(t, trial{known: []discovery.Entry{e}, tries: 1}.config(t))
			if status, _ := do(t, r.ask("pay", "id", 5, "")); status != c.want {
				t.Errorf("answered %d, not %d", status, c.want)
			}
		})
	}
}

// An answer that only the end of its connection ends is served where that is orderly, and was cut short where it is a reset.
func TestUnframedAnswerIsServedIfItEndsOrderly(t *testing.T) {
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
					time.Sleep(50 * time.Millisecond) // or the reset takes what was not read with it
					conn.(*net.TCPConn).SetLinger(0)
				}
			})
			r := start(t, trial{known: []discovery.Entry{e}, tries: 1}.config(t))
			if status, body := do(t, r.ask("record", "id", 5, "")); status != c.status || body != c.body {
				t.Errorf("answered %d %q", status, body)
			}
		})
	}
}

func TestRefusedConnectionGoesElsewhere(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead := discovery.Entry{ID: "dead", Addr: l.Addr().String(), Zone: "z", Cell: 2, State: "in_service", Weight: 1}
	l.Close()
	live := newBackend(t, "live", func(w http.ResponseWriter, r *http.Request) {})
	r := start(t, trial{known: []discovery.Entry{dead, live}}.config(t))
	for i := range 8 {
		if status, _ := do(t, r.ask("pay", fmt.Sprint(i), 5, "")); status != 200 {
			t.Errorf("request %d was answered %d", i, status)
		}
	}
	if r.core.Snapshot().Stats.Results[choice.ConnectFailed] == 0 {
		t.Error("the dead backend was never tried")
	}
}

// A backend that takes requests and says nothing costs an answer at the deadline, and leaves nothing behind.
func TestSilentBackend(t *testing.T) {
	e := newBackend(t, "b", func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	r := start(t, trial{known: []discovery.Entry{e}, tries: 1}.config(t))
	var all sync.WaitGroup
	for i := range 20 {
		all.Go(func() {
			begin := time.Now()
			resp, err := http.DefaultTransport.RoundTrip(r.ask("record", fmt.Sprint(i), 0.3, ""))
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
	testkit.Eventually(t, "requests and connections are dropped", func() bool {
		held, open := r.held()
		return held == 0 && open == 0 && r.connections() == 0
	})
}

func TestMalformedRequests(t *testing.T) {
	var seen testkit.Counter
	e := newBackend(t, "b", func(w http.ResponseWriter, r *http.Request) { seen.Add(r) })
	r := start(t, trial{known: []discovery.Entry{e}}.config(t))
	for name, spoil := range map[string]func(*http.Request){
		"no id":          func(q *http.Request) { q.Header.Del("X-Correlation-Id") },
		"two ids":        func(q *http.Request) { q.Header.Add("X-Correlation-Id", "other") },
		"no class":       func(q *http.Request) { q.Header.Del("X-Service-Class") },
		"unknown class":  func(q *http.Request) { q.Header.Set("X-Service-Class", "nothing") },
		"other path":     func(q *http.Request) { q.URL.Path, q.URL.RawPath = "/check/a", "" },
		"unknown tenant": func(q *http.Request) { q.Header.Set("X-Account", "nobody") },
		"no time":        func(q *http.Request) { q.Header.Del("X-Time-Left") },
		"time in words":  func(q *http.Request) { q.Header.Set("X-Time-Left", "soon") },
		"no number":      func(q *http.Request) { q.Header.Set("X-Time-Left", "NaN") },
		"for ever":       func(q *http.Request) { q.Header.Set("X-Time-Left", "Inf") },
		"over already":   func(q *http.Request) { q.Header.Set("X-Time-Left", "-1") },
		"no key":         func(q *http.Request) { q.Header.Del("Idempotency-Key") },
		"safe method":    func(q *http.Request) { q.Method = http.MethodGet },
	} {
		t.Run(name, func(t *testing.T) {
			req := r.ask("record", "id", 5, "")
			spoil(req)
			if status, _ := do(t, req); status < 400 || status > 499 || status == 429 {
				t.Errorf("answered %d", status)
			}
		})
	}
	if status, _ := do(t, r.ask("record", "id", 5, strings.Repeat("x", httpmsg.MaxBody+1))); status != 413 {
		t.Errorf("an oversized body was answered %d", status)
	}
	if n := seen.Of("id"); n != 0 {
		t.Errorf("%d malformed requests were passed on", n)
	}
	if status, _ := do(t, r.ask("record", "id", 5, strings.Repeat("x", httpmsg.MaxBody))); status != 200 {
		t.Errorf("the largest body was answered %d", status)
	}
}

// raw sends bytes on a connection of their own and returns all that comes back until it is closed.
func (r *running) raw(t *testing.T, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", r.cfg.Listen)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testkit.Patience))
	io.WriteString(c, text)
	answer, err := io.ReadAll(c)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("the connection stays open after %q", answer)
	}
	return string(answer)
}

// Where two readings of a request's end are possible, one of them may hide a second request in the body.
func TestHiddenRequestIsNotPassedOn(t *testing.T) {
	var seen testkit.Counter
	e := newBackend(t, "b", func(w http.ResponseWriter, r *http.Request) { seen.Add(r) })
	r := start(t, trial{known: []discovery.Entry{e}}.config(t))
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
			if got := r.raw(t, text); strings.Count(got, "HTTP/1.") != 1 ||
				!regexp.MustCompile(`^HTTP/1\.[01] [45]`).MatchString(got) {
				t.Errorf("answered %q", got)
			}
			if seen.Of("outer")+seen.Of("inner") != 0 {
				t.Error("it was passed on")
			}
		})
	}
}

// Whoever says nothing, or not all, gets an error or a close soon; a body that is too long is not waited for.
func TestUnfinishedRequestsEnd(t *testing.T) {
	r := start(t, trial{}.config(t))
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
			if got := r.raw(t, c.text); !strings.HasPrefix(got, c.want) || c.want == "" && got != "" {
				t.Errorf("answered %q", got)
			}
			if took := time.Since(begin); took > 4500*time.Millisecond {
				t.Errorf("it took %v", took)
			}
		})
	}
}

func TestRefusalSaysWhenToComeBack(t *testing.T) {
	cfg := trial{}.config(t)
	cfg.Module.MaxRetryAfter = time.Second
	r := start(t, cfg) // knows no backend
	begin := time.Now()
	resp, err := http.DefaultTransport.RoundTrip(r.ask("pay", "id", 10, ""))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != 503 || resp.Header.Get("Retry-After") != "0.300" || time.Since(begin) > 5*time.Second {
		t.Errorf("answered %d with %v after %v", resp.StatusCode, resp.Header, time.Since(begin))
	}
}

func TestClientThatLeaves(t *testing.T) {
	arrived := make(chan struct{})
	e := newBackend(t, "b", func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
	})
	r := start(t, trial{known: []discovery.Entry{e}, tries: 1}.config(t))
	ctx, leave := context.WithCancel(context.Background())
	go func() { <-arrived; leave() }()
	if resp, err := http.DefaultTransport.RoundTrip(r.ask("pay", "id", 10, "").WithContext(ctx)); err == nil {
		t.Fatalf("answered %d", resp.StatusCode)
	}
	testkit.Eventually(t, "the request is over", func() bool { _, open := r.held(); return open == 0 })
	if r.core.Snapshot().Stats.Gone != 1 {
		t.Errorf("%d clients left", r.core.Snapshot().Stats.Gone)
	}
}

func TestRepeatedIDIsTurnedDown(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	e := newBackend(t, "b", func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-release
	})
	r := start(t, trial{known: []discovery.Entry{e}}.config(t))
	first := make(chan int)
	go func() { status, _ := do(t, r.ask("pay", "id", 10, "")); first <- status }()
	<-arrived
	if status, _ := do(t, r.ask("pay", "id", 10, "")); status != 409 {
		t.Errorf("the repeat was answered %d", status)
	}
	close(release)
	if status := <-first; status != 200 {
		t.Errorf("the first was answered %d", status)
	}
}

// A backend closes idle connections after a known time. The agent drops them before: a request written at that
// moment would be reset.
func TestIdleConnectionsAreDropped(t *testing.T) {
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
	r := start(t, trial{known: []discovery.Entry{e}, idle: 100 * time.Millisecond}.config(t))
	if status, _ := do(t, r.ask("pay", "id", 10, "")); status != 200 {
		t.Fatalf("answered %d", status)
	}
	select {
	case <-closed:
	case <-time.After(testkit.Patience):
		t.Error("the idle connection was kept")
	}
	testkit.Eventually(t, "the connection is no longer counted", func() bool { return r.connections() == 0 })
}

// An ending agent goes on accepting for a while, answers all it took and asks clients to close.
func TestEndsGently(t *testing.T) {
	arrived, release := make(chan struct{}, 2), make(chan struct{})
	e := newBackend(t, "b", func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-release
		fmt.Fprint(w, "done")
	})
	r := start(t, trial{known: []discovery.Entry{e}}.config(t))
	answers := make(chan *http.Response, 2)
	ask := func(id string) {
		resp, err := new(http.Transport).RoundTrip(r.ask("pay", id, 15, ""))
		if err != nil {
			t.Errorf("%s: %v", id, err)
			resp = &http.Response{}
		}
		answers <- resp
	}
	go ask("before")
	<-arrived
	r.end()
	go ask("after")
	<-arrived
	time.Sleep(shutdown.Plan(r.cfg.LongestDeadline(), false).Accept + 100*time.Millisecond) // both are to outlast the time of accepting
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
	case <-time.After(testkit.Patience):
		t.Error("the agent goes on")
	}
	if c, err := net.Dial("tcp", r.cfg.Listen); err == nil {
		c.Close()
		t.Error("the agent still accepts")
	}
}

// Clients that keep more connections than there are descriptors lose the idle ones, never an answer.
func TestIdleClientsGiveWay(t *testing.T) {
	e := newBackend(t, "b", func(http.ResponseWriter, *http.Request) {})
	cfg := trial{known: []discovery.Entry{e}, sockets: config.LeastSockets}.config(t)
	r := start(t, cfg)
	for i := range 3 * cfg.ClientSockets() {
		client := &http.Transport{}
		defer client.CloseIdleConnections()
		resp, err := client.RoundTrip(r.ask("pay", fmt.Sprint(i), 10, ""))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != 200 {
			t.Fatalf("request %d was answered %d", i, resp.StatusCode)
		}
	}
}

// Clients that ask once and keep their connection must not use up the third of the descriptors that clients may hold:
// from a fourth on a first answer ends its connection. Who has come back before may go on.
func TestConnectionsEndWithTheAnswerWhereCrowded(t *testing.T) {
	e := newBackend(t, "b", func(http.ResponseWriter, *http.Request) {})
	r := start(t, trial{known: []discovery.Entry{e}, sockets: config.LeastSockets}.config(t))
	http.DefaultTransport.(*http.Transport).CloseIdleConnections() // the one that asked whether it is ready
	ask := func(client *http.Transport, id string) (closes bool) {
		t.Helper()
		resp, err := client.RoundTrip(r.ask("pay", id, 10, ""))
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
	for i := range config.LeastSockets / 2 {
		client := &http.Transport{}
		defer client.CloseIdleConnections()
		if ask(client, fmt.Sprint(i)) {
			closed++
		} else if ask(client, fmt.Sprint(i, " again")) {
			t.Error("one that has come back was closed")
		}
	}
	if closed == 0 {
		t.Errorf("all of %d connections were kept", config.LeastSockets/2)
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
