// Package httpback makes attempts at servers that speak HTTP/1.1.
package httpback

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/addresses"
	"ternbeam/internal/decide/relay"
	"ternbeam/internal/host/core"
	"ternbeam/internal/host/exchange"
	"ternbeam/internal/host/membudget"
	"ternbeam/internal/host/pool"
	"ternbeam/internal/http/httpmsg"
	"ternbeam/internal/settings/wire"
)

// New returns a transport over pool p. fields names the values that are read from load reports. If long is true, long answers are
// relayed while they are received; otherwise an answer longer than httpmsg.MaxBody is invalid. Answers share the budget.
func New(p *pool.Pool, fields []string, long bool, budget *membudget.Budget) *exchange.Transport {
	return &exchange.Transport{Pool: p, StallTimeout: exchange.StallTimeout, NoRetryReserve: long, NewCodec: func(at *core.Attempt) exchange.Codec {
		c := &codec{request: at.Payload.(*httpmsg.Request), host: hostHeader(at.Server.Addr), fields: fields, position: position(at),
			reportStart: at.ReportAnswerStart, budget: budget}
		c.bufferAnswer = !long || at.Route.Plan != nil || len(c.request.ReplyHeaders) > 0 || c.request.UnknownShapeStatus != 0
		return c
	}}
}

// position returns the position of an attempt among those of its call.
func position(at *core.Attempt) relay.AttemptPosition {
	switch {
	case at.Number > 0:
		return relay.FurtherAttempt
	case at.Last:
		return relay.OnlyAttempt
	}
	return relay.FirstAttempt
}

// codec encodes and decodes one attempt. It implements exchange.StreamingCodec.
type codec struct {
	request      *httpmsg.Request
	host         string
	fields       []string
	position     relay.AttemptPosition // among the attempts of the call
	reportStart  func(stalled bool)    // reports that the answer has begun, and that it then does not continue
	bufferAnswer bool                  // answers are read completely before the client gets them: long ones are off, or their shape matters
	body         *httpmsg.UploadReader // of a request that is forwarded while it is received
	budget       *membudget.Budget     // for answers
}

// hostHeader returns the Host header for an address. A Unix socket has no host, but RFC 9110, section 7.2, requires the header.
func hostHeader(addr string) string {
	if addresses.IsUnix(addr) {
		return "localhost"
	}
	return addr
}

// forwardedHeaders are the headers that are forwarded to a server. X-Time-Left is written anew.
var forwardedHeaders = []string{"X-Correlation-Id", "X-Service-Class", "X-Account", "Idempotency-Key", "X-Repeat",
	"X-Weight-Hint", "X-Facts", "Content-Type"}

// Message encodes the request for a server. Its parts were read by net/http, which rejects line breaks in them.
func (c *codec) Message(end time.Time) []byte {
	r := c.request
	if r.Upload != nil {
		var err error
		if c.body, err = r.Upload.Open(); err != nil {
			return nil
		}
	}
	target := r.Target
	if target == "" {
		target = (&url.URL{Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery}).RequestURI()
	}
	m := make([]byte, 0, 512+len(r.Body))
	m = append(append(append(append(m, r.Method...), ' '), target...), " HTTP/1.1\r\nHost: "...)
	m = append(append(m, c.host...), "\r\n"...)
	for _, names := range [...][]string{forwardedHeaders, r.ForwardHeaders} {
		for _, name := range names {
			for _, v := range r.Header[name] {
				m = append(append(append(append(m, name...), ": "...), v...), "\r\n"...)
			}
		}
	}
	for _, h := range r.HeaderFields {
		m = append(append(append(append(m, h[0]...), ": "...), h[1]...), "\r\n"...)
	}
	complete := true
	if r.Upload != nil {
		var deadline time.Time
		deadline, complete = r.Upload.Deadline()
		if !deadline.IsZero() && deadline.Before(end) { // the attempt may have started before the last byte, with time for the rest of the body
			end = deadline
		}
	}
	if !complete { // the client's time counts from the last byte
		m = append(append(append(m, "X-Time-Left: "...), r.Header.Get("X-Time-Left")...), "\r\n"...)
	} else if !end.IsZero() {
		m = append(m, "X-Time-Left: "...)
		m = strconv.AppendFloat(m, max(time.Until(end), 0).Seconds(), 'f', 3, 64)
		m = append(m, "\r\n"...)
	}
	length := int64(len(r.Body))
	if r.Upload != nil {
		length = r.Upload.Length()
	}
	switch {
	case length < 0:
		m = append(m, "Transfer-Encoding: chunked\r\n"...)
	case length > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut:
		m = append(m, "Content-Length: "...)
		m = strconv.AppendInt(m, length, 10)
		m = append(m, "\r\n"...)
	}
	m = append(m, "\r\n"...)
	return append(m, r.Body...)
}

// Answer reads one answer.
func (c *codec) Answer(in *exchange.AnswerReader) (core.AttemptOutcome, bool, error) {
	h, err := readHeads(in.Reader, in.AwaitData, c.request.ReplyHeaders)
	if err != nil {
		return core.AttemptOutcome{}, false, err
	}
	if h.mayRelay() && !c.bufferAnswer {
		return c.receiveLong(in, h)
	}
	if h.length > freeAnswerBytes {
		room, err := c.budget.Wait(in.Context(), min(h.length, httpmsg.MaxBody))
		if err != nil {
			return core.AttemptOutcome{}, false, fmt.Errorf("%w: %w", os.ErrDeadlineExceeded, err)
		}
		defer room.Release()
	}
	ans, err := readBody(in.Reader, h)
	if err != nil {
		return core.AttemptOutcome{}, false, err
	}
	e := ans.outcome(c.fields)
	// Only the server's explicit statement that it has not begun proves that the call never ran.
	if ans.unprocessed && ans.status == c.request.UnknownShapeStatus {
		e.Result, e.ShapeUnknown = choice.Rejected, true
	}
	return e, ans.reusable, nil
}

// answer is an answer that was read completely.
type answer struct {
	head
	body     []byte
	reusable bool // the connection can be used again
}

// readHeads reads the head of one answer and skips those of 1xx answers. awaitData waits for the first byte of a head. wanted names
// headers to return in addition to the usual ones.
func readHeads(r *bufio.Reader, awaitData func() error, wanted []string) (head, error) {
	for remaining := httpmsg.MaxHead; ; { // shared with the heads of 1xx answers
		if err := awaitData(); err != nil {
			return head{}, err
		}
		text, err := readHead(r, remaining)
		if err != nil {
			return head{}, err
		}
		remaining -= len(text)
		h, ok := parsePlainHead(text)
		if !ok {
			if h, err = parseAnyHead(text); err != nil {
				return head{}, err
			}
		}
		if h.status >= 200 {
			if len(wanted) > 0 {
				if h.wanted, err = findHeaders(text, wanted); err != nil {
					return head{}, err
				}
			}
			return h, nil
		}
	}
}

// head holds what the head of an answer states.
type head struct {
	status      int
	length      int64 // of the body; -1 if unknown
	chunked     bool
	close       bool // the connection ends with this answer
	unprocessed bool
	reportCount int // number of X-Backend-Load headers
	report      string
	contentType string
	wanted      [][2]string // the further headers that were asked for, as name and value
}

// findHeaders returns all values of the named headers.
func findHeaders(text []byte, names []string) (found [][2]string, err error) {
	for rest := text; len(rest) > 0; {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte("\n"))
		if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') { // obsolete line folding, see RFC 9112, section 5.2
			return nil, fmt.Errorf("%w: a header folded over several lines", exchange.ErrInvalidAnswer)
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		for _, wanted := range names {
			if len(name) == len(wanted) && strings.EqualFold(string(name), wanted) {
				found = append(found, [2]string{wanted, string(bytes.Trim(value, " \t\r"))})
			}
		}
	}
	return found, nil
}

// parsePlainHead parses the head of an answer in the form that nearly all have: HTTP/1.1, one length in digits, each header on one line.
// It leaves all others to net/http, and agrees with net/http on those that it parses.
func parsePlainHead(text []byte) (h head, ok bool) {
	h.length = -1
	const begin = "HTTP/1.1 "
	line, rest, found := bytes.Cut(text, []byte("\r\n"))
	if !found || len(line) < len(begin)+3 || string(line[:len(begin)]) != begin {
		return h, false
	}
	code := line[len(begin):]
	if len(code) > 3 && code[3] != ' ' || !printable(code) {
		return h, false
	}
	for _, c := range code[:3] {
		if c < '0' || c > '9' {
			return h, false
		}
		h.status = 10*h.status + int(c-'0')
	}
	if h.status < 200 || h.status == http.StatusNoContent || h.status == http.StatusNotModified {
		return h, false
	}
	for {
		if line, rest, found = bytes.Cut(rest, []byte("\r\n")); !found {
			return h, false
		}
		if len(line) == 0 {
			return h, len(rest) == 0 && h.length >= 0
		}
		colon := bytes.IndexByte(line, ':')
		if colon <= 0 {
			return h, false
		}
		for _, c := range line[:colon] {
			if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-') {
				return h, false
			}
		}
		value := bytes.Trim(line[colon+1:], " \t")
		if !printable(value) || !h.addHeader(line[:colon], value) {
			return h, false
		}
	}
}

// printable reports whether a text consists only of visible ASCII characters and spaces. In particular, it has no line break.
func printable(text []byte) bool {
	for _, c := range text {
		if c < ' ' || c > '~' {
			return false
		}
	}
	return true
}

// addHeader evaluates one header. It returns false for those that need the full parser.
func (h *head) addHeader(name, value []byte) bool {
	is := func(other string) bool { return len(name) == len(other) && strings.EqualFold(string(name), other) }
	switch {
	case is("Content-Length"):
		if h.length >= 0 || len(value) == 0 || len(value) > 9 {
			return false
		}
		h.length = 0
		for _, c := range value {
			if c < '0' || c > '9' {
				return false
			}
			h.length = 10*h.length + int64(c-'0')
		}
	case is("Transfer-Encoding"), is("Connection"), is("Trailer"):
		return false
	case is("X-Unprocessed"):
		if h.unprocessed {
			return false
		}
		h.unprocessed = string(value) == "1"
	case is("X-Backend-Load"):
		h.reportCount++
		h.report = string(value)
	case is("Content-Type"):
		if h.contentType != "" {
			return false
		}
		h.contentType = string(value)
	}
	return true
}

// parseAnyHead parses the head of an answer with net/http.
func parseAnyHead(text []byte) (head, error) {
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), nil)
	if err != nil || resp.StatusCode == http.StatusSwitchingProtocols {
		return head{}, fmt.Errorf("%w: status %.20q, %v", exchange.ErrInvalidAnswer, text, err)
	}
	h := head{status: resp.StatusCode, length: resp.ContentLength, close: resp.Close,
		chunked:     slices.Contains(resp.TransferEncoding, "chunked"),
		unprocessed: resp.Header.Get("X-Unprocessed") == "1", contentType: resp.Header.Get("Content-Type"),
		reportCount: len(resp.Header["X-Backend-Load"]), report: resp.Header.Get("X-Backend-Load")}
	if h.chunked && bytes.Contains(bytes.ToLower(text), []byte("\ncontent-length:")) {
		return head{}, fmt.Errorf("%w: both Content-Length and Transfer-Encoding", exchange.ErrInvalidAnswer)
	}
	return h, nil
}

// readHead reads the head of an answer up to and including the empty line.
func readHead(r *bufio.Reader, limit int) (head []byte, err error) {
	const protocol = "HTTP/1."
	if start, err := r.Peek(len(protocol)); err != nil {
		return nil, err
	} else if string(start) != protocol {
		return nil, fmt.Errorf("%w: it begins with %q", exchange.ErrInvalidAnswer, start)
	}
	for {
		line, err := r.ReadSlice('\n')
		lineStart := len(head) == 0 || head[len(head)-1] == '\n' // a line may be longer than the buffer
		head = append(head, line...)
		switch {
		case len(head) > limit:
			return nil, fmt.Errorf("%w: the head is too long", exchange.ErrInvalidAnswer)
		case err == bufio.ErrBufferFull:
		case err != nil:
			return nil, err
		case lineStart && len(bytes.TrimRight(line, "\r\n")) == 0:
			return head, nil
		}
	}
}

// readBody reads a complete body. If its length is unknown, it ends when the connection closes; a reset means that it is incomplete (RFC
// 9112, section 6.3). A body that is too long is not read.
func readBody(r *bufio.Reader, h head) (ans answer, err error) {
	ans = answer{head: h}
	switch {
	case h.length > httpmsg.MaxBody:
		return ans, fmt.Errorf("%w: the body is too long", exchange.ErrInvalidAnswer)
	case h.chunked:
		ans.body, err = readToEnd(httputil.NewChunkedReader(r))
		ans.reusable = err == nil && !h.close && readTrailer(r) == nil
	case h.length >= 0:
		ans.body, ans.reusable = make([]byte, h.length), !h.close
		_, err = io.ReadFull(r, ans.body)
	case h.status == http.StatusOK:
		ans.body, err = readToEnd(r)
	}
	return ans, err
}

// readToEnd reads a body to its end. A body that is too long is an error.
func readToEnd(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, httpmsg.MaxBody+1))
	if len(body) > httpmsg.MaxBody {
		return nil, fmt.Errorf("%w: the body is too long", exchange.ErrInvalidAnswer)
	}
	return body, err
}

// readTrailer reads what follows the last chunk and drops it, as RFC 9110, section 6.5.1, allows.
func readTrailer(r *bufio.Reader) error {
	for remaining := maxTrailerBytes; ; {
		line, err := r.ReadSlice('\n')
		if remaining -= len(line); err != nil || remaining < 0 {
			return cmp.Or(err, io.ErrShortBuffer)
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
	}
}

// statusError is the status of an answer that does not serve the request.
type statusError int

func (e statusError) Error() string { return fmt.Sprint("status ", int(e)) }

// outcome returns the outcome of an attempt with this answer. Only a complete 200 counts as served, and only an answer that states
// so proves that the request never ran.
func (ans answer) outcome(fields []string) core.AttemptOutcome {
	e := core.ResultOnly(choice.Failed)
	if ans.status != http.StatusOK {
		e.Cause = statusError(ans.status)
	}
	if ans.reportCount == 1 {
		e.Report = parseReport(ans.report, fields)
	}
	switch ans.status {
	case http.StatusOK:
		e.Result, e.Reply = choice.OK, &httpmsg.Reply{ContentType: ans.contentType, Header: ans.wanted, Body: ans.body}
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if ans.unprocessed {
			e.Result = choice.Rejected
		}
	}
	return e
}

// parseReport parses a load report such as "TEXT util=0.61, qps=40". An invalid value makes the whole report invalid, as the
// rest of it can't be trusted either.
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
		if err != nil || !wire.PlausibleFigure(x) {
			return choice.NoReport
		}
		wire.SetField(&report, name, x)
	}
	return report
}
