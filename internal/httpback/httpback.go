// Package httpback makes attempts at servers that speak HTTP/1.1.
package httpback

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/core"
	"ternbeam/internal/exchange"
	"ternbeam/internal/pool"
	"ternbeam/internal/wire"
)

const (
	// MaxBody is the most that a request's or an answer's body may hold.
	MaxBody = 64 << 10
	// MaxHead is the most that a request's or an answer's head may hold.
	MaxHead = 16 << 10
)

// Request is the payload of a call that came in HTTP.
type Request struct {
	Method string
	URL    *url.URL
	Header http.Header
	Body   []byte
}

// Reply is what a server answered a call that it served.
type Reply struct {
	ContentType string
	Body        []byte
}

// New returns a transport; the fields are the figures of load reports.
func New(p *pool.Pool, fields []string) *exchange.Transport {
	return &exchange.Transport{Pool: p, Stall: exchange.Stall, Begin: func(at *core.Attempt) exchange.Talk {
		return talk{request: at.Call.Payload.(*Request), addr: at.Server.Addr, fields: fields}
	}}
}

type talk struct {
	request *Request
	addr    string
	fields  []string
}

// passedOn are the headers that go on to a server. X-Time-Left is worded anew.
var passedOn = []string{"X-Correlation-Id", "X-Service-Class", "X-Account", "Idempotency-Key", "X-Repeat",
	"X-Weight-Hint", "X-Facts", "Content-Type"}

// Message words the request for a server. What it is made of was read by net/http, which lets no line end into it.
func (t talk) Message(end time.Time) []byte {
	r := t.request
	target := (&url.URL{Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery}).RequestURI()
	m := make([]byte, 0, 512+len(r.Body))
	m = append(append(append(append(m, r.Method...), ' '), target...), " HTTP/1.1\r\nHost: "...)
	m = append(append(m, t.addr...), "\r\n"...)
	for _, name := range passedOn {
		for _, v := range r.Header[name] {
			m = append(append(append(append(m, name...), ": "...), v...), "\r\n"...)
		}
	}
	if !end.IsZero() {
		m = append(m, "X-Time-Left: "...)
		m = strconv.AppendFloat(m, max(time.Until(end), 0).Seconds(), 'f', 3, 64)
		m = append(m, "\r\n"...)
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost {
		m = append(m, "Content-Length: "...)
		m = strconv.AppendInt(m, int64(len(r.Body)), 10)
		m = append(m, "\r\n"...)
	}
	m = append(m, "\r\n"...)
	return append(m, r.Body...)
}

// Answer reads one answer.
func (t talk) Answer(in *exchange.Inflow) (core.Ending, bool, error) {
	ans, err := readAnswer(in.Reader, in.Begin)
	if err != nil {
		return core.Ending{}, false, err
	}
	return ans.ending(t.fields), ans.reusable, nil
}

// answer is an answer that was read whole.
type answer struct {
	*http.Response
	body     []byte
	reusable bool // its connection
}

// readAnswer reads one answer; begin waits for the first byte of a head.
func readAnswer(r *bufio.Reader, begin func() error) (answer, error) {
	for room := MaxHead; ; { // for the heads of 1xx answers too
		if err := begin(); err != nil {
			return answer{}, err
		}
		head, err := readHead(r, room)
		if err != nil {
			return answer{}, err
		}
		room -= len(head)
		resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(head)), nil)
		if err != nil || resp.StatusCode == http.StatusSwitchingProtocols {
			return answer{}, fmt.Errorf("%w: status %.20q, %v", exchange.ErrSpoilt, head, err)
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
		return nil, fmt.Errorf("%w: it begins with %q", exchange.ErrSpoilt, start)
	}
	for {
		line, err := r.ReadSlice('\n')
		head = append(head, line...)
		switch {
		case len(head) > room || err == bufio.ErrBufferFull:
			return nil, fmt.Errorf("%w: its head is too long", exchange.ErrSpoilt)
		case err != nil:
			return nil, err
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return head, nil
		}
	}
}

// readBody reads the body. Where the length is said twice, in two ways or not at all, nobody can tell whether it is
// whole; one that is too long is not worth reading.
func readBody(r *bufio.Reader, resp *http.Response, head []byte) (ans answer, err error) {
	ans = answer{Response: resp}
	switch chunked := slices.Contains(resp.TransferEncoding, "chunked"); {
	case chunked && bytes.Contains(bytes.ToLower(head), []byte("\ncontent-length:")), resp.ContentLength > MaxBody:
		return ans, fmt.Errorf("%w: its length", exchange.ErrSpoilt)
	case chunked: // what follows the last chunk is left unread
		ans.body, err = io.ReadAll(io.LimitReader(httputil.NewChunkedReader(r), MaxBody+1))
		if len(ans.body) > MaxBody {
			return ans, fmt.Errorf("%w: its length", exchange.ErrSpoilt)
		}
	case resp.ContentLength >= 0:
		ans.body, ans.reusable = make([]byte, resp.ContentLength), !resp.Close
		_, err = io.ReadFull(r, ans.body)
	case resp.StatusCode == http.StatusOK:
		return ans, fmt.Errorf("%w: of unknown length", exchange.ErrSpoilt)
	}
	return ans, err
}

// ending says what an answer means. Only a complete 200 is served, and only an answer that says so proves that the
// request never ran.
func (ans answer) ending(fields []string) core.Ending {
	out := core.Ended(choice.Failed)
	if reports := ans.Header["X-Backend-Load"]; len(reports) == 1 {
		out.Report = parseReport(reports[0], fields)
	}
	switch ans.StatusCode {
	case http.StatusOK:
		out.Result, out.Reply = choice.OK, &Reply{ContentType: ans.Header.Get("Content-Type"), Body: ans.body}
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if ans.Header.Get("X-Unprocessed") == "1" {
			out.Result = choice.Rejected
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
		if err != nil || !wire.Sane(x) {
			return choice.NoReport
		}
		wire.SetField(&report, name, x)
	}
	return report
}
