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
	Addrs       []string // all, where there are several
	Started     int64    // Unix milliseconds, as the list has it
	Speaks      choice.Protocols
	Multiplexed bool   // takes several calls at a time on a connection
	Identity    uint64 // the ledger's: what makes it this server in this life

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
	Queued   ConnState = iota // waits for a place
	Dialled                   // has a place, and is being dialled
	InUse                     // carries an attempt, or several
	Idle                      // may be lent
	Spoilt                    // in use, and must not be used again: nobody can tell what is on it
	Retiring                  // in use, and must not be used again: its server drains, is gone or was replaced
	Closed
)

var connNames = [...]string{"queued", "dialled", "in use", "idle", "spoilt", "retiring", "closed"}

func (s ConnState) String() string { return connNames[s] }

// Conn is the life of a connection, from the wait for a place on.
type Conn struct {
	Server *Server
	Speaks choice.Protocols // what is spoken on it
	Host   any              // the connection itself, once it is up
	state  ConnState

	before, after *Conn // among all that are idle, by when they became so
}

// State returns the connection's state.
func (c *Conn) State() ConnState {
	if c.state == InUse && c.Server.Retired() {
		return Retiring
	}
	return c.state
}

func (c *Conn) to(s ConnState, from ...ConnState) error {
	if !slices.Contains(from, c.state) {
		return fmt.Errorf("life: a connection that is %s can't be %s", c.State(), s)
	}
	c.state = s
	return nil
}

// Spoil says that nobody can tell what is on a connection in use: it must not be used again.
func (c *Conn) Spoil() error { return c.to(Spoilt, InUse, Spoilt) }

// Book keeps account of the connections to all servers: a bound on their number, whose turn it is for the next place,
// and which are idle. Each idle one is held by its Conn; whoever keeps the Book closes what it is told to close.
type Book struct {
	most  int
	open  int                 // places that are taken
	queue []*Conn             // that wait for one, the longest first
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

// Bound sets another bound. Where more places are taken than it allows, idle connections are to be closed, those that have
// been idle for longest first, and those in use when they are returned. Who waits gets the places that it adds.
func (b *Book) Bound(most int) (closed, next []*Conn) {
	b.most = most
	for b.open > b.most && b.count > 0 {
		c := b.ring.after
		b.Drop(c) // its place goes to nobody, as there are too many
		closed = append(closed, c)
	}
	for b.open < b.most && len(b.queue) > 0 {
		b.open++
		next = append(next, b.free())
	}
	return closed, next
}

// Count returns how many places are taken, how many of them by idle connections, and how many wait for one.
func (b *Book) Count() (open, idle, waiting int) { return b.open, b.count, len(b.queue) }

// Lend lends an idle connection to a server on which the protocol is spoken, or nil: the latest that became idle of those that
// have rested, as rested says, or else the first that will have; all have where it is nil. The caller looks whether it is still
// silent, and gives it back to be closed if not.
func (b *Book) Lend(s *Server, speaks choice.Protocols, rested func(*Conn) bool) (lent *Conn) {
	all := b.idle[s]
	for i := len(all) - 1; i >= 0; i-- {
		if c := all[i]; c.Speaks == speaks {
			if lent = c; rested == nil || rested(c) {
				break
			}
		}
	}
	if lent != nil {
		b.forget(lent)
		lent.state = InUse
	}
	return lent
}

// Claim asks for a place for a new connection: a free one, that of the connection that has been idle for longest, which
// is then to be closed, or the next that is given up, for which it is queued. Servers that take calls and are silent
// hold many places for as long as a call may take, so an end at once would cost those calls that a short wait would
// serve.
func (b *Book) Claim(s *Server, speaks choice.Protocols) (c, evicted *Conn) {
	c = &Conn{Server: s, Speaks: speaks, state: Dialled}
	switch {
	case b.open < b.most:
		b.open++
	case b.count > 0:
		evicted = b.ring.after
		b.forget(evicted)
		evicted.state = Closed // its place goes on
	default:
		c.state = Queued
		b.queue = append(b.queue, c)
	}
	return c, evicted
}

// Open says that a connection has come up: it is in use.
func (b *Book) Open(c *Conn, host any) error {
	if err := c.to(InUse, Dialled); err != nil {
		return err
	}
	c.Host = host
	return nil
}

// GiveUp ends a connection that has not come up. The one that has waited for longest gets its place, if it had one.
func (b *Book) GiveUp(c *Conn) (next *Conn, err error) {
	queued := c.state == Queued
	if err := c.to(Closed, Queued, Dialled); err != nil {
		return nil, err
	}
	if queued {
		b.queue = slices.DeleteFunc(b.queue, func(o *Conn) bool { return o == c })
		return nil, nil
	}
	return b.free(), nil
}

// free gives up a place: the one that has waited for it for longest gets it, if there is one.
func (b *Book) free() (next *Conn) {
	if len(b.queue) == 0 || b.open > b.most {
		b.open--
		return nil
	}
	next = b.queue[0]
	b.queue = slices.Delete(b.queue, 0, 1)
	next.state = Dialled
	return next
}

// Return takes a connection back. It is kept if it may be used again, and nobody waits for its place; otherwise it is
// to be closed, and the one that is returned has its place.
func (b *Book) Return(c *Conn) (kept bool, next *Conn, err error) {
	if c.State() == InUse && len(b.queue) == 0 && b.open <= b.most {
		c.state = Idle
		b.idle[c.Server] = append(b.idle[c.Server], c)
		c.before, c.after = b.ring.before, &b.ring
		c.before.after, b.ring.before = c, c
		b.count++
		return true, nil, nil
	}
	if err := c.to(Closed, InUse, Spoilt); err != nil {
		return false, nil, err
	}
	return false, b.free(), nil
}

// Drop closes an idle connection, whose time is over or whose server has closed it.
func (b *Book) Drop(c *Conn) (next *Conn, err error) {
	if err := c.to(Closed, Idle); err != nil {
		return nil, err
	}
	b.forget(c)
	return b.free(), nil
}

// Retire ends the sending to a server and returns its idle connections, which are closed. Those in use go on.
func (b *Book) Retire(s *Server) (closed, next []*Conn) {
	s.Retire()
	closed = slices.Clone(b.idle[s])
	for _, c := range closed {
		if granted, err := b.Drop(c); err == nil && granted != nil {
			next = append(next, granted)
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

// forget takes a connection out of the idle ones. The room for those of its server is kept until it retires.
func (b *Book) forget(c *Conn) {
	all := b.idle[c.Server]
	b.idle[c.Server] = slices.DeleteFunc(all, func(o *Conn) bool { return o == c })
	c.before.after, c.after.before = c.after, c.before
	c.before, c.after = nil, nil
	b.count--
}
