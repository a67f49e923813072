package thriftback

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"slices"
	"sync"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/core"
	"ternbeam/internal/exchange"
	"ternbeam/internal/life"
	"ternbeam/internal/pool"
	"ternbeam/internal/thriftmap"
)

// multiplexer sends several calls at a time on a connection and tells their replies apart by sequence ids of its own.
type multiplexer struct {
	pool  *pool.Pool
	most  int // bytes of a frame
	calls int // that one connection may have under way

	mu    sync.Mutex
	lines map[key][]*line // those with calls under way
	dials map[key]*dial   // those under way
}

// dial is one that several calls wait for.
type dial struct {
	ended chan struct{}
	err   error // of the server's; nil also where only the call that dialled gave up
}

// errNoLine says that no connection came up while the call had time.
var errNoLine = errors.New("no connection in time")

// key is what a line may be shared by.
type key struct {
	server *life.Server
	speaks choice.Protocols
}

func newMultiplexer(p *pool.Pool, m *thriftmap.Map) *multiplexer {
	return &multiplexer{pool: p, most: m.MaxFrame, calls: m.ServerCalls, lines: map[key][]*line{},
		dials: map[key]*dial{}}
}

// line is a connection that carries several calls.
type line struct {
	m    *multiplexer
	key  key
	conn *pool.Conn

	mu      sync.Mutex
	pending map[int32]*ticket // by sequence id
	queue   []*ticket         // not written yet
	writing bool
	seq     int32
	heard   time.Time  // the latest reply
	broken  bool       // nothing more can be told from what comes
	cause   life.Cause // why
	suspect bool       // gets nothing new
}

// ticket is one attempt on a line. Its life belongs to whoever holds the line's lock: it is ready while it is queued,
// and one that has ended while it is still pending was given up, with its reply still to come.
type ticket struct {
	ctx  context.Context
	at   *core.Attempt
	call *thriftmap.Call
	seq  int32
	sent time.Time
	done chan core.Ending
}

func (t *ticket) stage() life.Stage { return t.at.Life.Stage() }

// attempt makes one attempt.
func (m *multiplexer) attempt(ctx context.Context, at *core.Attempt) core.Ending {
	t := &ticket{ctx: ctx, at: at, call: at.Call.Payload.(*thriftmap.Call), done: make(chan core.Ending, 1)}
	l, err := m.join(ctx, t)
	if err != nil {
		return exchange.NoConnection(ctx, at, err)
	}
	select {
	case e := <-t.done:
		return e
	case <-ctx.Done():
		return l.abandon(t)
	}
}

// join puts a ticket on a line to its server: one that has room, or else an idle or a new one.
func (m *multiplexer) join(ctx context.Context, t *ticket) (*line, error) {
	k := key{t.at.Server, t.at.Call.Needs}
	m.mu.Lock()
	for {
		for _, l := range m.lines[k] {
			if l.enqueue(t, m.calls) {
				m.mu.Unlock()
				return l, nil
			}
		}
		under := m.dials[k]
		if under == nil {
			break
		}
		m.mu.Unlock()
		select { // calls that come together share a line
		case <-under.ended:
		case <-ctx.Done():
			return nil, errNoLine
		}
		if under.err != nil {
			return nil, under.err
		}
		m.mu.Lock()
	}
	d := &dial{ended: make(chan struct{})}
	m.dials[k] = d
	m.mu.Unlock()
	c, err := m.pool.Acquire(ctx, t.at.Server, k.speaks, &t.at.Life)
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
	l, _ := c.Session.(*line)
	if l == nil {
		l = &line{m: m, key: k, conn: c, pending: map[int32]*ticket{}, heard: time.Now()}
		c.Session = l
		go l.read()
	}
	if !l.enqueue(t, m.calls) { // it broke while it was idle
		m.pool.Release(c, false)
		return nil, errNoLine
	}
	m.lines[k] = append(m.lines[k], l)
	return l, nil
}

// enqueue takes a ticket, if there is room on the line.
func (l *line) enqueue(t *ticket, most int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.broken || l.suspect || len(l.pending) >= most {
		return false
	}
	for {
		if l.seq == math.MaxInt32 {
			l.seq = 0
		}
		l.seq++
		if l.pending[l.seq] == nil {
			break
		}
	}
	if t.stage() == life.Placing { // the line is another's that is shared
		t.at.Heed(t.at.Life.Connect())
	}
	t.seq = l.seq
	l.pending[t.seq] = t
	l.queue = append(l.queue, t)
	if !l.writing {
		l.writing = true
		go l.write()
	}
	return true
}

// batch is how many bytes are written in one go, if more than one call waits.
const batch = 32 << 10

// write sends what is queued until nothing is.
func (l *line) write() {
	var buf []byte
	var out []*ticket
	var ends []int // of their frames in buf
	for {
		buf, out, ends = buf[:0], out[:0], ends[:0]
		// A server that takes nothing holds up all calls on the line; as long as an answer may pause is long enough.
		by := time.Now().Add(exchange.Stall)
		l.mu.Lock()
		for len(l.queue) > 0 && len(buf) < batch && !l.broken {
			t := l.queue[0]
			l.queue = l.queue[1:]
			end, _ := t.ctx.Deadline()
			before := len(buf)
			buf = t.call.Frame(buf, t.seq, time.Until(end))
			// What was right to send when it was queued may not be any more.
			if !exchange.Begin(t.ctx, t.at, len(buf)-before) {
				buf = buf[:before]
				l.finishLocked(t, core.Ended(t.at.Life.Result()))
				continue
			}
			t.at.Heed(t.at.Life.Unsure())
			t.sent = time.Now()
			if w := t.at.WriteBy; !w.IsZero() && w.Before(by) {
				by = w
			}
			out, ends = append(out, t), append(ends, len(buf))
		}
		if len(out) == 0 {
			l.writing = false
			l.mu.Unlock()
			l.rest()
			return
		}
		l.mu.Unlock()
		l.conn.SetWriteDeadline(by)
		n, err := l.conn.Write(buf)
		l.mu.Lock()
		begin := 0
		for i, t := range out {
			if t.stage() != life.Ended {
				t.at.Heed(t.at.Life.Wrote(min(ends[i], max(begin, n)) - begin))
			}
			begin = ends[i]
			if l.pending[t.seq] != t {
				continue // its reply has come already
			}
			if t.call.Method.Oneway || ends[i] > n { // no reply will come
				l.endUnansweredLocked(t)
			}
		}
		if err != nil || l.broken { // the reader may have broken it while this was written
			l.breakLocked(life.Broken)
		}
		l.mu.Unlock()
	}
}

// finishLocked gives a ticket its ending and forgets it.
func (l *line) finishLocked(t *ticket, e core.Ending) {
	delete(l.pending, t.seq)
	t.done <- e
}

// endUnansweredLocked ends a ticket that no reply will come to: a oneway that is written whole, or what is not.
func (l *line) endUnansweredLocked(t *ticket) {
	switch t.stage() {
	case life.Ended: // nobody waits for it
		delete(l.pending, t.seq)
	case life.Waiting:
		t.at.Heed(t.at.Life.Answer(choice.OK))
		l.finishLocked(t, core.Ended(t.at.Life.Result()))
	default:
		l.finishLocked(t, exchange.Fail(t.at, life.Broken))
	}
}

// breakLocked ends all that is on the line: what may have run by its cause, the rest as never sent.
func (l *line) breakLocked(c life.Cause) {
	if !l.broken {
		l.broken, l.cause = true, c
	}
	l.conn.Close()
	for _, t := range l.pending {
		switch t.stage() {
		case life.Ended:
			delete(l.pending, t.seq)
		case life.Writing: // its writer sees how far it got
		default:
			l.finishLocked(t, exchange.Fail(t.at, l.cause))
		}
	}
	l.queue = nil
}

// abandon ends the waiting for a ticket's reply, if it has not come meanwhile.
func (l *line) abandon(t *ticket) core.Ending {
	l.mu.Lock()
	defer l.rest()
	defer l.mu.Unlock()
	select {
	case e := <-t.done:
		return e
	default:
	}
	cause := life.Late
	if errors.Is(context.Cause(t.ctx), core.ErrWithdrawn) {
		cause = life.Withdrawn
	}
	switch t.stage() {
	case life.Ready:
		delete(l.pending, t.seq)
		l.queue = slices.DeleteFunc(l.queue, func(other *ticket) bool { return other == t })
	case life.Waiting:
		if cause == life.Late && l.heard.Before(t.sent) {
			l.suspect = true // it has been silent for as long as this call may take
		}
	}
	return exchange.Fail(t.at, cause)
}

// read takes replies until the connection ends.
func (l *line) read() {
	in := bufio.NewReaderSize(l.conn, 4<<10)
	for {
		err := l.reply(in)
		if err == nil {
			l.rest()
			continue
		}
		cause := life.Broken
		if errors.Is(err, exchange.ErrSpoilt) || errors.Is(err, os.ErrDeadlineExceeded) {
			cause = life.Garbled
		}
		l.mu.Lock()
		l.breakLocked(cause)
		l.mu.Unlock()
		l.rest()
		return
	}
}

// reply reads one reply and gives it to the call that it answers. One that answers none, or one a second time, shows
// that the server's sequence ids can't be trusted: everything on the line may be somebody else's.
func (l *line) reply(in *bufio.Reader) error {
	l.conn.SetReadDeadline(time.Time{})
	if _, err := in.Peek(1); err != nil {
		return err
	}
	l.conn.SetReadDeadline(time.Now().Add(exchange.Stall))
	h, message, err := readMessage(in, l.m.most)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.pending[h.Seq]
	if t == nil || t.stage() == life.Ready {
		return fmt.Errorf("%w: sequence id %d", exchange.ErrSpoilt, h.Seq)
	}
	l.heard = time.Now()
	e, err := ending(t.call, h, message, h.Seq)
	switch {
	case err != nil:
		return err // this call ends with the others
	case t.stage() == life.Ended: // late, and nobody's any more
		delete(l.pending, t.seq)
	default:
		t.at.Heed(t.at.Life.Read())
		t.at.Heed(t.at.Life.Answer(e.Result))
		l.finishLocked(t, e)
	}
	return nil
}

// rest gives a line back to the pool when nothing is on it any more. One that carries only what is abandoned, and
// gets nothing new, is closed.
func (l *line) rest() {
	m := l.m
	m.mu.Lock()
	defer m.mu.Unlock()
	at := -1
	for i, other := range m.lines[l.key] {
		if other == l {
			at = i
		}
	}
	if at < 0 {
		return // it is idle, or gone
	}
	l.mu.Lock()
	busy, reuse := l.writing, !l.broken && !l.suspect && !l.key.server.Retired()
	for _, t := range l.pending {
		busy = busy || reuse || t.stage() != life.Ended
	}
	l.mu.Unlock()
	if busy {
		return
	}
	if lines := m.lines[l.key]; len(lines) == 1 {
		delete(m.lines, l.key)
	} else {
		m.lines[l.key] = append(lines[:at:at], lines[at+1:]...)
	}
	m.pool.Release(l.conn, reuse)
}
