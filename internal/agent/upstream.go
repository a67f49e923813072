package agent

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ternbeam/choice"
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

// upstream keeps the connections to the backends. Each carries one request at a time. They are the agent's own, not
// those of an http.Transport: that sends a safe or keyed request again by itself when a reused connection breaks, an
// attempt that the module never ordered, and takes bytes behind one answer for the next one.
type upstream struct {
	dial    func(ctx context.Context, network, addr string) (net.Conn, error)
	fields  []string
	timeout time.Duration // of a dial
	idleFor time.Duration
	stall   time.Duration // an answer that has begun may pause for so long
	most    int           // connections

	mu    sync.Mutex
	open  int               // places for connections that are taken
	queue []chan struct{}   // attempts that wait for a place
	used  map[*backend]bool // those with idle connections
}

// answerStall is how long an answer that has begun may pause. Backends send theirs in one go; one whose rest does
// not come is spoilt, and to learn that at the deadline only would be too late for another attempt.
const answerStall = 300 * time.Millisecond

func newUpstream(cfg *Config) *upstream {
	return &upstream{dial: new(net.Dialer).DialContext, fields: cfg.fields, timeout: cfg.connectTimeout(),
		idleFor: cfg.idleFor(), stall: answerStall, most: cfg.backendSockets(), used: map[*backend]bool{}}
}

// conn is a connection to a backend.
type conn struct {
	net.Conn
	since time.Time // idle since
}

// silent reports whether nothing has come on a connection that nobody reads, not even its end.
func silent(c net.Conn) bool {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	var peeked error
	err = raw.Control(func(fd uintptr) {
		_, _, peeked = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && errors.Is(peeked, syscall.EAGAIN)
}

// acquire returns an idle connection or dials a new one.
func (u *upstream) acquire(ctx context.Context, b *backend) (*conn, error) {
	u.mu.Lock()
	for len(b.idle) > 0 {
		c := b.idle[len(b.idle)-1]
		b.idle = b.idle[:len(b.idle)-1]
		if time.Since(c.since) < u.idleFor && silent(c.Conn) { // what comes unasked would pass for the next answer
			u.mu.Unlock()
			return c, nil
		}
		u.closeLocked(c)
	}
	ctx, cancel := context.WithTimeout(ctx, u.timeout)
	defer cancel()
	if err := u.placeLocked(ctx); err != nil {
		u.mu.Unlock()
		return nil, err
	}
	u.mu.Unlock()

	c, err := u.dial(ctx, "tcp", b.addr)
	if err != nil {
		u.mu.Lock()
		u.freeLocked()
		u.mu.Unlock()
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// release takes a connection back, to be used again or to be closed.
func (u *upstream) release(b *backend, c *conn, reuse bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !reuse || b.closed.Load() || len(u.queue) > 0 {
		u.closeLocked(c)
		return
	}
	c.since = time.Now()
	b.idle = append(b.idle, c)
	u.used[b] = true
}

func (u *upstream) closeLocked(c *conn) {
	c.Close()
	u.freeLocked()
}

// freeLocked gives up a place, to whoever has waited for longest.
func (u *upstream) freeLocked() {
	if len(u.queue) == 0 {
		u.open--
		return
	}
	close(u.queue[0])
	u.queue = slices.Delete(u.queue, 0, 1)
}

// placeLocked takes a place for a connection: a free one, that of the connection that has been idle for longest, or
// the next that is given up. Backends that take requests and are silent hold many for as long as a request may
// take, so an end at once would cost those requests that a short wait would serve.
func (u *upstream) placeLocked(ctx context.Context) error {
	if u.open < u.most || u.evictLocked() {
		u.open++
		return nil
	}
	turn := make(chan struct{})
	u.queue = append(u.queue, turn)
	u.mu.Unlock()
	select {
	case <-turn:
		u.mu.Lock()
		return nil
	case <-ctx.Done():
	}
	u.mu.Lock()
	if i := slices.Index(u.queue, turn); i >= 0 {
		u.queue = slices.Delete(u.queue, i, i+1)
	} else {
		u.freeLocked()
	}
	return errNoSocket
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
			stale := time.Since(c.since) >= u.idleFor || !silent(c.Conn)
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
	out, reuse := u.exchange(ctx, c, a)
	u.release(b, c, reuse)
	return out
}

func ended(r choice.Result) attemptResult { return attemptResult{result: r, report: choice.NoReport} }

// count returns the number of connections.
func (u *upstream) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.open
}
