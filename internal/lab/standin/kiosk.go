package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/apache/thrift/lib/go/thrift"

	"ternbeam/internal/lab/formapi"
)

// Request is a request that a kiosk sends.
type Request struct {
	Method         Method
	ID             string
	Tenant         string
	Key            string
	IdempotencyKey string        // of a Record call
	TimeLeft       time.Duration // time until the deadline, as stated in the call
	Text           string
	ClientRetry    bool            // marks it as a retry by the client
	Cancel         <-chan struct{} // when closed, the kiosk disconnects without waiting for the answer; may be nil
}

// AnswerKind is the kind of an answer that a kiosk receives.
type AnswerKind int

// The kinds of answers.
const (
	Served AnswerKind = iota
	Refused
	Failed
	BadRequest // rejected as malformed or unknown
	Lost       // the connection ended without an answer
	Sent       // a oneway call, which has no answer
)

// String returns the name of the kind.
func (k AnswerKind) String() string {
	return [...]string{"served", "refused", "failed", "turned down", "lost", "sent"}[k]
}

// Answer is the answer that a kiosk receives, or the error in its place.
type Answer struct {
	Kind       AnswerKind
	Text       string
	RetryAfter time.Duration
	Took       time.Duration
	Err        error
}

// Kiosk is a client with a pool of connections. It is safe for concurrent use.
type Kiosk interface {
	// Do sends a request and waits for its answer, for no longer than the deadline and answerGrace.
	Do(Request) Answer
	// Close closes the idle connections.
	Close()
}

// answerGrace is how long a kiosk waits for an answer beyond the deadline of its call. It also limits dialing.
const answerGrace = 2 * time.Second

// NewKiosk returns a kiosk that speaks http, thrift-binary or thrift-compact to the agent at addr.
func NewKiosk(protocol, addr string) (Kiosk, error) {
	switch protocol {
	case "http":
		return &httpKiosk{addr: addr, client: &http.Transport{MaxIdleConnsPerHost: 1000}}, nil
	case "thrift-binary", "thrift-compact":
		return &thriftKiosk{addr: addr, compact: protocol == "thrift-compact"}, nil
	}
	return nil, fmt.Errorf("unknown kiosk protocol %q", protocol)
}

// onCancel calls do when the kiosk disconnects, unless stop is called before.
func (a *Request) onCancel(do func()) (stop func()) {
	if a.Cancel == nil {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		select {
		case <-a.Cancel:
			do()
		case <-done:
		}
	}()
	return func() { close(done) }
}

type httpKiosk struct {
	addr   string
	client *http.Transport
}

func (k *httpKiosk) Close() { k.client.CloseIdleConnections() }

func (k *httpKiosk) Do(a Request) Answer {
	begin := time.Now()
	ans := k.roundTrip(a)
	ans.Took = time.Since(begin)
	return ans
}

func (k *httpKiosk) roundTrip(a Request) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), a.TimeLeft+answerGrace)
	defer cancel()
	defer a.onCancel(cancel)()
	method, body := http.MethodPost, io.Reader(strings.NewReader(a.Text))
	if a.Method == Check || a.Method == Note {
		method, body = http.MethodGet, nil
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+k.addr+"/"+Classes[a.Method]+"/"+a.Key, body)
	if err != nil {
		return Answer{Kind: Lost, Err: err}
	}
	for name, value := range map[string]string{"X-Correlation-Id": a.ID, "X-Service-Class": Classes[a.Method],
		"X-Account": a.Tenant, "X-Time-Left": strconv.FormatFloat(a.TimeLeft.Seconds(), 'f', 3, 64),
		"Idempotency-Key": a.IdempotencyKey} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	if a.ClientRetry {
		req.Header.Set("X-Repeat", "1")
	}
	resp, err := k.client.RoundTrip(req)
	if err != nil {
		return Answer{Kind: Lost, Err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return Answer{Kind: Lost, Err: err}
	}
	ans := Answer{Kind: Failed, Text: string(text)}
	switch {
	case resp.StatusCode == http.StatusOK:
		ans.Kind = Served
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		ans.Kind = Refused
		after, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		ans.RetryAfter = time.Duration(after * float64(time.Second))
	case resp.StatusCode < 500:
		ans.Kind = BadRequest
	}
	return ans
}

// thriftKiosk uses the Apache library's client, with one connection for each call in flight.
type thriftKiosk struct {
	addr    string
	compact bool

	mu   sync.Mutex
	idle []*thriftConn
}

type thriftConn struct {
	net.Conn
	client *formapi.FormServiceClient
}

// ThriftClient returns the generated client for a connection, in the compact or binary protocol.
func ThriftClient(c net.Conn, compact bool) *formapi.FormServiceClient {
	framed := thrift.NewTFramedTransportConf(thrift.NewTSocketFromConnConf(c, nil), nil)
	var factory thrift.TProtocolFactory = thrift.NewTBinaryProtocolFactoryConf(nil)
	if compact {
		factory = thrift.NewTCompactProtocolFactoryConf(nil)
	}
	return formapi.NewFormServiceClientFactory(framed, factory)
}

func (k *thriftKiosk) Close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.idle {
		c.Close()
	}
	k.idle = nil
}

func (k *thriftKiosk) conn() (*thriftConn, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if n := len(k.idle); n > 0 {
		c := k.idle[n-1]
		k.idle = k.idle[:n-1]
		return c, nil
	}
	c, err := net.DialTimeout("tcp", k.addr, answerGrace)
	if err != nil {
		return nil, err
	}
	return &thriftConn{Conn: c, client: ThriftClient(c, k.compact)}, nil
}

func (k *thriftKiosk) Do(a Request) Answer {
	begin := time.Now()
	c, err := k.conn()
	if err != nil {
		return Answer{Kind: Lost, Err: err, Took: time.Since(begin)}
	}
	c.SetDeadline(begin.Add(a.TimeLeft + answerGrace))
	stop := a.onCancel(func() { c.Close() })
	ans := callThrift(c.client, a)
	stop()
	ans.Took = time.Since(begin)
	if ans.Kind == Lost {
		c.Close()
		return ans
	}
	c.SetDeadline(time.Time{})
	k.mu.Lock()
	k.idle = append(k.idle, c)
	k.mu.Unlock()
	return ans
}

func optional(s string) *string {
	if s == "" {
		return nil
	}
	return &s
}

// callThrift makes one call with the generated client.
func callThrift(c *formapi.FormServiceClient, a Request) Answer {
	ctx := context.Background()
	left := a.TimeLeft.Milliseconds()
	h := &formapi.Header{CorrelationId: a.ID, Tenant: a.Tenant, Key: optional(a.Key),
		IdempotencyKey: optional(a.IdempotencyKey), TimeLeftMs: &left}
	if a.ClientRetry {
		h.Repeat = &a.ClientRetry
	}
	var text string
	var err error
	switch a.Method {
	case Check:
		var r *formapi.FormResult_
		if r, err = c.FormCheck(ctx, h, []byte(a.Text)); err == nil {
			text = r.Text
		}
	case Record:
		var r *formapi.Receipt
		if r, err = c.RefundRecord(ctx, h, 1250, a.Text); err == nil {
			text = r.ReceiptId
		}
	case Pay:
		var r *formapi.Receipt
		if r, err = c.PayOut(ctx, h, 1250); err == nil {
			text = r.ReceiptId
		}
	case Note:
		if err = c.Note(ctx, h, a.Text); err == nil {
			return Answer{Kind: Sent}
		}
	}
	var refused *formapi.Refused
	var failed *formapi.Failed
	var application thrift.TApplicationException
	switch {
	case err == nil:
		return Answer{Kind: Served, Text: text}
	case errors.As(err, &refused):
		return Answer{Kind: Refused, RetryAfter: time.Duration(refused.GetRetryAfterMs()) * time.Millisecond}
	case errors.As(err, &failed):
		return Answer{Kind: Failed, Text: failed.GetReason(), Err: err}
	case errors.As(err, &application):
		return Answer{Kind: BadRequest, Text: application.Error(), Err: err}
	}
	return Answer{Kind: Lost, Err: err}
}
