package agent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"olivemux/choice"
	"olivemux/internal/wire"
)

// maxBody is the most that a request's or an answer's body may hold.
const maxBody = 64 << 10

// errWithdrawn is why an attempt ends that the module cancels.
var errWithdrawn = errors.New("withdrawn by the module")

// errNoSocket says that every descriptor for backends is in use by an attempt.
var errNoSocket = errors.New("no descriptor left for a connection")

// backend is one life of a backend at one address. A backend with a new address or start is another one.
type backend struct {
	id        string
	addr      string
	startedMS int64
	closed    atomic.Bool // drains, is gone or was replaced: nothing new is sent
	idle      []*conn     // guarded by upstream.mu, the latest last
}

// attempt is what an upstream needs to know of one attempt.
type attempt struct {
	req     *request
	n       int
	backend *backend
	sent    time.Duration // on the module's clock
	cancel  context.CancelCauseFunc
}

// attemptResult is how an attempt ended.
type attemptResult struct {
	result      choice.Result
	report      choice.Report
	contentType string
	body        []byte
}

// upstream keeps the connections to the backends. Each carries one request at a time.
type upstream struct {
	transport *http.Transport
	fields    []string
	timeout   time.Duration // of a dial
	idleFor   time.Duration
	most      int // connections

	mu   sync.Mutex
	open int
	used map[*backend]bool // those with idle connections
}

func newUpstream(cfg *Config) *upstream {
	dialer := &net.Dialer{Timeout: cfg.connectTimeout()}
	return &upstream{
		// The transport only makes connections: its own pool would send a safe or keyed request again by itself
		// when a reused connection breaks, an attempt that the module never ordered.
		transport: &http.Transport{
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxBody,
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				c, err := dialer.DialContext(ctx, network, addr)
				if err != nil {
					return nil, err
				}
				m := &meteredConn{Conn: c}
				if out, ok := ctx.Value(meterKey{}).(**meteredConn); ok {
					*out = m
				}
				return m, nil
			},
		},
		fields: cfg.fields, timeout: cfg.connectTimeout(), idleFor: cfg.idleFor(), most: cfg.backendSockets(),
		used: map[*backend]bool{},
	}
}

// conn is a connection to a backend.
type conn struct {
	*http.ClientConn
	meter *meteredConn
	since time.Time // idle since
}

type meterKey struct{}

// meteredConn knows whether a request can have been written whole.
type meteredConn struct {
	net.Conn
	mu     sync.Mutex
	closed bool
	begun  int  // writes begun for the request at hand
	failed bool // one of them fell short
}

func (m *meteredConn) Write(p []byte) (int, error) {
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		return 0, net.ErrClosed
	}
	m.begun++
	m.mu.Unlock()
	n, err := m.Conn.Write(p)
	if n < len(p) {
		m.mu.Lock()
		m.failed = true
		m.mu.Unlock()
	}
	return n, err
}

func (m *meteredConn) Close() error {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	return m.Conn.Close()
}

func (m *meteredConn) reset() {
	m.mu.Lock()
	m.begun, m.failed = 0, false
	m.mu.Unlock()
}

// incomplete reports whether the request's last byte was certainly not written. It holds for a closed
// connection only: on an open one a write may still begin.
func (m *meteredConn) incomplete() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.closed && (m.begun == 0 || m.failed)
}

// acquire returns an idle connection or dials a new one.
func (u *upstream) acquire(ctx context.Context, b *backend) (*conn, error) {
	u.mu.Lock()
	for len(b.idle) > 0 {
		c := b.idle[len(b.idle)-1]
		b.idle = b.idle[:len(b.idle)-1]
		if c.Err() == nil && time.Since(c.since) < u.idleFor {
			u.mu.Unlock()
			c.meter.reset()
			return c, nil
		}
		u.closeLocked(c)
	}
	if u.open >= u.most && !u.evictLocked() {
		u.mu.Unlock()
		return nil, errNoSocket
	}
	u.open++
	u.mu.Unlock()

	var meter *meteredConn
	ctx, cancel := context.WithTimeout(context.WithValue(ctx, meterKey{}, &meter), u.timeout)
	defer cancel()
	cc, err := u.transport.NewClientConn(ctx, "http", b.addr)
	if err != nil {
		u.mu.Lock()
		u.open--
		u.mu.Unlock()
		return nil, err
	}
	return &conn{ClientConn: cc, meter: meter}, nil
}

// release takes a connection back, to be used again or to be closed.
func (u *upstream) release(b *backend, c *conn, reuse bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !reuse || c.Err() != nil || b.closed.Load() {
		u.closeLocked(c)
		return
	}
	c.since = time.Now()
	b.idle = append(b.idle, c)
	u.used[b] = true
}

func (u *upstream) closeLocked(c *conn) {
	c.Close()
	u.open--
}

// evictLocked closes the connection that has been idle for longest, if there is one.
func (u *upstream) evictLocked() bool {
	var oldest *backend
	for b := range u.used {
		if len(b.idle) > 0 && (oldest == nil || b.idle[0].since.Before(oldest.idle[0].since)) {
			oldest = b
		}
	}
	if oldest == nil {
		return false
	}
	u.closeLocked(oldest.idle[0])
	oldest.idle = slices.Delete(oldest.idle, 0, 1)
	return true
}

// sweep closes the connections that have been idle for too long or that the backend has closed.
func (u *upstream) sweep() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for b := range u.used {
		b.idle = slices.DeleteFunc(b.idle, func(c *conn) bool {
			stale := c.Err() != nil || time.Since(c.since) >= u.idleFor
			if stale {
				u.closeLocked(c)
			}
			return stale
		})
		if len(b.idle) == 0 {
			delete(u.used, b)
		}
	}
}

// retire ends the sending to a backend. Attempts in flight go on.
func (u *upstream) retire(b *backend) {
	b.closed.Store(true)
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range b.idle {
		u.closeLocked(c)
	}
	b.idle = nil
	delete(u.used, b)
}

// do makes an attempt; ctx ends when its time is up or it is withdrawn.
func (u *upstream) do(ctx context.Context, a *attempt) attemptResult {
	b := a.backend
	c, err := u.acquire(ctx, b)
	switch {
	case errors.Is(err, errNoSocket):
		return ended(choice.NotSent)
	case err != nil && errors.Is(context.Cause(ctx), errWithdrawn):
		return ended(choice.Cancelled)
	case err != nil:
		return ended(choice.ConnectFailed)
	}
	// A dial takes time: what was right to send before may not be any more.
	switch {
	case errors.Is(context.Cause(ctx), errWithdrawn):
		u.release(b, c, true)
		return ended(choice.Cancelled)
	case ctx.Err() != nil || a.req.over.Load():
		u.release(b, c, true)
		return ended(choice.NotSent)
	case b.closed.Load():
		u.release(b, c, false)
		return ended(choice.ConnectFailed)
	}
	out, reuse, err := u.exchange(ctx, c, a)
	if err == nil {
		u.release(b, c, reuse)
		return out
	}
	u.release(b, c, false) // closes it: no write begins from here on
	switch {
	case errors.Is(context.Cause(ctx), errWithdrawn):
		out.result = choice.Cancelled
	case c.meter.incomplete():
		out.result = choice.ConnectFailed
	case ctx.Err() != nil:
		out.result = choice.TimedOut
	default:
		out.result = choice.Reset
	}
	return out
}

func ended(r choice.Result) attemptResult { return attemptResult{result: r, report: choice.NoReport} }

// exchange sends the request and reads the answer whole. With an error the request may have run, unless the
// meter says otherwise.
func (u *upstream) exchange(ctx context.Context, c *conn, a *attempt) (out attemptResult, reuse bool, err error) {
	out = ended(choice.Failed)
	resp, err := c.RoundTrip(a.req.forward(ctx, a.backend.addr))
	if err != nil {
		return out, false, err
	}
	defer resp.Body.Close()
	out.report = parseReport(resp.Header.Get("X-Backend-Load"), u.fields)
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err != nil {
		return out, false, err
	}
	if len(body) > maxBody {
		return out, false, nil // an error of the backend's; the rest is not worth reading
	}
	framed := resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked")
	switch {
	case resp.StatusCode == http.StatusOK && !framed:
		// The end of the connection ends such an answer, so that nobody can tell whether it is whole.
		return out, false, fmt.Errorf("answer of unknown length from %s", a.backend.id)
	case resp.StatusCode == http.StatusOK:
		out.result, out.body, out.contentType = choice.OK, body, resp.Header.Get("Content-Type")
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Unprocessed") == "1":
		out.result = choice.Rejected
	}
	return out, !resp.Close, nil
}

// forward words the request for a backend.
func (r *request) forward(ctx context.Context, addr string) *http.Request {
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
	if end, ok := ctx.Deadline(); ok {
		left := max(time.Until(end), 0)
		out.Header.Set("X-Time-Left", strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
	}
	if len(r.body) > 0 {
		out.Body, out.ContentLength = io.NopCloser(bytes.NewReader(r.body)), int64(len(r.body))
	}
	return out.WithContext(ctx)
}

// parseReport reads a load report such as "TEXT util=0.61, qps=40". What can't be read is passed over.
func parseReport(text string, fields []string) choice.Report {
	report := choice.NoReport
	text, ok := strings.CutPrefix(strings.TrimSpace(text), "TEXT ")
	if !ok {
		return report
	}
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(part, "=")
		x, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if name = strings.TrimSpace(name); err == nil && !math.IsNaN(x) && !math.IsInf(x, 0) &&
			x >= 0 && slices.Contains(fields, name) {
			wire.SetField(&report, name, x)
		}
	}
	return report
}

// count returns the number of connections.
func (u *upstream) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.open
}
