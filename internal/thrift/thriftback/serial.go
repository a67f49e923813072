// Package thriftback sends attempts to servers that speak framed Thrift: one call at a time per connection, or several if the server's list entry
// says that it supports multiplexing.
package thriftback

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/host/core"
	"ternbeam/internal/host/exchange"
	"ternbeam/internal/host/pool"
	"ternbeam/internal/thrift/thriftmap"
	"ternbeam/internal/thrift/thriftwire"
)

// Transport sends attempts to Thrift servers. The payload of a call is a *thriftmap.Call; the reply of a served call is a *thriftmap.Reply, or nil
// for a oneway. It is safe for concurrent use.
type Transport struct {
	serial *exchange.Transport
	multi  *multiplexer
}

// New returns a Transport that uses the connections of a pool.
func New(p *pool.Pool, m *thriftmap.Map) *Transport {
	t := &Transport{multi: newMultiplexer(p, m)}
	var seq atomic.Int32
	t.serial = &exchange.Transport{Pool: p, StallTimeout: exchange.StallTimeout, NewCodec: func(at *core.Attempt) exchange.Codec {
		// A sequence id that has not been used recently on any connection, so that a late reply to an earlier call matches no other call.
		return &codec{call: at.Payload.(*thriftmap.Call), seq: seq.Add(1), maxFrame: m.MaxFrame}
	}}
	return t
}

// Attempt implements core.Transport.
func (t *Transport) Attempt(ctx context.Context, at *core.Attempt) core.AttemptOutcome {
	if at.Server.Multiplexed {
		return t.multi.attempt(ctx, at)
	}
	return t.serial.Attempt(ctx, at)
}

// codec encodes and decodes one attempt that has a connection to itself. It implements exchange.Codec.
type codec struct {
	call     *thriftmap.Call
	seq      int32
	maxFrame int // maximum size of a reply's frame in bytes
}

// Message returns the frame to send.
func (c *codec) Message(end time.Time) []byte {
	return c.call.AppendRequest(make([]byte, 0, len(c.call.Message)+16), c.seq, time.Until(end))
}

// Answer reads the reply. A oneway has none, so its success only means that it was written.
func (c *codec) Answer(in *exchange.AnswerReader) (core.AttemptOutcome, bool, error) {
	if c.call.Method.Oneway {
		return core.ResultOnly(choice.OK), true, in.WaitSent()
	}
	if err := in.AwaitData(); err != nil {
		return core.AttemptOutcome{}, false, err
	}
	h, message, err := readMessage(in, c.maxFrame)
	if err != nil {
		return core.AttemptOutcome{}, false, err
	}
	e, err := outcome(c.call, h, message, c.seq)
	return e, true, err
}

// readMessage reads one frame and its head. If they are malformed the error is exchange.ErrInvalidAnswer.
func readMessage(in io.Reader, maxFrame int) (h thriftwire.Head, message []byte, err error) {
	if message, err = thriftwire.ReadFrame(in, maxFrame); err == nil {
		h, err = thriftwire.ReadHead(message)
	}
	if errors.Is(err, thriftwire.ErrMalformed) {
		err = fmt.Errorf("%w: %w", exchange.ErrInvalidAnswer, err)
	}
	return h, message, err
}

// outcome converts a reply to the outcome of the attempt.
func outcome(call *thriftmap.Call, h thriftwire.Head, message []byte, seq int32) (core.AttemptOutcome, error) {
	out, err := call.ReadReply(h, message, seq)
	if err != nil {
		return core.AttemptOutcome{}, fmt.Errorf("%w: %w", exchange.ErrInvalidAnswer, err)
	}
	e := core.AttemptOutcome{Result: out.Result, Report: out.Report, ShapeUnknown: out.ShapeUnknown}
	if out.Result == choice.OK {
		e.Reply = &thriftmap.Reply{Head: h, Message: message}
	}
	return e, nil
}
