package lifecycle

import "time"

// IdentityDoubt is how long a server may be another process than the one that the list names, after a connection to it was lost: the list tells
// of a process that has ended without a word up to 14 s later.
const IdentityDoubt = 15 * time.Second

// Identity tracks whether the process at a server's address is still the one that the list names. A process that ends loses all its connections,
// and another one may come up at its address before the list says so. A connection that was opened before others were lost, and is open, shows
// that the process is still there. All times are on one monotonic clock. The zero Identity is certain. It is not safe for concurrent use.
type Identity struct {
	lost   bool
	lostAt time.Duration
}

// ConnectionLost records that a connection to the server was lost or refused.
func (i *Identity) ConnectionLost(now time.Duration) { i.lost, i.lostAt = true, now }

// IsCertain reports whether the process is the one that the list names. openedAt are the times at which the connections that are open were opened.
func (i *Identity) IsCertain(now time.Duration, openedAt []time.Duration) bool {
	if !i.lost || now-i.lostAt >= IdentityDoubt {
		return true
	}
	for _, at := range openedAt {
		if at < i.lostAt {
			return true
		}
	}
	return false
}
