// Package door accepts clients' connections, for every front, and keeps account of them.
package door

import (
	"container/list"
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"ternbeam/internal/host/accept"
	"ternbeam/internal/host/peek"
)

const (
	// staleAfter is how long a request that has begun to come may pause before its connection may give way to another.
	staleAfter = 500 * time.Millisecond
	// mostYielding is how many connections may be on their way out at a time, beyond the places that there are.
	mostYielding = 8

	drained     = 50 * time.Millisecond  // without a new connection, the kernel's queue is empty
	mostDrained = 500 * time.Millisecond // how long that is waited for

	// LastWords is how long a connection that came just before the end has to send a request.
	LastWords = 200 * time.Millisecond

	// LastAnswer is how long before an agent is gone at its end all that it has taken is answered, and who has said nothing is
	// dropped: the time to write answers.
	LastAnswer = 50 * time.Millisecond

	// LookEvery is how often it is looked whether a client that waits is still there, where nobody reads what it sends. What its
	// client does not want is not to be sent on from 0.1 s later.
	LookEvery = 20 * time.Millisecond
)

// Door keeps account of the connections of all listeners that share it. They accept always: who waits in the
// kernel's queue could neither be served nor turned away. When every place is taken, one that has no request gives
// way: first the oldest of those that have not said anything yet, then the one that has been idle for longest.
//
// A request may come on a connection at the moment at which it is closed. Whoever reads one says so by Busy before it is
// acted on, and does not act on it where the Door has closed the connection: its client asks once more elsewhere.
type Door struct {
	most int

	mu    sync.Mutex
	stats Stats
	all   map[net.Conn]*visit
	fresh *list.List // of visits, the oldest first
	idle  *list.List

	yielding int // connections that are ended to make room, and not gone yet
}

// Stats counts connections since the start, by what became of them.
type Stats struct {
	Accepted    int
	ClosedFor   int // closed unused, to make room for others
	EndedIdle   int // told to end at the end of their listener, with no request begun on them
	EndedSilent int // the same, before they had said anything
	KeptBegun   int // left open then, as a request had begun to come
	EndedBegun  int // told to end later, with a request that had not come whole
}

// Stats returns the counts so far.
func (d *Door) Stats() Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stats
}

// visit is a connection.
type visit struct {
	conn *Conn
	from *Listener
	in   *list.List    // where it waits: fresh or idle; nil with a request
	at   *list.Element // of in
	read int64         // bytes that had been read from it when its waiting began

	yielding bool // its reader is to end it, to make room
}

// begun reports whether something was read from a connection that waits: of a request, as it seems.
func (v *visit) begun() bool { return v.conn.taken.Load() > v.read }

// Conn is a client's connection.
type Conn struct {
	*net.TCPConn
	taken atomic.Int64 // bytes that were read in all
	heard atomic.Int64 // when that was last, since the package's start

	unwatched chan struct{} // told when something was read, and nobody may read on

	mu      sync.Mutex
	reading bool   // somebody does, and gets what comes
	ahead   []byte // read by Look, and by nobody else yet
	over    bool   // more came than is kept, so that what follows is of no use
	ending  bool   // who reads is to end it, unless something has come
	readBy  time.Time
}

// mostAhead is how many bytes Look keeps: more than a usual request has.
const mostAhead = 128 << 10

// Taken is how many bytes were read from it.
func (c *Conn) Taken() int { return int(c.taken.Load()) }

// Read is net.Conn's.
func (c *Conn) Read(p []byte) (n int, err error) {
	c.mu.Lock()
	if n = copy(p, c.ahead); n > 0 || c.over {
		if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
			c.ahead = nil
		}
		c.goOnLocked()
		c.mu.Unlock()
		if n == 0 {
			err = net.ErrClosed
		}
		return n, err
	}
	c.reading = true
	c.mu.Unlock()
	n, err = c.TCPConn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		// What has come goes before the time, which may have passed while the process stood still: a connection that is closed over a
		// request that has come leaves that without an answer. Nobody gets more time by this, as nothing is waited for.
		if n, _ = peek.Take(c.TCPConn, p); n > 0 {
			err = nil
		}
	}
	c.mu.Lock()
	if c.reading = false; n > 0 {
		c.goOnLocked()
	}
	c.mu.Unlock()
	if n > 0 {
		c.Heard(n)
		select {
		case c.unwatched <- struct{}{}:
		default: // one that waits to be taken stands for any number
		}
	}
	return n, err
}

// Watched reports whether somebody reads the connection now, who sees its end at once. Where that changes Unwatched is told.
func (c *Conn) Watched() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reading
}

// Unwatched is told when a read of the connection has brought something: nobody may be reading any more.
func (c *Conn) Unwatched() <-chan struct{} { return c.unwatched }

// Disconnected reports whether the client has ended the connection, without waiting. What it sent before stays to be read.
func (c *Conn) Disconnected() bool { return peek.HungUp(c.TCPConn) }

// end has who reads the connection find that its time is over. What it has read, or finds now, goes before: the connection stays
// then. So nothing is both read and left without an answer.
func (c *Conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	c.TCPConn.SetReadDeadline(time.Unix(1, 0))
}

// goOnLocked undoes end.
func (c *Conn) goOnLocked() {
	if c.ending {
		c.ending = false
		c.TCPConn.SetReadDeadline(c.readBy)
	}
}

// SetReadDeadline is net.Conn's. A reader that waits for a request sets a time for that; one that takes it back has found a request
// in what it had read before, which the end must not cut short.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readBy = t
	if c.ending = c.ending && !t.IsZero(); c.ending {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

// SetDeadline is net.Conn's.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// quiet reports whether nothing has come that nobody has read.
func (c *Conn) quiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.ahead) == 0 && !c.over && peek.Silent(c.TCPConn)
}

// Heard says that bytes were read, past Read where somebody does that.
func (c *Conn) Heard(n int) {
	c.heard.Store(int64(time.Since(started)))
	c.taken.Add(int64(n))
}

// started is what times of connections count from.
var started = time.Now()

// lastHeard is when bytes were last read.
func (c *Conn) lastHeard() time.Time { return started.Add(time.Duration(c.heard.Load())) }

// parts are what Look reads into: one of its own for each request would be most of the garbage.
var parts = sync.Pool{New: func() any { return new([4 << 10]byte) }}

// Look looks, without waiting, whether the client is still there, also where it has sent more than anybody reads: its end may
// stand behind more than the kernel takes. Of that a part is kept to be read, so that the end can come; where there is more,
// the connection is of no further use, as the second result says.
func (c *Conn) Look() (gone, over bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading { // who reads sees the end itself, unless it comes at this moment
		return peek.HungUp(c.TCPConn), c.over
	}
	part := parts.Get().(*[4 << 10]byte)
	defer parts.Put(part)
	for most := 2 * mostAhead; most > 0; most -= len(part) {
		n, err := peek.Take(c.TCPConn, part[:])
		if n == 0 {
			return !errors.Is(err, peek.ErrNothing), c.over
		}
		c.Heard(n)
		if c.over = c.over || len(c.ahead)+n > mostAhead; !c.over {
			c.ahead = append(c.ahead, part[:n]...)
		}
	}
	return peek.HungUp(c.TCPConn), c.over
}

// New returns a Door that keeps so many connections at most.
func New(most int) *Door {
	return &Door{most: most, all: map[net.Conn]*visit{}, fresh: list.New(), idle: list.New()}
}

// Listener is a net.Listener that accepts through a Door.
type Listener struct {
	*net.TCPListener
	door   *Door
	ending atomic.Bool
	by     time.Time   // when the taking from the queue ends at the latest; who accepts sets it
	latest time.Time   // what by may be at the most, zero for any; set before ending is
	left   atomic.Bool // to another process, which accepts what stands in the queue
	closed chan struct{}
	retry  *accept.Retrier
	accept func() (*net.TCPConn, error) // TCPListener's, or a test's
	gentle bool                         // who reads a connection ends it, by its read deadline

	// What follows is under the Door's lock.
	count   int           // of its connections
	shut    bool          // none stays idle
	emptied chan struct{} // closed when there are none; nil where nobody waits for that
}

// Listen lets the connections of a listener in through the Door.
func (d *Door) Listen(l *net.TCPListener, log *slog.Logger) *Listener {
	return &Listener{TCPListener: l, door: d, closed: make(chan struct{}), retry: accept.NewRetrier(log), accept: l.AcceptTCP}
}

// Gentle has who reads a connection end it when it is dropped with others at the end, by its read deadline: for readers that
// close a connection on which nothing has come by then. It is called before anything is accepted.
func (l *Listener) Gentle() *Listener {
	l.gentle = true
	return l
}

// Accept is net.Listener's. At the end it takes what stands in the kernel's queue first. An error of the system is no end, and
// does not show that the queue is empty.
func (l *Listener) Accept() (net.Conn, error) {
	for queued := true; ; queued = false {
		socket, err := accept.Do(l.retry, func() (*net.TCPConn, error) {
			if !l.by.IsZero() && time.Now().After(l.by) {
				return nil, net.ErrClosed
			}
			return l.accept()
		})
		switch {
		case err == nil:
			c := &Conn{TCPConn: socket, unwatched: make(chan struct{}, 1)}
			l.door.enter(&visit{conn: c, from: l})
			return c, nil
		case !l.ending.Load():
			return nil, err
		case !queued || l.left.Load() || errors.Is(err, net.ErrClosed):
			return nil, l.end()
		}
		if l.by.IsZero() {
			l.by = time.Now().Add(mostDrained) // a queue of two processes is never empty for long
			if !l.latest.IsZero() && l.latest.Before(l.by) {
				l.by = l.latest
			}
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
// to nobody then. Where the whole has to be over by some time, the accepting ends early enough for the last one's answer.
func (l *Listener) CloseAfter(lingering time.Duration, end time.Time) {
	if !end.IsZero() {
		l.latest = end.Add(-LastAnswer - LastWords)
	}
	l.left.Store(lingering == 0)
	l.ending.Store(true)
	l.SetDeadline(time.Now().Add(lingering))
	<-l.closed
}

// DropSilent closes the listener's connections that have said nothing yet. One on which a request has begun to come stays.
func (l *Listener) DropSilent() {
	l.door.mu.Lock()
	defer l.door.mu.Unlock()
	l.dropLocked(l.door.fresh)
}

// DropBegun closes the listener's connections on which a request has begun to come and is not whole.
func (l *Listener) DropBegun() {
	l.door.mu.Lock()
	defer l.door.mu.Unlock()
	for _, from := range []*list.List{l.door.fresh, l.door.idle} {
		for e := from.Front(); e != nil; {
			next := e.Next()
			if v := e.Value.(*visit); v.from == l {
				l.door.stats.EndedBegun++
				l.door.endLocked(v)
			}
			e = next
		}
	}
}

// DropIdle closes the listener's connections that are idle, and from now on those that become so.
func (l *Listener) DropIdle() {
	l.door.mu.Lock()
	defer l.door.mu.Unlock()
	l.shut = true
	l.dropLocked(l.door.idle)
}

func (l *Listener) dropLocked(from *list.List) {
	for e := from.Front(); e != nil; {
		next := e.Next()
		if v := e.Value.(*visit); v.from == l {
			switch {
			case v.begun():
				l.door.stats.KeptBegun++
			case from == l.door.fresh:
				l.door.stats.EndedSilent++
				l.door.endLocked(v)
			default:
				l.door.stats.EndedIdle++
				l.door.endLocked(v)
			}
		}
		e = next
	}
}

// Empty waits until the listener, which accepts no more, has no connection left, or for the context's end.
func (l *Listener) Empty(ctx context.Context) error {
	l.door.mu.Lock()
	if l.count == 0 {
		l.door.mu.Unlock()
		return nil
	}
	emptied := make(chan struct{})
	l.emptied = emptied
	l.door.mu.Unlock()
	select {
	case <-emptied:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (d *Door) enter(v *visit) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.all[v.conn] = v
	d.stats.Accepted++
	v.from.count++
	d.waitLocked(v, d.fresh)
	if len(d.all) > d.most {
		d.makeRoomLocked(v)
	}
}

// waitLocked has a connection wait for a request.
func (d *Door) waitLocked(v *visit, in *list.List) {
	v.in, v.at, v.read = in, in.PushBack(v), v.conn.taken.Load()
}

// Busy says that a request has begun to come on a connection. It is false where the Door has closed that: then the request
// must not be acted on.
func (d *Door) Busy(c net.Conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.all[c]
	if v == nil {
		return false
	}
	d.yieldedLocked(v)
	v.restLocked()
	return true
}

// restLocked takes a connection out of where it waits.
func (v *visit) restLocked() {
	if v.in != nil {
		v.in.Remove(v.at)
		v.in, v.at = nil, nil
	}
}

// Idle says that a connection has no request any more.
func (d *Door) Idle(c net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.all[c]
	if v == nil || v.in != nil {
		return
	}
	d.waitLocked(v, d.idle)
	if v.from.shut {
		d.endLocked(v)
	} else if len(d.all) > d.most {
		d.makeRoomLocked(nil)
	}
}

// Waits reports whether a connection waits for a request.
func (d *Door) Waits(c net.Conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.all[c]
	return v != nil && v.in != nil
}

// Leave says that a connection is closed.
func (d *Door) Leave(c net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if v := d.all[c]; v != nil {
		d.forgetLocked(v)
	}
}

func (d *Door) forgetLocked(v *visit) {
	d.yieldedLocked(v)
	v.restLocked()
	delete(d.all, v.conn)
	if v.from.count--; v.from.count == 0 && v.from.emptied != nil {
		close(v.from.emptied)
		v.from.emptied = nil
	}
}

// makeRoomLocked ends a connection on which nothing has come, or else one whose request does not go on; the newest only if
// there is no other. A request that has been read, and that nobody knows of yet, is never cut off.
func (d *Door) makeRoomLocked(newest *visit) {
	now := time.Now()
	for _, may := range []func(v *visit) bool{
		func(v *visit) bool { return !v.begun() },
		func(v *visit) bool { return now.Sub(v.conn.lastHeard()) > staleAfter },
	} {
		for _, from := range []*list.List{d.fresh, d.idle} {
			for e := from.Front(); e != nil; e = e.Next() {
				if v := e.Value.(*visit); v != newest && may(v) && d.yieldLocked(v) {
					d.stats.ClosedFor++
					return
				}
			}
		}
	}
	if newest != nil && d.dropLocked(newest) {
		d.stats.ClosedFor++
	}
}

// yieldLocked ends a connection for another one. Where its reader can, that does it: what it has read by then goes before.
func (d *Door) yieldLocked(v *visit) bool {
	if !v.from.gentle || d.yielding >= mostYielding {
		return !v.begun() && d.dropLocked(v)
	}
	if !v.conn.quiet() {
		return false
	}
	v.restLocked()
	v.yielding = true
	d.yielding++
	v.conn.end()
	return true
}

// yieldedLocked says that a connection that was to yield is gone, or has a request after all.
func (d *Door) yieldedLocked(v *visit) {
	if v.yielding {
		v.yielding = false
		d.yielding--
	}
}

// dropLocked closes a connection unless a request has begun to come on it that nobody has read.
func (d *Door) dropLocked(v *visit) bool {
	if !v.conn.quiet() {
		return false
	}
	d.forgetLocked(v)
	v.conn.Close()
	return true
}

// endLocked is dropLocked at the end of a listener: nobody waits for the place.
func (d *Door) endLocked(v *visit) {
	if !v.from.gentle {
		d.dropLocked(v)
	} else if v.conn.quiet() {
		v.conn.end()
	}
}

// Crowded reports whether those that have asked something hold most of the places: five of eight.
func (d *Door) Crowded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.all)-d.fresh.Len() >= d.most*5/8
}

// Count returns the number of connections.
func (d *Door) Count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.all)
}
