package httpops

import (
	"container/list"
	"net"
	"sync"
)

// callers bounds the connections. Where there is no room for another, the oldest that has not sent a whole call gives
// way, whatever part of one it has sent: nothing is owed to it.
type connLimit struct {
	maxConns int

	mu      sync.Mutex
	all     map[net.Conn]*list.Element // in waits; nil from the whole call on
	waiting *list.List                 // the oldest first
}

func newConnLimit(most int) *connLimit {
	return &connLimit{maxConns: most, all: map[net.Conn]*list.Element{}, waiting: list.New()}
}

func (c *connLimit) add(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all[conn] = c.waiting.PushBack(conn)
	if len(c.all) <= c.maxConns {
		return
	}
	oldest := c.waiting.Front() // the newest itself where all others are being answered
	c.waiting.Remove(oldest)
	gone := oldest.Value.(net.Conn)
	delete(c.all, gone)
	gone.Close()
}

// heard says that a whole call has come on a connection. It is false where that was closed just now.
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
