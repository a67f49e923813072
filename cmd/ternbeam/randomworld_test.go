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

// worldRecord is what clients and servers have seen of all requests of a play.
type trafficRecord struct {
	mu       sync.Mutex
	requests map[string]*requestRecord
	stalls   []sysfault.Period // in which calls of the agent stood for longer than its terms say, set before the judgement
}

// requestRecord is what the client of one request and the servers have seen of it. The client's fields belong to the client until the play is over.
type requestRecord struct {
	id, class, path string
	sentAt          time.Time // it was sent
	disconnectedAt  time.Time // its client closed the connection without waiting; zero where it waited
	took            time.Duration
	body            string
	err             error
	mayBeUnread     bool // its connection may have been closed before it was read, or not let in

	arrivals []arrival // under the lock of the worldRecord
}

// answered reports whether the client got a whole final answer.
func (r *requestRecord) answered() bool { return r.err == nil || isNotServed(r.err) }

// arrival is an attempt as a server got it.
type arrival struct {
	at       time.Time
	timeLeft time.Duration // as X-Time-Left says
}

// excess is by how much its server was told more than the client had left.
func (a arrival) excess(r *requestRecord) time.Duration {
	return a.timeLeft - (clientTimeout - a.at.Sub(r.sentAt))
}

func newTrafficRecord() *trafficRecord { return &trafficRecord{requests: map[string]*requestRecord{}} }

// request begins the record of a request.
func (w *trafficRecord) request(id, class string) *requestRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := &requestRecord{id: id, class: class, path: "/" + class + "/" + id}
	w.requests[id] = r
	return r
}

// arrived records an attempt, as of when its last byte came to this machine.
func (w *trafficRecord) arrived(req *http.Request) {
	at := time.Now()
	if conn, ok := req.Context().Value(connectionKey{}).(*timedConn); ok {
		at = conn.lastData()
	}
	left, err := strconv.ParseFloat(req.Header.Get("X-Time-Left"), 64)
	if err != nil {
		left = clientTimeout.Seconds() * 100 // which the judge sees
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.requests[req.Header.Get("X-Correlation-Id")]; r != nil {
		r.arrivals = append(r.arrivals, arrival{at, time.Duration(left * float64(time.Second))})
	}
}

// The terms by which a play is judged.
const (
	answerSlack     = 500 * time.Millisecond // after a client's time an answer counts as none
	disconnectSlack = 100 * time.Millisecond // after a client has left no attempt begins
	deadlineSlack   = 150 * time.Millisecond // by which the deadline passed on may exceed what the client has left
	serverSlack     = 50 * time.Millisecond  // between an attempt's first byte and its record here
)

// stoodOver is by how much longer than longestStall calls of the agent stood between two times, at once: it knows nothing of that as it makes them.
func (w *trafficRecord) stallExcess(from, to time.Time) (over time.Duration) {
	for _, p := range w.stalls {
		if p.From.Before(to) && p.To.After(from) {
			over = max(over, p.To.Sub(p.From)-maxStall)
		}
	}
	return over
}

// judge returns what goes against the rules, and how many requests there were and how many of them were served.
func (w *trafficRecord) evaluate() (problems []string, requests, served int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.requests {
		requests++
		if r.err == nil && r.disconnectedAt.IsZero() {
			served++
		}
		for _, problem := range w.violations(r) {
			problems = append(problems, r.path+": "+problem)
		}
	}
	return problems, requests, served
}

// problems returns what goes against the rules with one request.
func (w *trafficRecord) violations(r *requestRecord) (all []string) {
	add := func(format string, values ...any) { all = append(all, fmt.Sprintf(format, values...)) }
	if len(r.arrivals) > 1 && r.class == "refund-pay" {
		add("it had its effect %d times", len(r.arrivals))
	}
	for _, a := range r.arrivals {
		if late := a.at.Sub(r.arrivals[0].at); r.class == "refund-record" && late > randomWindow+serverSlack {
			add("it was repeated %v after the first attempt", late)
		}
		if over := a.excess(r); over > deadlineSlack+serverSlack+w.stallExcess(r.sentAt, a.at) {
			add("an attempt has %v more than its client", over)
		}
		if !r.disconnectedAt.IsZero() && a.at.Sub(r.disconnectedAt) > disconnectSlack+serverSlack+w.stallExcess(r.disconnectedAt, a.at) {
			add("an attempt began %v after its client had left", a.at.Sub(r.disconnectedAt))
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

// isLate reports whether a client that waited got its answer too late.
func (r *requestRecord) isLate() bool {
	return r.disconnectedAt.IsZero() && r.took > clientTimeout+answerSlack
}

// onlyLate reports whether nothing goes against the rules but that answers came too late, or after their clients had given up.
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

// Each rule is seen to be broken.
func TestJudgeOfRandomFaultsSees(t *testing.T) {
	begin, w := time.Unix(1000, 0), newTrafficRecord()
	good := func() *requestRecord {
		return &requestRecord{class: "refund-pay", path: "/refund-pay/1", body: "checked /refund-pay/1", sentAt: begin, took: time.Second,
			arrivals: []arrival{{begin.Add(100 * time.Millisecond), clientTimeout - 100*time.Millisecond}}}
	}
	if all := w.violations(good()); len(all) > 0 {
		t.Errorf("a good one: %v", all)
	}
	for name, spoil := range map[string]func(r *requestRecord){
		"repeated late": func(r *requestRecord) {
			r.class = "refund-record"
			r.arrivals = append(r.arrivals, arrival{r.arrivals[0].at.Add(randomWindow + 100*time.Millisecond), 0})
		},
		"effect twice":        func(r *requestRecord) { r.arrivals = append(r.arrivals, r.arrivals[0]) },
		"deadline too long":   func(r *requestRecord) { r.arrivals[0].timeLeft = clientTimeout + 200*time.Millisecond },
		"sent on for nobody":  func(r *requestRecord) { r.disconnectedAt = begin.Add(-200 * time.Millisecond) },
		"another's answer":    func(r *requestRecord) { r.body = "checked /refund-pay/2" },
		"no answer":           func(r *requestRecord) { r.err = io.EOF },
		"no answer, was read": func(r *requestRecord) { r.err, r.mayBeUnread = io.EOF, true },
		"a part of an answer": func(r *requestRecord) { r.err, r.mayBeUnread, r.arrivals = errPartial, true, nil },
		"too late":            func(r *requestRecord) { r.took = clientTimeout + time.Second },
	} {
		r := good()
		if spoil(r); len(w.violations(r)) != 1 {
			t.Errorf("%s: %v", name, w.violations(r))
		}
	}
}

// An attempt is excused by what its test held the agent up for beyond the terms as it was made, and by nothing else.
func TestJudgeKnowsWhatTheTestHeldUp(t *testing.T) {
	begin := time.Unix(1000, 0)
	held := func(from, length time.Duration) []sysfault.Period {
		return []sysfault.Period{{From: begin.Add(from), To: begin.Add(from + length)}}
	}
	const excess, arrivesAfter = deadlineSlack + serverSlack + 50*time.Millisecond, 400 * time.Millisecond
	for name, test := range map[string]struct {
		stood   []sysfault.Period
		excused bool
	}{
		"not at all":      {nil, false},
		"for long":        {held(arrivesAfter/2, maxStall+60*time.Millisecond), true},
		"not long enough": {held(arrivesAfter/2, maxStall+40*time.Millisecond), false},
		"before":          {held(-time.Second, maxStall+60*time.Millisecond), false},
		"afterwards":      {held(arrivesAfter, maxStall+60*time.Millisecond), false},
	} {
		w := newTrafficRecord()
		w.stalls = test.stood
		r := &requestRecord{class: "refund-pay", path: "/refund-pay/1", body: "checked /refund-pay/1", sentAt: begin, took: time.Second,
			arrivals: []arrival{{begin.Add(arrivesAfter), clientTimeout - arrivesAfter + excess}}}
		if all := w.violations(r); (len(all) == 0) != test.excused {
			t.Errorf("held up %s: %v", name, all)
		}
	}
}

// Late answers are told from all else that goes against the rules.
func TestLatenessIsToldFromOtherFaults(t *testing.T) {
	late := requestRecord{class: "refund-pay", path: "/refund-pay/1", body: "checked /refund-pay/1", took: clientTimeout + 2*answerSlack}
	givenUp, lost := late, late
	givenUp.err, lost.err = fmt.Errorf("no answer: %w", os.ErrDeadlineExceeded), io.EOF
	for name, test := range map[string]struct {
		record requestRecord
		want   bool
	}{"late": {late, true}, "given up": {givenUp, true}, "late and lost": {lost, false}} {
		w := newTrafficRecord()
		w.requests["1"] = &test.record
		if got := w.onlyLate(); got != test.want {
			t.Errorf("%s: only late %t, %v", name, got, w.violations(&test.record))
		}
	}
}

// timedConn is a server's connection that knows when its last data came to this machine, as the kernel has it: who reads it may be late, and once the
// connection has been reset nobody can ask.
type timedConn struct {
	*net.TCPConn
	mu   sync.Mutex
	last time.Time
}

// Read is net.Conn's.
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

// lastData is when the data that was read last came.
func (c *timedConn) lastData() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

// timedListener accepts timedConns.
type timedListener struct{ *net.TCPListener }

// Accept is net.Listener's.
func (l timedListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &timedConn{TCPConn: conn}, nil
}

// mortalServer is a faultyServer whose connections may all be reset at once, as where its process dies.
type resettableServer struct {
	*httptest.Server
	mu    sync.Mutex
	conns []*net.TCPConn
}

// connectionKey is that of a request's connection in its context.
type connectionKey struct{}

// newMortalServer runs one until the test ends.
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

// resetAll resets all connections, also those on which an answer is being sent.
func (m *resettableServer) resetAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, conn := range m.conns {
		conn.SetLinger(0)
		conn.Close()
	}
	m.conns = nil
}

// faultyServer answers after a time of its own, or goes wrong, by a seed.
type faultyServer struct {
	mu      sync.Mutex
	random  *rand.Rand
	traffic *trafficRecord
}

// The ways in which one answer in faultyKinds goes wrong.
const (
	faultAbort = iota
	faultHang
	faultError
	faultUnknownLengthReset
	faultUnknownLength // which is in order
	faultPieces        // a chunked answer that comes slowly
	faultPiecesCut     // the same, broken off
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

// answerInPieces sends an answer a piece at a time, or breaks it off.
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

// answerWithoutLength sends an answer in two parts whose end is that of the connection, or resets that in between.
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
