// Package uploadclock estimates when the client of a request may have written its last byte, for a request that is forwarded while it is received.
// The client's time counts from then. While a server reads slowly, the rest of the request is not read but waits in the buffers of the client's
// connection, so its arrival can't be observed. The package does no I/O and reads no clock.
package uploadclock

import "time"

// MaxUnread is how many bytes a client may have written that have not been read: the largest send buffer that Linux gives a connection
// by default (tcp_wmem).
const MaxUnread = 4 << 20

// Clock is the estimate for one request. All times are on one monotonic clock. It is not safe for concurrent use.
type Clock struct {
	length   int64         // of the request; -1 if unknown
	received int64         // bytes
	earliest time.Duration // the last byte was not written before this time

	// Of a request of unknown length: the position received at markedAt. Once MaxUnread more bytes have been received, the last byte was written
	// later than that.
	mark     int64
	markedAt time.Duration
}

// New returns the Clock of a request of the given length, -1 if it is unknown, of which nothing has been received at now.
func New(now time.Duration, length int64) *Clock {
	return &Clock{length: length, earliest: now, markedAt: now}
}

// Received records that further bytes were received at now. At drainedAt, all that the client had written before was received.
func (c *Clock) Received(now time.Duration, bytes int, drainedAt time.Duration) {
	c.received += int64(bytes)
	c.earliest = max(c.earliest, drainedAt)
	switch {
	case c.length >= 0 && c.length-c.received+int64(bytes) > MaxUnread: // before these bytes were read, more than MaxUnread were missing
		c.earliest = max(c.earliest, now)
	case c.length < 0 && c.received-c.mark > MaxUnread:
		c.earliest = max(c.earliest, c.markedAt)
		c.mark, c.markedAt = c.received, now
	}
}

// ExpiresAt returns when the client's time may be over if it waits for the given time behind its last byte. It returns false if the client
// can't have written the last byte yet.
func (c *Clock) ExpiresAt(wait time.Duration) (at time.Duration, possible bool) {
	if c.length >= 0 && c.length-c.received > MaxUnread {
		return 0, false
	}
	return c.earliest + wait, true
}
