// Package exchange sends one message and reads one answer on one connection, for every protocol that has no more than
// one call at a time on it. It says how an attempt ended and whether it can have run; what a message is and where
// an answer ends is the protocol's matter.
package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"sync"
	"time"

	"ternbeam/internal/decide/life"
	"ternbeam/internal/host/core"
	"ternbeam/internal/host/pool"
	"ternbeam/internal/sysio/peek"
)

const (
	// Stall is how long an answer that has begun may pause. One whose rest does not come is spoilt, and to learn that at the deadline only
	// would be too late for another attempt.
	Stall = 300 * time.Millisecond

	// mostUnsent is how old the wording of a message may be as nothing of it is written yet: its deadline may be 0.15 s too late, and the process
	// may be held up for as long in the write itself.
	mostUnsent = 5 * time.Millisecond

	// reservedPart is the part of an attempt's time, inverted, that is left for another one by the end of an answer that goes on and on.
	reservedPart = 4

	inlineSend = 8 << 10 // more than this is written while the answer is awaited: it may come before all is taken
	stallGrace = 10 * time.Millisecond

	// relayStall is how long an answer may pause that is being relayed: nobody could be asked for it instead.
	relayStall = 10 * time.Second
)

// ErrSpoilt is why an answer counts as an error of the server's: nobody can tell what it is.
var ErrSpoilt = errors.New("spoilt answer")

// Talk is one attempt in the words of its protocol.
type Talk interface {
	// Message words the call for the server, which is to answer by end. It is sent before the next call; nil where it can't
	// be sent any more.
	Message(end time.Time) []byte
	// Answer reads one answer whole. Where its connection can be used again, reusable is true. What it can't make
	// sense of is an ErrSpoilt.
	Answer(in *Inflow) (e core.Ending, reusable bool, err error)
}

// Following is a Talk whose message goes on behind what Message words. Follow writes the rest, while the answer is awaited,
// and returns how many bytes of it were written; an error means that not all were. Stop ends a Follow that waits for more
// to come.
type Following interface {
	Follows() bool // where it does not, Talk is all there is of it
	Follow(w net.Conn) (n int, err error)
	Stop()
}

// Transport makes attempts over the connections of a Pool, one at a time on each.
type Transport struct {
	Pool  *pool.Pool
	Stall time.Duration // an answer that has begun may pause for so long

	Long  bool // answers may be long: one that goes on is not ended before the attempt is
	Begin func(at *core.Attempt) Talk
}

// Attempt is core.Transport's.
func (t *Transport) Attempt(ctx context.Context, at *core.Attempt) core.Ending {
	c, err := t.Pool.Acquire(ctx, at.Server, at.Speaks, &at.Life)
	if err != nil {
		return NoConnection(ctx, at, err)
	}
	talk := t.Begin(at)
	end, _ := ctx.Deadline()
	message, worded := talk.Message(end), time.Now()
	if message == nil { // it can't be said any more, which is as if it came too late
		t.Pool.Release(c, true)
		return Fail(at, life.Late)
	}
	size := len(message)
	rest, _ := talk.(Following)
	if rest != nil && !rest.Follows() {
		rest = nil
	}
	if rest != nil {
		size = math.MaxInt // not known
	}
	// A dial takes time: what was right to send before may not be any more, nor on this connection.
	send := Begin(ctx, at, size)
	fit := !send || t.Pool.Fit(c)
	if !fit {
		Fail(at, life.Broken) // nothing was written yet
	}
	if !send || !fit {
		if rest != nil {
			rest.Stop()
		}
		t.Pool.Release(c, fit)
		return core.Ended(at.Life.Result())
	}
	if rest == nil && time.Since(worded) > mostUnsent {
		message = reworded(at, talk, message, end)
	}
	e, reuse := t.exchange(ctx, c, at, talk, message, rest, end)
	t.Pool.Release(c, reuse)
	return e
}

// reworded words a message anew that is about to be written, as its deadline has come nearer.
func reworded(at *core.Attempt, talk Talk, message []byte, end time.Time) []byte {
	again := talk.Message(end)
	if again == nil {
		return message
	}
	if len(again) != len(message) {
		at.Heed(at.Life.Sized(len(again)))
	}
	return again
}

// Begin asks whether an attempt that has a connection may still be sent.
func Begin(ctx context.Context, at *core.Attempt, size int) bool {
	send, err := at.Life.Begin(size, life.Now{Withdrawn: errors.Is(context.Cause(ctx), core.ErrWithdrawn),
		Late: ctx.Err() != nil || !at.WriteBy.IsZero() && !time.Now().Before(at.WriteBy), Over: at.Call.Abandoned(), Retired: at.Server.Retired()})
	at.Heed(err)
	return send
}

// NoConnection ends an attempt for which the pool had no connection.
func NoConnection(ctx context.Context, at *core.Attempt, err error) core.Ending {
	cause := life.Broken
	switch {
	case errors.Is(err, pool.ErrNoPlace):
		cause = life.NoPlace
	case errors.Is(context.Cause(ctx), core.ErrWithdrawn):
		cause = life.Withdrawn
	}
	return failure(at, cause, err)
}

// Fail ends an attempt without an answer.
func Fail(at *core.Attempt, c life.Cause) core.Ending { return failure(at, c, nil) }

// failure ends an attempt without an answer because of an error.
func failure(at *core.Attempt, c life.Cause, err error) core.Ending {
	at.Heed(at.Life.Fail(c))
	e := core.Ended(at.Life.Result())
	e.Cause = err
	return e
}

// inflows are shared: a connection needs one only while an answer is read.
var inflows = sync.Pool{New: func() any { return &Inflow{Reader: bufio.NewReaderSize(nil, 4<<10)} }}

// exchange sends the message and reads the answer whole. The connection can be used again if reuse is true and is
// closed otherwise.
func (t *Transport) exchange(ctx context.Context, c *pool.Conn, at *core.Attempt, talk Talk, message []byte,
	rest Following, end time.Time) (e core.Ending, reuse bool) {
	c.SetReadDeadline(end) // that of writing is set as it begins
	undisturbed := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	in := inflows.Get().(*Inflow)
	defer inflows.Put(in)
	in.reset(ctx, at, c.Conn, end, t.Stall)
	in.long, in.undisturbed = t.Long, undisturbed
	in.send(talk, message, rest)
	e, reusable, err := talk.Answer(in)
	reuse = (in.relaying || undisturbed()) && err == nil && reusable && in.Buffered() == 0
	if n := in.sent(false); !reuse || n < 0 || n != in.size {
		reuse = false
		if rest != nil {
			rest.Stop()
		}
		c.Close() // ends a write that still goes on
	}
	n := max(0, in.sent(true))
	if in.size >= 0 && (rest != nil || in.size != len(message)) { // it went on, or was worded anew
		at.Heed(at.Life.Sized(in.size))
	}
	at.Heed(at.Life.Wrote(n))
	switch {
	case err == nil:
		if in.began {
			at.Heed(at.Life.Read())
		}
		at.Heed(at.Life.Answer(e.Result))
		return e, reuse
	case errors.Is(context.Cause(ctx), core.ErrWithdrawn):
		return Fail(at, life.Withdrawn), false
	case errors.Is(err, ErrSpoilt):
		return failure(at, life.Garbled, err), false
	case errors.Is(err, os.ErrDeadlineExceeded):
		return failure(at, life.Late, err), false
	}
	if in.failed != nil && errors.Is(err, net.ErrClosed) {
		err = in.failed
	}
	return failure(at, life.Broken, err), false
}

// Inflow is what comes back on a connection.
type Inflow struct {
	*bufio.Reader
	conn    net.Conn
	at      *core.Attempt
	ctx     context.Context
	end     time.Time     // of the waiting for an answer
	stall   time.Duration // for which an answer may pause
	wholeBy time.Time     // when an answer that has begun must be whole; zero for no such time
	begun   bool
	began   bool       // something of the answer has come
	size    int        // of the message; -1 while it is not known
	n       int        // bytes of it that were written, -1 while that goes on
	written chan wrote // brings what became of the writing
	failed  error      // of the writing, once n is known

	long        bool        // answers need not be whole before the attempt ends
	undisturbed func() bool // ends the attempt's deadline
	relaying    bool        // the answer is being relayed
	late        func() bool // what is done where the answer is held and not whole in time; nil where it is not held
}

// wrote is what became of the writing of a message.
type wrote struct {
	n   int
	err error // nil where it is whole
}

func (f *Inflow) reset(ctx context.Context, at *core.Attempt, c net.Conn, end time.Time, stall time.Duration) {
	*f = Inflow{Reader: f.Reader, conn: c, at: at, ctx: ctx, end: end, stall: stall}
	f.Reader.Reset(source{f})
}

// send writes the message. A long one is written while the answer is awaited, and so is what follows it.
func (f *Inflow) send(talk Talk, message []byte, rest Following) {
	conn, at := f.conn, f.at
	write := func() wrote {
		n, err := f.writeMessage(talk, message, rest != nil)
		if err == nil && rest != nil {
			var more int
			more, err = rest.Follow(conn)
			n += more
		}
		if err != nil {
			conn.Close() // it never ran; there is no answer to wait for
		} else {
			at.Forwarded()
		}
		return wrote{n, err}
	}
	if f.size = len(message); f.size <= inlineSend && rest == nil {
		f.take(write())
		return
	}
	if rest != nil {
		f.size = -1
	}
	written := make(chan wrote, 1)
	f.n, f.written = -1, written
	go func() { written <- write() }()
}

// writeMessage writes a message whole. Where nothing of it can be written for a while, as the system fails, it is asked anew whether it may be
// sent, and worded anew, as its deadline has come nearer; but for one that goes on, whose deadline counts from its end.
func (f *Inflow) writeMessage(talk Talk, message []byte, goesOn bool) (n int, err error) {
	if goesOn {
		f.writeBy(f.end)
		return f.conn.Write(message)
	}
	f.writeBy(time.Now().Add(mostUnsent))
	n, err = f.conn.Write(message)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && f.maySend() {
		if message = talk.Message(f.end); message == nil {
			break
		}
		f.writeBy(time.Now().Add(mostUnsent))
		n, err = f.conn.Write(message)
	}
	if n == 0 && err != nil || n == len(message) {
		return n, err
	}
	f.writeBy(f.end)
	more, err := f.conn.Write(message[n:])
	return n + more, err
}

// maySend reports whether a message that was not written yet may still be.
func (f *Inflow) maySend() bool {
	now := time.Now()
	return f.ctx.Err() == nil && (f.end.IsZero() || now.Before(f.end)) && (f.at.WriteBy.IsZero() || now.Before(f.at.WriteBy)) &&
		!f.at.Call.Abandoned() && !f.at.Server.Retired()
}

// writeBy sets when writing ends, if the attempt does not end before.
func (f *Inflow) writeBy(by time.Time) {
	f.conn.SetWriteDeadline(earliest(by, f.end, f.at.WriteBy))
	if f.ctx.Err() != nil { // it has just ended, and what it set must not be undone
		f.conn.SetWriteDeadline(time.Unix(1, 0))
	}
}

// sent returns how many bytes of the message were written, or -1 while that goes on and is not waited for.
func (f *Inflow) sent(wait bool) int {
	if f.n < 0 {
		select {
		case w := <-f.written:
			f.take(w)
		default:
			if wait {
				f.take(<-f.written)
			}
		}
	}
	return f.n
}

// take takes what became of the writing. Where something followed the message, its size is known now if it is whole.
func (f *Inflow) take(w wrote) {
	if f.n, f.failed = w.n, w.err; w.err == nil {
		f.size = w.n
	}
}

// Sent waits until the message is written whole, for a Talk that no answer comes to.
func (f *Inflow) Sent() error {
	if n := f.sent(true); n < f.size {
		return fmt.Errorf("%d of %d bytes written", n, f.size)
	}
	return nil
}

// Relay begins to relay an answer that is still being received: the attempt's deadline does not end it any more. It is false
// where that has passed. From here on it may pause for longer.
func (f *Inflow) Relay(e core.Ending) bool {
	if !f.undisturbed() {
		return false
	}
	f.relaying = true
	f.at.Begun(f.at, e)
	return true
}

// Begin waits for the first byte of an answer, or of its next part, for as long as the attempt has. From then on the
// answer must go on.
func (f *Inflow) Begin() error {
	f.expect(false)
	_, err := f.Peek(1)
	if err == nil {
		f.began = true
		f.expect(true)
	}
	return err
}

// expect sets how long the next bytes may take: till the end, or less once an answer has begun.
func (f *Inflow) expect(begun bool) {
	if begun == f.begun {
		return // the end is what the exchange has set
	}
	f.begun, f.wholeBy = begun, time.Time{}
	if !begun {
		f.until(f.end)
		return
	}
	if !f.long && !f.end.IsZero() {
		f.wholeBy = f.end.Add(-time.Until(f.end) / reservedPart)
	}
	f.pauseBy(f.stall)
}

// pauseBy lets an answer that has begun pause for some time from now.
func (f *Inflow) pauseBy(d time.Duration) {
	f.until(earliest(time.Now().Add(d), f.end, f.wholeBy))
}

// earliest returns the earliest of some times, of those that are not zero; the zero time where all are.
func earliest(times ...time.Time) (first time.Time) {
	for _, t := range times {
		if first.IsZero() || !t.IsZero() && t.Before(first) {
			first = t
		}
	}
	return first
}

func (f *Inflow) until(by time.Time) {
	f.conn.SetReadDeadline(by)
	if f.ctx.Err() != nil { // it has just ended, and what it set must not be undone
		f.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// Hold has a function called where an answer that has begun is not read whole by some time. If that returns true the answer goes on to be
// read: it is relayed from there, or held until another time.
func (f *Inflow) Hold(until time.Time, late func() bool) {
	f.late = late
	f.until(earliest(until, f.end))
}

// Left is how long the attempt has yet, for ever where it has no end.
func (f *Inflow) Left() time.Duration {
	if f.end.IsZero() {
		return math.MaxInt64
	}
	return time.Until(f.end)
}

// source reads from the connection for the Inflow's buffer.
type source struct{ *Inflow }

func (f source) Read(p []byte) (int, error) {
	if f.relaying {
		f.conn.SetReadDeadline(time.Now().Add(relayStall))
		return f.conn.Read(p)
	}
	n, err := f.conn.Read(p)
	if f.begun && errors.Is(err, os.ErrDeadlineExceeded) && f.ctx.Err() == nil {
		n, err = f.readLate(p)
	}
	if n > 0 && f.begun && f.late == nil {
		f.pauseBy(f.stall) // pieces may come slowly, if they come
	}
	return n, err
}

// readLate reads where the time for it has passed: what has been received by then, as the agent itself may have stood still, or what has the answer
// relayed from here, or held on. A read whose deadline has passed does not ask the system for the first.
func (f source) readLate(p []byte) (n int, err error) {
	if f.late != nil {
		if n, err = peek.Take(f.conn, p); n > 0 || isEnd(err) {
			return n, err
		}
		if f.late() {
			return f.Read(p)
		}
	}
	f.conn.SetReadDeadline(time.Now().Add(stallGrace))
	if n, err = f.conn.Read(p); errors.Is(err, os.ErrDeadlineExceeded) {
		err = fmt.Errorf("%w: it does not go on", ErrSpoilt)
	}
	return n, err
}

// isEnd reports whether an error of peek.Take is the end of the connection.
func isEnd(err error) bool {
	return !errors.Is(err, peek.ErrNothing) && !errors.Is(err, peek.ErrUnclear) && !errors.Is(err, errors.ErrUnsupported)
}
