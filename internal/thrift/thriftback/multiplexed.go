package thriftback

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/lifecycle"
	"ternbeam/internal/host/core"
	"ternbeam/internal/host/exchange"
	"ternbeam/internal/host/pool"
	"ternbeam/internal/thrift/thriftmap"
)

// multiplexer sends several calls at a time on a connection and matches replies to calls by its own sequence ids.
type multiplexer struct {
	pool     *pool.Pool
	maxFrame int // maximum frame size in bytes
	maxCalls int // maximum calls in flight per connection

	mu    sync.Mutex
	busy  map[connKey][]*muxConn   // connections with calls in flight
	dials map[connKey]*pendingDial // dials in progress
}

// pendingDial is a dial in progress that several calls may wait for.
type pendingDial struct {
	ended chan struct{}
	err   error // failure to connect to the server; nil also if only the call that started the dial gave up
}

// errNoConn means that a call got no connection: none was established within its time, or the idle one that it was given had broken.
var errNoConn = errors.New("no connection within the call's time")

// connKey identifies the calls that may share a connection.
type connKey struct {
	server *lifecycle.Server
	speaks choice.Protocols
}

func newMultiplexer(p *pool.Pool, m *thriftmap.Map) *multiplexer {
	return &multiplexer{pool: p, maxFrame: m.MaxFrame, maxCalls: m.MaxServerCalls, busy: map[connKey][]*muxConn{},
		dials: map[connKey]*pendingDial{}}
}

// muxConn is a connection that carries several calls. The state machine of the calls is in lifecycle.MultiplexedConn; this type has the socket, its
// writer and its reader.
type muxConn struct {
	m    *multiplexer
	key  connKey
	conn *pool.Conn

	mu      sync.Mutex
	state   *lifecycle.MultiplexedConn
	writing bool
}

// muxAttempt is one attempt on a muxConn. Its state is protected by the mutex of the muxConn.
type muxAttempt struct {
	ctx         context.Context
	at          *core.Attempt
	call        *thriftmap.Call
	pendingCall *lifecycle.PendingCall
	done        chan core.AttemptOutcome
}

// attempt makes one attempt.
func (m *multiplexer) attempt(ctx context.Context, at *core.Attempt) core.AttemptOutcome {
	a := &muxAttempt{ctx: ctx, at: at, call: at.Payload.(*thriftmap.Call), done: make(chan core.AttemptOutcome, 1)}
	mc, err := m.join(ctx, a)
	if err != nil {
		return exchange.FailUnconnected(ctx, at, err)
	}
	select {
	case e := <-a.done:
		return e
	case <-ctx.Done():
		return mc.abandon(a)
	}
}

// join assigns an attempt to a connection to its server: a busy one that has room, or else an idle or a new one.
func (m *multiplexer) join(ctx context.Context, a *muxAttempt) (*muxConn, error) {
	k := connKey{a.at.Server, a.at.Speaks}
	m.mu.Lock()
	for {
		for _, mc := range m.busy[k] {
			if mc.enqueue(a, m.maxCalls) {
				m.mu.Unlock()
				return mc, nil
			}
		}
		pending := m.dials[k]
		if pending == nil {
			break
		}
		m.mu.Unlock()
		select { // concurrent calls share a connection
		case <-pending.ended:
		case <-ctx.Done():
			return nil, errNoConn
		}
		if pending.err != nil {
			return nil, pending.err
		}
		m.mu.Lock()
	}
	d := &pendingDial{ended: make(chan struct{})}
	m.dials[k] = d
	m.mu.Unlock()
	c, err := m.pool.Acquire(ctx, a.at.Server, k.speaks, &a.at.State)
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.dials, k)
	defer close(d.ended)
	if err != nil {
		if ctx.Err() == nil {
			d.err = err
		}
		return nil, err
	}
	mc, _ := c.Session.(*muxConn)
	if mc == nil {
		mc = &muxConn{m: m, key: k, conn: c, state: lifecycle.NewMultiplexedConn(time.Now())}
		c.Session = mc
		go mc.read()
	}
	if !mc.enqueue(a, m.maxCalls) { // the connection broke while it was idle
		m.pool.Release(c, false)
		return nil, errNoConn
	}
	m.busy[k] = append(m.busy[k], mc)
	return mc, nil
}

// enqueue adds an attempt to the connection and reports whether there was room.
func (mc *muxConn) enqueue(a *muxAttempt, maxCalls int) bool {
	mc.mu.Lock()
	defer mc.mu.Unlock()
	pendingCall, err := mc.state.Join(&a.at.State, a, maxCalls)
	a.at.ReportIllegalStep(err)
	if pendingCall == nil {
		return false
	}
	a.pendingCall = pendingCall
	if !mc.writing {
		mc.writing = true
		go mc.write()
	}
	return true
}

// maxBatchBytes is the size at which no further queued call is added to those that one system call writes.
const maxBatchBytes = 32 << 10

// write sends queued calls until the queue is empty.
func (mc *muxConn) write() {
	var buf []byte
	var out []*muxAttempt
	var ends []int // where the frames of out end in buf
	for {
		buf, out, ends = buf[:0], out[:0], ends[:0]
		// A server that does not read blocks all calls on the connection, so writes have the time limit for pauses within an answer.
		deadline := time.Now().Add(exchange.StallTimeout)
		mc.mu.Lock()
		for len(buf) < maxBatchBytes {
			pendingCall := mc.state.Next()
			if pendingCall == nil {
				break
			}
			a := pendingCall.Host.(*muxAttempt)
			end, _ := a.ctx.Deadline()
			before := len(buf)
			buf = a.call.AppendRequest(buf, pendingCall.Seq, time.Until(end))
			// Conditions may have changed since the call was queued.
			if send, cause := exchange.BeginSend(a.ctx, a.at, len(buf)-before, mc.m.pool, mc.conn); !send {
				buf = buf[:before]
				mc.state.Remove(pendingCall)
				e := core.ResultOnly(a.at.State.Result())
				e.Cause = cause
				a.done <- e
				continue
			}
			a.at.ReportIllegalStep(mc.state.WriteStarted(pendingCall, time.Now()))
			if w := a.at.WriteBy; !w.IsZero() && w.Before(deadline) {
				deadline = w
			}
			out, ends = append(out, a), append(ends, len(buf))
		}
		if len(out) == 0 {
			mc.writing = false
			mc.mu.Unlock()
			mc.releaseIfIdle()
			return
		}
		mc.mu.Unlock()
		mc.conn.SetWriteDeadline(deadline)
		n, err := mc.conn.Write(buf)
		mc.mu.Lock()
		begin := 0
		for i, a := range out {
			ended, problem := mc.state.WriteEnded(a.pendingCall, min(ends[i], max(begin, n))-begin, a.call.Method.Oneway)
			begin = ends[i]
			a.at.ReportIllegalStep(problem)
			if n >= ends[i] {
				a.at.MarkForwarded()
			}
			if ended {
				a.done <- core.ResultOnly(a.at.State.Result())
			}
		}
		if err != nil || mc.state.Broken() { // the reader may have failed during the write
			mc.breakLocked(lifecycle.Broken)
		}
		mc.mu.Unlock()
	}
}

// breakLocked closes the connection and ends all calls on it, except for those that are being written.
func (mc *muxConn) breakLocked(c lifecycle.Cause) {
	if c == lifecycle.Broken {
		mc.m.pool.Lost(mc.conn)
	}
	mc.conn.Close()
	ended, err := mc.state.Break(c)
	for _, p := range ended {
		a := p.Host.(*muxAttempt)
		a.at.ReportIllegalStep(err)
		a.done <- core.ResultOnly(a.at.State.Result())
	}
}

// abandon stops waiting for an attempt's reply, unless it has arrived meanwhile.
func (mc *muxConn) abandon(a *muxAttempt) core.AttemptOutcome {
	mc.mu.Lock()
	defer mc.releaseIfIdle()
	defer mc.mu.Unlock()
	select {
	case e := <-a.done:
		return e
	default:
	}
	cause := lifecycle.TimedOut
	if errors.Is(context.Cause(a.ctx), core.ErrCanceled) {
		cause = lifecycle.Canceled
	}
	a.at.ReportIllegalStep(mc.state.Abandon(a.pendingCall, cause))
	return core.ResultOnly(a.at.State.Result())
}

// read reads replies until the connection ends.
func (mc *muxConn) read() {
	source := &replyReader{conn: mc.conn}
	in := bufio.NewReaderSize(source, 4<<10)
	for {
		err := mc.reply(in, source)
		if err == nil {
			mc.releaseIfIdle()
			continue
		}
		cause := lifecycle.Broken
		if errors.Is(err, exchange.ErrInvalidAnswer) || errors.Is(err, os.ErrDeadlineExceeded) {
			cause = lifecycle.Malformed
		}
		mc.mu.Lock()
		mc.breakLocked(cause)
		mc.mu.Unlock()
		mc.releaseIfIdle()
		return
	}
}

// maxReplyTime is how long a reply may take from its first byte to its last. The other calls on its connection wait for it.
const maxReplyTime = 5 * time.Second

// replyReader reads replies from a connection. A reply that has begun may pause for exchange.StallTimeout and must be complete within maxReplyTime.
type replyReader struct {
	conn       net.Conn
	completeBy time.Time // zero between replies
}

// awaitNext removes the read deadline, as the next reply may take any time to begin.
func (r *replyReader) awaitNext() {
	r.completeBy = time.Time{}
	r.conn.SetReadDeadline(time.Time{})
}

// begin sets the deadlines of a reply that has begun.
func (r *replyReader) begin() {
	now := time.Now()
	r.completeBy = now.Add(maxReplyTime)
	r.conn.SetReadDeadline(now.Add(exchange.StallTimeout))
}

// Read implements io.Reader. It extends the read deadline while a reply arrives.
func (r *replyReader) Read(b []byte) (int, error) {
	n, err := r.conn.Read(b)
	if n > 0 && !r.completeBy.IsZero() {
		deadline := time.Now().Add(exchange.StallTimeout)
		if r.completeBy.Before(deadline) {
			deadline = r.completeBy
		}
		r.conn.SetReadDeadline(deadline)
	}
	return n, err
}

// reply reads one reply and passes it to its call. A reply without a call, or a second reply to one, proves that the server's sequence ids
// can't be trusted: any reply on the connection may belong to another call.
func (mc *muxConn) reply(in *bufio.Reader, source *replyReader) error {
	source.awaitNext()
	if _, err := in.Peek(1); err != nil {
		return err
	}
	source.begin()
	h, message, err := readMessage(in, mc.m.maxFrame)
	if err != nil {
		return err
	}
	mc.mu.Lock()
	defer mc.mu.Unlock()
	pendingCall, err := mc.state.ReplyStarted(h.Seq, time.Now())
	if err != nil {
		return fmt.Errorf("%w: %w: sequence id %d", exchange.ErrInvalidAnswer, err, h.Seq)
	}
	a := pendingCall.Host.(*muxAttempt)
	e, err := outcome(a.call, h, message, h.Seq)
	if err != nil {
		return err // the caller breaks the connection, which ends this call too
	}
	ended, err := mc.state.ReplyEnded(pendingCall, e.Result)
	a.at.ReportIllegalStep(err)
	if ended {
		a.done <- e
	}
	return nil
}

// releaseIfIdle returns the connection to the pool when it has no calls. A connection that has only abandoned calls, and gets no new ones, is
// closed.
func (mc *muxConn) releaseIfIdle() {
	m := mc.m
	m.mu.Lock()
	defer m.mu.Unlock()
	index := -1
	for i, other := range m.busy[mc.key] {
		if other == mc {
			index = i
		}
	}
	if index < 0 {
		return // already idle or closed
	}
	mc.mu.Lock()
	idle, reuse := mc.state.CanRelease(mc.key.server.Retired())
	idle = idle && !mc.writing
	mc.mu.Unlock()
	if !idle {
		return
	}
	if conns := m.busy[mc.key]; len(conns) == 1 {
		delete(m.busy, mc.key)
	} else {
		m.busy[mc.key] = append(conns[:index:index], conns[index+1:]...)
	}
	m.pool.Release(mc.conn, reuse)
}
