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
	"ternbeam/internal/host/core"
	"ternbeam/internal/host/exchange"
	"ternbeam/internal/http/httpmsg"
)

const (
	// passAfter is how long an answer of unknown length may take before it is passed on while it comes. Until then another
	// server can be asked if it is spoilt.
	passAfter  = 100 * time.Millisecond
	maxTrailer = 4 << 10
)

// Follows is exchange.Following's.
func (t *talk) Follows() bool { return t.request.Upload != nil }

// Stop is exchange.Following's.
func (t *talk) Stop() {
	if t.body != nil {
		t.body.Close()
	}
}

// Follow sends the body while it comes.
func (t *talk) Follow(w net.Conn) (n int, err error) {
	defer t.body.Close()
	length := t.request.Upload.Length()
	sent := int64(0)
	for {
		part, err := t.body.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			return n, err
		}
		sent += int64(len(part))
		out := net.Buffers{part}
		if length < 0 {
			out = net.Buffers{fmt.Appendf(nil, "%x\r\n", len(part)), part, []byte("\r\n")}
		}
		m, err := out.WriteTo(w)
		if n += int(m); err != nil {
			return n, err
		}
	}
	switch {
	case length < 0:
		m, err := io.WriteString(w, "0\r\n\r\n")
		return n + m, err
	case sent != length:
		return n, fmt.Errorf("%d of %d bytes came", sent, length)
	}
	return n, nil
}

// long reports whether an answer may be passed on while it comes: a served one that is long, or of unknown length.
func (h *head) long() bool {
	return h.status == http.StatusOK && (h.length > httpmsg.MaxBody && h.length <= httpmsg.MaxLong ||
		h.length < 0 && (h.chunked || h.close))
}

// parts are the buffers through which answers are passed on.
var parts = sync.Pool{New: func() any { return new([httpmsg.PartSize]byte) }}

// errTooLong is why an answer of unknown length is broken off.
var errTooLong = errors.New("more than a body may hold")

// pass reads an answer that may be long. Where it turns out to be whole soon and short, it is as any other; else it is
// passed on from there.
func (t *talk) pass(in *exchange.Inflow, h head) (core.Ending, bool, error) {
	body := io.Reader(in.Reader)
	switch {
	case h.chunked:
		body = httputil.NewChunkedReader(in.Reader)
	case h.length >= 0:
		body = io.LimitReader(in.Reader, h.length)
	}
	var first []byte // what came before it was passed on
	var out *io.PipeWriter
	begin := func() bool {
		e := answer{head: h}.ending(t.fields)
		reply := e.Reply.(*httpmsg.Reply)
		reply.Length, reply.Body = h.length, first
		reply.Stream, out = io.Pipe()
		return in.Pass(e)
	}
	// Where nothing of the body came in that time it may be spoilt: then it waits for the first bytes once more.
	armed := false
	arm := func() {
		armed = true
		in.Within(passAfter, func() bool {
			if armed = false; len(first) > 0 {
				return begin()
			}
			in.Whole()
			return true
		})
	}
	arm()
	buf := parts.Get().(*[httpmsg.PartSize]byte)
	defer parts.Put(buf)
	got, err := int64(0), error(nil)
	for err == nil {
		var n int
		n, err = body.Read(buf[:])
		if got += int64(n); got > httpmsg.MaxLong {
			err = errTooLong
		}
		switch {
		case n == 0:
		case out != nil:
			if _, gone := out.Write(buf[:n]); gone != nil {
				return core.Ending{}, false, gone // nobody reads any more
			}
		default:
			first = append(first, buf[:n]...)
			if h.length >= 0 || len(first) > httpmsg.MaxBody { // it is long
				if in.Whole(); !begin() {
					return core.Ending{}, false, os.ErrDeadlineExceeded
				}
			} else if !armed {
				arm()
			}
		}
	}
	whole := err == io.EOF && (h.length < 0 || got == h.length)
	reusable := whole && !h.close && (!h.chunked || readTrailer(in.Reader) == nil)
	if out == nil { // short
		if in.Whole(); !whole {
			return core.Ending{}, false, err
		}
		return answer{head: h, body: first}.ending(t.fields), reusable, nil
	}
	if !whole {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		out.CloseWithError(err)
		return core.Ending{}, false, err
	}
	out.Close()
	return core.Ended(choice.OK), reusable, nil
}
