package life

import (
	"fmt"
	"slices"
	"sync/atomic"

	"ternbeam/choice"
)

// Server is one life of a server at one address. One with a new address or start is another one.
type Server struct {
	ID          string
	Addr        string
	Started     int64 // Unix milliseconds, as the list has it
	Speaks      choice.Protocols
	Multiplexed bool // takes several calls at a time on a connection

	retired atomic.Bool
}

// Retired reports whether the server drains, is gone or was replaced: nothing new is sent.
func (s *Server) Retired() bool { return s.retired.Load() }

// Retire says that nothing new may be sent from now on.
func (s *Server) Retire() { s.retired.Store(true) }

// ConnState is the state of a connection to a server.
type ConnState int

// The states of a connection.
const (
	InUse ConnState = iota
	Idle
	Closed
)

var connNames = [...]string{"in use", "idle", "closed"}

func (s ConnState) String() string { return connNames[s] }

// Conn is the life of a connection from when it came up.
type Conn struct {
	Server *Server
	Speaks choice.Protocols // what is spoken on it
	Host   any              // the connection itself
	state  ConnState

	before, after *Conn // among all that are idle, by when they became so
}

// State returns the connection's state.
func (c *Conn) State() ConnState { return c.state }

func (c *Conn) to(s ConnState, from ...ConnState) error {
	if !slices.Contains(from, c.state) {
		return fmt.Errorf("life: a connection that is %s can't be %s", c.state, s)
	}
	c.state = s
	return nil
}

// Claim is an attempt's wait for a connection. Once granted it has a place, in which a connection is to be dialled.
type Claim struct{ granted bool }

// Granted reports whether the claim has a place.
func (c *Claim) Granted() bool { return c.granted }

// Book keeps account of the connections to all servers: a bound on their number, whose turn it is for the next place,
// and which are idle. Each idle one is held by its Conn; whoever keeps the Book closes what it is told to close.
type Book struct {
	most  int
	open  int // places that are taken
	queue []*Claim
	idle  map[*Server][]*Conn // the latest last
	ring  Conn                // all that are idle, the longest first, and back to it
	count int                 // of them
}

// NewBook returns a Book for so many connections at the most.
func NewBook(most int) *Book {
	b := &Book{most: most, idle: map[*Server][]*Conn{}}
	b.ring.before, b.ring.after = &b.ring, &b.ring
	return b
}

// Count returns how many places are taken, how many of them by idle connections, and how many claims wait.
func (b *Book) Count() (open, idle, waiting int) { return b.open, b.count, len(b.queue) }

// Lend lends an idle connection to a server on which the protocol is spoken, the latest that became idle, or nil. The
// caller looks whether it is still silent, and gives it back to be closed if not.
func (b *Book) Lend(s *Server, speaks choice.Protocols) *Conn {
	all := b.idle[s]
	for i := len(all) - 1; i >= 0; i-- {
		if c := all[i]; c.Speaks == speaks {
			b.forget(c)
			c.state = InUse
			return c
		}
	}
	return nil
}

// Claim asks for a place: a free one, that of the connection that has been idle for longest, which is then to be
// closed, or the next that is given up. Servers that take calls and are silent hold many places for as long as a call
// may take, so an end at once would cost those calls that a short wait would serve.
func (b *Book) Claim() (c *Claim, evicted *Conn) {
	c = &Claim{}
	switch {
	case b.open < b.most:
		b.open++
		c.granted = true
	case b.count > 0:
		evicted = b.ring.after
		b.forget(evicted)
		evicted.state = Closed // its place goes on
		c.granted = true
	default:
		b.queue = append(b.queue, c)
	}
	return c, evicted
}

// Cancel gives up a claim that waits. A claim that was granted meanwhile must be given up by Free.
func (b *Book) Cancel(c *Claim) (waited bool) {
	i := slices.Index(b.queue, c)
	if i >= 0 {
		b.queue = slices.Delete(b.queue, i, i+1)
	}
	return i >= 0
}

// Free gives up a place in which no connection came up. The claim that has waited for longest gets it, if there is one.
func (b *Book) Free() (next *Claim) {
	if len(b.queue) == 0 {
		b.open--
		return nil
	}
	next = b.queue[0]
	b.queue = slices.Delete(b.queue, 0, 1)
	next.granted = true
	return next
}

// Return takes a connection back. It is kept if it may be used again, and nobody waits for its place; otherwise it is
// to be closed, and the claim that is returned has its place.
func (b *Book) Return(c *Conn, reuse bool) (kept bool, next *Claim, err error) {
	if reuse && !c.Server.Retired() && len(b.queue) == 0 {
		if err := c.to(Idle, InUse); err != nil {
			return false, nil, err
		}
		b.idle[c.Server] = append(b.idle[c.Server], c)
		c.before, c.after = b.ring.before, &b.ring
		c.before.after, b.ring.before = c, c
		b.count++
		return true, nil, nil
	}
	if err := c.to(Closed, InUse); err != nil {
		return false, nil, err
	}
	return false, b.Free(), nil
}

// Drop closes an idle connection, whose time is over or whose server has closed it.
func (b *Book) Drop(c *Conn) (next *Claim, err error) {
	if err := c.to(Closed, Idle); err != nil {
		return nil, err
	}
	b.forget(c)
	return b.Free(), nil
}

// Retire ends the sending to a server and returns its idle connections, which are closed. Those in use go on.
func (b *Book) Retire(s *Server) (closed []*Conn, next []*Claim) {
	s.Retire()
	closed = slices.Clone(b.idle[s])
	for _, c := range closed {
		if claim, err := b.Drop(c); err == nil && claim != nil {
			next = append(next, claim)
		}
	}
	delete(b.idle, s)
	return closed, next
}

// Idle returns all idle connections, the longest first.
func (b *Book) Idle() (all []*Conn) {
	for c := b.ring.after; c != &b.ring; c = c.after {
		all = append(all, c)
	}
	return all
}

// Opened says that a connection came up in a place: it is in use.
func (b *Book) Opened(s *Server, speaks choice.Protocols, host any) *Conn {
	return &Conn{Server: s, Speaks: speaks, Host: host}
}

// forget takes a connection out of the idle ones. The room for those of its server is kept until it retires.
func (b *Book) forget(c *Conn) {
	all := b.idle[c.Server]
	b.idle[c.Server] = slices.DeleteFunc(all, func(o *Conn) bool { return o == c })
	c.before.after, c.after.before = c.after, c.before
	c.before, c.after = nil, nil
	b.count--
}
