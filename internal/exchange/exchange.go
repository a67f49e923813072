// Package exchange sends one message and reads one answer on one connection, for every protocol that has no more than
// one call at a time on it. It says how an attempt ended and whether it can have run; what a message is and where
// an answer ends is the protocol's matter.
package exchange

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
	"ternbeam/internal/core"
	"ternbeam/internal/pool"
)

const (
	// Stall is how long an answer that has begun may pause. Servers send theirs in one go; one whose rest does
	// not come is spoilt, and to learn that at the deadline only would be too late for another attempt.
	Stall = 300 * time.Millisecond

	inlineSend = 8 << 10 // more than this is written while the answer is awaited: it may come before all is taken
	stallGrace = 10 * time.Millisecond
)

// ErrSpoilt is why an answer counts as an error of the server's: nobody can tell what it is.
var ErrSpoilt = errors.New("spoilt answer")

// Talk is one attempt in the words of its protocol.
type Talk interface {
	// Message words the call for the server, which is to answer by end. It is sent before the next call.
	Message(end time.Time) []byte
	// Answer reads one answer whole. Where its connection can be used again, reusable is true. What it can't make
	// sense of is an ErrSpoilt.
	Answer(in *Inflow) (e core.Ending, reusable bool, err error)
}

// Transport makes attempts over the connections of a Pool, one at a time on each.
type Transport struct {
	Pool  *pool.Pool
	Stall time.Duration // an answer that has begun may pause for so long
	Begin func(at *core.Attempt) Talk
}

// Attempt is core.Transport's.
func (t *Transport) Attempt(ctx context.Context, at *core.Attempt) core.Ending {
	c, err := t.Pool.Acquire(ctx, at.Server, at.Call.Needs)
	if err == nil {
		// A dial takes time: what was right to send before may not be any more.
		if e := Unsent(ctx, at); e != nil {
			t.Pool.Release(at.Server, c, true)
			return *e
		}
		e, reuse := t.exchange(ctx, c, t.Begin(at))
		t.Pool.Release(at.Server, c, reuse)
		return e
	}
	return NoConnection(ctx, err)
}

// Unsent says why an attempt that has a connection must not be sent, or nil where it may be.
func Unsent(ctx context.Context, at *core.Attempt) *core.Ending {
	var e core.Ending
	switch {
	case errors.Is(context.Cause(ctx), core.ErrWithdrawn):
		e = core.Ended(choice.Cancelled)
	case ctx.Err() != nil || at.Call.Over():
		e = core.Ended(choice.NotSent)
	case at.Server.Retired():
		e = core.Ended(choice.ConnectFailed)
	default:
		return nil
	}
	return &e
}

// NoConnection says how an attempt ended for which the pool had no connection.
func NoConnection(ctx context.Context, err error) core.Ending {
	switch {
	case errors.Is(err, pool.ErrNoPlace):
		return core.Ended(choice.NotSent)
	case errors.Is(context.Cause(ctx), core.ErrWithdrawn):
		return core.Ended(choice.Cancelled)
	}
	return core.Ended(choice.ConnectFailed)
}

// inflows are shared: a connection needs one only while an answer is read.
var inflows = sync.Pool{New: func() any { return &Inflow{Reader: bufio.NewReaderSize(nil, 4<<10)} }}

// exchange sends the message and reads the answer whole. The connection can be used again if reuse is true and is
// closed otherwise.
func (t *Transport) exchange(ctx context.Context, c *pool.Conn, talk Talk) (e core.Ending, reuse bool) {
	end, _ := ctx.Deadline()
	c.SetDeadline(end)
	undisturbed := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	message := talk.Message(end)
	in := inflows.Get().(*Inflow)
	defer inflows.Put(in)
	in.reset(ctx, c.Conn, end, t.Stall)
	in.send(message)
	e, reusable, err := talk.Answer(in)
	reuse = undisturbed() && err == nil && reusable && in.Buffered() == 0
	if reuse = reuse && in.sent(false) == len(message); !reuse {
		c.Close() // ends a write that still goes on
	}
	n := in.sent(!reuse)
	switch {
	case err == nil:
		return e, reuse
	case errors.Is(context.Cause(ctx), core.ErrWithdrawn):
		return core.Ended(choice.Cancelled), false
	case n < len(message):
		return core.Ended(choice.ConnectFailed), false // the last byte was not written, and never will be
	case errors.Is(err, ErrSpoilt):
		return core.Ended(choice.Failed), false
	case errors.Is(err, os.ErrDeadlineExceeded):
		return core.Ended(choice.TimedOut), false
	}
	return core.Ended(choice.Reset), false
}

// Inflow is what comes back on a connection.
type Inflow struct {
	*bufio.Reader
	conn    net.Conn
	ctx     context.Context
	end     time.Time     // of the waiting for an answer
	stall   time.Duration // from an answer's first byte to its last
	begun   bool
	size    int      // of the message
	n       int      // bytes of it that were written, -1 while that goes on
	written chan int // brings them
}

func (f *Inflow) reset(ctx context.Context, c net.Conn, end time.Time, stall time.Duration) {
	*f = Inflow{Reader: f.Reader, conn: c, ctx: ctx, end: end, stall: stall}
	f.Reader.Reset(source{f})
}

// send writes the message. A long one is written while the answer is awaited.
func (f *Inflow) send(message []byte) {
	conn := f.conn
	write := func() int {
		n, err := conn.Write(message)
		if err != nil {
			conn.Close() // it never ran; there is no answer to wait for
		}
		return n
	}
	if f.size = len(message); f.size <= inlineSend {
		f.n = write()
		return
	}
	written := make(chan int, 1)
	f.n, f.written = -1, written
	go func() { written <- write() }()
}

// sent returns how many bytes of the message were written, or -1 while that goes on and is not waited for.
func (f *Inflow) sent(wait bool) int {
	if f.n < 0 {
		select {
		case f.n = <-f.written:
		default:
			if wait {
				f.n = <-f.written
			}
		}
	}
	return f.n
}

// Sent waits until the message is written whole, for a Talk that no answer comes to.
func (f *Inflow) Sent() error {
	if n := f.sent(true); n < f.size {
		return fmt.Errorf("%d of %d bytes written", n, f.size)
	}
	return nil
}

// Begin waits for the first byte of an answer, or of its next part, for as long as the attempt has. From then on the
// answer must go on.
func (f *Inflow) Begin() error {
	f.expect(false)
	_, err := f.Peek(1)
	if err == nil {
		f.expect(true)
	}
	return err
}

// expect sets how long the next bytes may take: till the end, or less once an answer has begun.
func (f *Inflow) expect(begun bool) {
	if f.conn == nil || begun == f.begun {
		return // the end is what the exchange has set
	}
	f.begun = begun
	by := f.end
	if rest := time.Now().Add(f.stall); begun && (by.IsZero() || rest.Before(by)) {
		by = rest
	}
	f.conn.SetReadDeadline(by)
	if f.ctx.Err() != nil { // it has just ended, and what it set must not be undone
		f.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// source reads from the connection for the Inflow's buffer.
type source struct{ *Inflow }

func (f source) Read(p []byte) (int, error) {
	n, err := f.conn.Read(p)
	if f.begun && errors.Is(err, os.ErrDeadlineExceeded) && f.ctx.Err() == nil {
		// The agent itself may have stood still, so that what is there was not read in time.
		f.conn.SetReadDeadline(time.Now().Add(stallGrace))
		if n, err = f.conn.Read(p); errors.Is(err, os.ErrDeadlineExceeded) {
			err = fmt.Errorf("%w: it does not go on", ErrSpoilt)
		}
	}
	return n, err
}
