package httpfront

import (
	"time"

	"ternbeam/internal/host/membudget"
	"ternbeam/internal/http/httpmsg"
)

const (
	// freeBodyBytes is the size up to which a body needs no more than that.
	freeBodyBytes = 4 << 10
	// bodyCopies is how often a short body is held: as received, and as it is sent to a server.
	bodyCopies = 2
	// longBodyBytes is what is held of a long body: the parts kept, and two on their way.
	longBodyBytes = httpmsg.MinBuffered + 3*httpmsg.PartSize

	// roomTimeout is how long a request waits for memory before it is refused, unless its client waits for less.
	roomTimeout = time.Second
)

// bodyRoom returns how much memory the body of a request needs, by its length, which is -1 if it is unknown.
func bodyRoom(length int64) int64 {
	switch {
	case length >= 0 && length <= freeBodyBytes:
		return 0
	case length >= 0 && length <= httpmsg.MaxBody:
		return bodyCopies * length
	}
	return longBodyBytes
}

// reserve reserves memory for the current request until releaseRoom. clientWait is how long its client waits for the answer.
func (c *clientConn) reserve(budget *membudget.Budget, bytes int64, clientWait time.Duration) error {
	if bytes == 0 {
		return nil
	}
	room, err := budget.WaitFor(bytes, min(roomTimeout, clientWait))
	if err == nil {
		c.room = append(c.room, room)
	}
	return err
}

// releaseRoom ends the reservations for the current request.
func (c *clientConn) releaseRoom() {
	for _, room := range c.room {
		room.Release()
	}
	c.room = nil
}
