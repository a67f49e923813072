package socketio

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Readiness tracks the earliest time at which a descriptor may have become ready before the latest successful call on it: the end of the
// latest wait, as the descriptor was not ready before that. Time that is lost to failed or late calls on a ready descriptor is thus included.
// One goroutine at a time may make calls; ReadySince may be called from any goroutine. The zero Readiness knows nothing before the first wait.
type Readiness struct {
	waiting bool          // the latest call returned EAGAIN, and the descriptor is being waited for
	since   time.Duration // when the descriptor may have become ready for the next call at the earliest; relative to origin, 0 if unknown
	latest  atomic.Int64  // the value of since for the latest successful call
}

// origin is the reference point of all times in a Readiness. It precedes all of them.
var origin = time.Now()

// StartAt sets the earliest time at which the descriptor may have become ready before the first call. The zero time means unknown.
func (r *Readiness) StartAt(at time.Time) {
	if !at.IsZero() {
		r.since = at.Sub(origin)
	}
}

// Begin must be called immediately before a system call on the descriptor.
func (r *Readiness) Begin() {
	if r.waiting {
		r.waiting, r.since = false, time.Since(origin)
	}
}

// End records the result of a system call. It returns false if the call must be repeated after an event of poll(2). The runtime's poller is
// edge-triggered, so a descriptor that is ready although the call returned EAGAIN must not be waited for.
func (r *Readiness) End(fd uintptr, event int16, err error) (done bool) {
	if err == unix.EAGAIN && !Ready(fd, event) {
		r.waiting = true
		return false
	}
	if err == nil {
		r.RecordSuccess()
	}
	return true
}

// RecordSuccess records that a non-blocking call has read data.
func (r *Readiness) RecordSuccess() { r.latest.Store(int64(r.since)) }

// RecordEmpty records that a non-blocking call has found no data.
func (r *Readiness) RecordEmpty() { r.since = time.Since(origin) }

// ReadySince returns the earliest time at which the descriptor may have become ready before the latest successful call, or the zero time
// if that is unknown.
func (r *Readiness) ReadySince() time.Time {
	latest := r.latest.Load()
	if latest == 0 {
		return time.Time{}
	}
	return origin.Add(time.Duration(latest))
}
