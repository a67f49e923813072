package agent

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"hash"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/discovery"
	"ternbeam/internal/lab/testkit"
)

// startLong starts an agent with an operations address, which also enables long bodies.
func startLong(t *testing.T, known ...discovery.Entry) *runningAgent {
	t.Helper()
	return testConfig{known: known}.startWithOps(t)
}

// pattern is a reader of size bytes that are determined by a seed. It calls onHalfRead once half of them are read.
type pattern struct {
	seed, remaining, size int
	onHalfRead            func()
}

func newPattern(seed, size int, onHalfRead func()) *pattern {
	return &pattern{seed: seed, remaining: size, size: size, onHalfRead: onHalfRead}
}

func (p *pattern) Read(b []byte) (int, error) {
	if p.remaining == 0 {
		return 0, io.EOF
	}
	if p.onHalfRead != nil && p.remaining <= p.size/2 {
		p.onHalfRead()
		p.onHalfRead = nil
	}
	n := min(len(b), p.remaining)
	for i := range b[:n] {
		at := p.size - p.remaining + i
		b[i] = byte(at ^ at>>8*p.seed ^ at>>16 + p.seed)
	}
	p.remaining -= n
	return n, nil
}

func hashAll(r io.Reader) (string, int64, error) {
	h := sha256.New()
	n, err := io.Copy(struct{ hash.Hash }{h}, r)
	return hex.EncodeToString(h.Sum(nil)), n, err
}

// barrier lets a number of goroutines wait for one another.
type barrier struct {
	mu         sync.Mutex
	want       int
	arrived    map[string]bool
	allArrived chan struct{}
}

func newBarrier(n int) *barrier {
	return &barrier{want: n, arrived: map[string]bool{}, allArrived: make(chan struct{})}
}

func (b *barrier) wait(t *testing.T, id string) {
	b.mu.Lock()
	if !b.arrived[id] {
		if b.arrived[id] = true; len(b.arrived) == b.want {
			close(b.allArrived)
		}
	}
	b.mu.Unlock()
	select {
	case <-b.allArrived:
	case <-time.After(testkit.WaitTimeout):
		t.Errorf("%s: timed out at the barrier", id)
	}
}

// Twenty bodies of 32 MB are in transfer at once in each direction, and every peer pauses until all have got as far: the agent's
// memory for them stays small, and each body arrives unchanged and once.
func TestLongBodiesInBothDirectionsUseBoundedMemory(t *testing.T) {
	const peers, size = 20, 32 << 20
	up, down := newBarrier(peers), newBarrier(peers)
	var counter testkit.Counter
	backend := func(id string) discovery.Entry {
		return newBackend(t, id, func(w http.ResponseWriter, r *http.Request) {
			first := make([]byte, 1<<16)
			if _, err := io.ReadFull(r.Body, first); err != nil {
				t.Error(err)
				return
			}
			up.wait(t, r.Header.Get("X-Correlation-Id"))
			got, n, err := hashAll(io.MultiReader(bytes.NewReader(first), r.Body))
			counter.Add(r)
			if err != nil || n != size {
				t.Errorf("a server reads %d bytes, %v", n, err)
			}
			var seed int
			fmt.Sscan(strings.TrimPrefix(r.Header.Get("X-Correlation-Id"), "long-"), &seed)
			if seed%2 == 0 {
				w.Header().Set("Content-Length", fmt.Sprint(size))
			}
			w.Header().Set("Content-Type", got)
			io.Copy(w, newPattern(seed, size, nil))
		})
	}
	r := startLong(t, backend("a"), backend("b"))
	var before runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	checkGrowth := func(phase string, times int) {
		// Parts of bodies that are allocated and freed while the garbage collector runs count as in use in that reading, some tens
		// of MB at this rate. They only add, so the smallest of several readings is the closest to what is held.
		readings := make([]int64, times)
		for i := range readings {
			var now runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&now)
			readings[i] = (int64(now.HeapAlloc) - int64(before.HeapAlloc)) >> 20
		}
		t.Logf("%s: %d MB more than before", phase, readings)
		// Buffered bodies are limited to a quarter of six tenths of 192 MB; the readings include the peers of the test.
		if grown := slices.Min(readings); grown > 80 {
			t.Errorf("%s: %d MB more than before", phase, grown)
		}
	}
	measured := sync.OnceFunc(func() { checkGrowth("while 640 MB are uploaded", 3) })
	var done sync.WaitGroup
	for seed := range peers {
		done.Go(func() {
			id := fmt.Sprint("long-", seed)
			req := r.newRequest("pay", id, 20, "")
			req.Body, req.ContentLength = io.NopCloser(newPattern(seed, size, measured)), size
			if seed%3 == 0 {
				req.ContentLength = -1
			}
			resp, err := http.DefaultTransport.RoundTrip(req)
			if err != nil {
				t.Error(err)
				return
			}
			defer resp.Body.Close()
			first := make([]byte, 1<<16)
			_, err = io.ReadFull(resp.Body, first)
			down.wait(t, id)
			got, n, more := hashAll(io.MultiReader(bytes.NewReader(first), resp.Body))
			want, _, _ := hashAll(newPattern(seed, size, nil))
			if resp.StatusCode != http.StatusOK || n != size || got != want || err != nil || more != nil {
				t.Errorf("%s: %d, %d bytes, unchanged: %t, %v, %v", id, resp.StatusCode, n, got == want, err, more)
			}
			if resp.Header.Get("Content-Type") != want {
				t.Errorf("%s: the server read other bytes", id)
			}
		})
	}
	<-down.allArrived
	checkGrowth("while 640 MB are downloaded", 1)
	done.Wait()
	for seed := range peers {
		if n := counter.Count(fmt.Sprint("long-", seed)); n != 1 {
			t.Errorf("call %d ran %d times", seed, n)
		}
	}
	testkit.Eventually(t, "all calls are counted as served, and none is outstanding", func() bool {
		return r.counter(t, `svc_succeeded{service="pay"}`) == peers && r.counter(t, "svc_outstanding") == 0
	})
}

// An answer that its server truncates, at any byte, is never treated as complete; if nothing was sent to the client yet, the
// client gets a failure as the final answer.
func TestTruncatedAnswersAreNotTreatedAsComplete(t *testing.T) {
	const size = 200_000
	for _, form := range []string{"length", "chunked", "close"} {
		for _, at := range []int{0, 1, 1000, 64<<10 - 1, 64 << 10, 64<<10 + 1, 100_000, size - 1} {
			t.Run(fmt.Sprint(form, " at ", at), func(t *testing.T) {
				t.Parallel()
				e := newBackend(t, "a", func(w http.ResponseWriter, r *http.Request) {
					c, out, err := w.(http.Hijacker).Hijack()
					if err != nil {
						t.Error(err)
						return
					}
					defer c.Close()
					head, body := "Content-Length: "+fmt.Sprint(size), strings.Repeat("x", at)
					switch form {
					case "chunked":
						head, body = "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s", size, body)
					case "close":
						head = "Connection: close"
						defer c.(*net.TCPConn).SetLinger(0) // only a reset distinguishes this one from a complete answer
					}
					fmt.Fprintf(out, "HTTP/1.1 200 OK\r\n%s\r\n\r\n%s", head, body)
					out.Flush()
					if form == "close" { // a reset discards unread data
						time.Sleep(200 * time.Millisecond)
					}
				})
				r := startLong(t, e)
				resp, err := http.DefaultTransport.RoundTrip(r.newRequest("pay", "a", 5, ""))
				if err != nil {
					return // truncated before the head was read
				}
				defer resp.Body.Close()
				body, err := io.ReadAll(resp.Body)
				if resp.StatusCode == http.StatusOK && err == nil {
					t.Errorf("treated as complete with %d bytes", len(body))
				}
				if resp.StatusCode == http.StatusServiceUnavailable {
					t.Error("refused although it has run")
				}
				testkit.Eventually(t, "the call is counted as failed", func() bool { return r.counter(t, `svc_aborted{service="pay"}`) == 1 })
			})
		}
	}
}

// The first bytes of a long answer are relayed without waiting for the rest, and the answer may end after the deadline.
func TestFirstBytesOfLongAnswersAreRelayedAtOnce(t *testing.T) {
	gate := make(chan struct{})
	e := newBackend(t, "a", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "100000")
		io.WriteString(w, strings.Repeat("a", 50_000))
		w.(http.Flusher).Flush()
		<-gate
		io.WriteString(w, strings.Repeat("b", 50_000))
	})
	cfg := testConfig{known: []discovery.Entry{e}, deadline: 300 * time.Millisecond}.config(t)
	cfg.Ops = "127.0.0.1:0"
	r := start(t, cfg)
	resp, err := http.DefaultTransport.RoundTrip(r.newRequest("check", "a", 0.3, ""))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := io.ReadFull(resp.Body, make([]byte, 50_000)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(400 * time.Millisecond) // past the deadline
	close(gate)
	if rest, err := io.ReadAll(resp.Body); err != nil || len(rest) != 50_000 {
		t.Errorf("%d bytes more, %v", len(rest), err)
	}
}

// A client that disconnects while its answer is relayed frees the server's connection, and so does one that disconnects while its
// body is uploaded: that call never ran.
func TestClientDisconnectDuringTransferFreesTheConnection(t *testing.T) {
	var counter testkit.Counter
	begun, ended := make(chan struct{}, 2), make(chan struct{}, 2)
	e := newBackend(t, "a", func(w http.ResponseWriter, r *http.Request) {
		begun <- struct{}{}
		defer func() { ended <- struct{}{} }()
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		counter.Add(r)
		io.Copy(w, newPattern(1, 1<<30, nil))
	})
	r := startLong(t, e)
	resp, err := http.DefaultTransport.RoundTrip(r.newRequest("pay", "down", 5, ""))
	if err != nil {
		t.Fatal(err)
	}
	io.ReadFull(resp.Body, make([]byte, 1000))
	resp.Body.Close()
	<-begun
	<-ended
	c, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "POST /pay/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: up\r\nX-Service-Class: pay\r\nX-Account: oban\r\nX-Time-Left: 5\r\n"+
		"Content-Length: 1000000\r\n\r\n%s", strings.Repeat("x", 500_000))
	testkit.Eventually(t, "the call is in flight", func() bool { return r.counter(t, "svc_outstanding") == 1 })
	<-begun // otherwise it would not be sent at all, since the agent checks whether its client is connected
	c.Close()
	<-ended
	testkit.Eventually(t, "no call and no connection remains", func() bool {
		held, open := r.heldAndOpen()
		return held == 0 && open == 0 && r.serverConns() == 0
	})
	if counter.Count("up") != 0 {
		t.Error("an incomplete call ran")
	}
}

// requestForm is a request as raw text, and the expected answer.
type requestForm struct {
	name, text string
	status     int
	body       string // expected answer of the server if the call is served
}

func post(id, headers, body string) string {
	return "POST /pay/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: " + id + "\r\nX-Service-Class: pay\r\nX-Account: oban\r\nX-Time-Left: 5\r\n" + headers +
		"\r\n" + body
}

// Every valid form of an HTTP/1.1 request is served. A request with an ambiguous end is not, however it is spelled.
func TestRequestFraming(t *testing.T) {
	e := newBackend(t, "a", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		if len(r.TransferEncoding) == 0 && r.ContentLength != int64(len(body)) {
			t.Errorf("Content-Length %d for %d bytes", r.ContentLength, len(body))
		}
		fmt.Fprintf(w, "%s got %d:%.20s", r.Header.Get("X-Correlation-Id"), len(body), body)
	})
	r := startLong(t, e)
	big := strings.Repeat("z", 70_000)
	chunked := "Transfer-Encoding: chunked\r\n"
	for _, c := range []requestForm{
		{"length", post("1", "Content-Length: 3\r\n", "abc"), 200, "1 got 3:abc"},
		{"nothing", post("2", "Content-Length: 0\r\n", ""), 200, "2 got 0:"},
		{"chunks", post("3", chunked, "1\r\na\r\n2\r\nbc\r\n0\r\n\r\n"), 200, "3 got 3:abc"},
		{"extensions", post("4", chunked, "1;x=y\r\na\r\n002;q=\"1\"\r\nbc\r\n0;last\r\n\r\n"), 200, "4 got 3:abc"},
		{"trailers", post("5", chunked+"Trailer: X-Sum\r\n", "3\r\nabc\r\n0\r\nX-Sum: 7\r\n\r\n"), 200, "5 got 3:abc"},
		{"long chunk", post("6", chunked, fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(big), big)), 200, "6 got 70000:" + big[:20]},
		{"long", post("7", "Content-Length: 70000\r\n", big), 200, "7 got 70000:" + big[:20]},
		{"odd spelling", post("8", "tRANSFER-eNCODING:   chunked \r\n", "3\r\nabc\r\n0\r\n\r\n"), 200, "8 got 3:abc"},
		{"folded", post("9", "X-Odd: a\r\n  b\r\nContent-Length: 3\r\n", "abc"), 200, "9 got 3:abc"},
		{"long head", post("10", "X-Long: "+strings.Repeat("h", 10_000)+"\r\nContent-Length: 3\r\n", "abc"), 200, "10 got 3:abc"},
		{"both", post("11", "Content-Length: 3\r\n"+chunked, "3\r\nabc\r\n0\r\n\r\n"), 400, ""},
		{"both, in reverse order", post("12", chunked+"content-length : 3\r\n", "3\r\nabc\r\n0\r\n\r\n"), 400, ""},
		{"both, in a long head", post("13", "X-Long: "+strings.Repeat("h", 10_000)+"\r\nCONTENT-LENGTH:3\r\n"+chunked, "3\r\nabc\r\n0\r\n\r\n"), 400, ""},
		{"two lengths", post("14", "Content-Length: 3\r\nContent-Length: 4\r\n", "abcd"), 400, ""},
		{"negative length", post("15", "Content-Length: -3\r\n", "abc"), 400, ""},
		{"body too long", post("16", "Content-Length: 60000000\r\n", ""), 413, ""},
		{"invalid chunk size", post("17", chunked, "zz\r\nabc\r\n0\r\n\r\n"), 400, ""},
		{"unsupported transfer encoding", post("18", "Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"), 501, ""},
		{"head too long", post("19", "X-Long: "+strings.Repeat("h", 40_000)+"\r\n", ""), 431, ""},
		{"HTTP/1.0 and chunks", strings.Replace(post("20", chunked, "0\r\n\r\n"), "HTTP/1.1", "HTTP/1.0", 1), 0, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			for pass, step := range []int{1 << 20, 777} { // in one write, and in pieces
				prefix := fmt.Sprint(pass, "-") // ids are unique
				text := strings.Replace(c.text, "X-Correlation-Id: ", "X-Correlation-Id: "+prefix, 1)
				conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				conn.SetDeadline(time.Now().Add(testkit.WaitTimeout))
				for len(text) > 0 {
					n := min(step, len(text))
					if _, err := io.WriteString(conn, text[:n]); err != nil {
						break // the agent may have refused it already
					}
					text = text[n:]
				}
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(resp.Body)
				switch {
				case c.status == 0 && (resp.StatusCode < 400 || resp.StatusCode == 503):
					t.Errorf("answered %d", resp.StatusCode)
				case c.status != 0 && resp.StatusCode != c.status:
					t.Errorf("answered %d %.60q, not %d", resp.StatusCode, body, c.status)
				case c.status == 200 && (err != nil || string(body) != prefix+c.body):
					t.Errorf("answered %q, %v", body, err)
				}
			}
		})
	}
}

// Pipelined calls are answered in order, also if some of them are chunked, and a call with an ambiguous end is detected behind
// them.
func TestPipelinedRequestsWithMixedFraming(t *testing.T) {
	e := newBackend(t, "a", func(w http.ResponseWriter, r *http.Request) {
		io.Copy(w, r.Body)
	})
	r := startLong(t, e)
	conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testkit.WaitTimeout))
	io.WriteString(conn, post("1", "Content-Length: 3\r\n", "one")+
		post("2", "Transfer-Encoding: chunked\r\n", "3\r\ntwo\r\n0\r\n\r\n")+
		post("3", "Content-Length: 5\r\n", "three")+
		post("4", "Transfer-Encoding: chunked\r\n", "4\r\nfour\r\n0\r\n\r\n")+
		post("5", "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n", "0\r\n\r\n"))
	in := bufio.NewReader(conn)
	for _, want := range []string{"one", "two", "three", "four", ""} {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body)
		if want == "" && resp.StatusCode != http.StatusBadRequest || want != "" && string(body) != want {
			t.Errorf("answered %d %q, not %q", resp.StatusCode, body, want)
		}
	}
}

// The time left of a call with a slow body counts from the last byte of the body. A body that stalls is answered with an error.
func TestSlowBodies(t *testing.T) {
	var counter testkit.Counter
	e := newBackend(t, "a", func(w http.ResponseWriter, r *http.Request) {
		if _, n, err := hashAll(r.Body); err == nil && n == r.ContentLength {
			counter.Add(r)
		}
	})
	r := startLong(t, e)
	for i, c := range []struct{ size, pieces int }{{30_000, 3}, {150_000, 3}} {
		id := fmt.Sprint("slow", i)
		in, out := io.Pipe()
		req := r.newRequest("pay", id, 0.25, "")
		req.Body, req.ContentLength = in, int64(c.size)
		go func() {
			for range c.pieces {
				time.Sleep(200 * time.Millisecond)
				io.WriteString(out, strings.Repeat("x", c.size/c.pieces))
			}
			out.Close()
		}()
		if status, _ := do(t, req); status != http.StatusOK || counter.Count(id) != 1 {
			t.Errorf("%d bytes: %d, ran %d times", c.size, status, counter.Count(id))
		}
	}
	for _, size := range []int{30_000, 150_000} {
		conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		begin := time.Now()
		conn.SetDeadline(begin.Add(testkit.WaitTimeout))
		io.WriteString(conn, post(fmt.Sprint("half", size), fmt.Sprintf("Content-Length: %d\r\n", size), strings.Repeat("x", size/2)))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil && resp.StatusCode != http.StatusBadRequest {
			t.Errorf("half of %d: %d", size, resp.StatusCode)
		}
		if counter.Count(fmt.Sprint("half", size)) != 0 {
			t.Error("an incomplete call ran")
		}
	}
	testkit.Eventually(t, "no call remains", func() bool {
		held, open := r.heldAndOpen()
		return held == 0 && open == 0
	})
}

// A body that is still fully buffered can be sent to another server. Once its first bytes were dropped the call is refused, since
// no attempt can have run.
func TestLongBodiesAreRetriedOnlyWhileFullyBuffered(t *testing.T) {
	var counter testkit.Counter
	for _, c := range []struct {
		name       string
		size, read int // bytes that the first server reads before it rejects the call
		want       int
	}{{"kept", 400_000, 100_000, 200}, {"dropped", 8 << 20, 6 << 20, 503}} {
		t.Run(c.name, func(t *testing.T) {
			rejected := false
			var mu sync.Mutex
			serve := func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				first := !rejected
				rejected = true
				mu.Unlock()
				if !first {
					got, n, err := hashAll(r.Body)
					want, _, _ := hashAll(newPattern(1, c.size, nil))
					if err != nil || got != want {
						t.Errorf("the second server reads %d bytes, %v", n, err)
					}
					counter.Add(r)
					return
				}
				io.CopyN(io.Discard, r.Body, int64(c.read))
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				io.WriteString(conn, "HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
				conn.(*net.TCPConn).CloseWrite()
				io.Copy(io.Discard, conn)
				conn.Close()
			}
			r := startLong(t, newBackend(t, "a", serve), newBackend(t, "b", serve))
			id := "again-" + c.name
			req := r.newRequest("pay", id, 5, "")
			// The client continues its upload once the first server has rejected the call.
			hold := func() {
				testkit.Eventually(t, "the call was rejected", func() bool {
					return r.core.Snapshot().Stats.Results[choice.Rejected] > 0
				})
			}
			if c.name == "dropped" {
				hold = nil
			}
			req.Body, req.ContentLength = io.NopCloser(newPattern(1, c.size, hold)), int64(c.size)
			resp, err := http.DefaultTransport.RoundTrip(req)
			if err != nil { // the answer may arrive, and the connection be closed, while the body is still being sent
				if c.want == 200 {
					t.Fatal(err)
				}
				var reset *net.OpError
				if !errors.As(err, &reset) && !strings.Contains(err.Error(), "reset") && !strings.Contains(err.Error(), "EOF") {
					t.Fatal(err)
				}
			} else {
				resp.Body.Close()
				if resp.StatusCode != c.want {
					t.Errorf("answered %d", resp.StatusCode)
				}
			}
			if n := counter.Count(id); n != map[int]int{200: 1, 503: 0}[c.want] {
				t.Errorf("ran %d times", n)
			}
		})
	}
}
