// Package thriftback makes attempts at servers that speak framed Thrift: one call at a time on a connection, or several
// where the server's entry in the list says that it takes them.
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

// Transport makes attempts at Thrift servers. The payload of their calls is a *thriftmap.Call, the reply of those
// that are served a *thriftmap.Reply, or nil for a oneway.
type Transport struct {
	serial *exchange.Transport
	multi  *multiplexer
}

// New returns a Transport.
func New(p *pool.Pool, m *thriftmap.Map) *Transport {
	t := &Transport{multi: newMultiplexer(p, m)}
	var seq atomic.Int32
	t.serial = &exchange.Transport{Pool: p, Stall: exchange.Stall, Begin: func(at *core.Attempt) exchange.Talk {
		// An id that was not used for long, on any connection: a reply that comes late and to another fits nothing.
		return &talk{call: at.Payload.(*thriftmap.Call), seq: seq.Add(1), most: m.MaxFrame}
	}}
	return t
}

// Attempt is core.Transport's.
func (t *Transport) Attempt(ctx context.Context, at *core.Attempt) core.Ending {
	if at.Server.Multiplexed {
		return t.multi.attempt(ctx, at)
	}
	return t.serial.Attempt(ctx, at)
}

// talk is one attempt on a connection of its own.
type talk struct {
	call *thriftmap.Call
	seq  int32
	most int
}

// Message words the call.
func (t *talk) Message(end time.Time) []byte {
	return t.call.Frame(make([]byte, 0, len(t.call.Message)+16), t.seq, time.Until(end))
}

// Answer reads the reply. To a oneway there is none: all that can be known is that it was written.
func (t *talk) Answer(in *exchange.Inflow) (core.Ending, bool, error) {
	if t.call.Method.Oneway {
		return core.Ended(choice.OK), true, in.Sent()
	}
	if err := in.Begin(); err != nil {
		return core.Ending{}, false, err
	}
	h, message, err := readMessage(in, t.most)
	if err != nil {
		return core.Ending{}, false, err
	}
	e, err := ending(t.call, h, message, t.seq)
	return e, true, err
}

// readMessage reads one frame and its head. What is none is spoilt.
func readMessage(in io.Reader, most int) (h thriftwire.Head, message []byte, err error) {
	if message, err = thriftwire.ReadFrame(in, most); err == nil {
		h, err = thriftwire.ReadHead(message)
	}
	if errors.Is(err, thriftwire.ErrMalformed) {
		err = fmt.Errorf("%w: %w", exchange.ErrSpoilt, err)
	}
	return h, message, err
}

// ending says what a reply means for the attempt.
func ending(call *thriftmap.Call, h thriftwire.Head, message []byte, seq int32) (core.Ending, error) {
	out, err := call.ReadReply(h, message, seq)
	if err != nil {
		return core.Ending{}, fmt.Errorf("%w: %w", exchange.ErrSpoilt, err)
	}
	e := core.Ending{Result: out.Result, Report: out.Report, ShapeUnknown: out.ShapeUnknown}
	if out.Result == choice.OK {
		e.Reply = &thriftmap.Reply{Head: h, Message: message}
	}
	return e, nil
}
