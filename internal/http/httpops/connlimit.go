package httpops

import (
	"container/list"
	"net"
	"sync"
)

// connLimit bounds the number of connections. When there is no room for another one, the oldest connection that has not sent a
// complete request is closed, even if it has sent part of one: an incomplete request needs no answer.
type connLimit struct {
	maxConns int

	mu      sync.Mutex
	all     map[net.Conn]*list.Element // element of waiting; nil once the complete request has been received
	waiting *list.List                 // of net.Conn without a complete request, the oldest first
}

func newConnLimit(maxConns int) *connLimit {
	return &connLimit{maxConns: maxConns, all: map[net.Conn]*list.Element{}, waiting: list.New()}
}

func (c *connLimit) add(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all[conn] = c.waiting.PushBack(conn)
	if len(c.all) <= c.maxConns {
		return
	}
	oldest := c.waiting.Front() // the new one itself if all others are being answered
	c.waiting.Remove(oldest)
	closed := oldest.Value.(net.Conn)
	delete(c.all, closed)
	closed.Close()
}

// requestReceived records that a complete request was received on a connection. It returns false if the connection has just been closed.
func (c *connLimit) requestReceived(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, open := c.all[conn]
	if open && e != nil {
		c.waiting.Remove(e)
		c.all[conn] = nil
	}
	return open
}

func (c *connLimit) remove(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.all[conn]; e != nil {
		c.waiting.Remove(e)
	}
	delete(c.all, conn)
}
