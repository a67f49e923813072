// Package door accepts clients' connections, for every front, and keeps account of them.
package door

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ternbeam/internal/host/peek"
)

const (
	drained     = 50 * time.Millisecond  // without a new connection, the kernel's queue is empty
	mostDrained = 500 * time.Millisecond // how long that is waited for

	// LastWords is how long a connection that came just before the end has to send a request.
	LastWords = 200 * time.Millisecond
)

// Door keeps account of the connections of all listeners that share it. They accept always: who waits in the
// kernel's queue could neither be served nor turned away. When every place is taken, one that has no request gives
// way: first the oldest of those that have not said anything yet, then the one that has been idle for longest.
type Door struct {
	most int

	mu      sync.Mutex
	waiting map[net.Conn]*list.Element // in fresh or idle; nil with a request
	fresh   *list.List                 // of visits, the oldest first
	idle    *list.List
}

// visit is a connection that has no request.
type visit struct {
	conn net.Conn
	in   *list.List
	from *Listener
}

// New returns a Door that keeps so many connections at most.
func New(most int) *Door {
	return &Door{most: most, waiting: map[net.Conn]*list.Element{}, fresh: list.New(), idle: list.New()}
}

// Listener is a net.Listener that accepts through a Door.
type Listener struct {
	*net.TCPListener
	door   *Door
	ending atomic.Bool
	by     time.Time   // when the taking from the queue ends at the latest; who accepts sets it
	left   atomic.Bool // to another process, which accepts what stands in the queue
	closed chan struct{}
}

// Listen lets the connections of a listener in through the Door.
func (d *Door) Listen(l *net.TCPListener) *Listener {
	return &Listener{TCPListener: l, door: d, closed: make(chan struct{})}
}

// Accept is net.Listener's. At the end it takes what stands in the kernel's queue first.
func (l *Listener) Accept() (net.Conn, error) {
	for queued := true; ; queued = false {
		if !l.by.IsZero() && time.Now().After(l.by) {
			return nil, l.end()
		}
		c, err := l.AcceptTCP()
		switch {
		case err == nil:
			l.door.enter(visit{c, l.door.fresh, l})
			return c, nil
		case !l.ending.Load():
			return nil, err
		case !queued || l.left.Load():
			return nil, l.end()
		}
		if l.by.IsZero() {
			l.by = time.Now().Add(mostDrained) // a queue of two processes is never empty for long
		}
		l.SetDeadline(time.Now().Add(drained)) // one that has passed lets nothing in that waits already
	}
}

func (l *Listener) end() error {
	l.Close()
	close(l.closed)
	return net.ErrClosed
}

// CloseAfter ends the accepting after some time, when nobody waits in the queue any more, or else a little later. With no
// time at all it ends at once, for where another process holds the listening socket, too: what stands in the queue is lost
// to nobody then.
func (l *Listener) CloseAfter(lingering time.Duration) {
	l.left.Store(lingering == 0)
	l.ending.Store(true)
	l.SetDeadline(time.Now().Add(lingering))
	<-l.closed
}

// DropSilent closes the listener's connections that have said nothing yet.
func (l *Listener) DropSilent() {
	d := l.door
	d.mu.Lock()
	defer d.mu.Unlock()
	for e := d.fresh.Front(); e != nil; {
		next := e.Next()
		if e.Value.(visit).from == l {
			d.dropLocked(e)
		}
		e = next
	}
}

func (d *Door) enter(v visit) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.fresh.PushBack(v)
	if d.waiting[v.conn] = e; len(d.waiting) > d.most {
		d.makeRoomLocked(e)
	}
}

// Busy says that a request has begun to come on a connection.
func (d *Door) Busy(c net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, ok := d.waiting[c]; ok {
		d.removeLocked(e)
		d.waiting[c] = nil
	}
}

// Idle says that a connection has no request any more.
func (d *Door) Idle(c net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, ok := d.waiting[c]; ok && e == nil {
		d.waiting[c] = d.idle.PushBack(visit{conn: c, in: d.idle})
		if len(d.waiting) > d.most {
			d.makeRoomLocked(nil)
		}
	}
}

// Leave says that a connection is closed.
func (d *Door) Leave(c net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeLocked(d.waiting[c])
	delete(d.waiting, c)
}

func (d *Door) removeLocked(e *list.Element) {
	if e != nil {
		e.Value.(visit).in.Remove(e)
	}
}

// makeRoomLocked closes a connection on which nothing has come; the newest only if there is no other.
func (d *Door) makeRoomLocked(newest *list.Element) {
	for _, from := range []*list.List{d.fresh, d.idle} {
		for e := from.Front(); e != nil; e = e.Next() {
			if e != newest && d.dropLocked(e) {
				return
			}
		}
	}
	if newest != nil {
		d.dropLocked(newest)
	}
}

// dropLocked closes a connection unless a request has begun to come on it.
func (d *Door) dropLocked(e *list.Element) bool {
	v := e.Value.(visit)
	if !peek.Silent(v.conn) {
		return false
	}
	v.in.Remove(e)
	delete(d.waiting, v.conn)
	v.conn.Close()
	return true
}

// Crowded reports whether those that have asked something hold most of the places: five of eight.
func (d *Door) Crowded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.waiting)-d.fresh.Len() >= d.most*5/8
}

// Count returns the number of connections.
func (d *Door) Count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.waiting)
}
