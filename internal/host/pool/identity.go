package pool

import (
	"sync"
	"time"

	"ternbeam/internal/decide/lifecycle"
	"ternbeam/internal/sysio/peek"
)

// identities tracks, for each server, whether the process at its address is certain to be the one that the list names. It is safe for concurrent
// use.
type identities struct {
	mu      sync.Mutex
	servers map[*lifecycle.Server]*serverIdentity
}

// serverIdentity is what identities knows of one server.
type serverIdentity struct {
	state lifecycle.Identity
	open  map[*Conn]time.Duration // when the connections that are open were opened
}

// ofLocked returns what is known of a server.
func (i *identities) ofLocked(s *lifecycle.Server) *serverIdentity {
	known := i.servers[s]
	if known == nil {
		known = &serverIdentity{open: map[*Conn]time.Duration{}}
		i.servers[s] = known
	}
	return known
}

// opened records a connection that was opened.
func (i *identities) opened(s *lifecycle.Server, c *Conn, now time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ofLocked(s).open[c] = now
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

// isCertain reports whether the process at the server's address is certain to be the one that the list names.
func (i *identities) isCertain(s *lifecycle.Server, now time.Duration) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	known := i.servers[s]
	if known == nil || known.state.IsCertain(now, nil) { // whatever its connections tell
		return true
	}
	var opened []time.Duration
	for c, at := range known.open {
		if !peek.HungUp(c.Conn) {
			opened = append(opened, at)
		}
	}
	return known.state.IsCertain(now, opened)
}

// Lost records that a connection was lost while it carried a request.
func (p *Pool) Lost(c *Conn) { p.identities.connectionLost(c.state.Server, time.Since(p.startedAt)) }

// IsCertain reports whether the process that a connection leads to is certain to be the one that the list names.
func (p *Pool) IsCertain(c *Conn) bool {
	return p.identities.isCertain(c.state.Server, time.Since(p.startedAt))
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.onClose()
	return c.Conn.Close()
}
