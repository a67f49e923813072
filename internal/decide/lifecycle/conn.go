package lifecycle

import (
	"fmt"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"ternbeam/choice"
)

// Server is one process of a server, with its addresses. After a restart or a change of address a new Server replaces it.
type Server struct {
	ID          string
	Addr        string
	Addrs       []string         // all addresses, if there are several
	Started     int64            // start time in Unix milliseconds, from the server list
	Speaks      choice.Protocols // all protocols that it speaks
	Multiplexed bool             // accepts several concurrent calls on a connection
	Identity    uint64           // set by the tracker: identifies this process of the server

	retired             atomic.Bool
	addressLastSharedAt atomic.Int64 // see SetAddressShared
}

// Retired reports whether the server is draining, was removed or was replaced. Nothing new is sent to it.
func (s *Server) Retired() bool { return s.retired.Load() }

// sharedNow stands for the time at which an address that is shared is shared for the last time.
const sharedNow = math.MaxInt64

// SetAddressShared records whether another listed server has an address of this one.
func (s *Server) SetAddressShared(shared bool, now time.Duration) {
	if shared {
		s.addressLastSharedAt.Store(sharedNow)
	} else {
		s.addressLastSharedAt.CompareAndSwap(sharedNow, int64(now))
	}
}

// AddressLastSharedAt returns when another listed server last had an address of this one: 0 for never, and a time that never comes if one has now.
func (s *Server) AddressLastSharedAt() time.Duration {
	return time.Duration(s.addressLastSharedAt.Load())
}

// Retire marks the server as retired: nothing new may be sent to it from now on. It is safe for concurrent use.
func (s *Server) Retire() { s.retired.Store(true) }

// ConnState is the state of a connection to a server.
type ConnState int

// The states of a connection.
const (
	Queued   ConnState = iota // waits for a slot
	Dialed                    // has a slot and is being dialed; Dialing is the name of a Stage
	InUse                     // carries one or several attempts
	Idle                      // available for the next attempt
	Spoilt                    // in use, but must not be reused, as unexpected data may be pending on it
	Retiring                  // in use, but must not be reused, as its server is draining, was removed or was replaced
	Closed
)

var connNames = [...]string{"queued", "dialled", "in use", "idle", "spoilt", "retiring", "closed"}

// String returns the name of the state, for logs and errors.
func (s ConnState) String() string { return connNames[s] }

// Conn is the state machine of a connection. It starts when the connection asks for a slot in the pool.
type Conn struct {
	Server *Server
	Speaks choice.Protocols // the protocol spoken on it
	Host   any              // the host's connection object, once it is established
	state  ConnState

	prev, next *Conn // neighbours in PoolState.idleList
}

// State returns the connection's state.
func (c *Conn) State() ConnState {
	if c.state == InUse && c.Server.Retired() {
		return Retiring
	}
	return c.state
}

func (c *Conn) transition(s ConnState, from ...ConnState) error {
	if !slices.Contains(from, c.state) {
		return fmt.Errorf("lifecycle: illegal transition of a connection from state %q to %q", c.State(), s)
	}
	c.state = s
	return nil
}

// Spoil records that unexpected data may be pending on a connection in use, so that it must not be reused.
func (c *Conn) Spoil() error { return c.transition(Spoilt, InUse, Spoilt) }

// PoolState is the state of a pool of connections to all servers. It limits their number by slots: each connection that is
// dialed, in use or idle holds one slot of the pool, whatever it carries. It queues connections that wait for a slot and keeps
// the idle ones. It does no I/O: its owner closes the connections that the methods return as closed or evicted. It is not safe for
// concurrent use.
type PoolState struct {
	limit     int
	taken     int                 // number of slots in use
	queue     []*Conn             // connections that wait for a slot, the longest-waiting first
	idle      map[*Server][]*Conn // by server, the most recently used last
	idleList  Conn                // head of the ring of all idle connections, the longest idle first
	idleCount int                 // number of idle connections
}

// NewPoolState returns a PoolState for at most the given number of connections.
func NewPoolState(maxConns int) *PoolState {
	p := &PoolState{limit: maxConns, idle: map[*Server][]*Conn{}}
	p.idleList.prev, p.idleList.next = &p.idleList, &p.idleList
	return p
}

// SetLimit changes the maximum number of connections. If more slots are in use, the longest-idle connections are returned as
// closed, and further connections are closed when they are released. If the new limit adds slots, the connections that have
// waited for longest get them and are returned as next.
func (p *PoolState) SetLimit(maxConns int) (closed, next []*Conn) {
	p.limit = maxConns
	for p.taken > p.limit && p.idleCount > 0 {
		c := p.idleList.next
		p.CloseIdle(c) // its slot is not passed on, as too many are in use
		closed = append(closed, c)
	}
	for p.taken < p.limit && len(p.queue) > 0 {
		p.taken++
		next = append(next, p.releaseSlot())
	}
	return closed, next
}

// Count returns the number of slots in use, how many of them idle connections hold, and how many connections wait for one.
func (p *PoolState) Count() (open, idle, waiting int) { return p.taken, p.idleCount, len(p.queue) }

// HasFreeSlot reports whether a slot for a new connection is free.
func (p *PoolState) HasFreeSlot() bool { return p.taken < p.limit }

// AcquireIdle takes an idle connection to a server with the given protocol, or returns nil if there is none. Of the connections
// for which idleLongEnough returns true, it takes the one that became idle last; if there is none, the one that has been idle for
// longest. A nil idleLongEnough accepts all. The caller checks that no data has arrived on the connection meanwhile; if some has,
// it spoils and releases the connection.
func (p *PoolState) AcquireIdle(s *Server, speaks choice.Protocols, idleLongEnough func(*Conn) bool) (acquired *Conn) {
	all := p.idle[s]
	for i := len(all) - 1; i >= 0; i-- {
		if c := all[i]; c.Speaks == speaks {
			if acquired = c; idleLongEnough == nil || idleLongEnough(c) {
				break
			}
		}
	}
	if acquired != nil {
		p.removeIdle(acquired)
		acquired.state = InUse
	}
	return acquired
}

// ReserveSlot reserves a slot for a new connection: a free one, or that of the longest-idle connection, which is returned as
// evicted for the caller to close. If there is neither, the connection is queued for the next slot that is released. It is
// queued rather than rejected because servers that accept calls and never answer occupy many slots for as long as a call may
// take, and rejecting would fail calls that a short wait could still serve.
func (p *PoolState) ReserveSlot(s *Server, speaks choice.Protocols) (c, evicted *Conn) {
	c = &Conn{Server: s, Speaks: speaks, state: Dialed}
	switch {
	case p.taken < p.limit:
		p.taken++
	case p.idleCount > 0:
		evicted = p.idleList.next
		p.removeIdle(evicted)
		evicted.state = Closed // its slot passes to c
	default:
		c.state = Queued
		p.queue = append(p.queue, c)
	}
	return c, evicted
}

// Open records that a dialed connection is established. It is now in use.
func (p *PoolState) Open(c *Conn, host any) error {
	if err := c.transition(InUse, Dialed); err != nil {
		return err
	}
	c.Host = host
	return nil
}

// Abort ends a connection that was not established. If it held a slot, the longest-waiting connection gets the slot and is
// returned as next.
func (p *PoolState) Abort(c *Conn) (next *Conn, err error) {
	queued := c.state == Queued
	if err := c.transition(Closed, Queued, Dialed); err != nil {
		return nil, err
	}
	if queued {
		p.queue = slices.DeleteFunc(p.queue, func(o *Conn) bool { return o == c })
		return nil, nil
	}
	return p.releaseSlot(), nil
}

// releaseSlot releases a slot. The longest-waiting connection, if any, gets it and is returned.
func (p *PoolState) releaseSlot() (next *Conn) {
	if len(p.queue) == 0 || p.taken > p.limit {
		p.taken--
		return nil
	}
	next = p.queue[0]
	p.queue = slices.Delete(p.queue, 0, 1)
	next.state = Dialed
	return next
}

// Release takes back a connection that was in use. The connection is kept as idle if it may be reused and no other waits for its
// slot. Otherwise the caller closes it, and its slot passes to next, if that is not nil.
func (p *PoolState) Release(c *Conn) (kept bool, next *Conn, err error) {
	if c.State() == InUse && len(p.queue) == 0 && p.taken <= p.limit {
		c.state = Idle
		p.idle[c.Server] = append(p.idle[c.Server], c)
		c.prev, c.next = p.idleList.prev, &p.idleList
		c.prev.next, p.idleList.prev = c, c
		p.idleCount++
		return true, nil, nil
	}
	if err := c.transition(Closed, InUse, Spoilt); err != nil {
		return false, nil, err
	}
	return false, p.releaseSlot(), nil
}

// CloseIdle closes an idle connection, because of its idle timeout or because the server closed it. Its slot passes to next, if
// that is not nil.
func (p *PoolState) CloseIdle(c *Conn) (next *Conn, err error) {
	if err := c.transition(Closed, Idle); err != nil {
		return nil, err
	}
	p.removeIdle(c)
	return p.releaseSlot(), nil
}

// RetireServer retires a server and returns its idle connections as closed, and the waiting connections that get their slots as
// next. Connections in use continue.
func (p *PoolState) RetireServer(s *Server) (closed, next []*Conn) {
	s.Retire()
	closed = slices.Clone(p.idle[s])
	for _, c := range closed {
		if granted, err := p.CloseIdle(c); err == nil && granted != nil {
			next = append(next, granted)
		}
	}
	delete(p.idle, s)
	return closed, next
}

// Idle returns all idle connections, the longest idle first.
func (p *PoolState) Idle() (all []*Conn) {
	for c := p.idleList.next; c != &p.idleList; c = c.next {
		all = append(all, c)
	}
	return all
}

// removeIdle removes a connection from the idle ones. The slice for its server is kept for reuse until the server retires.
func (p *PoolState) removeIdle(c *Conn) {
	all := p.idle[c.Server]
	p.idle[c.Server] = slices.DeleteFunc(all, func(o *Conn) bool { return o == c })
	c.prev.next, c.next.prev = c.next, c.prev
	c.prev, c.next = nil, nil
	p.idleCount--
}
