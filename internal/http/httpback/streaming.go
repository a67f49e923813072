package httpback

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"sync"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/clock"
	"ternbeam/internal/decide/relay"
	"ternbeam/internal/host/core"
	"ternbeam/internal/host/exchange"
	"ternbeam/internal/http/httpmsg"
)

const maxTrailerBytes = 4 << 10

// HasRest reports whether the body is sent after the message, while it is being received. It implements exchange.StreamingCodec.
func (c *codec) HasRest() bool { return c.request.Upload != nil }

// StopRest ends a WriteRest that waits for more of the body. It implements exchange.StreamingCodec.
func (c *codec) StopRest() {
	if c.body != nil {
		c.body.Close()
	}
}

// WriteRest sends the body while it is being received. It implements exchange.StreamingCodec.
func (c *codec) WriteRest(w net.Conn) (n int, err error) {
	defer c.body.Close()
	length := c.request.Upload.Length()
	sent := int64(0)
	var chunk []byte // shared by all parts: each chunk is sent with one write
	for {
		part, err := c.body.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			return n, err
		}
		sent += int64(len(part))
		if length < 0 {
			chunk = fmt.Appendf(chunk[:0], "%x\r\n", len(part))
			chunk = append(append(chunk, part...), "\r\n"...)
			part = chunk
		}
		m, err := w.Write(part)
		if n += m; err != nil {
			return n, err
		}
	}
	switch {
	case length < 0:
		m, err := io.WriteString(w, "0\r\n\r\n")
		return n + m, err
	case sent != length:
		return n, fmt.Errorf("%d of %d bytes received", sent, length)
	}
	return n, nil
}

// mayRelay reports whether an answer may be relayed while it is received: it is served, and long or of unknown length.
func (h *head) mayRelay() bool {
	return h.status == http.StatusOK && (h.length > httpmsg.MaxBody && h.length <= httpmsg.MaxStreamedBody ||
		h.length < 0 && (h.chunked || h.close))
}

// progress describes how much of the body was received, for the log.
func (h *head) progress(received int64) string {
	if h.length < 0 {
		return fmt.Sprintf("%d bytes", received)
	}
	return fmt.Sprintf("%d of %d bytes", received, h.length)
}

const (
	// freeAnswerBytes is the size up to which an answer is read without a reservation.
	freeAnswerBytes = 4 << 10
	// longAnswerBytes is what is held of a long answer: its beginning, a part that is read and one that is written.
	longAnswerBytes = httpmsg.MaxBody + 2*httpmsg.PartSize
)

// partBuffers and smallPartBuffers hold the buffers through which answers are relayed, small ones where memory is short.
var (
	partBuffers      = sync.Pool{New: func() any { return new(make([]byte, httpmsg.PartSize)) }}
	smallPartBuffers = sync.Pool{New: func() any { return new(make([]byte, httpmsg.SmallPartSize)) }}
)

// errTooLong ends an answer of unknown length that exceeds httpmsg.MaxStreamedBody.
var errTooLong = errors.New("the body is too long")

// relayedAnswer is an answer that may be long. It is held at first, then written to a pipe from which its client reads.
type relayedAnswer struct {
	codec    *codec
	in       *exchange.AnswerReader
	head     head
	held     *relay.HeldAnswer
	buffered []byte         // received while the answer is held
	parts    *sync.Pool     // of the buffers
	pipe     *io.PipeWriter // nil while the answer is held
}

// receiveLong reads an answer that may be long. One that is complete before it has to be relayed is treated like a short one. Where memory is
// short, it is relayed in small parts and hardly held.
func (c *codec) receiveLong(in *exchange.AnswerReader, h head) (core.AttemptOutcome, bool, error) {
	limit, parts := httpmsg.MaxBody, &partBuffers
	room := c.budget.Try(longAnswerBytes)
	defer room.Release()
	if room == nil {
		limit, parts = httpmsg.SmallPartSize, &smallPartBuffers
	}
	r := &relayedAnswer{codec: c, in: in, head: h, parts: parts, held: relay.NewHeldAnswer(clock.Now(), in.TimeLeft(), limit, c.position)}
	if h.length >= 0 {
		r.held = relay.NewHeldLong(clock.Now(), in.TimeLeft(), limit)
	}
	c.reportStart(false)
	in.Hold(r.holdUntil(), r.holdExpired)
	body := io.Reader(in.Reader)
	switch {
	case h.chunked:
		body = httputil.NewChunkedReader(in.Reader)
	case h.length >= 0:
		body = io.LimitReader(in.Reader, h.length)
	}
	received, err := r.receive(body)
	complete := err == io.EOF && (h.length < 0 || received == h.length)
	reusable := complete && !h.close && (!h.chunked || readTrailer(in.Reader) == nil)
	if complete {
		return r.outcome(), reusable, nil
	}
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	if r.pipe != nil {
		r.pipe.CloseWithError(err)
	}
	return core.AttemptOutcome{}, false, fmt.Errorf("%w (%s received)", err, h.progress(received))
}

// receive reads the body to its end. It returns the number of bytes, and the error that ended the body: io.EOF for an orderly end.
func (r *relayedAnswer) receive(body io.Reader) (received int64, err error) {
	pooled := r.parts.Get().(*[]byte)
	defer r.parts.Put(pooled)
	buffer := *pooled
	for err == nil {
		var n int
		n, err = body.Read(buffer)
		if received += int64(n); received > httpmsg.MaxStreamedBody {
			err = errTooLong
		}
		if n == 0 {
			continue
		}
		if failed := r.add(buffer[:n]); failed != nil {
			return received, failed
		}
	}
	return received, err
}

// add holds or relays a part of the body.
func (r *relayedAnswer) add(part []byte) error {
	if r.pipe != nil {
		_, err := r.pipe.Write(part) // fails if nobody reads any more
		return err
	}
	r.buffered = append(r.buffered, part...)
	if r.held.Received(clock.Now(), len(part)) == relay.Hold {
		r.in.Hold(r.holdUntil(), r.holdExpired)
		return nil
	}
	if !r.startRelay() {
		return os.ErrDeadlineExceeded
	}
	return nil
}

// holdUntil returns when holdExpired has to be called, as a time.Time.
func (r *relayedAnswer) holdUntil() time.Time { return clock.ToTime(r.held.NextCheck()) }

// holdExpired is called when the held answer is not complete in time. It reports whether reading the answer continues.
func (r *relayedAnswer) holdExpired() bool {
	switch r.held.Check(clock.Now()) {
	case relay.Hedge:
		r.codec.reportStart(true)
		fallthrough
	case relay.Hold:
		r.in.Hold(r.holdUntil(), r.holdExpired)
		return true
	case relay.Relay:
		return r.startRelay()
	}
	return false
}

// startRelay starts to relay the answer. It returns false if the attempt's deadline has passed.
func (r *relayedAnswer) startRelay() bool {
	e := answer{head: r.head}.outcome(r.codec.fields)
	reply := e.Reply.(*httpmsg.Reply)
	reply.Length, reply.Body, r.buffered = r.head.length, r.buffered, nil
	reply.SmallParts = r.parts == &smallPartBuffers
	reply.Stream, r.pipe = io.Pipe()
	if !r.in.Relay(e) {
		r.pipe = nil
		return false
	}
	return true
}

// outcome returns the outcome of an attempt whose answer is complete.
func (r *relayedAnswer) outcome() core.AttemptOutcome {
	if r.pipe != nil {
		r.pipe.Close()
		return core.ResultOnly(choice.OK)
	}
	return answer{head: r.head, body: r.buffered}.outcome(r.codec.fields)
}
