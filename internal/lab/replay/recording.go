// Package replay sends recorded calls of old clients through the agent to stand-in servers of the old and of the new shape,
// and compares the answers that the clients receive and the calls that the servers receive. It also records and redacts calls.
package replay

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"ternbeam/internal/thrift/thriftwire"
)

// Message is a request or an answer as sent on the wire.
type Message struct {
	Method  string      `json:"method,omitempty"` // of an HTTP request
	Target  string      `json:"target,omitempty"`
	Status  int         `json:"status,omitempty"` // of an HTTP answer
	Headers [][2]string `json:"headers,omitempty"`
	Body    []byte      `json:"body64,omitempty"`
	Thrift  []byte      `json:"thrift64,omitempty"` // Thrift message without its frame; all other fields are then empty
}

// Exchange is a call and its answer.
type Exchange struct {
	Protocol string  `json:"protocol"` // http or thrift
	Request  Message `json:"request"`
	Answer   Message `json:"answer"`
}

// Limits of a recording.
const (
	MaxLineBytes = 1 << 20 // bytes in a line
	MaxExchanges = 1 << 20

	maxFrameBytes = MaxLineBytes / 2 // bytes in a Thrift frame or a request body
)

// ReadRecording reads a recording, which has one line of JSON for each exchange. Errors give the number of the line.
func ReadRecording(in io.Reader) (all []Exchange, err error) {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, MaxLineBytes)
	n := 0
	for lines.Scan() {
		n++
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		d := json.NewDecoder(bytes.NewReader(lines.Bytes()))
		d.DisallowUnknownFields()
		var e Exchange
		if err := d.Decode(&e); err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		switch {
		case e.Protocol != "http" && e.Protocol != "thrift":
			return nil, fmt.Errorf("line %d: protocol: %q is neither http nor thrift", n, e.Protocol)
		case (e.Protocol == "thrift") != (e.Request.Thrift != nil):
			return nil, fmt.Errorf("line %d: request.thrift64: it is required for protocol thrift and not allowed for http", n)
		case len(all) == MaxExchanges:
			return nil, fmt.Errorf("line %d: more than %d exchanges", n, MaxExchanges)
		}
		all = append(all, e)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("line %d: %w", n+1, err)
	}
	return all, nil
}

// player sends requests over one connection for each protocol. It is not safe for concurrent use.
type player struct {
	http, thrift string // addresses
	timeout      time.Duration
	conns        map[string]net.Conn
	readers      map[string]*bufio.Reader
}

func newPlayer(http, thrift string, timeout time.Duration) *player {
	return &player{http: http, thrift: thrift, timeout: timeout, conns: map[string]net.Conn{}, readers: map[string]*bufio.Reader{}}
}

func (p *player) close() {
	for _, c := range p.conns {
		c.Close()
	}
}

// send sends a request and returns its answer. If a reused connection turns out to be closed, it retries once on a new one.
func (p *player) send(protocol string, m Message) (Message, error) {
	for fresh := false; ; fresh = true {
		if p.conns[protocol] == nil {
			fresh = true
			addr := p.http
			if protocol == "thrift" {
				addr = p.thrift
			}
			c, err := net.Dial("tcp", addr)
			if err != nil {
				return Message{}, err
			}
			p.conns[protocol], p.readers[protocol] = c, bufio.NewReader(c)
		}
		answer, keep, err := p.roundTrip(protocol, m)
		if err != nil || !keep {
			p.conns[protocol].Close()
			delete(p.conns, protocol)
		}
		if errors.Is(err, errNoAnswer) && !fresh {
			continue // the peer had closed the idle connection
		}
		return answer, err
	}
}

// errNoAnswer is returned if a connection ended before any byte of the answer was received.
var errNoAnswer = errors.New("the connection was closed without an answer")

func (p *player) roundTrip(protocol string, m Message) (answer Message, keep bool, err error) {
	c, in := p.conns[protocol], p.readers[protocol]
	c.SetDeadline(time.Now().Add(p.timeout))
	text := binary.BigEndian.AppendUint32(nil, uint32(len(m.Thrift)))
	text = append(text, m.Thrift...)
	if protocol == "http" {
		text = encodeHTTP(m)
	}
	if _, err := c.Write(text); err != nil {
		return answer, false, fmt.Errorf("%w: %w", errNoAnswer, err)
	}
	if _, err := in.Peek(1); errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) {
		return answer, false, errNoAnswer
	}
	if protocol == "thrift" {
		answer.Thrift, err = thriftwire.ReadFrame(in, maxFrameBytes)
		return answer, true, err
	}
	r, err := http.ReadResponse(in, nil)
	if err != nil {
		return answer, false, err
	}
	defer r.Body.Close()
	answer.Status = r.StatusCode
	answer.Headers = headers(r.Header)
	answer.Body, err = io.ReadAll(io.LimitReader(r.Body, MaxLineBytes))
	return answer, !r.Close, err
}

// headers returns the headers of a message sorted by name, without those that concern the connection or the time of sending.
func headers(h http.Header) (all [][2]string) {
	for name, values := range h {
		if slices.Contains([]string{"Date", "Connection", "Content-Length", "Keep-Alive"}, name) {
			continue
		}
		for _, v := range values {
			all = append(all, [2]string{name, v})
		}
	}
	slices.SortStableFunc(all, func(a, b [2]string) int { return strings.Compare(a[0], b[0]) })
	return all
}

// encodeHTTP encodes an HTTP request. It writes the headers unchanged, including those that net/http would reject.
func encodeHTTP(m Message) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: service.internal\r\n", m.Method, m.Target)
	for _, h := range m.Headers {
		if !strings.EqualFold(h[0], "Content-Length") && !strings.EqualFold(h[0], "Host") {
			b.WriteString(h[0] + ": " + h[1] + "\r\n")
		}
	}
	b.WriteString("Content-Length: " + strconv.Itoa(len(m.Body)) + "\r\n\r\n")
	b.Write(m.Body)
	return b.Bytes()
}
