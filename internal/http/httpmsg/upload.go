package httpmsg

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// ErrDropped says that a body can't be sent again: bytes of it are gone.
var ErrDropped = errors.New("the body was not kept whole")

// Upload is a body that is sent on while it comes. One goroutine fills it; attempts read it, each from its first byte, one
// after the other or two at a time.
type Upload struct {
	budget *Budget
	length int64 // -1 where it is not said

	mu      sync.Mutex
	changed chan struct{} // closed when anything changes
	parts   [][]byte      // what is kept
	base    int64         // bytes that are dropped, before the first of the parts
	size    int64         // bytes that came
	keep    int64         // so many may be held
	readers map[*Outflow]bool
	err     error // io.EOF when it is whole
}

// Budget bounds what all uploads keep for further attempts.
type Budget struct {
	Most int64
	used atomic.Int64
}

const (
	// PartSize is how much of a long body is moved at a time.
	PartSize = 32 << 10
	// Window is what an upload holds at the least.
	Window = 64 << 10
	// keepMost is what an upload keeps for another attempt where the budget has room.
	keepMost = 1 << 20
)

// NewUpload returns an empty Upload.
func NewUpload(length int64, b *Budget) *Upload {
	u := &Upload{budget: b, length: length, changed: make(chan struct{}), keep: Window, readers: map[*Outflow]bool{}}
	if b.used.Add(keepMost) <= b.Most {
		u.keep = keepMost
	} else {
		b.used.Add(-keepMost)
	}
	return u
}

// Length is the body's length, -1 where it is not said.
func (u *Upload) Length() int64 { return u.length }

// Whole reports whether the last byte has come.
func (u *Upload) Whole() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.err == io.EOF
}

func (u *Upload) changedLocked() {
	close(u.changed)
	u.changed = make(chan struct{})
}

// Fill adds a copy of some bytes, PartSize at the most. It waits until there is room, or returns false where nobody will
// make any.
func (u *Upload) Fill(part []byte, giveUp <-chan struct{}) bool {
	for {
		u.mu.Lock()
		u.dropLocked(int64(len(part)))
		if held := u.size - u.base; held == 0 || held+int64(len(part)) <= u.keep {
			u.addLocked(part)
			u.size += int64(len(part))
			u.changedLocked()
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

// addLocked fills parts whole, however small the pieces are in which the bytes come: readers have looked at no byte beyond
// what a part held.
func (u *Upload) addLocked(more []byte) {
	if last := len(u.parts) - 1; last >= 0 {
		n := min(len(more), cap(u.parts[last])-len(u.parts[last]))
		u.parts[last] = append(u.parts[last], more[:n]...)
		more = more[n:]
	}
	if len(more) > 0 {
		u.parts = append(u.parts, append(make([]byte, 0, max(PartSize, len(more))), more...))
	}
}

// dropLocked drops what all attempts under way have read, if there is one, as far as room is needed.
func (u *Upload) dropLocked(need int64) {
	read := int64(-1)
	for r := range u.readers {
		if read < 0 || r.off < read {
			read = r.off
		}
	}
	for len(u.parts) > 0 && u.size-u.base+need > u.keep && u.base+int64(len(u.parts[0])) <= read {
		u.base += int64(len(u.parts[0]))
		u.parts[0] = nil
		u.parts = u.parts[1:]
	}
}

// End says that no more comes: nil when the body is whole.
func (u *Upload) End(err error) {
	if err == nil {
		err = io.EOF
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.err == nil {
		u.err = err
		u.changedLocked()
	}
}

// Close gives back what is kept. No attempt begins any more.
func (u *Upload) Close() {
	u.End(io.ErrUnexpectedEOF)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.keep == keepMost {
		u.budget.used.Add(-keepMost)
	}
	u.keep, u.base, u.parts = 0, u.size+1, nil
	u.changedLocked()
}

// Open returns the body from its first byte on, for one attempt, or ErrDropped. It must be closed.
func (u *Upload) Open() (*Outflow, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.base > 0 {
		return nil, ErrDropped
	}
	r := &Outflow{up: u, stop: make(chan struct{})}
	u.readers[r] = true
	return r, nil
}

// Outflow is a body as one attempt reads it.
type Outflow struct {
	up   *Upload
	off  int64
	once sync.Once
	stop chan struct{}
}

// Next returns the next part, which must not be changed, or io.EOF after the last. It waits for more to come.
func (r *Outflow) Next() ([]byte, error) {
	u := r.up
	for {
		u.mu.Lock()
		if r.off < u.base {
			u.mu.Unlock()
			return nil, ErrDropped
		}
		at := u.base
		for _, p := range u.parts {
			if end := at + int64(len(p)); r.off < end {
				rest := p[r.off-at : len(p) : len(p)]
				r.off = end
				u.changedLocked()
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
func (r *Outflow) Close() {
	r.once.Do(func() {
		close(r.stop)
		r.up.mu.Lock()
		defer r.up.mu.Unlock()
		delete(r.up.readers, r)
		r.up.changedLocked()
	})
}
