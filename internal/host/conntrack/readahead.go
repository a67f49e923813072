package conntrack

import (
	"sync"

	"ternbeam/internal/host/membudget"
)

const (
	// minReadAheadBytes is how many bytes CheckDisconnected may buffer for each connection: more than a usual request has.
	minReadAheadBytes = readAheadPart
	// maxReadAheadBytes is how many bytes it buffers if the budget of all connections has room to spare for that.
	maxReadAheadBytes = 1 << 20
	readAheadPart     = 4 << 10
)

// readAheadBuffer holds data that was read from a connection before its reader asked for it, in parts that are filled one after the other. It is
// not safe for concurrent use.
type readAheadBuffer struct {
	budget *membudget.Budget // for what exceeds minReadAheadBytes; nil for none
	parts  []*readAheadChunk
}

// readAheadChunk is a part of a readAheadBuffer.
type readAheadChunk struct {
	data     [readAheadPart]byte
	from, to int // what is not read yet
	room     *membudget.Reservation
}

// readAheadChunks are pooled: one is needed for each look at a connection, and usually nothing is found.
var readAheadChunks = sync.Pool{New: func() any { return new(readAheadChunk) }}

// release returns a part to the pool and its room to the budget.
func (c *readAheadChunk) release() {
	c.room.Release()
	c.from, c.to, c.room = 0, 0, nil
	readAheadChunks.Put(c)
}

// empty reports whether nothing is buffered.
func (b *readAheadBuffer) empty() bool { return len(b.parts) == 0 }

// free returns memory to read into, or nil if there is no room for more. What was read is added by fill.
func (b *readAheadBuffer) free() []byte {
	if last := len(b.parts) - 1; last >= 0 && b.parts[last].to < readAheadPart {
		return b.parts[last].data[b.parts[last].to:]
	}
	var room *membudget.Reservation
	switch {
	case len(b.parts) >= maxReadAheadBytes/readAheadPart:
		return nil
	case len(b.parts) >= minReadAheadBytes/readAheadPart:
		if b.budget == nil {
			return nil
		}
		if room = b.budget.TrySpare(readAheadPart); room == nil {
			return nil
		}
	}
	part := readAheadChunks.Get().(*readAheadChunk)
	part.room = room
	b.parts = append(b.parts, part)
	return part.data[:]
}

// fill adds the first n bytes of what free has returned. It is called after each free, also with 0.
func (b *readAheadBuffer) fill(n int) {
	last := len(b.parts) - 1
	part := b.parts[last]
	if part.to += n; part.to == part.from {
		part.release()
		b.parts[last] = nil
		b.parts = b.parts[:last]
	}
}

// read moves buffered data into p.
func (b *readAheadBuffer) read(p []byte) (n int) {
	for len(p) > n && len(b.parts) > 0 {
		part := b.parts[0]
		moved := copy(p[n:], part.data[part.from:part.to])
		n += moved
		if part.from += moved; part.from == part.to {
			part.release()
			b.parts[0] = nil
			b.parts = b.parts[1:]
		}
	}
	if len(b.parts) == 0 && n > 0 {
		b.parts = nil
	}
	return n
}

// drop empties the buffer.
func (b *readAheadBuffer) drop() {
	for _, part := range b.parts {
		part.release()
	}
	b.parts = nil
}
