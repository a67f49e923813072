package conntrack

import "ternbeam/internal/host/membudget"

const (
	// minReadAheadBytes is how many bytes CheckDisconnected may buffer for each connection: more than a usual request has.
	minReadAheadBytes = readAheadPart
	// maxReadAheadBytes is how many bytes it buffers if the budget of all connections has room for that.
	maxReadAheadBytes = 1 << 20
	readAheadPart     = 4 << 10
)

// readAheadBuffer holds data that was read from a connection before its reader asked for it, in parts that are filled one after the other. It is
// not safe for concurrent use.
type readAheadBuffer struct {
	budget *membudget.Budget // for what exceeds minReadAheadBytes; nil for none
	parts  []readAheadChunk
}

// readAheadChunk is a part of a readAheadBuffer.
type readAheadChunk struct {
	unread []byte // its capacity behind the length is free
	room   *membudget.Reservation
}

// empty reports whether nothing is buffered.
func (b *readAheadBuffer) empty() bool { return len(b.parts) == 0 }

// free returns memory to read into, or nil if there is no room for more. What was read is added by fill.
func (b *readAheadBuffer) free() []byte {
	if last := len(b.parts) - 1; last >= 0 && len(b.parts[last].unread) < cap(b.parts[last].unread) {
		part := b.parts[last].unread
		return part[len(part):cap(part)]
	}
	var room *membudget.Reservation
	switch {
	case len(b.parts) >= maxReadAheadBytes/readAheadPart:
		return nil
	case len(b.parts) >= minReadAheadBytes/readAheadPart:
		if b.budget == nil {
			return nil
		}
		if room = b.budget.Try(readAheadPart); room == nil {
			return nil
		}
	}
	b.parts = append(b.parts, readAheadChunk{unread: make([]byte, 0, readAheadPart), room: room})
	return b.free()
}

// fill adds the first n bytes of what free has returned. It is called after each free, also with 0.
func (b *readAheadBuffer) fill(n int) {
	last := len(b.parts) - 1
	part := &b.parts[last]
	if part.unread = part.unread[:len(part.unread)+n]; len(part.unread) == 0 {
		part.room.Release()
		b.parts = b.parts[:last]
	}
}

// read moves buffered data into p.
func (b *readAheadBuffer) read(p []byte) (n int) {
	for len(p) > n && len(b.parts) > 0 {
		part := &b.parts[0]
		moved := copy(p[n:], part.unread)
		n += moved
		if part.unread = part.unread[moved:]; len(part.unread) == 0 {
			part.room.Release()
			b.parts[0] = readAheadChunk{}
			b.parts = b.parts[1:]
		}
	}
	if len(b.parts) == 0 {
		b.parts = nil
	}
	return n
}

// drop empties the buffer.
func (b *readAheadBuffer) drop() {
	for _, part := range b.parts {
		part.room.Release()
	}
	b.parts = nil
}
