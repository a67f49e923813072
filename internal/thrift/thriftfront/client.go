package thriftfront

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"ternbeam/internal/host/conntrack"
	"ternbeam/internal/host/core"
	"ternbeam/internal/sysio/peek"
	"ternbeam/internal/thrift/thriftmap"
	"ternbeam/internal/thrift/thriftwire"
)

// chunks are what calls are read into. A connection holds one only while bytes of a frame are there.
var chunks = sync.Pool{New: func() any { b := make([]byte, 8<<10); return &b }}

// client is one connection of a client. One goroutine reads it; what is answered is written by another, which lives
// only as long as there is something to write.
type client struct {
	front *Front
	conn  *conntrack.Conn

	// What follows is the reader's.
	raw        syscall.RawConn
	chunk      *[]byte // nil while nothing of a frame is there
	start, end int     // of what is unread in it
	fill       func(fd uintptr) bool
	filled     error // how the last fill ended
	encoding   thriftwire.Encoding

	mu      sync.Mutex
	room    sync.Cond // told when something was written
	waiting []*slot   // not answered, or answered before those ahead of them; the oldest first
	taken   int       // calls that are not answered yet, oneways included
	unsent  []byte    // frames to be written
	writing bool      // they are being written
	asked   bool      // a frame has come
	busy    bool      // so the tracker was told
	over    bool      // no more is read
	dead    bool      // the connection is of no use any more
}

// slot is the place of a call in the order of answers.
type slot struct {
	call  *core.Call
	seq   int32
	frame []byte // nil until it is answered
}

// errProtocol is why a connection is closed on which nothing can be told any more.
var errProtocol = errors.New("what comes is no Thrift, or of another encoding than before")

// errStopping is why one is closed on which nothing is under way when the agent ends.
var errStopping = errors.New("the agent ends")

func (f *Front) open(conn *conntrack.Conn) {
	c := &client{front: f, conn: conn}
	c.room.L = &c.mu
	raw, err := conn.SyscallConn()
	if err != nil {
		conn.Close()
		f.tracker.Closed(conn)
		return
	}
	c.raw, c.fill = raw, c.read
	f.mu.Lock()
	f.clients[c] = true
	f.mu.Unlock()
	go c.serve()
}

// wake ends the reader's waiting.
func (c *client) wake() { c.conn.SetReadDeadline(time.Unix(1, 0)) }

// serve reads calls until the client leaves or may not go on.
func (c *client) serve() {
	err := c.take()
	if errors.Is(err, errStopping) {
		c.conn.Failed(os.ErrDeadlineExceeded, conntrack.EndedForShutdown)
	} else {
		c.conn.Failed(err, conntrack.NotEnded)
	}
	if !errors.Is(err, errProtocol) && !errors.Is(err, errStopping) {
		c.die()
	}
	c.mu.Lock()
	// What was taken before is answered; then the connection ends.
	for !c.dead && (len(c.waiting) > 0 || c.writing) {
		c.room.Wait()
	}
	c.over, c.dead = true, true
	c.mu.Unlock()
	c.conn.Close()
	c.front.tracker.Closed(c.conn)
	c.leave()
}

// die ends a connection whose client is gone: nothing is owed to it any more. The client of a oneway need not stay:
// those calls go on.
func (c *client) die() {
	c.mu.Lock()
	var owed []*core.Call
	if !c.dead {
		c.dead = true
		for _, s := range c.waiting {
			if s.frame == nil && s.call != nil { // what is refused at once has no call
				c.taken--
				owed = append(owed, s.call)
			}
		}
		c.waiting, c.unsent = nil, nil
		c.room.Broadcast()
	}
	c.mu.Unlock()
	c.conn.Close()
	for _, call := range owed { // not under the lock, which the core's loop may wait for
		c.front.core.Left(call)
	}
}

// leave forgets the client when nothing of it is under way.
func (c *client) leave() {
	c.mu.Lock()
	done := c.over && c.dead && c.taken == 0
	c.mu.Unlock()
	if done {
		c.front.forget(c)
	}
}

// take reads one frame after the other; it always ends with an error.
func (c *client) take() error {
	for {
		message, arrival, err := c.next()
		if err != nil {
			return err
		}
		if err := c.message(message, arrival); err != nil {
			return err
		}
	}
}

// begin says that a call has come. It is false where the tracker has closed the connection while it was read: its client asks
// once more elsewhere, and it must not have its effect twice.
func (c *client) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.asked = true; c.busy {
		return true
	}
	c.busy = c.front.tracker.Busy(c.conn)
	return c.busy
}

// message handles one. An error ends the reading.
func (c *client) message(message []byte, arrival time.Duration) error {
	if !c.begin() {
		return net.ErrClosed
	}
	h, err := thriftwire.ReadHead(message)
	if err != nil {
		c.front.core.Malformed()
		return fmt.Errorf("%w: %w", errProtocol, err)
	}
	if c.encoding == 0 {
		c.encoding = h.Encoding
	} else if h.Encoding != c.encoding {
		c.front.core.Malformed()
		return errProtocol
	}
	method := c.front.m.Method(h.Name(message))
	oneway := h.Type == thriftwire.Oneway || method != nil && method.Oneway
	read, err := c.front.m.Read(h, message)
	var call *core.Call
	if err == nil {
		call, err = c.front.call(read, arrival)
	}
	if err != nil {
		c.front.core.Malformed()
		if oneway {
			return nil // nobody could be told
		}
		refusal := &thriftmap.Refusal{Kind: thriftwire.InternalError, Text: err.Error()}
		errors.As(err, &refusal)
		s := c.enter(nil, h.Seq, false)
		c.answered(s, thriftmap.Application(nil, h, message, refusal.Kind, refusal.Text))
		return nil
	}
	s := c.enter(call, h.Seq, oneway)
	switch {
	case s == nil && oneway:
		return net.ErrClosed
	case s == nil: // it has not come as far as the module
		c.answered(c.enter(nil, h.Seq, false), read.Refused(nil, 0))
		return nil
	}
	if !oneway { // whose client need not stay
		call.Disconnected = c.conn.Disconnected
	}
	call.Answer = func(ans core.Answer) {
		if oneway {
			c.done()
			return
		}
		c.answered(s, word(read, ans))
	}
	c.front.core.Take(call)
	return nil
}

// word puts a final answer into a frame.
func word(read *thriftmap.Call, ans core.Answer) []byte {
	switch ans.Kind {
	case core.Served:
		if r, ok := ans.Reply.(*thriftmap.Reply); ok {
			return read.Served(make([]byte, 0, len(r.Message)+16), r)
		}
	case core.Refused:
		return read.Refused(nil, ans.After)
	case core.Unfit: // what can't be put in another shape is the client's fault, like what can't be read
		return read.Application(nil, thriftwire.ProtocolError, ans.Cause.Error())
	case core.Duplicate:
		return read.Failed(nil, "a call with this correlation id is under way")
	}
	return read.Failed(nil, "failed")
}

// enter gives a call a place in the order of answers, or nil where the client has as many under way as it may. A
// oneway, which nobody waits for, waits for its turn instead. A nil call is one that is answered at once.
func (c *client) enter(call *core.Call, seq int32, oneway bool) *slot {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &slot{call: call, seq: seq}
	if call != nil {
		c.awaitLocked(func() bool { return oneway && c.taken >= c.front.m.MaxCalls })
		if c.taken >= c.front.m.MaxCalls {
			return nil
		}
		c.taken++
	}
	if !oneway {
		c.waiting = append(c.waiting, s)
	}
	return s
}

// done counts a oneway that is over.
func (c *client) done() {
	c.mu.Lock()
	c.taken--
	c.room.Broadcast()
	c.idleLocked()
	c.mu.Unlock()
	c.leave()
}

// answered takes an answer and sends what may be sent now: in the order of the calls or, where the client allows any,
// in the order of those with the same sequence id, which nobody could tell apart otherwise.
func (c *client) answered(s *slot, frame []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead {
		return
	}
	if s.frame = frame; s.call != nil {
		c.taken--
		c.room.Broadcast()
	}
	if !c.front.m.AnyOrder {
		n := 0
		for n < len(c.waiting) && c.waiting[n].frame != nil {
			c.unsent = append(c.unsent, c.waiting[n].frame...)
			c.waiting[n] = nil
			n++
		}
		c.waiting = c.waiting[n:]
	} else {
		c.sendFreeLocked()
	}
	if len(c.unsent) > 0 && !c.writing {
		c.writing = true
		go c.write()
	}
}

// sendFreeLocked sends all answers that no earlier call with the same sequence id holds back.
func (c *client) sendFreeLocked() {
	kept := c.waiting[:0]
	for _, s := range c.waiting {
		held := s.frame == nil
		for _, before := range kept {
			held = held || before.seq == s.seq
		}
		if held {
			kept = append(kept, s)
		} else {
			c.unsent = append(c.unsent, s.frame...)
		}
	}
	clear(c.waiting[len(kept):])
	c.waiting = kept
}

// write sends what is answered until nothing is left. A client that takes nothing for long has gone.
func (c *client) write() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.unsent) > 0 && !c.dead {
		b := c.unsent
		c.unsent = nil
		c.mu.Unlock()
		c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := c.conn.Write(b); err != nil {
			c.die()
		}
		c.mu.Lock()
		c.room.Broadcast()
	}
	c.writing = false
	c.room.Broadcast()
	c.idleLocked()
}

// idleLocked says that nothing is under way any more, if so: the tracker may close the connection for another, and an
// ending agent does.
func (c *client) idleLocked() {
	if !c.restsLocked() || c.dead || !c.busy {
		return
	}
	c.busy = false
	c.front.tracker.Idle(c.conn)
	if c.front.stopping.Load() {
		c.wake()
	}
}

// restsLocked reports whether nothing is under way.
func (c *client) restsLocked() bool { return c.taken == 0 && len(c.waiting) == 0 && !c.writing }

// waitForRoom holds up the reading of a client that has more to be sent than it may.
func (c *client) waitForRoom() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitLocked(func() bool { return len(c.waiting) >= 2*c.front.m.MaxCalls || len(c.unsent) > mostUnsent })
	if c.dead {
		return net.ErrClosed
	}
	return nil
}

// awaitLocked has the reader wait for as long as the client has too much under way. Nothing is read meanwhile, so that the client's
// end would not be seen: it is looked for. One that stands behind more than the kernel takes is seen when that is read.
func (c *client) awaitLocked(full func() bool) {
	if c.dead || !full() {
		return
	}
	over := make(chan struct{})
	defer close(over)
	go func() {
		look := time.NewTicker(conntrack.ProbeInterval)
		defer look.Stop()
		for {
			select {
			case <-over:
				return
			case <-look.C:
				if peek.HungUp(c.conn) {
					c.die()
					return
				}
			}
		}
	}()
	for !c.dead && full() {
		c.room.Wait()
	}
}

// next reads one frame. Its length is looked at before anything is allocated for it. The arrival is the time of its
// first byte.
func (c *client) next() (message []byte, arrival time.Duration, err error) {
	if err := c.waitForRoom(); err != nil {
		return nil, 0, err
	}
	if err := c.await(); err != nil {
		return nil, 0, err
	}
	waited := c.conn.SinceLastData() // its client counts from when it sent the call
	arrival = c.front.core.Now() - waited
	by := time.Now().Add(c.front.m.FrameTimeout)
	c.conn.SetReadDeadline(by)
	var prefix [4]byte
	if err := c.copy(prefix[:], by); err != nil {
		return nil, 0, err
	}
	n, err := thriftwire.FrameLength(prefix, c.front.m.MaxFrame)
	if err != nil {
		c.front.core.Malformed()
		return nil, 0, fmt.Errorf("%w: %w", errProtocol, err)
	}
	message = make([]byte, n)
	err = c.copy(message, by)
	return message, arrival, err
}

// await waits for the first byte of a frame: for as long as a connection may be idle, or until the agent ends.
func (c *client) await() error {
	for c.start == c.end {
		ending := c.front.stopping.Load()
		c.mu.Lock()
		rests, fresh := c.restsLocked(), !c.asked
		var by time.Time // the tracker closes the fresh ones at the end
		if rests && !ending {
			by = time.Now().Add(c.front.m.IdleTimeout)
		}
		c.conn.SetReadDeadline(by)
		c.mu.Unlock()
		if ending != c.front.stopping.Load() {
			continue // or the deadline set above would undo the wake
		}
		if ending && rests && !fresh && peek.Silent(c.conn) {
			return errStopping
		}
		switch err := c.more(); {
		case err == nil:
			return nil
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return err
		case rests && !ending && !c.front.stopping.Load():
			return err // idle for too long
		}
	}
	return nil
}

// copy fills a buffer from what has come and what comes until some time. A client that does not go on is not told
// from one that sends something else: what it asked before is answered.
func (c *client) copy(to []byte, by time.Time) error {
	for {
		if c.chunk != nil {
			n := copy(to, (*c.chunk)[c.start:c.end])
			c.start += n
			to = to[n:]
			if c.start == c.end {
				c.drop()
			}
		}
		if len(to) == 0 {
			return nil
		}
		switch err := c.more(); {
		case err == nil:
		case errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(by):
			c.conn.SetReadDeadline(by) // the ending agent has woken it
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.front.core.Malformed()
			return fmt.Errorf("%w: a frame that does not go on", errProtocol)
		default:
			return err
		}
	}
}

func (c *client) drop() {
	chunks.Put(c.chunk)
	c.chunk, c.start, c.end = nil, 0, 0
}

// more waits for bytes and reads them into a chunk, which is empty. Errors end that only where the connection is over: a client that is there
// is owed its answers.
func (c *client) more() error {
	tries := c.conn.ReadTries()
	for {
		err := c.raw.Read(c.fill)
		if err == nil {
			err = c.filled
		}
		if err == nil || !tries.Again(c.conn, err) {
			return err
		}
	}
}

// read is called when there may be something to read. It holds no chunk while there is not.
func (c *client) read(fd uintptr) bool {
	chunk := chunks.Get().(*[]byte)
	n, done, err := c.conn.ReadNow(fd, *chunk)
	if n > 0 {
		c.chunk, c.start, c.end, c.filled = chunk, 0, n, nil
		return true
	}
	chunks.Put(chunk)
	if c.filled = err; err == nil {
		c.filled = io.EOF
	}
	return done
}
