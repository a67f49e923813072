package pool

import (
	"math"
	"sync"
	"time"

	"ternbeam/internal/clock"
	"ternbeam/internal/decide/lifecycle"
	"ternbeam/internal/sysio/peek"
)

// identities tracks, for each server, whether the process at its address is certain to be the one that the list names. It is safe for concurrent
// use.
type identities struct {
	mu           sync.Mutex
	servers      map[*lifecycle.Server]*serverIdentity
	listingDelay time.Duration // see lifecycle.ListingDelay
}

// serverIdentity is what identities knows of one server.
type serverIdentity struct {
	state lifecycle.Identity
	open  map[*Conn]connIdentity // its open connections
}

// connIdentity is what identities knows of one connection.
type connIdentity struct {
	openedAt   time.Duration
	knownSince time.Duration // since when the process at its other end has been there at least
}

// ofLocked returns what is known of a server.
func (i *identities) ofLocked(s *lifecycle.Server) *serverIdentity {
	known := i.servers[s]
	if known == nil {
		known = &serverIdentity{open: map[*Conn]connIdentity{}}
		i.servers[s] = known
	}
	return known
}

// opened records a connection that was opened.
func (i *identities) opened(s *lifecycle.Server, c *Conn, now time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	known, knownSince := i.ofLocked(s), now
	for other, o := range known.open { // one to the same address that is still open leads to the same process
		if o.knownSince < knownSince && other.RemoteAddr().String() == c.RemoteAddr().String() && !peek.HungUp(other.Conn) {
			knownSince = o.knownSince
		}
	}
	known.open[c] = connIdentity{openedAt: now, knownSince: knownSince}
}

// closed records that this side has closed a connection.
func (i *identities) closed(s *lifecycle.Server, c *Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if known := i.servers[s]; known != nil {
		delete(known.open, c)
		i.forgetLocked(s)
	}
}

// forgetLocked drops what is known of a server that is not listed any more and has no connections.
func (i *identities) forgetLocked(s *lifecycle.Server) {
	if known := i.servers[s]; known != nil && len(known.open) == 0 && s.Retired() {
		delete(i.servers, s)
	}
}

// retired records that a server is not listed any more.
func (i *identities) retired(s *lifecycle.Server) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.forgetLocked(s)
}

// connectionLost records that a connection to a server was lost or refused.
func (i *identities) connectionLost(s *lifecycle.Server, now time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !s.Retired() {
		i.ofLocked(s).state.ConnectionLost(now)
	}
}

// isCertain reports whether the process that a connection leads to is certain to be the one that the list names. The list as it was at the time
// listCurrentAt is known.
func (i *identities) isCertain(s *lifecycle.Server, c *Conn, listCurrentAt time.Duration) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	known := i.servers[s]
	if known == nil {
		return false // closed
	}
	this, open := known.open[c]
	evidence := lifecycle.Evidence{ListingDelay: i.listingDelay, ListCurrentAt: listCurrentAt, KnownSince: this.knownSince, AddressLastSharedAt: s.AddressLastSharedAt()}
	if !open || known.state.IsCertain(evidence) { // whatever its other connections tell
		return open
	}
	for other, o := range known.open {
		if !peek.HungUp(other.Conn) {
			evidence.OpenedAt = append(evidence.OpenedAt, o.openedAt)
		}
	}
	return known.state.IsCertain(evidence)
}

// Lost records that a connection was lost while it carried a request.
func (p *Pool) Lost(c *Conn) { p.identities.connectionLost(c.state.Server, clock.Now()) }

// IsCertain reports whether the process that a connection leads to is certain to be the one that the list names.
func (p *Pool) IsCertain(c *Conn) bool {
	listCurrentAt := clock.Now()
	if p.set.ListCurrentAt != nil {
		listCurrentAt = p.set.ListCurrentAt()
	}
	return p.identities.isCertain(c.state.Server, c, listCurrentAt)
}

// AssumeProcessesKnown makes the process behind each connection count as known from the start, unless connections are lost. It is for laboratories
// and tests whose servers are never replaced.
func (p *Pool) AssumeProcessesKnown() {
	p.identities.mu.Lock()
	defer p.identities.mu.Unlock()
	p.identities.listingDelay = math.MinInt64 / 2 // below any difference of two times
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.onClose()
	return c.Conn.Close()
}
