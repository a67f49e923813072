package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"ternbeam/internal/lab/sysfault"
	socketpeek "ternbeam/internal/sysio/peek"
)

// trafficRecord records what clients and servers saw of all requests of a run.
type trafficRecord struct {
	mu       sync.Mutex
	requests map[string]*requestRecord
	stalls   []sysfault.Period // in which the agent's system calls waited for the test's tracer for over maxStall; set before evaluate
}

// requestRecord records what the client and the servers saw of one request. The client's fields belong to the client until the run is over.
type requestRecord struct {
	id, class, path string
	sentAt          time.Time // when it was sent
	disconnectedAt  time.Time // when its client closed the connection without waiting; zero if it waited
	took            time.Duration
	body            string
	err             error
	mayBeUnread     bool // the agent may have closed its connection before reading it, or not have accepted the connection

	arrivals []arrival // guarded by the mutex of the trafficRecord
}

// answered reports whether the client got a complete final answer.
func (r *requestRecord) answered() bool { return r.err == nil || isNotServed(r.err) }

// arrival is an attempt as a server received it.
type arrival struct {
	at       time.Time
	timeLeft time.Duration // the value of X-Time-Left
}

// excess returns by how much the time left that the server received exceeds what the client had left.
func (a arrival) excess(r *requestRecord) time.Duration {
	return a.timeLeft - (clientTimeout - a.at.Sub(r.sentAt))
}

func newTrafficRecord() *trafficRecord { return &trafficRecord{requests: map[string]*requestRecord{}} }

// request creates the record of a request.
func (w *trafficRecord) request(id, class string) *requestRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := &requestRecord{id: id, class: class, path: "/" + class + "/" + id}
	w.requests[id] = r
	return r
}

// arrived records an attempt, with the time at which its last byte arrived at this machine.
func (w *trafficRecord) arrived(req *http.Request) {
	at := time.Now()
	if conn, ok := req.Context().Value(connectionKey{}).(*timedConn); ok {
		at = conn.lastData()
	}
	left, err := strconv.ParseFloat(req.Header.Get("X-Time-Left"), 64)
	if err != nil {
		left = clientTimeout.Seconds() * 100 // evaluate reports this as a violation
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.requests[req.Header.Get("X-Correlation-Id")]; r != nil {
		r.arrivals = append(r.arrivals, arrival{at, time.Duration(left * float64(time.Second))})
	}
}

// Tolerances for the evaluation of a run.
const (
	answerSlack     = 500 * time.Millisecond // after the client's time; a later answer counts as none
	disconnectSlack = 100 * time.Millisecond // after a client has disconnected; no attempt may start later
	deadlineSlack   = 150 * time.Millisecond // by which a forwarded deadline may exceed the client's time left
	serverSlack     = 50 * time.Millisecond  // between an attempt's first byte and its record here
)

// stallExcess returns by how much the longest uninterrupted wait of the agent's system calls for the test's tracer between two times exceeds
// maxStall. The agent cannot notice such a wait while it makes the calls.
func (w *trafficRecord) stallExcess(from, to time.Time) (excess time.Duration) {
	for _, p := range w.stalls {
		if p.From.Before(to) && p.To.After(from) {
			excess = max(excess, p.To.Sub(p.From)-maxStall)
		}
	}
	return excess
}

// evaluate returns the violations of the rules, the number of requests and the number of those served.
func (w *trafficRecord) evaluate() (violations []string, requests, served int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.requests {
		requests++
		if r.err == nil && r.disconnectedAt.IsZero() {
			served++
		}
		for _, violation := range w.violations(r) {
			violations = append(violations, r.path+": "+violation)
		}
	}
	return violations, requests, served
}

// violations returns the rules that one request violates.
func (w *trafficRecord) violations(r *requestRecord) (all []string) {
	add := func(format string, values ...any) { all = append(all, fmt.Sprintf(format, values...)) }
	if len(r.arrivals) > 1 && r.class == "refund-pay" {
		add("it took effect %d times", len(r.arrivals))
	}
	for _, a := range r.arrivals {
		if delay := a.at.Sub(r.arrivals[0].at); r.class == "refund-record" && delay > randomWindow+serverSlack {
			add("it was repeated %v after the first attempt", delay)
		}
		if excess := a.excess(r); excess > deadlineSlack+serverSlack+w.stallExcess(r.sentAt, a.at) {
			add("an attempt has %v more time left than its client", excess)
		}
		if !r.disconnectedAt.IsZero() && a.at.Sub(r.disconnectedAt) > disconnectSlack+serverSlack+w.stallExcess(r.disconnectedAt, a.at) {
			add("an attempt began %v after its client had disconnected", a.at.Sub(r.disconnectedAt))
		}
	}
	if !r.disconnectedAt.IsZero() {
		return all
	}
	unread := r.mayBeUnread && len(r.arrivals) == 0 && !isPartial(r.err)
	switch {
	case r.err == nil && r.body != "checked "+r.path:
		add("the answer is %.60q", r.body)
	case !r.answered() && !unread:
		add("%v, %d attempts", r.err, len(r.arrivals))
	}
	if r.isLate() {
		add("answered after %v", r.took)
	}
	return all
}

// isLate reports whether a client that waited for its answer got it too late.
func (r *requestRecord) isLate() bool {
	return r.disconnectedAt.IsZero() && r.took > clientTimeout+answerSlack
}

// onlyLate reports whether the only violations are answers that came too late, or after their clients had timed out.
func (w *trafficRecord) onlyLate() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.requests {
		allowed := 0
		if r.isLate() {
			allowed++
		}
		if r.isLate() && errors.Is(r.err, os.ErrDeadlineExceeded) {
			allowed++
		}
		if len(w.violations(r)) > allowed {
			return false
		}
	}
	return true
}

// Checks that a violation of each rule is detected.
func TestTrafficRecordDetectsEachViolation(t *testing.T) {
	begin, w := time.Unix(1000, 0), newTrafficRecord()
	good := func() *requestRecord {
		return &requestRecord{class: "refund-pay", path: "/refund-pay/1", body: "checked /refund-pay/1", sentAt: begin, took: time.Second,
			arrivals: []arrival{{begin.Add(100 * time.Millisecond), clientTimeout - 100*time.Millisecond}}}
	}
	if all := w.violations(good()); len(all) > 0 {
		t.Errorf("a request without violations: %v", all)
	}
	for name, breakRule := range map[string]func(r *requestRecord){
		"repeated late": func(r *requestRecord) {
			r.class = "refund-record"
			r.arrivals = append(r.arrivals, arrival{r.arrivals[0].at.Add(randomWindow + 100*time.Millisecond), 0})
		},
		"effect twice":             func(r *requestRecord) { r.arrivals = append(r.arrivals, r.arrivals[0]) },
		"deadline too long":        func(r *requestRecord) { r.arrivals[0].timeLeft = clientTimeout + 200*time.Millisecond },
		"sent on after disconnect": func(r *requestRecord) { r.disconnectedAt = begin.Add(-200 * time.Millisecond) },
		"another's answer":         func(r *requestRecord) { r.body = "checked /refund-pay/2" },
		"no answer":                func(r *requestRecord) { r.err = io.EOF },
		"no answer, was read":      func(r *requestRecord) { r.err, r.mayBeUnread = io.EOF, true },
		"partial answer":           func(r *requestRecord) { r.err, r.mayBeUnread, r.arrivals = errPartial, true, nil },
		"too late":                 func(r *requestRecord) { r.took = clientTimeout + time.Second },
	} {
		r := good()
		if breakRule(r); len(w.violations(r)) != 1 {
			t.Errorf("%s: %v", name, w.violations(r))
		}
	}
}

// Checks that an excessive time left is excused only if the test held the agent's system calls for longer than maxStall while the attempt was made.
func TestExcessTimeLeftIsExcusedOnlyByHeldSystemCalls(t *testing.T) {
	begin := time.Unix(1000, 0)
	held := func(from, length time.Duration) []sysfault.Period {
		return []sysfault.Period{{From: begin.Add(from), To: begin.Add(from + length)}}
	}
	const excess, arrivesAfter = deadlineSlack + serverSlack + 50*time.Millisecond, 400 * time.Millisecond
	for name, test := range map[string]struct {
		stalls  []sysfault.Period
		excused bool
	}{
		"not at all":      {nil, false},
		"for long":        {held(arrivesAfter/2, maxStall+60*time.Millisecond), true},
		"not long enough": {held(arrivesAfter/2, maxStall+40*time.Millisecond), false},
		"before":          {held(-time.Second, maxStall+60*time.Millisecond), false},
		"afterwards":      {held(arrivesAfter, maxStall+60*time.Millisecond), false},
	} {
		w := newTrafficRecord()
		w.stalls = test.stalls
		r := &requestRecord{class: "refund-pay", path: "/refund-pay/1", body: "checked /refund-pay/1", sentAt: begin, took: time.Second,
			arrivals: []arrival{{begin.Add(arrivesAfter), clientTimeout - arrivesAfter + excess}}}
		if all := w.violations(r); (len(all) == 0) != test.excused {
			t.Errorf("calls held %s: %v", name, all)
		}
	}
}

// Checks that late answers are distinguished from all other violations.
func TestLateAnswersAreDistinguishedFromOtherViolations(t *testing.T) {
	late := requestRecord{class: "refund-pay", path: "/refund-pay/1", body: "checked /refund-pay/1", took: clientTimeout + 2*answerSlack}
	timedOut, lost := late, late
	timedOut.err, lost.err = fmt.Errorf("no answer: %w", os.ErrDeadlineExceeded), io.EOF
	for name, test := range map[string]struct {
		record requestRecord
		want   bool
	}{"late": {late, true}, "timed out": {timedOut, true}, "late and lost": {lost, false}} {
		w := newTrafficRecord()
		w.requests["1"] = &test.record
		if got := w.onlyLate(); got != test.want {
			t.Errorf("%s: only late %t, %v", name, got, w.violations(&test.record))
		}
	}
}

// timedConn is a server's connection that records when its last data arrived at this machine, according to the kernel: the reader may be late, and
// the kernel has no answer once the connection has been reset.
type timedConn struct {
	*net.TCPConn
	mu   sync.Mutex
	last time.Time
}

// Read implements net.Conn.
func (c *timedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		since, _ := socketpeek.SinceLastData(c.TCPConn)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.last = time.Now().Add(-since)
	}
	return n, err
}

// lastData returns when the data that was read last arrived.
func (c *timedConn) lastData() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

// timedListener accepts connections and wraps each in a timedConn.
type timedListener struct{ *net.TCPListener }

// Accept implements net.Listener.
func (l timedListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &timedConn{TCPConn: conn}, nil
}

// resettableServer is a server whose connections can all be reset at once, as when its process dies.
type resettableServer struct {
	*httptest.Server
	mu    sync.Mutex
	conns []*net.TCPConn
}

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

// newResettableServer starts a server that runs until the test ends.
func newResettableServer(t *testing.T, handler http.Handler) *resettableServer {
	t.Helper()
	m := &resettableServer{Server: httptest.NewUnstartedServer(handler)}
	m.Listener = timedListener{m.Listener.(*net.TCPListener)}
	m.Config.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.conns = append(m.conns, conn.(*timedConn).TCPConn)
		return context.WithValue(ctx, connectionKey{}, conn)
	}
	m.Start()
	t.Cleanup(func() {
		m.resetAll()
		m.Close()
	})
	return m
}

// resetAll resets all connections, including those on which an answer is being sent.
func (m *resettableServer) resetAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, conn := range m.conns {
		conn.SetLinger(0)
		conn.Close()
	}
	m.conns = nil
}

// faultyServer answers after a random delay, or fails, by a seed.
type faultyServer struct {
	mu      sync.Mutex
	random  *rand.Rand
	traffic *trafficRecord
}

// The faults of answers. Each of them happens to one answer in faultDraws.
const (
	faultAbort = iota
	faultHang
	faultError
	faultUnknownLengthReset
	faultUnknownLength // a valid answer
	faultPieces        // a chunked answer that is sent slowly
	faultPiecesCut     // the same, truncated
	faultDraws         = 40
)

func (s *faultyServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.traffic.arrived(r)
	s.mu.Lock()
	wait, fault := time.Duration(s.random.Int64N(int64(60*time.Millisecond))), s.random.IntN(faultDraws)
	s.mu.Unlock()
	io.Copy(io.Discard, r.Body)
	time.Sleep(wait)
	body := "checked " + r.URL.Path
	switch fault {
	case faultAbort:
		panic(http.ErrAbortHandler)
	case faultHang:
		time.Sleep(2 * time.Second)
	case faultError:
		http.Error(w, "no", http.StatusInternalServerError)
		return
	case faultUnknownLengthReset, faultUnknownLength:
		answerWithoutLength(w, body, wait, fault == faultUnknownLengthReset)
		return
	case faultPieces, faultPiecesCut:
		answerInPieces(w, body, fault == faultPiecesCut)
		return
	}
	fmt.Fprint(w, body)
}

// answerInPieces sends an answer a piece at a time, or truncates it.
func answerInPieces(w http.ResponseWriter, body string, cut bool) {
	control := http.NewResponseController(w)
	const piece = 6
	for i := 0; i < len(body); i += piece {
		if cut && i > len(body)/2 {
			panic(http.ErrAbortHandler)
		}
		io.WriteString(w, body[i:min(i+piece, len(body))])
		control.Flush()
		time.Sleep(40 * time.Millisecond)
	}
}

// answerWithoutLength sends an answer in two parts that ends with the connection, or resets the connection between the parts.
func answerWithoutLength(w http.ResponseWriter, body string, pause time.Duration, reset bool) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s", body[:len(body)/2])
	time.Sleep(pause)
	if reset {
		conn.(*timedConn).SetLinger(0)
		return
	}
	io.WriteString(conn, body[len(body)/2:])
}
