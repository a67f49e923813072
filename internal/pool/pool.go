// Package pool keeps the connections to servers, for every transport: a bound on their number, the order in which
// attempts wait for a place, the look at an idle one before it is used again, and the retirement of a server.
package pool

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/peek"
)

// ErrNoPlace says that every place for a connection is in use by an attempt.
var ErrNoPlace = errors.New("no place left for a connection")

// Server is one life of a server at one address. One with a new address or start is another one.
type Server struct {
	ID          string
	Addr        string
	Started     int64 // Unix milliseconds, as the list has it
	Speaks      choice.Protocols
	Multiplexed bool // takes several calls at a time on a connection

	retired atomic.Bool
	idle    []*Conn // guarded by Pool.mu, the latest last
}

// Retired reports whether the server drains, is gone or was replaced: nothing new is sent.
func (s *Server) Retired() bool { return s.retired.Load() }

// Conn is a connection to a server.
type Conn struct {
	net.Conn
	Session any // what its transport keeps with it
	speaks  choice.Protocols
	since   time.Time // idle since
}

// Settings bound a Pool.
type Settings struct {
	Dial        func(ctx context.Context, network, addr string) (net.Conn, error) // net.Dialer's where nil
	DialTimeout time.Duration                                                     // with the wait for a place
	IdleFor     time.Duration                                                     // an idle connection may still be used
	Most        int                                                               // connections
}

// Pool holds the connections to all servers. It may be used by several goroutines.
type Pool struct {
	set Settings

	mu    sync.Mutex
	open  int              // places that are taken
	queue []chan struct{}  // attempts that wait for a place
	used  map[*Server]bool // those with idle connections
}

// New returns an empty Pool.
func New(set Settings) *Pool {
	if set.Dial == nil {
		set.Dial = new(net.Dialer).DialContext
	}
	return &Pool{set: set, used: map[*Server]bool{}}
}

// Acquire returns an idle connection on which the protocol was spoken, or dials a new one: a server that speaks
// several keeps to one on each connection.
func (p *Pool) Acquire(ctx context.Context, s *Server, speaks choice.Protocols) (*Conn, error) {
	p.mu.Lock()
	for i := len(s.idle) - 1; i >= 0; i-- {
		c := s.idle[i]
		if c.speaks != speaks {
			continue
		}
		s.idle = slices.Delete(s.idle, i, i+1)
		if time.Since(c.since) < p.set.IdleFor && peek.Silent(c.Conn) { // what comes unasked would pass for the next answer
			p.mu.Unlock()
			return c, nil
		}
		p.closeLocked(c)
	}
	ctx, cancel := context.WithTimeout(ctx, p.set.DialTimeout)
	defer cancel()
	if err := p.placeLocked(ctx); err != nil {
		p.mu.Unlock()
		return nil, err
	}
	p.mu.Unlock()

	c, err := p.set.Dial(ctx, "tcp", s.Addr)
	if err != nil {
		p.mu.Lock()
		p.freeLocked()
		p.mu.Unlock()
		return nil, err
	}
	return &Conn{Conn: c, speaks: speaks}, nil
}

// Release takes a connection back, to be used again or to be closed.
func (p *Pool) Release(s *Server, c *Conn, reuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !reuse || s.Retired() || len(p.queue) > 0 {
		p.closeLocked(c)
		return
	}
	c.since = time.Now()
	s.idle = append(s.idle, c)
	p.used[s] = true
}

func (p *Pool) closeLocked(c *Conn) {
	c.Close()
	p.freeLocked()
}

// freeLocked gives up a place, to whoever has waited for longest.
func (p *Pool) freeLocked() {
	if len(p.queue) == 0 {
		p.open--
		return
	}
	close(p.queue[0])
	p.queue = slices.Delete(p.queue, 0, 1)
}

// placeLocked takes a place for a connection: a free one, that of the connection that has been idle for longest, or
// the next that is given up. Servers that take calls and are silent hold many for as long as a call may take, so an
// end at once would cost those calls that a short wait would serve.
func (p *Pool) placeLocked(ctx context.Context) error {
	if p.open < p.set.Most || p.evictLocked() {
		p.open++
		return nil
	}
	turn := make(chan struct{})
	p.queue = append(p.queue, turn)
	p.mu.Unlock()
	select {
	case <-turn:
		p.mu.Lock()
		return nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	if i := slices.Index(p.queue, turn); i >= 0 {
		p.queue = slices.Delete(p.queue, i, i+1)
	} else {
		p.freeLocked()
	}
	return ErrNoPlace
}

// evictLocked closes the connection that has been idle for longest, if there is one.
func (p *Pool) evictLocked() bool {
	var oldest *Server
	for s := range p.used {
		if len(s.idle) > 0 && (oldest == nil || s.idle[0].since.Before(oldest.idle[0].since)) {
			oldest = s
		}
	}
	if oldest == nil {
		return false
	}
	p.closeLocked(oldest.idle[0])
	oldest.idle = slices.Delete(oldest.idle, 0, 1)
	return true
}

// Sweep closes the connections that have been idle for too long or that the server has closed.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.used {
		s.idle = slices.DeleteFunc(s.idle, func(c *Conn) bool {
			stale := time.Since(c.since) >= p.set.IdleFor || !peek.Silent(c.Conn)
			if stale {
				p.closeLocked(c)
			}
			return stale
		})
		if len(s.idle) == 0 {
			delete(p.used, s)
		}
	}
}

// Retire ends the sending to a server. Attempts in flight go on.
func (p *Pool) Retire(s *Server) {
	s.retired.Store(true)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range s.idle {
		p.closeLocked(c)
	}
	s.idle = nil
	delete(p.used, s)
}

// Count returns how many places are taken, how many of them by idle connections, and how many attempts wait for one.
func (p *Pool) Count() (open, idle, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.used {
		idle += len(s.idle)
	}
	return p.open, idle, len(p.queue)
}
