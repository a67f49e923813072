package httpback

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/lifecycle"
	"ternbeam/internal/host/core"
	"ternbeam/internal/host/exchange"
	"ternbeam/internal/host/pool"
	"ternbeam/internal/http/httpmsg"
	"ternbeam/internal/lab/testkit"
	"ternbeam/internal/protocol"
)

// runServer starts a server that handles each connection with serve; n counts the connections, from 1 on.
func runServer(t *testing.T, serve func(c net.Conn, r *bufio.Reader, n int)) *lifecycle.Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go serve(c, bufio.NewReader(c), n)
		}
	}()
	return &lifecycle.Server{ID: "b", Addr: l.Addr().String()}
}

// readRequestID reads a request and returns its ID, empty at the end of the connection.
func readRequestID(r *bufio.Reader) string {
	req, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	return req.Header.Get("X-Correlation-Id")
}

func answerWithID(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
}

// httpAttempt makes an attempt over HTTP that has a deadline.
func httpAttempt(t *testing.T, u *exchange.Transport, id string, s *lifecycle.Server) core.AttemptOutcome {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testkit.WaitTimeout)
	defer cancel()
	a := attempt(id, s)
	a.Speaks = protocol.HTTP
	return u.Attempt(ctx, a)
}

func bodyOf(e core.AttemptOutcome) string {
	if r, ok := e.Reply.(*httpmsg.Reply); ok {
		return string(r.Body)
	}
	return ""
}

// Guards against taking a second answer to a request for the answer to the next one. A server answers twice, some milliseconds apart,
// and the next request may already be on that connection. So a connection is not reused before a delay, in which the second answer arrives.
func TestSecondAnswerIsNotTakenForNextRequest(t *testing.T) {
	b := runServer(t, func(c net.Conn, r *bufio.Reader, _ int) {
		id := readRequestID(r)
		fmt.Fprint(c, answerWithID(id))
		nextRequest := make(chan string, 1)
		go func() { nextRequest <- readRequestID(r) }()
		select {
		case <-nextRequest: // the next request was sent without the reuse delay
		case <-time.After(3 * time.Millisecond):
		}
		fmt.Fprint(c, answerWithID(id))
	})
	u := newTransport(pool.Settings{ReuseDelay: 300 * time.Millisecond})
	for i := range 3 {
		id := fmt.Sprint("call-", i)
		if e := httpAttempt(t, u, id, b); e.Result != choice.OK || bodyOf(e) != id {
			t.Errorf("%s: result %d, with the answer to %q", id, e.Result, bodyOf(e))
		}
	}
}

// secondAnswerServer starts a server that answers every request a second time, after a delay.
func secondAnswerServer(t *testing.T, late time.Duration) *lifecycle.Server {
	return runServer(t, func(c net.Conn, r *bufio.Reader, _ int) {
		for id := readRequestID(r); id != ""; id = readRequestID(r) {
			fmt.Fprint(c, answerWithID(id))
			time.AfterFunc(late, func() { fmt.Fprint(c, answerWithID(id)) })
		}
	})
}

// Guards against a second answer that comes 12 ms late and is given to another client.
func TestSecondAnswerAfter12msIsNotTakenForNextRequest(t *testing.T) {
	b := secondAnswerServer(t, 12*time.Millisecond)
	u := newTransport(pool.Settings{})
	var clients sync.WaitGroup
	for client := range 6 {
		clients.Go(func() {
			for i := range 40 {
				id := fmt.Sprintf("call-%d-%d", client, i)
				if e := httpAttempt(t, u, id, b); e.Result == choice.OK && bodyOf(e) != id {
					t.Errorf("%s got the answer to %q", id, bodyOf(e))
				}
			}
		})
	}
	clients.Wait()
}

// Guards against a server that is known to send second answers and whose connections are reused before them.
func TestReuseDelayGrowsAfterASecondAnswer(t *testing.T) {
	const late, reuseDelay = 60 * time.Millisecond, 20 * time.Millisecond
	grown := make(chan time.Duration, 10)
	b := secondAnswerServer(t, late)
	u := newTransport(pool.Settings{ReuseDelay: reuseDelay, OnReuseDelay: func(_ *lifecycle.Server, _, delay time.Duration) { grown <- delay }})
	httpAttempt(t, u, "first", b)
	testkit.Eventually(t, "the second answer is found", func() bool {
		u.Pool.Sweep()
		return idleConns(u) == 0
	})
	if delay := <-grown; delay < 3*late { // the kernel counts milliseconds
		t.Fatalf("the reuse delay is %v after a second answer that came %v late", delay, late)
	}
	for i := range 4 {
		id := fmt.Sprint("call-", i)
		if e := httpAttempt(t, u, id, b); e.Result != choice.OK || bodyOf(e) != id {
			t.Errorf("%s: result %d, with the answer to %q", id, e.Result, bodyOf(e))
		}
		time.Sleep(late - 10*time.Millisecond) // longer than the initial delay, and before the second answer
	}
}

// A few of the calls that find no connection past its reuse delay wait for one; the others open more connections, within the limit, so that
// in the end every call finds one. The reuse delay is observed on each connection.
func TestFewAttemptsWaitForReuseDelay(t *testing.T) {
	const reuseDelay, calls, maxConns = 100 * time.Millisecond, 12, 20
	var opened atomic.Int32
	var mu sync.Mutex
	var tooEarly []time.Duration
	b := runServer(t, func(c net.Conn, r *bufio.Reader, _ int) {
		opened.Add(1)
		for answered := (time.Time{}); ; {
			id := readRequestID(r)
			if id == "" {
				return
			}
			if idleFor := time.Since(answered); !answered.IsZero() && idleFor < reuseDelay {
				mu.Lock()
				tooEarly = append(tooEarly, idleFor)
				mu.Unlock()
			}
			answered = time.Now() // the next request can't arrive earlier
			fmt.Fprint(c, answerWithID(id))
		}
	})
	u := newTransport(pool.Settings{ReuseDelay: reuseDelay, MaxReuseWait: reuseDelay, MaxConns: maxConns})
	burst := func() {
		var all sync.WaitGroup
		for i := range calls {
			all.Go(func() {
				if e := httpAttempt(t, u, fmt.Sprint("call-", i), b); e.Result != choice.OK {
					t.Errorf("result %d", e.Result)
				}
			})
		}
		all.Wait()
	}
	burst()
	burst()
	if n := opened.Load(); n <= 1 || n > maxConns {
		t.Errorf("%d connections for %d concurrent calls", n, calls)
	}
	open, idle, waiting := u.Pool.Count()
	if open != idle || waiting != 0 {
		t.Errorf("%d connections open, %d idle, %d attempts waiting, with no call in flight", open, idle, waiting)
	}
	mu.Lock()
	defer mu.Unlock()
	if len(tooEarly) > 0 {
		t.Errorf("connections were reused after only %v", tooEarly)
	}
}

// An attempt that waits for a connection's reuse delay is canceled or times out: nothing is sent, and the connection is released.
func TestAttemptIsCanceledDuringReuseDelay(t *testing.T) {
	var seen testkit.Counter
	b := startServer(t, func(_ http.ResponseWriter, r *http.Request) { seen.Add(r) })
	u := newTransport(pool.Settings{ReuseDelay: testkit.WaitTimeout, MaxReuseWait: testkit.WaitTimeout})
	if e := httpAttempt(t, u, "first", b); e.Result != choice.OK {
		t.Fatalf("result %d", e.Result)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan core.AttemptOutcome)
	second := attempt("second", b)
	second.Speaks = protocol.HTTP
	go func() { ended <- u.Attempt(ctx, second) }()
	testkit.Eventually(t, "the second attempt waits", func() bool { return idleConns(u) == 0 })
	cancel()
	if e := <-ended; e.Result != choice.NotSent || seen.Count("second") != 0 {
		t.Errorf("result %d, %d requests", e.Result, seen.Count("second"))
	}
	if openConns(u) != 1 || idleConns(u) != 1 {
		t.Errorf("%d connections open, %d idle", openConns(u), idleConns(u))
	}
}

// withStall returns u with a call of stall between the check of the connection and the first byte written.
func withStall(u *exchange.Transport, stall func()) *exchange.Transport {
	newCodec := u.NewCodec
	u.NewCodec = func(at *core.Attempt) exchange.Codec { stall(); return newCodec(at) }
	return u
}

// The process is suspended between the check of an idle connection and the first byte, and the server closes the idle connection
// meanwhile. The request must not be written there: it would count as one that may have run, and an unsafe one would be lost.
func TestIdleConnectionClosesDuringSuspension(t *testing.T) {
	closed := make(chan net.Conn, 1)
	b := runServer(t, func(c net.Conn, r *bufio.Reader, _ int) {
		for id := readRequestID(r); id != ""; id = readRequestID(r) {
			fmt.Fprint(c, answerWithID(id))
			closed <- c
		}
	})
	calls := 0
	u := withStall(newTransport(pool.Settings{ReuseDelay: time.Nanosecond}), func() {
		if calls++; calls == 2 {
			c := <-closed
			c.Close()
			time.Sleep(10 * time.Millisecond) // the suspension itself
		}
	})
	if e := httpAttempt(t, u, "first", b); e.Result != choice.OK {
		t.Fatalf("result %d", e.Result)
	}
	a := attempt("second", b)
	a.Speaks = protocol.HTTP
	if e := u.Attempt(context.Background(), a); e.Result != choice.ConnectFailed || a.State.MayHaveRun() {
		t.Errorf("result %d, can have run: %t", e.Result, a.State.MayHaveRun())
	}
	if e := httpAttempt(t, u, "third", b); e.Result != choice.OK || bodyOf(e) != "third" {
		t.Errorf("result %d, %q", e.Result, bodyOf(e))
	}
}
