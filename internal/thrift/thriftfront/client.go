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
	"ternbeam/internal/host/membudget"
	"ternbeam/internal/sysio/peek"
	"ternbeam/internal/thrift/thriftmap"
	"ternbeam/internal/thrift/thriftwire"
)

const (
	// freeFrameBytes is the size up to which a frame is read without a reservation. A larger one may wait for frameRoomTimeout.
	freeFrameBytes   = 4 << 10
	frameRoomTimeout = time.Second
	// frameCopies is how often a frame is held: as received, and as it is sent to a server.
	frameCopies = 2
)

// chunks are buffers that calls are read into. A connection holds one only while it has unprocessed bytes of a frame.
var chunks = sync.Pool{New: func() any { b := make([]byte, 8<<10); return &b }}

// client is one client connection. One goroutine reads calls; another, which runs only while there is something to write, writes answers.
type client struct {
	front *Front
	conn  *conntrack.Conn

	// The following fields belong to the reading goroutine.
	raw        syscall.RawConn
	chunk      *[]byte // nil while there are no bytes of a frame
	start, end int     // the unprocessed part of chunk
	fill       func(fd uintptr) bool
	fillErr    error                  // result of the last fill
	room       *membudget.Reservation // for the latest frame, until a slot has it
	encoding   thriftwire.Encoding

	mu            sync.Mutex
	changed       sync.Cond // signaled when answers were written or calls finished
	waiting       []*slot   // calls without an answer, or whose answer waits for an earlier one; oldest first
	inFlight      int       // unanswered calls, including oneways
	unsent        []byte    // frames to write
	writing       bool      // the writing goroutine is running
	frameReceived bool      // a frame has arrived
	busy          bool      // the tracker was notified that the connection is busy
	readEnded     bool      // reading has ended
	closed        bool      // the connection can no longer be used
}

// slot is the position of a call in the order of answers.
type slot struct {
	call  *core.Call
	seq   int32
	frame []byte                 // the answer; nil until there is one
	room  *membudget.Reservation // for the call's frame
}

// errProtocol ends a connection on which the client's messages can no longer be interpreted, so that no error can be sent either.
var errProtocol = errors.New("not a Thrift message, or not in the connection's encoding")

// errStopping ends an idle connection when the agent shuts down.
var errStopping = errors.New("the agent is shutting down")

func (f *Front) serveConn(conn *conntrack.Conn) {
	c := &client{front: f, conn: conn}
	c.changed.L = &c.mu
	raw, err := conn.SyscallConn()
	if err != nil {
		conn.Close()
		f.tracker.MarkClosed(conn)
		return
	}
	c.raw, c.fill = raw, c.readNow
	f.mu.Lock()
	f.clients[c] = true
	f.mu.Unlock()
	go c.serve()
}

// wake interrupts the reader.
func (c *client) wake() { c.conn.SetReadDeadline(time.Unix(1, 0)) }

// serve reads calls until the client disconnects or the connection must be closed.
func (c *client) serve() {
	err := c.readCalls()
	c.room.Release()
	if errors.Is(err, errStopping) {
		c.conn.RecordReadError(os.ErrDeadlineExceeded, conntrack.EndedForShutdown)
	} else {
		c.conn.RecordReadError(err, conntrack.NotEnded)
	}
	if !errors.Is(err, errProtocol) && !errors.Is(err, errStopping) {
		c.abort()
	}
	c.mu.Lock()
	// Answer the calls that were accepted before, then close the connection.
	for !c.closed && (len(c.waiting) > 0 || c.writing) {
		c.changed.Wait()
	}
	c.readEnded, c.closed = true, true
	c.mu.Unlock()
	c.conn.Close()
	c.front.tracker.MarkClosed(c.conn)
	c.forgetIfDone()
}

// abort closes the connection of a client that has disconnected, and reports to the core that its unanswered calls have lost their client.
// Oneway calls continue: their clients may disconnect.
func (c *client) abort() {
	c.mu.Lock()
	var pending []*core.Call
	if !c.closed {
		c.closed = true
		for _, s := range c.waiting {
			if s.frame == nil && s.call != nil { // a call that is refused at once has none
				c.inFlight--
				s.room.Release()
				pending = append(pending, s.call)
			}
		}
		c.waiting, c.unsent = nil, nil
		c.changed.Broadcast()
	}
	c.mu.Unlock()
	c.conn.Close()
	for _, call := range pending { // not under the lock, as the core's loop may be waiting for it
		c.front.core.ClientDisconnected(call)
	}
}

// forgetIfDone removes the client once its connection is closed and it has no calls in flight.
func (c *client) forgetIfDone() {
	c.mu.Lock()
	done := c.readEnded && c.closed && c.inFlight == 0
	c.mu.Unlock()
	if done {
		c.front.remove(c)
	}
}

// readCalls reads and handles frames in a loop. It always returns a non-nil error.
func (c *client) readCalls() error {
	for {
		message, arrival, err := c.readFrame()
		switch {
		case err == nil:
			err = c.handleMessage(message, arrival)
		case errors.Is(err, membudget.ErrExhausted):
			err = c.refuseFrame(message)
		}
		if err != nil {
			return err
		}
	}
}

// markBusy marks the connection as busy for a call that has arrived. It returns false if the tracker closed the connection while the call was being
// read: the client will retry elsewhere, and the call must not take effect twice.
func (c *client) markBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frameReceived = true; c.busy {
		return true
	}
	c.busy = c.front.tracker.MarkBusy(c.conn)
	return c.busy
}

// beginMessage evaluates the head of a message that has arrived. An error ends reading.
func (c *client) beginMessage(message []byte) (h thriftwire.Head, oneway bool, err error) {
	if !c.markBusy() {
		return h, false, net.ErrClosed
	}
	if h, err = thriftwire.ReadHead(message); err != nil {
		c.front.core.CountMalformed()
		return h, false, fmt.Errorf("%w: %w", errProtocol, err)
	}
	if c.encoding == 0 {
		c.encoding = h.Encoding
	} else if h.Encoding != c.encoding {
		c.front.core.CountMalformed()
		return h, false, errProtocol
	}
	method := c.front.service.Method(h.Name(message))
	return h, h.Type == thriftwire.Oneway || method != nil && method.Oneway, nil
}

// refuseFrame answers a call for which there was no memory, of which the beginning was read. An error ends reading.
func (c *client) refuseFrame(beginning []byte) error {
	h, oneway, err := c.beginMessage(beginning)
	if err != nil || oneway {
		return err
	}
	s := c.addCall(nil, h.Seq, false)
	c.queueAnswer(s, thriftmap.AppendException(nil, h, beginning, thriftwire.InternalError, membudget.ErrExhausted.Error()))
	return nil
}

// handleMessage handles one message. An error ends reading.
func (c *client) handleMessage(message []byte, arrival time.Duration) error {
	h, oneway, err := c.beginMessage(message)
	if err != nil {
		return err
	}
	decoded, err := c.front.service.Read(h, message)
	var call *core.Call
	if err == nil {
		call, err = c.front.call(decoded, arrival)
	}
	if err != nil {
		c.front.core.CountMalformed()
		if oneway {
			return nil // the client waits for no answer
		}
		refusal := &thriftmap.Refusal{Kind: thriftwire.InternalError, Text: err.Error()}
		errors.As(err, &refusal)
		s := c.addCall(nil, h.Seq, false)
		c.queueAnswer(s, thriftmap.AppendException(nil, h, message, refusal.Kind, refusal.Text))
		return nil
	}
	s := c.addCall(call, h.Seq, oneway)
	switch {
	case s == nil && oneway:
		return net.ErrClosed
	case s == nil: // too many calls in flight; the core has not seen this one
		c.queueAnswer(c.addCall(nil, h.Seq, false), decoded.AppendRefusal(nil, 0))
		return nil
	}
	if !oneway { // the client of a oneway may disconnect
		call.PollDisconnected = c.conn.Disconnected
	}
	call.Answer = func(ans core.Answer) {
		if oneway {
			s.room.Release()
			c.finishOneway()
			return
		}
		c.queueAnswer(s, encode(decoded, ans))
	}
	c.front.core.Submit(call)
	return nil
}

// encode encodes a final answer as a frame.
func encode(decoded *thriftmap.Call, ans core.Answer) []byte {
	switch ans.Kind {
	case core.Served:
		if r, ok := ans.Reply.(*thriftmap.Reply); ok {
			return decoded.AppendReply(make([]byte, 0, len(r.Message)+16), r)
		}
	case core.Refused:
		return decoded.AppendRefusal(nil, ans.After)
	case core.Untranslatable: // a request that can't be translated is the client's fault, like one that can't be read
		return decoded.AppendException(nil, thriftwire.ProtocolError, ans.Cause.Error())
	case core.Duplicate:
		return decoded.AppendFailure(nil, "a call with this correlation id is under way")
	}
	return decoded.AppendFailure(nil, "failed")
}

// addCall adds a call to the order of answers. It returns nil if the client has the maximum number of calls in flight. For a oneway, which could not
// be refused as it gets no answer, it waits until there is room instead. A nil call stands for one that is answered at once.
func (c *client) addCall(call *core.Call, seq int32, oneway bool) *slot {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &slot{call: call, seq: seq}
	if call != nil {
		c.waitWhileLocked(func() bool { return oneway && c.inFlight >= c.front.service.MaxCalls })
		if c.inFlight >= c.front.service.MaxCalls {
			return nil
		}
		c.inFlight++
		s.room, c.room = c.room, nil
	}
	if !oneway {
		c.waiting = append(c.waiting, s)
	}
	return s
}

// finishOneway records that a oneway has finished.
func (c *client) finishOneway() {
	c.mu.Lock()
	c.inFlight--
	c.changed.Broadcast()
	c.markIdleLocked()
	c.mu.Unlock()
	c.forgetIfDone()
}

// queueAnswer stores an answer and queues all answers that can be sent now: in the order of the calls or, if the configuration allows any order,
// in the order of calls with the same sequence id, whose answers could not be distinguished otherwise.
func (c *client) queueAnswer(s *slot, frame []byte) {
	s.room.Release()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	if s.frame = frame; s.call != nil {
		c.inFlight--
		c.changed.Broadcast()
	}
	if !c.front.service.AnyOrder {
		n := 0
		for n < len(c.waiting) && c.waiting[n].frame != nil {
			c.unsent = append(c.unsent, c.waiting[n].frame...)
			c.waiting[n] = nil
			n++
		}
		c.waiting = c.waiting[n:]
	} else {
		c.queueUnblockedLocked()
	}
	if len(c.unsent) > 0 && !c.writing {
		c.writing = true
		go c.write()
	}
}

// queueUnblockedLocked queues all answers that do not wait for an earlier call with the same sequence id.
func (c *client) queueUnblockedLocked() {
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

// write writes queued answers until none is left. A client that does not accept data within writeTimeout counts as disconnected.
func (c *client) write() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.unsent) > 0 && !c.closed {
		b := c.unsent
		c.unsent = nil
		c.mu.Unlock()
		c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := c.conn.Write(b); err != nil {
			c.abort()
		}
		c.mu.Lock()
		c.changed.Broadcast()
	}
	c.writing = false
	c.changed.Broadcast()
	c.markIdleLocked()
}

// markIdleLocked reports to the tracker that the connection is idle, if it is. The tracker may then close it to make room for another, and an agent
// that is shutting down closes it.
func (c *client) markIdleLocked() {
	if !c.isIdleLocked() || c.closed || !c.busy {
		return
	}
	c.busy = false
	c.front.tracker.MarkIdle(c.conn)
	if c.front.stopping.Load() {
		c.wake()
	}
}

// isIdleLocked reports whether no call is in flight and no answer is waiting to be sent.
func (c *client) isIdleLocked() bool { return c.inFlight == 0 && len(c.waiting) == 0 && !c.writing }

// waitForRoom blocks the reader while too many answers wait to be sent to the client.
func (c *client) waitForRoom() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waitWhileLocked(func() bool { return len(c.waiting) >= 2*c.front.service.MaxCalls || len(c.unsent) > maxUnsentBytes })
	if c.closed {
		return net.ErrClosed
	}
	return nil
}

// waitWhileLocked blocks the reader while the client has too much in flight. As nothing is read meanwhile, a disconnect would go unnoticed, so the
// connection is probed for one every conntrack.ProbeInterval. A disconnect behind more unread data than the kernel buffers is noticed only once
// that data is read.
func (c *client) waitWhileLocked(full func() bool) {
	if c.closed || !full() {
		return
	}
	done := make(chan struct{})
	defer close(done)
	go func() {
		probe := time.NewTicker(conntrack.ProbeInterval)
		defer probe.Stop()
		for {
			select {
			case <-done:
				return
			case <-probe.C:
				if peek.HungUp(c.conn) {
					c.abort()
					return
				}
			}
		}
	}()
	for !c.closed && full() {
		c.changed.Wait()
	}
}

// reserve reserves memory for a frame, all that there is for one that is larger. It returns membudget.ErrExhausted if there is none in time.
func (c *client) reserve(bytes int) (err error) {
	if bytes <= freeFrameBytes {
		return nil
	}
	budget := c.front.tracker.Budget()
	c.room, err = budget.WaitFor(min(frameCopies*int64(bytes), budget.Size()), frameRoomTimeout)
	return err
}

// skip reads a frame and returns its beginning.
func (c *client) skip(length int, deadline time.Time) (beginning []byte, err error) {
	beginning = make([]byte, min(length, freeFrameBytes))
	if err := c.copy(beginning, deadline); err != nil {
		return nil, err
	}
	scratch := make([]byte, freeFrameBytes)
	for left := length - len(beginning); left > 0; {
		part := scratch[:min(left, len(scratch))]
		if err := c.copy(part, deadline); err != nil {
			return nil, err
		}
		left -= len(part)
	}
	return beginning, nil
}

// readFrame reads one frame. It checks the length before allocating memory. arrival is the time of the frame's first byte. With
// membudget.ErrExhausted it returns only the beginning of the message.
func (c *client) readFrame() (message []byte, arrival time.Duration, err error) {
	c.room.Release()
	c.room = nil
	if err := c.waitForRoom(); err != nil {
		return nil, 0, err
	}
	if err := c.awaitFrame(); err != nil {
		return nil, 0, err
	}
	waited := c.conn.SinceLastData() // the client's time limit counts from when it sent the call
	arrival = c.front.core.Now() - waited
	deadline := time.Now().Add(c.front.service.FrameTimeout)
	c.conn.SetReadDeadline(deadline)
	var prefix [4]byte
	if err := c.copy(prefix[:], deadline); err != nil {
		return nil, 0, err
	}
	n, err := thriftwire.FrameLength(prefix, c.front.service.MaxFrame)
	if err != nil {
		c.front.core.CountMalformed()
		return nil, 0, fmt.Errorf("%w: %w", errProtocol, err)
	}
	if noRoom := c.reserve(n); noRoom != nil {
		if message, err = c.skip(n, deadline); err == nil {
			err = noRoom
		}
		return message, arrival, err
	}
	message = make([]byte, n)
	err = c.copy(message, deadline)
	return message, arrival, err
}

// awaitFrame waits for the first byte of a frame, until the idle timeout or the shutdown of the agent.
func (c *client) awaitFrame() error {
	for c.start == c.end {
		stopping := c.front.stopping.Load()
		c.mu.Lock()
		idle, fresh := c.isIdleLocked(), !c.frameReceived
		var deadline time.Time // none at shutdown, when the tracker closes connections without a call
		if idle && !stopping {
			deadline = time.Now().Add(c.front.service.IdleTimeout)
		}
		c.conn.SetReadDeadline(deadline)
		c.mu.Unlock()
		if stopping != c.front.stopping.Load() {
			continue // otherwise the deadline set above would cancel the effect of wake
		}
		if stopping && idle && !fresh && peek.KnownOpenAndEmpty(c.conn) {
			return errStopping
		}
		switch err := c.readChunk(); {
		case err == nil:
			return nil
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return err
		case idle && !stopping && !c.front.stopping.Load():
			return err // idle timeout
		}
	}
	return nil
}

// copy fills a buffer with data that has been read, or that arrives until the deadline. A frame that is not complete then is a protocol error:
// the connection is closed, after the client's earlier calls are answered.
func (c *client) copy(to []byte, deadline time.Time) error {
	for {
		if c.chunk != nil {
			n := copy(to, (*c.chunk)[c.start:c.end])
			c.start += n
			to = to[n:]
			if c.start == c.end {
				c.releaseChunk()
			}
		}
		if len(to) == 0 {
			return nil
		}
		switch err := c.readChunk(); {
		case err == nil:
		case errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(deadline):
			c.conn.SetReadDeadline(deadline) // woken by the shutdown
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.front.core.CountMalformed()
			return fmt.Errorf("%w: timeout in the middle of a frame", errProtocol)
		default:
			return err
		}
	}
}

func (c *client) releaseChunk() {
	chunks.Put(c.chunk)
	c.chunk, c.start, c.end = nil, 0, 0
}

// readChunk waits for data and reads it into a new chunk. System calls that fail are retried while the connection is open, because a connected
// client still waits for its answers.
func (c *client) readChunk() error {
	tries := c.conn.NewReadTries()
	for {
		err := c.raw.Read(c.fill)
		if err == nil {
			err = c.fillErr
		}
		if err == nil || !tries.ShouldRetry(c.conn, err) {
			return err
		}
	}
}

// readNow is called when the descriptor may be readable. It keeps a chunk only if there was data.
func (c *client) readNow(fd uintptr) bool {
	chunk := chunks.Get().(*[]byte)
	n, done, err := c.conn.ReadNow(fd, *chunk)
	if n > 0 {
		c.chunk, c.start, c.end, c.fillErr = chunk, 0, n, nil
		return true
	}
	chunks.Put(chunk)
	if c.fillErr = err; err == nil {
		c.fillErr = io.EOF
	}
	return done
}
