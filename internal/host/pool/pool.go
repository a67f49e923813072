// Package pool manages the connections to servers for all transports. Decisions about them, such as their number, the order of
// waiting attempts and which connections are kept, are made by lifecycle.PoolState; this package handles the sockets.
package pool

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/clock"
	"ternbeam/internal/decide/addresses"
	"ternbeam/internal/decide/lifecycle"
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
	onClose   func()    // records that it was closed
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

	// ListCurrentAt returns the latest time for which the server list is known as it was then, on the agent's clock. It may be nil: the list is
	// taken to be current at all times.
	ListCurrentAt func() time.Duration
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
	identities    identities // has a lock of its own
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
		reuseDelay: lifecycle.NewReuseDelay(set.ReuseDelay), addrs: addresses.NewHistory(set.Addresses),
		identities: identities{servers: map[*lifecycle.Server]*serverIdentity{}, listingDelay: lifecycle.ListingDelay}, startedAt: time.Now()}
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
		if errors.Is(err, syscall.ECONNREFUSED) {
			p.identities.connectionLost(s, clock.Now())
		}
		p.giveUpLocked(lc)
		return nil, err
	}
	p.reportIllegal(at.Connect())
	c := &Conn{Conn: socketio.Wrap(socket), state: lc}
	c.onClose = func() { p.identities.closed(s, c) }
	p.identities.opened(s, c, clock.Now())
	p.reportIllegal(p.state.Open(lc, c))
	return c, nil
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
	p.identities.retired(s)
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
