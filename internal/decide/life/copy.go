package life

import (
	"encoding/binary"
	"slices"
)

// Copies are how an explorer tries what may come next from one state, several times: what it copies, it copies whole.

// Twins are copies of things by their originals, each made once.
type Twins[T any] struct {
	Fill  func(original, twin *T) // makes the twin equal
	pairs [][2]*T
}

// Of returns the copy of an original; nil is its own.
func (t *Twins[T]) Of(original *T) *T {
	if original == nil {
		return nil
	}
	for _, p := range t.pairs { // they are few
		if p[0] == original {
			return p[1]
		}
	}
	twin := new(T)
	t.pairs = append(t.pairs, [2]*T{original, twin})
	t.Fill(original, twin)
	return twin
}

// CopyTo makes another Server equal.
func (s *Server) CopyTo(twin *Server) {
	twin.ID, twin.Addr, twin.Addrs, twin.Started, twin.Speaks, twin.Multiplexed, twin.Identity = s.ID, s.Addr, s.Addrs, s.Started, s.Speaks,
		s.Multiplexed, s.Identity
	twin.retired.Store(s.retired.Load())
}

// CopyTo makes another Conn equal, but for its place among those that are idle, which is its Book's to give.
func (c *Conn) CopyTo(twin *Conn, servers *Twins[Server], host any) {
	*twin = Conn{Server: servers.Of(c.Server), Speaks: c.Speaks, Host: host, state: c.state}
}

// Copy returns an equal Book of copied connections.
func (b *Book) Copy(conns *Twins[Conn], servers *Twins[Server]) *Book {
	twin := NewBook(b.most)
	twin.open, twin.count = b.open, b.count
	for _, c := range b.queue {
		twin.queue = append(twin.queue, conns.Of(c))
	}
	for s, all := range b.idle {
		if len(all) > 0 {
			same := make([]*Conn, len(all))
			for i, c := range all {
				same[i] = conns.Of(c)
			}
			twin.idle[servers.Of(s)] = same
		}
	}
	for c := b.ring.after; c != &b.ring; c = c.after {
		last := conns.Of(c)
		last.before, last.after = twin.ring.before, &twin.ring
		last.before.after, twin.ring.before = last, last
	}
	return twin
}

// Queue returns the connections that wait for a place, the longest first.
func (b *Book) Queue() []*Conn { return slices.Clone(b.queue) }

// CopyTo makes another Slot equal, for the copy of its attempt.
func (s *Slot) CopyTo(twin *Slot, a *Attempt, host any) {
	*twin = Slot{Seq: s.Seq, Life: a, Host: host, begun: s.begun}
}

// Copy returns an equal Line of copied places.
func (l *Line) Copy(slots *Twins[Slot]) *Line {
	twin := *l
	twin.slots, twin.queue = make(map[int32]*Slot, len(l.slots)), nil
	for seq, s := range l.slots {
		twin.slots[seq] = slots.Of(s)
	}
	for _, s := range l.queue {
		twin.queue = append(twin.queue, slots.Of(s))
	}
	return &twin
}

// Fingerprint appends all that a Line's next steps depend on, but for the attempts on it, which have a number.
func (l *Line) Fingerprint(to []byte, number func(*Slot) int) []byte {
	to = binary.AppendVarint(to, l.heard.UnixNano())
	to = binary.AppendVarint(to, int64(l.seq))
	to = append(to, byte(l.cause), b2i(l.broken), b2i(l.suspect), byte(len(l.slots)))
	for _, s := range l.Slots() {
		to = binary.AppendVarint(to, int64(s.Seq))
		to = binary.AppendVarint(to, s.begun.UnixNano())
		to = append(to, byte(number(s)), byte(s.Life.stage))
	}
	return to
}

func b2i(b bool) byte {
	if b {
		return 1
	}
	return 0
}
