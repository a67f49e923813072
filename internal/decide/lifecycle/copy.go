package lifecycle

import (
	"encoding/binary"
	"slices"
)

// The state explorer uses the deep copies in this file to try several next steps from one state.

// Copies maps originals to their copies. Each copy is made once.
type Copies[T any] struct {
	Fill  func(original, dst *T) // makes the copy equal to the original
	pairs [][2]*T
}

// Of returns the copy of an original, making it on the first call. The copy of nil is nil.
func (c *Copies[T]) Of(original *T) *T {
	if original == nil {
		return nil
	}
	for _, pair := range c.pairs { // a linear search, as there are few
		if pair[0] == original {
			return pair[1]
		}
	}
	dst := new(T)
	c.pairs = append(c.pairs, [2]*T{original, dst})
	c.Fill(original, dst)
	return dst
}

// CopyTo copies the Server to another one.
func (s *Server) CopyTo(dst *Server) {
	dst.ID, dst.Addr, dst.Addrs, dst.Started, dst.Speaks, dst.Multiplexed, dst.Identity = s.ID, s.Addr, s.Addrs, s.Started, s.Speaks,
		s.Multiplexed, s.Identity
	dst.retired.Store(s.retired.Load())
	dst.addressLastSharedAt.Store(s.addressLastSharedAt.Load())
}

// CopyTo copies the Conn to another one, except its position among the idle connections, which PoolState.Copy sets.
func (c *Conn) CopyTo(dst *Conn, servers *Copies[Server], host any) {
	*dst = Conn{Server: servers.Of(c.Server), Speaks: c.Speaks, Host: host, state: c.state}
}

// Copy returns an equal PoolState with the copies of its connections and servers.
func (p *PoolState) Copy(conns *Copies[Conn], servers *Copies[Server]) *PoolState {
	dst := NewPoolState(p.limit)
	dst.taken, dst.idleCount = p.taken, p.idleCount
	for _, c := range p.queue {
		dst.queue = append(dst.queue, conns.Of(c))
	}
	for s, all := range p.idle {
		if len(all) > 0 {
			same := make([]*Conn, len(all))
			for i, c := range all {
				same[i] = conns.Of(c)
			}
			dst.idle[servers.Of(s)] = same
		}
	}
	for c := p.idleList.next; c != &p.idleList; c = c.next {
		copied := conns.Of(c)
		copied.prev, copied.next = dst.idleList.prev, &dst.idleList
		copied.prev.next, dst.idleList.prev = copied, copied
	}
	return dst
}

// Queue returns the connections that wait for a slot, the longest-waiting first.
func (p *PoolState) Queue() []*Conn { return slices.Clone(p.queue) }

// CopyTo copies the PendingCall to another one that belongs to attempt a, a copy, and to host.
func (p *PendingCall) CopyTo(dst *PendingCall, a *Attempt, host any) {
	*dst = PendingCall{Seq: p.Seq, Attempt: a, Host: host, writeStarted: p.writeStarted}
}

// Copy returns an equal MultiplexedConn with the copies of its pending calls.
func (m *MultiplexedConn) Copy(pendingCalls *Copies[PendingCall]) *MultiplexedConn {
	dst := *m
	dst.pendingCalls, dst.queue = make(map[int32]*PendingCall, len(m.pendingCalls)), nil
	for seq, p := range m.pendingCalls {
		dst.pendingCalls[seq] = pendingCalls.Of(p)
	}
	for _, p := range m.queue {
		dst.queue = append(dst.queue, pendingCalls.Of(p))
	}
	return &dst
}

// Fingerprint appends everything that the connection's future behaviour depends on to dst. Its attempts are represented by the
// numbers that number returns.
func (m *MultiplexedConn) Fingerprint(dst []byte, number func(*PendingCall) int) []byte {
	dst = binary.AppendVarint(dst, m.lastReply.UnixNano())
	dst = binary.AppendVarint(dst, int64(m.seq))
	dst = append(dst, byte(m.cause), boolByte(m.broken), boolByte(m.suspect), byte(len(m.pendingCalls)))
	for _, p := range m.PendingCalls() {
		dst = binary.AppendVarint(dst, int64(p.Seq))
		dst = binary.AppendVarint(dst, p.writeStarted.UnixNano())
		dst = append(dst, byte(number(p)), byte(p.Attempt.stage))
	}
	return dst
}

func boolByte(b bool) byte {
	if b {
		return 1
	}
	return 0
}
