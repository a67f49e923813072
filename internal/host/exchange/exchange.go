// Package exchange sends one message and reads one answer on one connection, for all protocols with at most one call at a
// time on a connection. It determines how an attempt ended and whether the server may have executed it. Encoding messages
// and finding the end of an answer is left to a protocol's Codec.
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

	"ternbeam/internal/decide/calltrack"
	"ternbeam/internal/decide/lifecycle"
	"ternbeam/internal/host/core"
	"ternbeam/internal/host/pool"
	"ternbeam/internal/sysio/peek"
)

const (
	// StallTimeout is how long a partly received answer may stall. An answer that does not continue is invalid, and detecting that only at the
	// deadline would be too late for another attempt.
	StallTimeout = 300 * time.Millisecond

	// maxUnsentAge is the maximum age of an encoded message of which nothing has been written yet. The deadline in a message may be at most
	// 0.15 s too late when a server receives it. A suspension of the process in the write itself may take that long (shutdown.MaxStall), and the
	// age before the write adds to it.
	maxUnsentAge = 5 * time.Millisecond

	// reservedDivisor is the reciprocal of the share of an attempt's time that is reserved for another attempt, in case an answer keeps
	// arriving without becoming complete.
	reservedDivisor = 4

	// maxInlineMessageBytes is the size up to which a message is written before the answer is awaited. A longer one is written while the
	// answer is awaited, as the answer may arrive before the server has read the message completely.
	maxInlineMessageBytes = 8 << 10

	noStallTimeout time.Duration = 0 // a partly received answer may stall until the deadline

	stallGrace = 10 * time.Millisecond // extra time for a read whose deadline has passed

	// relayStallTimeout is how long an answer that is being relayed may stall: another attempt could not replace it any more.
	relayStallTimeout = 10 * time.Second
)

// expiredDeadline is a deadline that has passed: pending reads and writes end at once with os.ErrDeadlineExceeded.
var expiredDeadline = time.Unix(1, 0)

// ErrInvalidAnswer means that an answer can't be interpreted and counts as an error of the server.
var ErrInvalidAnswer = errors.New("spoilt answer")

// errUncertainServer means that a request was not sent again, as the process at the server's address may not be the one that the list names.
var errUncertainServer = errors.New("the process at the address may be another one")

// errUnknownGroup means that a request was not sent again, as it may have run at another process than the one that the list names.
var errUnknownGroup = errors.New("the group of the process that may have run it is not known")

// Codec encodes the message and decodes the answer of one attempt in a protocol.
type Codec interface {
	// Message encodes the call for the server, which is to answer by end. The result is valid until the next call of Message. It is nil
	// if the message can't be sent any more.
	Message(end time.Time) []byte
	// Answer reads one complete answer. Reusable tells whether the connection can carry another call. The error for an answer that can't
	// be interpreted is an ErrInvalidAnswer.
	Answer(in *AnswerReader) (e core.AttemptOutcome, reusable bool, err error)
}

// StreamingCodec is a Codec whose message may continue after what Message returns. WriteRest writes the rest, while the answer
// is awaited, and returns how many bytes of it were written; an error means that it was not written completely. StopRest ends a
// WriteRest that waits for more data from the client.
type StreamingCodec interface {
	HasRest() bool // if false, Message returns the whole message, and WriteRest is not called
	WriteRest(w net.Conn) (n int, err error)
	StopRest()
}

// Transport makes attempts over the connections of a Pool, one at a time on each.
type Transport struct {
	Pool         *pool.Pool
	StallTimeout time.Duration // how long a partly received answer may stall if another attempt can follow

	// NoRetryReserve lets an answer that keeps arriving take until the attempt's deadline. Otherwise a share of the time that is left when it
	// starts to arrive is reserved for another attempt, see reservedDivisor.
	NoRetryReserve bool
	NewCodec       func(at *core.Attempt) Codec
}

// Attempt implements core.Transport.
func (t *Transport) Attempt(ctx context.Context, at *core.Attempt) core.AttemptOutcome {
	c, err := t.Pool.Acquire(ctx, at.Server, at.Speaks, &at.State)
	if err != nil {
		return FailUnconnected(ctx, at, err)
	}
	codec := t.NewCodec(at)
	deadline, _ := ctx.Deadline()
	message, encodedAt := codec.Message(deadline), time.Now()
	if message == nil { // it can't be sent any more, which counts as a timeout
		t.Pool.Release(c, true)
		return Fail(at, lifecycle.TimedOut)
	}
	size := len(message)
	stream, _ := codec.(StreamingCodec)
	if stream != nil && !stream.HasRest() {
		stream = nil
	}
	if stream != nil {
		size = math.MaxInt // unknown
	}
	// Dialing takes time: by now the attempt may not be sent any more, or not on this connection.
	send, cause := BeginSend(ctx, at, size, t.Pool, c)
	usable := !send || t.Pool.StillUsable(c)
	if !usable {
		Fail(at, lifecycle.Broken) // nothing was written yet
	}
	if !send || !usable {
		if stream != nil {
			stream.StopRest()
		}
		t.Pool.Release(c, usable)
		e := core.ResultOnly(at.State.Result())
		e.Cause = cause
		return e
	}
	if stream == nil && time.Since(encodedAt) > maxUnsentAge {
		message = reencode(at, codec, message, deadline)
	}
	e, reuse := t.exchange(ctx, c, at, codec, message, stream, deadline)
	t.Pool.Release(c, reuse)
	return e
}

// reencode encodes a message again right before it is written, as its time left has become shorter. It returns the old message if the
// new one can't be sent any more.
func reencode(at *core.Attempt, codec Codec, message []byte, deadline time.Time) []byte {
	encoded := codec.Message(deadline)
	if encoded == nil {
		return message
	}
	if len(encoded) != len(message) {
		at.ReportIllegalStep(at.State.SetSize(len(encoded)))
	}
	return encoded
}

// BeginSend reports whether an attempt may still be sent on its connection c, and records that it is being sent. Size is the size of the message
// in bytes. If the attempt may not be sent, the error says why where that is not obvious.
func BeginSend(ctx context.Context, at *core.Attempt, size int, p *pool.Pool, c *pool.Conn) (send bool, cause error) {
	conditions := lifecycle.Conditions{Canceled: errors.Is(context.Cause(ctx), core.ErrCanceled),
		TimedOut: ctx.Err() != nil || !at.WriteBy.IsZero() && !time.Now().Before(at.WriteBy), CallFinished: !at.PollSendable(), Retired: at.Server.Retired()}
	if at.Bound {
		switch at.BeginInGroup(p.IsCertain(c)) {
		case calltrack.ProcessDoubtful:
			conditions.Retired, cause = true, errUncertainServer
		case calltrack.GroupUnknown:
			conditions.GroupUnknown, cause = true, errUnknownGroup
		}
	}
	send, err := at.State.Begin(size, conditions)
	at.ReportIllegalStep(err)
	return send, cause
}

// FailUnconnected ends an attempt for which the pool returned an error instead of a connection.
func FailUnconnected(ctx context.Context, at *core.Attempt, err error) core.AttemptOutcome {
	cause := lifecycle.Broken
	switch {
	case errors.Is(err, pool.ErrNoSlot):
		cause = lifecycle.NoSlot
	case errors.Is(context.Cause(ctx), core.ErrCanceled):
		cause = lifecycle.Canceled
	}
	return failure(at, cause, err)
}

// Fail ends an attempt without an answer.
func Fail(at *core.Attempt, c lifecycle.Cause) core.AttemptOutcome { return failure(at, c, nil) }

// failure ends an attempt without an answer because of an error, which may be nil.
func failure(at *core.Attempt, c lifecycle.Cause, err error) core.AttemptOutcome {
	at.ReportIllegalStep(at.State.Fail(c))
	e := core.ResultOnly(at.State.Result())
	e.Cause = err
	return e
}

// answerReaders are pooled: a connection needs one only while an answer is read.
var answerReaders = sync.Pool{New: func() any { return &AnswerReader{Reader: bufio.NewReaderSize(nil, 4<<10)} }}

// exchange sends the message and reads the complete answer. If reuse is true the connection can be used again, otherwise
// it is closed.
func (t *Transport) exchange(ctx context.Context, c *pool.Conn, at *core.Attempt, codec Codec, message []byte,
	stream StreamingCodec, deadline time.Time) (e core.AttemptOutcome, reuse bool) {
	c.SetReadDeadline(deadline) // the write deadline is set as writing begins
	detach := context.AfterFunc(ctx, func() { c.SetDeadline(expiredDeadline) })
	in := answerReaders.Get().(*AnswerReader)
	defer answerReaders.Put(in)
	in.reset(ctx, at, c.Conn, deadline)
	in.stallTimeout, in.noRetryReserve, in.detachContext = t.StallTimeout, t.NoRetryReserve || at.Last, detach
	if at.Last { // giving up a stalled answer would lose the call
		in.stallTimeout = noStallTimeout
	}
	in.send(codec, message, stream)
	e, reusable, err := codec.Answer(in)
	reuse = (in.relaying || detach()) && err == nil && reusable && in.Buffered() == 0
	if n := in.bytesSent(false); !reuse || n < 0 || n != in.messageBytes {
		reuse = false
		if stream != nil {
			stream.StopRest()
		}
		c.Close() // ends a write that is still in progress
	}
	n := max(0, in.bytesSent(true))
	if in.messageBytes >= 0 && (stream != nil || in.messageBytes != len(message)) { // it was streamed, or encoded again
		at.ReportIllegalStep(at.State.SetSize(in.messageBytes))
	}
	at.ReportIllegalStep(at.State.Wrote(n))
	switch {
	case err == nil:
		if in.anyReceived {
			at.ReportIllegalStep(at.State.Read())
		}
		at.ReportIllegalStep(at.State.Answer(e.Result))
		return e, reuse
	case errors.Is(context.Cause(ctx), core.ErrCanceled):
		return Fail(at, lifecycle.Canceled), false
	case errors.Is(err, ErrInvalidAnswer):
		return failure(at, lifecycle.Malformed, err), false
	case errors.Is(err, os.ErrDeadlineExceeded):
		return failure(at, lifecycle.TimedOut, err), false
	}
	if in.writeErr != nil && errors.Is(err, net.ErrClosed) {
		err = in.writeErr
	}
	t.Pool.Lost(c)
	return failure(at, lifecycle.Broken, err), false
}

// AnswerReader is one exchange on a connection: it writes the message, which may continue while the answer is read, and limits the time that
// writing and reading may take. A Codec reads the answer from it. Only the goroutine of its attempt may use it.
type AnswerReader struct {
	*bufio.Reader
	conn         net.Conn
	at           *core.Attempt
	ctx          context.Context
	deadline     time.Time        // of the attempt; the zero time is no deadline
	stallTimeout time.Duration    // how long a partly received answer may stall; noStallTimeout for until the deadline
	completeBy   time.Time        // when a partly received answer must be complete; zero for no limit
	midAnswer    bool             // an answer is partly received, so that its stalls are limited
	anyReceived  bool             // at least one byte of an answer was received
	messageBytes int              // size of the message; -1 while it is unknown
	writtenBytes int              // bytes of the message that were written; -1 while writing is in progress
	writeDone    chan writeResult // receives the result of writing
	writeErr     error            // error of writing, once writtenBytes is known

	noRetryReserve bool        // as in Transport
	detachContext  func() bool // detaches the connection's deadlines from the attempt's context; false if the context has ended
	relaying       bool        // the answer is being relayed
	onHoldExpired  func() bool // called if a held answer is not complete in time; nil if the answer is not held
}

// writeResult is the result of writing a message.
type writeResult struct {
	n   int
	err error // nil if the message was written completely
}

func (r *AnswerReader) reset(ctx context.Context, at *core.Attempt, c net.Conn, deadline time.Time) {
	*r = AnswerReader{Reader: r.Reader, conn: c, at: at, ctx: ctx, deadline: deadline}
	r.Reader.Reset(connReader{r})
}

// send writes the message. A long or streamed one is written while the answer is awaited.
func (r *AnswerReader) send(codec Codec, message []byte, stream StreamingCodec) {
	conn, at := r.conn, r.at
	write := func() writeResult {
		n, err := r.writeMessage(codec, message, stream != nil)
		if err == nil && stream != nil {
			var more int
			more, err = stream.WriteRest(conn)
			n += more
		}
		if err != nil {
			conn.Close() // the server never executes it, and there is no answer to wait for
		} else {
			at.MarkForwarded()
		}
		return writeResult{n, err}
	}
	if r.messageBytes = len(message); r.messageBytes <= maxInlineMessageBytes && stream == nil {
		r.recordWrite(write())
		return
	}
	if stream != nil {
		r.messageBytes = -1
	}
	written := make(chan writeResult, 1)
	r.writtenBytes, r.writeDone = -1, written
	go func() { written <- write() }()
}

// writeMessage writes a complete message. If nothing of it can be written for maxUnsentAge, as system calls fail, it checks again whether
// the message may be sent and encodes it again, as less time is left until its deadline. A streamed message is not encoded again: its time
// counts from its last byte.
func (r *AnswerReader) writeMessage(codec Codec, message []byte, streamed bool) (n int, err error) {
	if streamed {
		r.setWriteDeadline(r.deadline)
		return r.conn.Write(message)
	}
	r.setWriteDeadline(time.Now().Add(maxUnsentAge))
	n, err = r.conn.Write(message)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && r.maySend() {
		if message = codec.Message(r.deadline); message == nil {
			break
		}
		r.setWriteDeadline(time.Now().Add(maxUnsentAge))
		n, err = r.conn.Write(message)
	}
	if n == 0 && err != nil || n == len(message) {
		return n, err
	}
	r.setWriteDeadline(r.deadline)
	more, err := r.conn.Write(message[n:])
	return n + more, err
}

// maySend reports whether a message of which nothing has been written may still be sent.
func (r *AnswerReader) maySend() bool {
	now := time.Now()
	return r.ctx.Err() == nil && (r.deadline.IsZero() || now.Before(r.deadline)) && (r.at.WriteBy.IsZero() || now.Before(r.at.WriteBy)) &&
		r.at.PollSendable() && !r.at.Server.Retired()
}

// setWriteDeadline sets the write deadline, which the end of the attempt and the time by which it must be sent may bring forward.
func (r *AnswerReader) setWriteDeadline(by time.Time) {
	r.conn.SetWriteDeadline(earliest(by, r.deadline, r.at.WriteBy))
	if r.ctx.Err() != nil { // the context has just ended, and the expired deadline that it has set must stay
		r.conn.SetWriteDeadline(expiredDeadline)
	}
}

// bytesSent returns how many bytes of the message were written. While writing is in progress it returns -1, or waits if wait is true.
func (r *AnswerReader) bytesSent(wait bool) int {
	if r.writtenBytes < 0 {
		select {
		case w := <-r.writeDone:
			r.recordWrite(w)
		default:
			if wait {
				r.recordWrite(<-r.writeDone)
			}
		}
	}
	return r.writtenBytes
}

// recordWrite records the result of writing. It sets the size of the message, which for a streamed one was unknown, if all was written.
func (r *AnswerReader) recordWrite(w writeResult) {
	if r.writtenBytes, r.writeErr = w.n, w.err; w.err == nil {
		r.messageBytes = w.n
	}
}

// WaitSent waits until the message is written completely, for a Codec whose call has no answer. It returns an error if it was not.
func (r *AnswerReader) WaitSent() error {
	if n := r.bytesSent(true); n < r.messageBytes {
		return fmt.Errorf("%d of %d bytes written", n, r.messageBytes)
	}
	return nil
}

// Relay starts relaying an answer that is still being received. The attempt's deadline no longer applies to it, and it may pause for up
// to relayStallTimeout. Relay returns false if the attempt's context has ended already.
func (r *AnswerReader) Relay(e core.AttemptOutcome) bool {
	if !r.detachContext() {
		return false
	}
	r.relaying = true
	r.at.OnRelayStart(r.at, e)
	return true
}

// AwaitData waits for the first byte of an answer, or of its next part, until the attempt's deadline. From then on the answer may stall
// only for StallTimeout, and unless noRetryReserve is set it must be complete before the time reserved for another attempt.
func (r *AnswerReader) AwaitData() error {
	r.setMidAnswer(false)
	_, err := r.Peek(1)
	if err == nil {
		r.anyReceived = true
		r.setMidAnswer(true)
	}
	return err
}

// setMidAnswer sets how long the next bytes may take: until the attempt's deadline, or less once an answer is partly received.
func (r *AnswerReader) setMidAnswer(midAnswer bool) {
	if midAnswer == r.midAnswer {
		return // exchange has set the read deadline
	}
	r.midAnswer, r.completeBy = midAnswer, time.Time{}
	if !midAnswer {
		r.setReadDeadline(r.deadline)
		return
	}
	if !r.noRetryReserve && !r.deadline.IsZero() {
		r.completeBy = r.deadline.Add(-time.Until(r.deadline) / reservedDivisor)
	}
	r.limitStall()
}

// limitStall lets a partly received answer stall for stallTimeout from now on.
func (r *AnswerReader) limitStall() {
	var stalledAt time.Time
	if r.stallTimeout != noStallTimeout {
		stalledAt = time.Now().Add(r.stallTimeout)
	}
	r.setReadDeadline(earliest(stalledAt, r.deadline, r.completeBy))
}

// earliest returns the earliest time that is not zero, or the zero time if all are.
func earliest(times ...time.Time) (first time.Time) {
	for _, t := range times {
		if first.IsZero() || !t.IsZero() && t.Before(first) {
			first = t
		}
	}
	return first
}

func (r *AnswerReader) setReadDeadline(by time.Time) {
	r.conn.SetReadDeadline(by)
	if r.ctx.Err() != nil { // the context has just ended, and the expired deadline that it has set must stay
		r.conn.SetReadDeadline(expiredDeadline)
	}
}

// Hold has onExpired called if a partly received answer is not complete by until. If onExpired returns true, reading continues: it has either
// called Relay, or called Hold again with another time.
func (r *AnswerReader) Hold(until time.Time, onExpired func() bool) {
	r.onHoldExpired = onExpired
	r.setReadDeadline(earliest(until, r.deadline))
}

// Context returns the context of the attempt.
func (r *AnswerReader) Context() context.Context { return r.ctx }

// TimeLeft returns the time until the attempt's deadline, or math.MaxInt64 if it has none.
func (r *AnswerReader) TimeLeft() time.Duration {
	if r.deadline.IsZero() {
		return math.MaxInt64
	}
	return time.Until(r.deadline)
}

// connReader reads from the connection for the AnswerReader's buffer.
type connReader struct{ *AnswerReader }

func (r connReader) Read(p []byte) (int, error) {
	if r.relaying {
		r.conn.SetReadDeadline(time.Now().Add(relayStallTimeout))
		return r.conn.Read(p)
	}
	n, err := r.conn.Read(p)
	if r.midAnswer && errors.Is(err, os.ErrDeadlineExceeded) && r.ctx.Err() == nil {
		n, err = r.readExpired(p)
	}
	if n > 0 && r.midAnswer && r.onHoldExpired == nil {
		r.limitStall() // an answer may arrive slowly, as long as it continues
	}
	return n, err
}

// readExpired handles an expired read deadline. It reads data that has been received by then, as the agent itself may have been suspended: a
// read with an expired deadline does not ask the system for data. For a held answer without such data it calls onHoldExpired, after which the
// answer may be relayed or held further.
func (r connReader) readExpired(p []byte) (n int, err error) {
	if r.onHoldExpired != nil {
		if n, err = peek.ReadNow(r.conn, p); n > 0 || isEnd(err) {
			return n, err
		}
		if r.onHoldExpired() {
			return r.Read(p)
		}
	}
	r.conn.SetReadDeadline(time.Now().Add(stallGrace))
	if n, err = r.conn.Read(p); errors.Is(err, os.ErrDeadlineExceeded) {
		err = fmt.Errorf("%w: no more data arrived in time", ErrInvalidAnswer)
	}
	return n, err
}

// isEnd reports whether an error of peek.ReadNow means that the connection has ended.
func isEnd(err error) bool {
	return !errors.Is(err, peek.ErrNoData) && !errors.Is(err, peek.ErrUnknown) && !errors.Is(err, errors.ErrUnsupported)
}
