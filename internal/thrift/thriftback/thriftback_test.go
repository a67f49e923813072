package thriftback

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"ternbeam/choice"
	"ternbeam/deploy"
	"ternbeam/internal/decide/lifecycle"
	"ternbeam/internal/host/core"
	"ternbeam/internal/host/pool"
	"ternbeam/internal/lab/standin"
	"ternbeam/internal/lab/testkit"
	"ternbeam/internal/protocol"
	"ternbeam/internal/thrift/thriftmap"
	"ternbeam/internal/thrift/thriftwire"
)

var classes = []choice.Class{{Name: "form-check"}, {Name: "refund-record", Effect: choice.Keyed},
	{Name: "pay-out", Effect: choice.Unsafe}, {Name: "form-note"}}

func service(t testing.TB) *thriftmap.Map {
	t.Helper()
	m, err := thriftmap.Parse([]byte(deploy.Thrift), classes)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// transport is a Transport with its own pool.
type transport struct {
	*Transport
	t    testing.TB
	pool *pool.Pool
	m    *thriftmap.Map
}

func newTransport(t testing.TB, set pool.Settings) *transport {
	t.Helper()
	if set.DialTimeout == 0 {
		set.DialTimeout = testkit.WaitTimeout
	}
	set.IdleTimeout, set.MaxConns = time.Minute, 100
	p, m := pool.New(set), service(t)
	return &transport{Transport: New(p, m), t: t, pool: p, m: m}
}

var encodings = map[thriftwire.Encoding]choice.Protocols{thriftwire.Binary: protocol.ThriftBinary,
	thriftwire.Compact: protocol.ThriftCompact}

// try makes one attempt at a payOut or a note and returns its outcome.
func (tr *transport) try(ctx context.Context, s *lifecycle.Server, e thriftwire.Encoding, method, id string) core.AttemptOutcome {
	return tr.Attempt(ctx, tr.attempt(s, e, method, id))
}

func (tr *transport) attempt(s *lifecycle.Server, e thriftwire.Encoding, method, id string) *core.Attempt {
	tr.t.Helper()
	w := thriftwire.Writer{Encoding: e}
	w.Head(thriftwire.Call, []byte(method), thriftwire.AppendSeq(nil, e, 7))
	w.Struct(1)
	w.String(1, id)
	w.String(2, "oban")
	w.Int(5, thriftwire.I64, 5000)
	w.Stop()
	if method == "note" {
		w.String(2, "a note")
	} else {
		w.Int(2, thriftwire.I64, 1250)
	}
	w.Stop()
	h, err := thriftwire.ReadHead(w.Buf)
	if err != nil {
		tr.t.Fatal(err)
	}
	call, err := tr.m.Read(h, w.Buf)
	if err != nil {
		tr.t.Fatal(err)
	}
	return &core.Attempt{Call: &core.Call{Request: choice.Request{ID: id, RequiredProtocols: encodings[e]}, Payload: call}, Server: s, Payload: call, Speaks: encodings[e]}
}

func within(t testing.TB, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func (tr *transport) open() int { open, _, _ := tr.pool.Count(); return open }

func start(t testing.TB, o standin.Options) (*standin.Server, *lifecycle.Server) {
	t.Helper()
	o.Protocol = "thrift"
	s, err := standin.Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, &lifecycle.Server{ID: "s", Addr: s.Addr(), Multiplexed: o.Multiplexed}
}

func text(e core.AttemptOutcome) string {
	r, ok := e.Reply.(*thriftmap.Reply)
	if !ok {
		return ""
	}
	plan, _ := thriftwire.NewPlan(8, "0.1")
	var found [1]thriftwire.Field
	if plan.Scan(r.Head, r.Message, found[:]) != nil {
		return ""
	}
	return string(found[0].Bytes(r.Message))
}

// If a server cuts off its reply at any byte, the call counts as possibly executed and the connection is not used again.
func TestReplyCutOffAtEveryByte(t *testing.T) {
	for _, multiplexed := range []bool{false, true} {
		for e := range encodings {
			n := 0
			s, server := start(t, standin.Options{ID: "s", Multiplexed: multiplexed, Script: func(c standin.Call) standin.Step {
				if c.ID == "whole" {
					return standin.Step{}
				}
				return standin.Step{Fault: standin.CutReply, Cut: n}
			}})
			tr := newTransport(t, pool.Settings{})
			whole := tr.try(within(t, testkit.WaitTimeout), server, e, "payOut", "whole")
			if text(whole) != "receipt of whole" {
				t.Fatalf("%+v", whole)
			}
			size := 4 + len(whole.Reply.(*thriftmap.Reply).Message)
			for n = 1; n < size; n++ {
				id := fmt.Sprintf("cut%d", n)
				if got := tr.try(within(t, testkit.WaitTimeout), server, e, "payOut", id); got.Result != choice.Reset || s.DedupGroup().Deliveries(id) != 1 {
					t.Errorf("%v, multiplexed %t, %d of %d bytes: result %d after %d deliveries", e, multiplexed, n, size, got.Result,
						s.DedupGroup().Deliveries(id))
				}
			}
			testkit.Eventually(t, "all connections are closed", func() bool { return tr.open() == 0 })
		}
	}
}

// Concurrent calls share a connection, and each gets its own reply, in whatever order replies arrive.
func TestMultiplexedCallsShareAConnection(t *testing.T) {
	s, server := start(t, standin.Options{ID: "s", Multiplexed: true, Script: func(c standin.Call) standin.Step {
		return standin.Step{Delay: time.Duration(len(c.ID)%5) * 5 * time.Millisecond}
	}})
	tr := newTransport(t, pool.Settings{})
	var all sync.WaitGroup
	for i := range 200 {
		all.Go(func() {
			id := fmt.Sprint("id", i*i*i)
			if got := tr.try(within(t, testkit.WaitTimeout), server, thriftwire.Binary, "payOut", id); text(got) != "receipt of "+id {
				t.Errorf("%s: result %d, %q", id, got.Result, text(got))
			}
		})
	}
	all.Wait()
	if n := s.Accepted(); n != 1 {
		t.Errorf("%d connections", n)
	}
	testkit.Eventually(t, "the connection is idle", func() bool { _, idle, _ := tr.pool.Count(); return idle == 1 })
	// The other encoding gets its own connection.
	if got := tr.try(within(t, testkit.WaitTimeout), server, thriftwire.Compact, "payOut", "compact"); text(got) != "receipt of compact" || s.Accepted() != 2 {
		t.Errorf("result %d, %d connections", got.Result, s.Accepted())
	}
}

// A reply without a call, or a second reply to one, breaks the connection, because no call may get another call's reply. The calls on it count as
// possibly executed.
func TestUnexpectedReplies(t *testing.T) {
	for _, fault := range []standin.Fault{standin.WrongSeq, standin.TwoReplies, standin.InvalidBytes} {
		release := make(chan struct{})
		_, server := start(t, standin.Options{ID: "s", Multiplexed: true, Script: func(c standin.Call) standin.Step {
			if c.ID == "waits" {
				return standin.Step{Until: release}
			}
			if c.ID == "odd" {
				return standin.Step{Fault: fault}
			}
			return standin.Step{}
		}})
		tr := newTransport(t, pool.Settings{})
		waits := make(chan core.AttemptOutcome, 1)
		go func() { waits <- tr.try(within(t, testkit.WaitTimeout), server, thriftwire.Binary, "payOut", "waits") }()
		testkit.Eventually(t, "the call is in flight", func() bool { return tr.open() == 1 })
		odd := tr.try(within(t, testkit.WaitTimeout), server, thriftwire.Binary, "payOut", "odd")
		if want := map[bool]choice.Result{true: choice.OK, false: choice.Failed}[fault == standin.TwoReplies]; odd.Result != want {
			t.Errorf("fault %d: result %d", fault, odd.Result)
		}
		if got := <-waits; got.Result != choice.Failed {
			t.Errorf("fault %d: the other call's result %d", fault, got.Result)
		}
		for i := range 3 {
			id := fmt.Sprint("after", i)
			if got := tr.try(within(t, testkit.WaitTimeout), server, thriftwire.Binary, "payOut", id); text(got) != "receipt of "+id {
				t.Errorf("fault %d: %s got %q, result %d", fault, id, text(got), got.Result)
			}
		}
		close(release)
	}
}

// An abandoned call counts as possibly executed, and its late reply is given to no other call. If a call's whole time passes without any data,
// the connection gets no new calls.
func TestAbandonedCalls(t *testing.T) {
	release := make(chan struct{})
	s, server := start(t, standin.Options{ID: "s", Multiplexed: true, Script: func(c standin.Call) standin.Step {
		if c.ID == "late" || c.ID == "withdrawn" {
			return standin.Step{Until: release}
		}
		return standin.Step{}
	}})
	tr := newTransport(t, pool.Settings{})
	ctx, cancel := context.WithCancelCause(context.Background())
	got := make(chan core.AttemptOutcome, 1)
	go func() { got <- tr.try(ctx, server, thriftwire.Binary, "payOut", "withdrawn") }()
	testkit.Eventually(t, "the server has received the call", func() bool { return s.DedupGroup().Deliveries("withdrawn") == 1 })
	cancel(core.ErrCanceled)
	if e := <-got; e.Result != choice.Canceled {
		t.Errorf("result %d of the canceled call", e.Result)
	}
	// The connection still serves other calls, which the late reply does not disturb.
	if e := tr.try(within(t, testkit.WaitTimeout), server, thriftwire.Binary, "payOut", "next"); text(e) != "receipt of next" || s.Accepted() != 1 {
		t.Errorf("result %d, %d connections", e.Result, s.Accepted())
	}
	if e := tr.try(within(t, 50*time.Millisecond), server, thriftwire.Binary, "payOut", "late"); e.Result != choice.TimedOut {
		t.Errorf("result %d of the call that timed out", e.Result)
	}
	if e := tr.try(within(t, testkit.WaitTimeout), server, thriftwire.Binary, "payOut", "new"); text(e) != "receipt of new" || s.Accepted() != 2 {
		t.Errorf("after a call without any data: result %d, %d connections", e.Result, s.Accepted())
	}
	close(release)
	testkit.Eventually(t, "the silent connection is closed", func() bool { return tr.open() == 1 })
}

// startStuckServer starts a server that accepts connections and reads nothing.
func startStuckServer(t *testing.T) (*lifecycle.Server, <-chan net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	conns := make(chan net.Conn, 10)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns <- c
		}
	}()
	return &lifecycle.Server{ID: "s", Addr: l.Addr().String(), Multiplexed: true}, conns
}

// blockedConn is a connection whose writes wait until gate is closed.
type blockedConn struct {
	net.Conn
	gate  <-chan struct{}
	began chan<- struct{}
}

func (b blockedConn) Write(p []byte) (int, error) {
	select {
	case b.began <- struct{}{}:
	default:
	}
	<-b.gate
	return b.Conn.Write(p)
}

// An attempt that is queued behind others on a connection is not sent, and counts as never executed, if its server drains, its time ends, it is
// canceled or its call has finished. A call that is being written may be executed.
func TestQueuedCallsAreNotSent(t *testing.T) {
	for name, c := range map[string]struct {
		meanwhile func(tr *transport, at *core.Attempt, cancel context.CancelCauseFunc)
		want      choice.Result
	}{
		"nothing":   {func(*transport, *core.Attempt, context.CancelCauseFunc) {}, choice.OK},
		"drains":    {func(tr *transport, at *core.Attempt, _ context.CancelCauseFunc) { tr.pool.Retire(at.Server) }, choice.ConnectFailed},
		"answered":  {func(_ *transport, at *core.Attempt, _ context.CancelCauseFunc) { at.Call.Abort() }, choice.NotSent},
		"withdrawn": {func(_ *transport, _ *core.Attempt, cancel context.CancelCauseFunc) { cancel(core.ErrCanceled) }, choice.Canceled},
		"time over": {func(_ *transport, _ *core.Attempt, cancel context.CancelCauseFunc) { cancel(context.DeadlineExceeded) }, choice.NotSent},
	} {
		t.Run(name, func(t *testing.T) {
			s, server := start(t, standin.Options{ID: "s", Multiplexed: true})
			gate, began := make(chan struct{}), make(chan struct{}, 1)
			tr := newTransport(t, pool.Settings{Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
				conn, err := new(net.Dialer).DialContext(ctx, network, addr)
				return blockedConn{conn, gate, began}, err
			}})
			first, second := make(chan core.AttemptOutcome, 1), make(chan core.AttemptOutcome, 1)
			go func() { first <- tr.try(within(t, testkit.WaitTimeout), server, thriftwire.Compact, "payOut", "first") }()
			<-began
			ctx, cancel := context.WithCancelCause(context.Background())
			at := tr.attempt(server, thriftwire.Compact, "payOut", "second")
			go func() { second <- tr.Attempt(ctx, at) }()
			testkit.Eventually(t, "the second call is queued", func() bool { return tr.queued() == 1 })
			c.meanwhile(tr, at, cancel)
			if name == "withdrawn" || name == "time over" {
				if got := <-second; got.Result != c.want {
					t.Errorf("result %d", got.Result)
				}
				second <- core.ResultOnly(c.want)
			}
			close(gate)
			if got := <-second; got.Result != c.want {
				t.Errorf("result %d, not %d", got.Result, c.want)
			}
			if got := <-first; text(got) != "receipt of first" {
				t.Errorf("the call in flight: result %d", got.Result)
			}
			if n := s.DedupGroup().Deliveries("second"); n != map[bool]int{true: 1}[c.want == choice.OK] {
				t.Errorf("the queued call arrived %d times", n)
			}
			if name == "drains" {
				testkit.Eventually(t, "the connection is closed", func() bool { return tr.open() == 0 })
			}
		})
	}
}

// queued counts the calls that wait to be written.
func (tr *transport) queued() (n int) {
	tr.multi.mu.Lock()
	defer tr.multi.mu.Unlock()
	for _, conns := range tr.multi.busy {
		for _, mc := range conns {
			mc.mu.Lock()
			for _, s := range mc.state.PendingCalls() {
				if s.Attempt.Stage() == lifecycle.Ready {
					n++
				}
			}
			mc.mu.Unlock()
		}
	}
	return n
}

// If a connection breaks, calls that were written count as possibly executed, and queued calls as never executed.
func TestConnectionBreaksWithQueuedCalls(t *testing.T) {
	server, conns := startStuckServer(t)
	gate, began := make(chan struct{}), make(chan struct{}, 1)
	tr := newTransport(t, pool.Settings{Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, addr)
		return blockedConn{conn, gate, began}, err
	}})
	results := map[string]chan core.AttemptOutcome{}
	for i, id := range []string{"writing", "queued"} {
		results[id] = make(chan core.AttemptOutcome, 1)
		go func() { results[id] <- tr.try(within(t, testkit.WaitTimeout), server, thriftwire.Binary, "payOut", id) }()
		if i == 0 {
			<-began
		} else {
			testkit.Eventually(t, "the second call is queued", func() bool { return tr.queued() == 1 })
		}
	}
	c := <-conns
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
	if got := <-results["queued"]; got.Result != choice.ConnectFailed {
		t.Errorf("the queued call: result %d", got.Result)
	}
	close(gate) // now the write fails
	if got := <-results["writing"]; got.Result != choice.ConnectFailed && got.Result != choice.Reset {
		t.Errorf("the written call: result %d", got.Result)
	}
	testkit.Eventually(t, "the connection is closed", func() bool { return tr.open() == 0 })
}

// If no connection can be established, all calls that wait for it fail together and count as never executed.
func TestNoConnection(t *testing.T) {
	dials := 0
	gate := make(chan struct{})
	tr := newTransport(t, pool.Settings{Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
		dials++
		<-gate
		return nil, io.ErrClosedPipe
	}})
	server := &lifecycle.Server{ID: "s", Addr: "127.0.0.1:1", Multiplexed: true}
	results := make(chan core.AttemptOutcome, 10)
	var begun sync.WaitGroup
	for i := range 10 {
		begun.Add(1)
		go func() {
			begun.Done()
			results <- tr.try(within(t, testkit.WaitTimeout), server, thriftwire.Binary, "payOut", fmt.Sprint(i))
		}()
	}
	begun.Wait()
	time.Sleep(20 * time.Millisecond) // so that most calls are waiting; the others must get the same result
	close(gate)
	for range 10 {
		if got := <-results; got.Result != choice.ConnectFailed {
			t.Errorf("result %d", got.Result)
		}
	}
	if open := tr.open(); open != 0 {
		t.Errorf("%d connections are still open", open)
	}
}

// A oneway has finished when its last byte is written; the connection is used again.
func TestOneways(t *testing.T) {
	for _, multiplexed := range []bool{false, true} {
		s, server := start(t, standin.Options{ID: "s", Multiplexed: multiplexed})
		tr := newTransport(t, pool.Settings{})
		for i := range 5 {
			if got := tr.try(within(t, testkit.WaitTimeout), server, thriftwire.Compact, "note", fmt.Sprint("n", i)); got.Result != choice.OK || got.Reply != nil {
				t.Errorf("result %d", got.Result)
			}
			if got := tr.try(within(t, testkit.WaitTimeout), server, thriftwire.Compact, "payOut", fmt.Sprint("p", i)); got.Result != choice.OK {
				t.Errorf("result %d", got.Result)
			}
		}
		for i := range 5 {
			testkit.Eventually(t, "the note arrives", func() bool { return s.DedupGroup().Deliveries(fmt.Sprint("n", i)) == 1 })
		}
		if s.Accepted() != 1 {
			t.Errorf("%d connections", s.Accepted())
		}
	}
}
