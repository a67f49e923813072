// Package pool manages the connections to servers for all transports. Decisions about them, such as their number, the order of
// waiting attempts and which connections are kept, are made by lifecycle.PoolState; this package handles the sockets.
package pool

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/addresses"
	"ternbeam/internal/decide/lifecycle"
	"ternbeam/internal/protocol"
	"ternbeam/internal/sysio/peek"
	"ternbeam/internal/sysio/socketio"
)

// ErrNoSlot means that every slot for a connection is in use by an attempt and none was released before the context ended.
var ErrNoSlot = errors.New("no connection slot is free")

// Conn is a connection to a server.
type Conn struct {
	net.Conn
	Session   any // state that its transport keeps with the connection
	state     *lifecycle.Conn
	idleSince time.Time // when it was last released
	checkedAt time.Time // when it was acquired from the idle ones and found usable; zero for a new connection
}

// Settings configure a Pool.
type Settings struct {
	Dial          func(ctx context.Context, network, addr string) (net.Conn, error) // net.Dialer's if nil
	DialTimeout   time.Duration                                                     // includes the wait for a slot
	IdleTimeout   time.Duration                                                     // how long an idle connection is kept and may be used again
	ReuseDelay    time.Duration                                                     // initial idle time of HTTP connections before reuse; ReuseDelay if 0
	MaxReuseWait  time.Duration                                                     // longest wait for the reuse delay; MaxReuseWait if 0
	MaxConns      int                                                               // maximum number of connections to all servers
	OnIllegalStep func(error)                                                       // is called with illegal state transitions; may be nil
	Addresses     addresses.Settings                                                // how servers with several addresses are dialed

	// OnReuseDelay is called when the reuse delay grows, as a server has sent data on an idle connection some time after its answer. It must
	// not block or call the Pool, and may be nil.
	OnReuseDelay func(s *lifecycle.Server, after, delay time.Duration)
}

const (
	// ReuseDelay is the initial lifecycle.ReuseDelay.
	ReuseDelay = 50 * time.Millisecond

	// MaxReuseWait is how long an attempt waits at most for the reuse delay of a connection; a longer wait costs it more than a handshake.
	MaxReuseWait = 10 * time.Millisecond

	// maxDelayedReuses limits how many attempts wait for the reuse delay of a connection while there are free slots for new ones. Where
	// calls arrive so fast that more attempts would wait, a new connection is dialed, which is then reused many times.
	maxDelayedReuses = 4

	// recheckAfter is the age of the last check of an idle connection at which it is checked again before it is written to. The
	// steps in between take less time, unless the process is suspended.
	recheckAfter = 5 * time.Millisecond
)

// Pool holds the connections to all servers. It is safe for concurrent use.
type Pool struct {
	set Settings

	mu            sync.Mutex
	state         *lifecycle.PoolState
	granted       map[*lifecycle.Conn]chan struct{} // channels of waiting attempts, closed once their connection has a slot
	addrs         *addresses.History
	extraDials    int // dials in progress beyond the first of each race
	delayedReuses int // attempts that wait for the reuse delay of a connection
	reuseDelay    *lifecycle.ReuseDelay
	startedAt     time.Time
}

// New returns an empty Pool.
func New(set Settings) *Pool {
	if set.Dial == nil {
		set.Dial = new(net.Dialer).DialContext
	}
	if set.OnIllegalStep == nil {
		set.OnIllegalStep = func(error) {}
	}
	if set.ReuseDelay == 0 {
		set.ReuseDelay = ReuseDelay
	}
	if set.MaxReuseWait == 0 {
		set.MaxReuseWait = MaxReuseWait
	}
	return &Pool{set: set, state: lifecycle.NewPoolState(set.MaxConns), granted: map[*lifecycle.Conn]chan struct{}{},
		reuseDelay: lifecycle.NewReuseDelay(set.ReuseDelay), addrs: addresses.NewHistory(set.Addresses), startedAt: time.Now()}
}

// Acquire returns an idle connection for a protocol, or dials a new one. A server that supports several protocols speaks
// only one of them on each connection. It returns ErrNoSlot if no slot becomes free in time, or the error of the dial.
func (p *Pool) Acquire(ctx context.Context, s *lifecycle.Server, speaks choice.Protocols, at *lifecycle.Attempt) (*Conn, error) {
	p.mu.Lock()
	for lc := p.state.AcquireIdle(s, speaks, p.reuseDelayOver); lc != nil; lc = p.state.AcquireIdle(s, speaks, p.reuseDelayOver) {
		c := lc.Host.(*Conn)
		if left := p.reuseDelayLeft(c); left > 0 {
			if left > p.set.MaxReuseWait || p.delayedReuses >= maxDelayedReuses && p.state.HasFreeSlot() {
				p.returnLocked(c, true)
				break // dial a new one
			}
			if !p.waitLocked(ctx, left) {
				p.returnLocked(c, true)
				p.mu.Unlock()
				return nil, ErrNoSlot
			}
		}
		if p.usableLocked(c) {
			c.checkedAt = time.Now()
			p.mu.Unlock()
			p.reportIllegal(at.Connect())
			return c, nil
		}
		p.returnLocked(c, false)
	}
	ctx, cancel := context.WithTimeout(ctx, p.set.DialTimeout)
	defer cancel()
	lc, err := p.reserveLocked(ctx, s, speaks)
	p.mu.Unlock()
	if err != nil {
		return nil, err
	}

	p.reportIllegal(at.Dial())
	socket, err := p.dial(ctx, s)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.giveUpLocked(lc)
		return nil, err
	}
	p.reportIllegal(at.Connect())
	c := &Conn{Conn: socketio.Wrap(socket), state: lc}
	p.reportIllegal(p.state.Open(lc, c))
	return c, nil
}

// usableLocked reports whether an idle connection may carry a request: its server has not closed it and is not about to, and has sent no
// unsolicited data, which would be taken for the next answer.
func (p *Pool) usableLocked(c *Conn) bool {
	return time.Since(c.idleSince) < p.set.IdleTimeout && p.unreadLocked(c) == peek.UnreadNothing
}

// unreadLocked returns what is unread on an idle connection. It records unsolicited data.
func (p *Pool) unreadLocked(c *Conn) peek.Unread {
	unread := peek.UnreadOf(c.Conn)
	if unread == peek.UnreadData && c.state.Speaks&protocol.HTTP != 0 {
		p.recordUnsolicitedLocked(c)
	}
	return unread
}

// recordUnsolicitedLocked records that a server has sent data on an idle connection.
func (p *Pool) recordUnsolicitedLocked(c *Conn) {
	idle := time.Since(c.idleSince)
	since, known := peek.SinceLastData(c.Conn)
	if !known {
		return
	}
	after := max(0, idle-since)
	if delay, grown := p.reuseDelay.RecordUnsolicited(after); grown && p.set.OnReuseDelay != nil {
		p.set.OnReuseDelay(c.state.Server, after, delay)
	}
}

// StillUsable reports whether a request may still be written to an acquired connection. It is called right before the first byte is
// written, and checks again whether it is usable if the process may have been suspended since the connection was acquired from the idle ones.
func (p *Pool) StillUsable(c *Conn) bool {
	if c.checkedAt.IsZero() || time.Since(c.checkedAt) < recheckAfter {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usableLocked(c)
}

// reuseDelayLeft returns how long a connection must still stay idle before it can be reused. It may be negative.
func (p *Pool) reuseDelayLeft(c *Conn) time.Duration {
	if c.state.Speaks&protocol.HTTP == 0 { // Thrift replies carry the ids of their calls
		return 0
	}
	return p.reuseDelay.Left(time.Since(c.idleSince))
}

// reuseDelayOver reports whether a connection has been idle for the reuse delay. It does not tell whether the connection is usable.
func (p *Pool) reuseDelayOver(lc *lifecycle.Conn) bool { return p.reuseDelayLeft(lc.Host.(*Conn)) <= 0 }

// waitLocked releases the lock and waits. It returns false if the context ended before.
func (p *Pool) waitLocked(ctx context.Context, d time.Duration) bool {
	p.delayedReuses++
	p.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	elapsed := false
	select {
	case <-timer.C:
		elapsed = true
	case <-ctx.Done():
	}
	p.mu.Lock()
	p.delayedReuses--
	return elapsed
}

// dial connects to a server, at whichever of its addresses connects first.
func (p *Pool) dial(ctx context.Context, s *lifecycle.Server) (net.Conn, error) {
	if len(s.Addrs) < 2 {
		_, network, target := addresses.Parse(s.Addr)
		return p.set.Dial(ctx, network, target)
	}
	return p.race(ctx, s)
}

// LastConnected returns the one of a server's addresses that last connected successfully, or "" if none is known.
func (p *Pool) LastConnected(addrs []string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addrs.LastConnected(time.Since(p.startedAt), addrs)
}

// RestoreConnected records addresses that connected successfully in an earlier process.
func (p *Pool) RestoreConnected(addrs []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, addr := range addrs {
		p.addrs.RecordSuccess(time.Since(p.startedAt), addr)
	}
}

// dialResult is the result of one dial.
type dialResult struct {
	addr string
	conn net.Conn
	err  error
}

// race dials several addresses in the order and at the times that addresses.Race decides, and closes the connections that lose.
func (p *Pool) race(ctx context.Context, s *lifecycle.Server) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.mu.Lock()
	r := p.addrs.NewRace(time.Since(p.startedAt), s.Addrs)
	p.mu.Unlock()
	results := make(chan dialResult, len(s.Addrs)) // buffered so that late dials do not block
	// The number of dials in progress, and how many of them are counted in extraDials.
	pending, extra := 0, 0
	defer func() {
		go func() { // collect the dials in progress, which the context ends
			for range pending {
				if d := <-results; d.conn != nil {
					d.conn.Close()
				}
			}
			p.mu.Lock()
			defer p.mu.Unlock()
			p.extraDials -= extra
		}()
	}()
	var lastErr error
	for {
		p.mu.Lock()
		open, _, _ := p.state.Count()
		toDial := r.Start(time.Since(p.startedAt), p.set.MaxConns-open-p.extraDials+extra)
		due, more := r.NextStart()
		p.extraDials -= extra
		extra = max(0, pending+len(toDial)-1)
		p.extraDials += extra
		p.mu.Unlock()
		for _, addr := range toDial {
			pending++
			go func() {
				_, network, target := addresses.Parse(addr)
				conn, err := p.set.Dial(ctx, network, target)
				results <- dialResult{addr, conn, err}
			}()
		}
		var next <-chan time.Time
		if wait := due - time.Since(p.startedAt); more && wait > 0 {
			timer := time.NewTimer(wait)
			defer timer.Stop()
			next = timer.C
		}
		select {
		case d := <-results:
			pending--
			p.mu.Lock()
			now, allFailed := time.Since(p.startedAt), false
			if d.err == nil {
				r.Connected(now, d.addr)
			} else {
				allFailed = r.Failed(now, d.addr)
			}
			p.mu.Unlock()
			if d.err == nil {
				return d.conn, nil
			}
			if lastErr = d.err; allFailed {
				return nil, lastErr
			}
		case <-next:
		case <-ctx.Done():
			p.mu.Lock()
			r.TimedOut(time.Since(p.startedAt))
			p.mu.Unlock()
			return nil, errors.Join(context.Cause(ctx), lastErr)
		}
	}
}

// reportIllegal reports an illegal state transition.
func (p *Pool) reportIllegal(err error) {
	if err != nil {
		p.set.OnIllegalStep(err)
	}
}

// reserveLocked waits for a slot for a connection.
func (p *Pool) reserveLocked(ctx context.Context, s *lifecycle.Server, speaks choice.Protocols) (*lifecycle.Conn, error) {
	lc, evicted := p.state.ReserveSlot(s, speaks)
	if evicted != nil {
		c := evicted.Host.(*Conn)
		p.unreadLocked(c) // a second answer may have arrived on it
		c.Close()
	}
	if lc.State() != lifecycle.Queued {
		return lc, nil
	}
	turn := make(chan struct{})
	p.granted[lc] = turn
	p.mu.Unlock()
	select {
	case <-turn:
		p.mu.Lock()
		return lc, nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	delete(p.granted, lc)
	p.giveUpLocked(lc) // it may just have been given a slot
	return nil, ErrNoSlot
}

func (p *Pool) giveUpLocked(lc *lifecycle.Conn) {
	next, err := p.state.Abort(lc)
	p.reportIllegal(err)
	p.grantLocked(next)
}

// grantLocked wakes the attempts whose connections were given a slot.
func (p *Pool) grantLocked(next ...*lifecycle.Conn) {
	for _, lc := range next {
		if turn := p.granted[lc]; turn != nil {
			close(turn)
			delete(p.granted, lc)
		}
	}
}

// Release returns a connection to the pool, which keeps it if reuse is true and there is no other need for its slot, and closes it
// otherwise.
func (p *Pool) Release(c *Conn, reuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = time.Now()
	p.returnLocked(c, reuse)
}

func (p *Pool) returnLocked(c *Conn, reuse bool) {
	if !reuse {
		p.reportIllegal(c.state.Spoil())
	}
	kept, next, err := p.state.Release(c.state)
	p.reportIllegal(err)
	if !kept {
		c.Close()
		p.grantLocked(next)
	}
}

// Sweep closes the connections that have been idle for too long or that the server has closed.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, lc := range p.state.Idle() {
		if c := lc.Host.(*Conn); !p.usableLocked(c) {
			c.Close()
			next, err := p.state.CloseIdle(lc)
			p.reportIllegal(err)
			p.grantLocked(next)
		}
	}
}

// Retire closes the idle connections to a server and hands out none of its connections any more. Attempts in flight continue.
func (p *Pool) Retire(s *lifecycle.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(p.state.RetireServer(s))
}

// closeLocked closes connections that lifecycle.PoolState drops, and wakes the attempts that are given their slots.
func (p *Pool) closeLocked(closed, next []*lifecycle.Conn) {
	for _, lc := range closed {
		lc.Host.(*Conn).Close()
	}
	p.grantLocked(next...)
}

// SetMaxConns changes the maximum number of connections. If there are more, idle ones are closed now, the longest idle first, and
// those in use when they are released.
func (p *Pool) SetMaxConns(maxConns int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(p.state.SetLimit(maxConns))
}

// Count returns how many slots are in use, how many of them by idle connections, and how many attempts wait for a slot.
func (p *Pool) Count() (open, idle, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Count()
}
