package httpops

import (
	"container/list"
	"net"
	"sync"
)

// callers bounds the connections. Where there is no room for another, the oldest that has not sent a whole call gives
// way, whatever part of one it has sent: nothing is owed to it.
type callers struct {
	most int

	mu    sync.Mutex
	all   map[net.Conn]*list.Element // in waits; nil from the whole call on
	waits *list.List                 // the oldest first
}

func newCallers(most int) *callers {
	return &callers{most: most, all: map[net.Conn]*list.Element{}, waits: list.New()}
}

func (c *callers) enter(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all[conn] = c.waits.PushBack(conn)
	if len(c.all) <= c.most {
		return
	}
	oldest := c.waits.Front() // the newest itself where all others are being answered
	c.waits.Remove(oldest)
	gone := oldest.Value.(net.Conn)
	delete(c.all, gone)
	gone.Close()
}

// heard says that a whole call has come on a connection. It is false where that was closed just now.
func (c *callers) heard(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, open := c.all[conn]
	if open && e != nil {
		c.waits.Remove(e)
		c.all[conn] = nil
	}
	return open
}

func (c *callers) leave(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.all[conn]; e != nil {
		c.waits.Remove(e)
	}
	delete(c.all, conn)
}
