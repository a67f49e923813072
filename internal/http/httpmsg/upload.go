package httpmsg

import (
	"errors"
	"io"
	"sync"
	"time"

	"ternbeam/internal/host/membudget"
)

// ErrDropped is returned when a body can't be sent again because some of its bytes were dropped.
var ErrDropped = errors.New("the body was not kept completely")

// Upload is a body that is forwarded while it is received. One goroutine appends to it; attempts read it, each from its first byte,
// one after the other or two at a time.
type Upload struct {
	kept   *membudget.Reservation // for more than MinBuffered bytes; nil if there is none
	length int64                  // -1 if unknown

	mu       sync.Mutex
	changed  chan struct{} // closed and replaced when anything changes
	parts    [][]byte      // the bytes that are kept
	dropped  int64         // bytes dropped, which precede the first of the parts
	received int64         // bytes received in total
	limit    int64         // bytes that may be held
	readers  map[*UploadReader]bool
	err      error     // io.EOF when the body is complete
	deadline time.Time // until when the client waits, once the body is complete; zero if unknown
}

const (
	// PartSize is the number of bytes of a long body that are moved at a time.
	PartSize = 32 << 10
	// SmallPartSize replaces PartSize where memory is short.
	SmallPartSize = 4 << 10
	// MinBuffered is the number of bytes that every upload may hold.
	MinBuffered = 64 << 10
	// maxKeptBytes is the number of bytes that an upload keeps for another attempt if the budget has room.
	maxKeptBytes = 1 << 20
)

// NewUpload returns an empty Upload for a body of the given length, -1 if unknown. The caller accounts for MinBuffered bytes. If the budget has
// room to spare, the Upload reserves more until Close, and keeps the body for another attempt.
func NewUpload(length int64, b *membudget.Budget) *Upload {
	u := &Upload{length: length, changed: make(chan struct{}), limit: MinBuffered, readers: map[*UploadReader]bool{}}
	if u.kept = b.TrySpare(maxKeptBytes - MinBuffered); u.kept != nil {
		u.limit = maxKeptBytes
	}
	return u
}

// Length returns the length of the body, -1 if unknown.
func (u *Upload) Length() int64 { return u.length }

// Complete reports whether the last byte has been received.
func (u *Upload) Complete() bool {
	_, complete := u.Deadline()
	return complete
}

// Deadline returns until when the client waits, the zero time if that is unknown, and whether the last byte has been received. Before that the
// client's time has not begun.
func (u *Upload) Deadline() (deadline time.Time, complete bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.deadline, u.err == io.EOF
}

func (u *Upload) notifyLocked() {
	close(u.changed)
	u.changed = make(chan struct{})
}

// Begin sets the first bytes of the body, of which there are at most MinBuffered. The Upload keeps the slice.
func (u *Upload) Begin(first []byte) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.parts, u.received = [][]byte{first}, int64(len(first))
	u.notifyLocked()
}

// Append adds a copy of part, which has at most PartSize bytes. It waits until there is room, and returns false if giveUp is closed
// before that.
func (u *Upload) Append(part []byte, giveUp <-chan struct{}) bool {
	for {
		u.mu.Lock()
		u.dropLocked(int64(len(part)))
		if held := u.received - u.dropped; held == 0 || held+int64(len(part)) <= u.limit {
			u.appendLocked(part)
			u.received += int64(len(part))
			u.notifyLocked()
			u.mu.Unlock()
			return true
		}
		changed := u.changed
		u.mu.Unlock()
		select {
		case <-changed:
		case <-giveUp:
			return false
		}
	}
}

// appendLocked fills the last part before it starts another one, so that small pieces don't make small parts. Readers never look
// beyond the length that a part had when they read it.
func (u *Upload) appendLocked(data []byte) {
	if last := len(u.parts) - 1; last >= 0 {
		n := min(len(data), cap(u.parts[last])-len(u.parts[last]))
		u.parts[last] = append(u.parts[last], data[:n]...)
		data = data[n:]
	}
	if len(data) > 0 {
		u.parts = append(u.parts, append(make([]byte, 0, max(PartSize, len(data))), data...))
	}
}

// dropLocked drops parts that all current readers have read, if there are readers, until there is room for need bytes.
func (u *Upload) dropLocked(need int64) {
	read := int64(-1)
	for r := range u.readers {
		if read < 0 || r.offset < read {
			read = r.offset
		}
	}
	for len(u.parts) > 0 && u.received-u.dropped+need > u.limit && u.dropped+int64(len(u.parts[0])) <= read {
		u.dropped += int64(len(u.parts[0]))
		u.parts[0] = nil
		u.parts = u.parts[1:]
	}
}

// FinishComplete marks the end of a body that is complete, whose client waits until the deadline.
func (u *Upload) FinishComplete(deadline time.Time) {
	u.mu.Lock()
	u.deadline = deadline
	u.mu.Unlock()
	u.Finish(nil)
}

// Finish marks the end of the body. err is nil if the body is complete; otherwise readers get it after the data received.
func (u *Upload) Finish(err error) {
	if err == nil {
		err = io.EOF
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.err == nil {
		u.err = err
		u.notifyLocked()
	}
}

// Close releases what is kept. No further attempt can read the body.
func (u *Upload) Close() {
	u.Finish(io.ErrUnexpectedEOF)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.kept.Release()
	u.limit, u.dropped, u.parts = 0, u.received+1, nil // dropped is beyond every reader's offset, so Open and Next return ErrDropped
	u.notifyLocked()
}

// Open returns a reader of the body from its first byte on, for one attempt, or ErrDropped. The reader must be closed.
func (u *Upload) Open() (*UploadReader, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.dropped > 0 {
		return nil, ErrDropped
	}
	r := &UploadReader{upload: u, stop: make(chan struct{})}
	u.readers[r] = true
	return r, nil
}

// UploadReader reads the body for one attempt.
type UploadReader struct {
	upload *Upload
	offset int64
	once   sync.Once
	stop   chan struct{}
}

// Next returns the next part, which must not be changed, or io.EOF after the last. It waits until more data is received.
func (r *UploadReader) Next() ([]byte, error) {
	u := r.upload
	for {
		u.mu.Lock()
		if r.offset < u.dropped {
			u.mu.Unlock()
			return nil, ErrDropped
		}
		at := u.dropped
		for _, p := range u.parts {
			if end := at + int64(len(p)); r.offset < end {
				rest := p[r.offset-at : len(p) : len(p)]
				r.offset = end
				u.notifyLocked()
				u.mu.Unlock()
				return rest, nil
			}
			at += int64(len(p))
		}
		err, changed := u.err, u.changed
		u.mu.Unlock()
		if err != nil {
			return nil, err
		}
		select {
		case <-changed:
		case <-r.stop:
			return nil, io.ErrClosedPipe
		}
	}
}

// Close ends the reading.
func (r *UploadReader) Close() {
	r.once.Do(func() {
		close(r.stop)
		r.upload.mu.Lock()
		defer r.upload.mu.Unlock()
		delete(r.upload.readers, r)
		r.upload.notifyLocked()
	})
}
