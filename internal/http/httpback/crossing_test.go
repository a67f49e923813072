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
	"ternbeam/internal/decide/life"
	"ternbeam/internal/host/core"
	"ternbeam/internal/host/exchange"
	"ternbeam/internal/host/pool"
	"ternbeam/internal/http/httpmsg"
	"ternbeam/internal/lab/testkit"
	"ternbeam/internal/protocol"
)

// peer runs a server that serves each connection so; n counts them, from 1 on.
func peer(t *testing.T, serve func(c net.Conn, r *bufio.Reader, n int)) *life.Server {
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
	return &life.Server{ID: "b", Addr: l.Addr().String()}
}

// next reads a request and returns its id, empty at the end.
func next(r *bufio.Reader) string {
	req, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	return req.Header.Get("X-Correlation-Id")
}

func answerTo(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
}

// spoken is an attempt in HTTP with an end.
func spoken(t *testing.T, u *exchange.Transport, id string, s *life.Server) core.Ending {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testkit.Patience)
	defer cancel()
	a := attempt(id, s)
	a.Speaks = protocol.HTTP
	return u.Attempt(ctx, a)
}

func bodyOf(e core.Ending) string {
	if r, ok := e.Reply.(*httpmsg.Reply); ok {
		return string(r.Body)
	}
	return ""
}

// A server answers a request once more, some milliseconds later, and another request has begun on that connection meanwhile:
// nobody could tell that the answer is not its own. A connection has to rest before it is used again, so that it comes first.
func TestSecondAnswerMeetsNextRequest(t *testing.T) {
	b := peer(t, func(c net.Conn, r *bufio.Reader, _ int) {
		id := next(r)
		fmt.Fprint(c, answerTo(id))
		crossed := make(chan string, 1)
		go func() { crossed <- next(r) }()
		select {
		case <-crossed: // the next request is on its way, and the connection has not rested
		case <-time.After(3 * time.Millisecond):
		}
		fmt.Fprint(c, answerTo(id))
	})
	u := newTransport(pool.Settings{Rest: 300 * time.Millisecond})
	for i := range 3 {
		id := fmt.Sprint("call-", i)
		if e := spoken(t, u, id, b); e.Result != choice.OK || bodyOf(e) != id {
			t.Errorf("%s: result %d, with the answer of %q", id, e.Result, bodyOf(e))
		}
	}
}

// Calls that come faster than connections have rested wait for them, a few of them; the others open more, where there is place,
// so that in the end all find one that has rested. Each connection rests.
func TestFewWaitForRest(t *testing.T) {
	const rest, calls, most = 100 * time.Millisecond, 12, 20
	var opened atomic.Int32
	var mu sync.Mutex
	var short []time.Duration
	b := peer(t, func(c net.Conn, r *bufio.Reader, _ int) {
		opened.Add(1)
		for answered := (time.Time{}); ; {
			id := next(r)
			if id == "" {
				return
			}
			if rested := time.Since(answered); !answered.IsZero() && rested < rest {
				mu.Lock()
				short = append(short, rested)
				mu.Unlock()
			}
			answered = time.Now() // it can't be there before
			fmt.Fprint(c, answerTo(id))
		}
	})
	u := newTransport(pool.Settings{Rest: rest, Most: most})
	burst := func() {
		var all sync.WaitGroup
		for i := range calls {
			all.Go(func() {
				if e := spoken(t, u, fmt.Sprint("call-", i), b); e.Result != choice.OK {
					t.Errorf("result %d", e.Result)
				}
			})
		}
		all.Wait()
	}
	burst()
	burst()
	if n := opened.Load(); n <= 1 || n > most {
		t.Errorf("%d connections for %d calls at a time", n, calls)
	}
	open, idle, waiting := u.Pool.Count()
	if open != idle || waiting != 0 {
		t.Errorf("%d places taken, %d idle, %d waited for, with nothing under way", open, idle, waiting)
	}
	mu.Lock()
	defer mu.Unlock()
	if len(short) > 0 {
		t.Errorf("connections rested for %v only", short)
	}
}

// Who waits for a connection to have rested is withdrawn, or its time ends: nothing is sent, and the connection goes back.
func TestWithdrawnWhileItRests(t *testing.T) {
	var seen testkit.Counter
	b := server(t, func(_ http.ResponseWriter, r *http.Request) { seen.Add(r) })
	u := newTransport(pool.Settings{Rest: testkit.Patience})
	if e := spoken(t, u, "first", b); e.Result != choice.OK {
		t.Fatalf("result %d", e.Result)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan core.Ending)
	second := attempt("second", b)
	second.Speaks = protocol.HTTP
	go func() { ended <- u.Attempt(ctx, second) }()
	testkit.Eventually(t, "the second waits", func() bool { return idle(u) == 0 })
	cancel()
	if e := <-ended; e.Result != choice.NotSent || seen.Of("second") != 0 {
		t.Errorf("result %d, %d requests", e.Result, seen.Of("second"))
	}
	if count(u) != 1 || idle(u) != 1 {
		t.Errorf("%d places taken, %d idle", count(u), idle(u))
	}
}

// stalling is a transport that stands still between the look at its connection and the first byte.
func stalling(u *exchange.Transport, still func()) *exchange.Transport {
	begin := u.Begin
	u.Begin = func(at *core.Attempt) exchange.Talk { still(); return begin(at) }
	return u
}

// The process stands still between the look at an idle connection and the first byte, and the server closes it meanwhile, as
// idle. The request must not be written there: it would count as one that may have run, and an unsafe one would be lost.
func TestIdleConnectionEndsDuringAStandstill(t *testing.T) {
	closed := make(chan net.Conn, 1)
	b := peer(t, func(c net.Conn, r *bufio.Reader, _ int) {
		for id := next(r); id != ""; id = next(r) {
			fmt.Fprint(c, answerTo(id))
			closed <- c
		}
	})
	calls := 0
	u := stalling(newTransport(pool.Settings{Rest: time.Nanosecond}), func() {
		if calls++; calls == 2 {
			c := <-closed
			c.Close()
			time.Sleep(10 * time.Millisecond) // the standstill itself
		}
	})
	if e := spoken(t, u, "first", b); e.Result != choice.OK {
		t.Fatalf("result %d", e.Result)
	}
	a := attempt("second", b)
	a.Speaks = protocol.HTTP
	if e := u.Attempt(context.Background(), a); e.Result != choice.ConnectFailed || a.Life.CanHaveRun() {
		t.Errorf("result %d, can have run: %t", e.Result, a.Life.CanHaveRun())
	}
	if e := spoken(t, u, "third", b); e.Result != choice.OK || bodyOf(e) != "third" {
		t.Errorf("result %d, %q", e.Result, bodyOf(e))
	}
}
