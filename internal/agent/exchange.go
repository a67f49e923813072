package agent

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/wire"
)

const (
	inlineSend = 8 << 10 // more than this is written while the answer is awaited: it may come before all is taken
	stallGrace = 10 * time.Millisecond
)

// errSpoilt is why an answer counts as an error of the backend's: nobody can tell what it is.
var errSpoilt = errors.New("spoilt answer")

// readers are shared: a connection needs one only while an answer is read.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 4<<10) }}

// exchange sends the request and reads the answer whole. The connection can be used again if reuse is true and is
// closed otherwise.
func (u *upstream) exchange(ctx context.Context, c *conn, a *attempt) (out attemptResult, reuse bool) {
	end, _ := ctx.Deadline()
	c.SetDeadline(end)
	undisturbed := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	message := a.req.forward(a.backend.addr, end)
	written := make(chan int, 1)
	write := func() {
		n, err := c.Write(message)
		if err != nil {
			c.Close() // it never ran; there is no answer to wait for
		}
		written <- n
	}
	if len(message) <= inlineSend {
		write()
	} else {
		go write()
	}
	r := readers.Get().(*bufio.Reader)
	defer readers.Put(r)
	in := &inflow{conn: c.Conn, ctx: ctx, end: end, stall: u.stall}
	r.Reset(in)
	ans, err := in.answer(r)
	reuse = undisturbed() && err == nil && ans.reusable && r.Buffered() == 0
	n := -1
	select {
	case n = <-written:
	default: // an answer to what is not sent whole
	}
	if reuse = reuse && n == len(message); !reuse {
		c.Close() // ends a write that still goes on
		if n < 0 {
			n = <-written
		}
	}
	c.SetDeadline(time.Time{}) // it may be idle for longer
	switch {
	case err == nil:
		return ans.result(u.fields), reuse
	case errors.Is(context.Cause(ctx), errWithdrawn):
		return ended(choice.Cancelled), false
	case n < len(message):
		return ended(choice.ConnectFailed), false // the last byte was not written, and never will be
	case errors.Is(err, errSpoilt):
		return ended(choice.Failed), false
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ended(choice.TimedOut), false
	}
	return ended(choice.Reset), false
}

// forward words the request for a backend, which is to answer by end.
func (r *request) forward(addr string, end time.Time) []byte {
	u := url.URL{Scheme: "http", Host: addr, Path: r.url.Path, RawPath: r.url.RawPath, RawQuery: r.url.RawQuery,
		ForceQuery: r.url.ForceQuery}
	out := &http.Request{Method: r.method, URL: &u, Host: addr, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{"User-Agent": nil}, Body: http.NoBody}
	for _, name := range []string{"X-Correlation-Id", "X-Service-Class", "X-Account", "Idempotency-Key",
		"X-Repeat", "X-Weight-Hint", "X-Facts", "Content-Type"} {
		if v, ok := r.header[name]; ok {
			out.Header[name] = v
		}
	}
	if !end.IsZero() {
		left := max(time.Until(end), 0)
		out.Header.Set("X-Time-Left", strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
	}
	if len(r.body) > 0 {
		out.Body, out.ContentLength = io.NopCloser(bytes.NewReader(r.body)), int64(len(r.body))
	}
	var message bytes.Buffer
	out.Write(&message) // into memory
	return message.Bytes()
}

// inflow is what comes back on a connection.
type inflow struct {
	conn  net.Conn
	ctx   context.Context
	end   time.Time     // of the waiting for an answer
	stall time.Duration // from an answer's first byte to its last
	begun bool
}

// expect sets how long the next bytes may take: till the end, or less once an answer has begun.
func (f *inflow) expect(begun bool) {
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

func (f *inflow) Read(p []byte) (int, error) {
	n, err := f.conn.Read(p)
	if f.begun && errors.Is(err, os.ErrDeadlineExceeded) && f.ctx.Err() == nil {
		// The agent itself may have stood still, so that what is there was not read in time.
		f.conn.SetReadDeadline(time.Now().Add(stallGrace))
		if n, err = f.conn.Read(p); errors.Is(err, os.ErrDeadlineExceeded) {
			err = fmt.Errorf("%w: it does not go on", errSpoilt)
		}
	}
	return n, err
}

// reply is an answer that was read whole.
type reply struct {
	*http.Response
	body     []byte
	reusable bool // its connection
}

// answer reads one answer.
func (f *inflow) answer(r *bufio.Reader) (reply, error) {
	for room := maxHead; ; { // for the heads of 1xx answers too
		f.expect(false)
		if _, err := r.Peek(1); err != nil {
			return reply{}, err
		}
		f.expect(true)
		head, err := readHead(r, room)
		if err != nil {
			return reply{}, err
		}
		room -= len(head)
		resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(head)), nil)
		if err != nil || resp.StatusCode == http.StatusSwitchingProtocols {
			return reply{}, fmt.Errorf("%w: status %.20q, %v", errSpoilt, head, err)
		}
		if resp.StatusCode >= 200 {
			return readBody(r, resp, head)
		}
	}
}

// readHead reads the head of an answer as far as the empty line.
func readHead(r *bufio.Reader, room int) (head []byte, err error) {
	const protocol = "HTTP/1."
	if start, err := r.Peek(len(protocol)); err != nil {
		return nil, err
	} else if string(start) != protocol {
		return nil, fmt.Errorf("%w: it begins with %q", errSpoilt, start)
	}
	for {
		line, err := r.ReadSlice('\n')
		head = append(head, line...)
		switch {
		case len(head) > room || errors.Is(err, bufio.ErrBufferFull):
			return nil, fmt.Errorf("%w: its head is too long", errSpoilt)
		case err != nil:
			return nil, err
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return head, nil
		}
	}
}

// readBody reads the body. Where the length is said twice, in two ways or not at all, nobody can tell whether it is
// whole; one that is too long is not worth reading.
func readBody(r *bufio.Reader, resp *http.Response, head []byte) (ans reply, err error) {
	ans = reply{Response: resp}
	switch chunked := slices.Contains(resp.TransferEncoding, "chunked"); {
	case chunked && bytes.Contains(bytes.ToLower(head), []byte("\ncontent-length:")), resp.ContentLength > maxBody:
		return ans, fmt.Errorf("%w: its length", errSpoilt)
	case chunked: // what follows the last chunk is left unread
		ans.body, err = io.ReadAll(io.LimitReader(httputil.NewChunkedReader(r), maxBody+1))
		if len(ans.body) > maxBody {
			return ans, fmt.Errorf("%w: its length", errSpoilt)
		}
	case resp.ContentLength >= 0:
		ans.body, ans.reusable = make([]byte, resp.ContentLength), !resp.Close
		_, err = io.ReadFull(r, ans.body)
	case resp.StatusCode == http.StatusOK:
		return ans, fmt.Errorf("%w: of unknown length", errSpoilt)
	}
	return ans, err
}

// result says what an answer means. Only a complete 200 is served, and only an answer that says so proves that the
// request never ran.
func (ans reply) result(fields []string) attemptResult {
	out := ended(choice.Failed)
	if reports := ans.Header["X-Backend-Load"]; len(reports) == 1 {
		out.report = parseReport(reports[0], fields)
	}
	switch ans.StatusCode {
	case http.StatusOK:
		out.result, out.body, out.contentType = choice.OK, ans.body, ans.Header.Get("Content-Type")
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if ans.Header.Get("X-Unprocessed") == "1" {
			out.result = choice.Rejected
		}
	}
	return out
}

// parseReport reads a load report such as "TEXT util=0.61, qps=40". One that can't be read is no report: the rest
// of it would not be worth more.
func parseReport(text string, fields []string) choice.Report {
	report := choice.NoReport
	text, ok := strings.CutPrefix(strings.TrimSpace(text), "TEXT ")
	if !ok {
		return choice.NoReport
	}
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(part, "=")
		if name = strings.TrimSpace(name); !slices.Contains(fields, name) {
			continue
		}
		x, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || math.IsNaN(x) || x < 0 || x > mostReported {
			return choice.NoReport
		}
		wire.SetField(&report, name, x)
	}
	return report
}

// mostReported is more than any figure of a load report can be.
const mostReported = 1e6
