package pool

import (
	"context"
	"time"

	"ternbeam/internal/clock"
	"ternbeam/internal/decide/lifecycle"
	"ternbeam/internal/protocol"
	"ternbeam/internal/sysio/peek"
)

// usableLocked reports whether an idle connection may carry a request: its server has not closed it and is not about to, and has sent no
// unsolicited data, which would be taken for the next answer.
func (p *Pool) usableLocked(c *Conn) bool {
	unread := p.unreadLocked(c)
	if unread == peek.UnreadEnd {
		p.identities.connectionLost(c.state.Server, clock.Now())
	}
	return time.Since(c.idleSince) < p.set.IdleTimeout && unread == peek.UnreadNothing
}

// unreadLocked returns what is unread on an idle connection. It records unsolicited data.
func (p *Pool) unreadLocked(c *Conn) peek.Unread {
	unread := peek.UnreadOf(c.Conn)
	if unread == peek.UnreadData && c.state.Speaks&protocol.HTTP != 0 {
		p.recordUnsolicitedLocked(c)
	}
	return unread
}

// recordUnsolicitedLocked records that a server has sent data on an idle connection.
func (p *Pool) recordUnsolicitedLocked(c *Conn) {
	idle := time.Since(c.idleSince)
	since, known := peek.SinceLastData(c.Conn)
	if !known {
		return
	}
	after := max(0, idle-since)
	if delay, grown := p.reuseDelay.RecordUnsolicited(after); grown && p.set.OnReuseDelay != nil {
		p.set.OnReuseDelay(c.state.Server, after, delay)
	}
}

// StillUsable reports whether a request may still be written to an acquired connection. It is called right before the first byte is
// written, and checks again whether it is usable if the process may have been suspended since the connection was acquired from the idle ones.
func (p *Pool) StillUsable(c *Conn) bool {
	if c.checkedAt.IsZero() || time.Since(c.checkedAt) < recheckAfter {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usableLocked(c)
}

// reuseDelayLeft returns how long a connection must still stay idle before it can be reused. It may be negative.
func (p *Pool) reuseDelayLeft(c *Conn) time.Duration {
	if c.state.Speaks&protocol.HTTP == 0 { // Thrift replies carry the ids of their calls
		return 0
	}
	return p.reuseDelay.Left(time.Since(c.idleSince))
}

// reuseDelayOver reports whether a connection has been idle for the reuse delay. It does not tell whether the connection is usable.
func (p *Pool) reuseDelayOver(lc *lifecycle.Conn) bool { return p.reuseDelayLeft(lc.Host.(*Conn)) <= 0 }

// waitLocked releases the lock and waits. It returns false if the context ended before.
func (p *Pool) waitLocked(ctx context.Context, d time.Duration) bool {
	p.delayedReuses++
	p.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	elapsed := false
	select {
	case <-timer.C:
		elapsed = true
	case <-ctx.Done():
	}
	p.mu.Lock()
	p.delayedReuses--
	return elapsed
}
