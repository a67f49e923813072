package agent

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	drained   = 50 * time.Millisecond  // without a new connection, the kernel's queue is empty
	lastWords = 200 * time.Millisecond // to send a request, on a connection that came just before the end
)

// door accepts the clients' connections and keeps account of them. It accepts always: who waits in the kernel's
// queue could neither be served nor turned away. When every place is taken, one that has no request gives way:
// first the oldest of those that have not said anything yet, then the one that has been idle for longest.
type door struct {
	*net.TCPListener
	most int // two fifths of the descriptors

	mu      sync.Mutex
	waiting map[net.Conn]*list.Element // in fresh or idle; nil with a request
	fresh   *list.List                 // of visits, the oldest first
	idle    *list.List
	ending  atomic.Bool
	closed  chan struct{}
}

// visit is a connection that has no request.
type visit struct {
	conn net.Conn
	in   *list.List
}

func newDoor(l *net.TCPListener, most int) *door {
	return &door{TCPListener: l, most: most, waiting: map[net.Conn]*list.Element{}, fresh: list.New(), idle: list.New(),
		closed: make(chan struct{})}
}

// Accept is net.Listener's. At the end it takes what stands in the kernel's queue first.
func (d *door) Accept() (net.Conn, error) {
	for queued := true; ; queued = false {
		c, err := d.AcceptTCP()
		switch {
		case err == nil:
			d.mu.Lock()
			defer d.mu.Unlock()
			e := d.fresh.PushBack(visit{c, d.fresh})
			if d.waiting[c] = e; len(d.waiting) > d.most {
				d.makeRoomLocked(e)
			}
			return c, nil
		case !d.ending.Load():
			return nil, err
		case !queued:
			d.Close()
			close(d.closed)
			return nil, net.ErrClosed
		}
		d.SetDeadline(time.Now().Add(drained)) // one that has passed lets nothing in that waits already
	}
}

// closeAfter ends the accepting after some time, when nobody waits in the queue any more.
func (d *door) closeAfter(lingering time.Duration) {
	d.ending.Store(true)
	d.SetDeadline(time.Now().Add(lingering))
	<-d.closed
}

// note follows a connection through the server, as its ConnState.
func (d *door) note(c net.Conn, state http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch e := d.waiting[c]; state {
	case http.StateActive:
		d.removeLocked(e)
		d.waiting[c] = nil
	case http.StateIdle:
		d.waiting[c] = d.idle.PushBack(visit{c, d.idle})
		if len(d.waiting) > d.most {
			d.makeRoomLocked(nil)
		}
	case http.StateClosed, http.StateHijacked:
		d.removeLocked(e)
		delete(d.waiting, c)
	}
}

func (d *door) removeLocked(e *list.Element) {
	if e != nil {
		e.Value.(visit).in.Remove(e)
	}
}

// makeRoomLocked closes a connection on which nothing has come; the newest only if there is no other.
func (d *door) makeRoomLocked(newest *list.Element) {
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
func (d *door) dropLocked(e *list.Element) bool {
	v := e.Value.(visit)
	if !silent(v.conn) {
		return false
	}
	v.in.Remove(e)
	delete(d.waiting, v.conn)
	v.conn.Close()
	return true
}

// dropSilent closes the connections that have said nothing yet.
func (d *door) dropSilent() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for e := d.fresh.Front(); e != nil; {
		next := e.Next()
		d.dropLocked(e)
		e = next
	}
}

// crowded reports whether those that have asked something hold a fourth of the descriptors. At a third no client
// gets another connection, however many of theirs are idle.
func (d *door) crowded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.waiting)-d.fresh.Len() >= d.most*5/8
}

// count returns the number of connections.
func (d *door) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.waiting)
}
