// Package membudget bounds the memory that all connections together hold for data of their peers: heads and bodies of requests, answers, and
// what is read ahead. Small amounts that every connection needs are not counted.
package membudget

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
)

// ErrExhausted is returned by Wait if no room became free in time.
var ErrExhausted = errors.New("no memory is left for data of clients and servers")

// Budget is a number of bytes that reservations share. It is safe for concurrent use.
type Budget struct {
	size  int64
	room  *semaphore.Weighted
	stats struct{ used, peak, waits, failures atomic.Int64 }
}

// Stats are figures of a Budget for logs.
type Stats struct {
	Size, Used, Peak int64 // bytes: in all, reserved now, and reserved at most since the last call of Stats
	Waits, Failures  int64 // reservations that had to wait, and those that failed, since the start
}

// New returns a Budget of the given number of bytes.
func New(size int64) *Budget {
	return &Budget{size: size, room: semaphore.NewWeighted(size)}
}

// Size returns the number of bytes in all.
func (b *Budget) Size() int64 { return b.size }

// Reservation is a part of a Budget. A nil Reservation is empty.
type Reservation struct {
	budget *Budget
	bytes  int64
	once   sync.Once
}

// Try reserves bytes if there is room for them now and nobody waits for room. Otherwise it returns nil.
func (b *Budget) Try(bytes int64) *Reservation {
	if !b.room.TryAcquire(bytes) {
		return nil
	}
	return b.reserved(bytes)
}

// TrySpare is like Try, and leaves half of the budget free for others. It is for data that is good to have and not necessary.
func (b *Budget) TrySpare(bytes int64) *Reservation {
	if b.stats.used.Load()+bytes > b.size/2 {
		return nil
	}
	return b.Try(bytes)
}

// Wait reserves bytes, and waits for room until ctx ends. It returns ErrExhausted if there was none.
func (b *Budget) Wait(ctx context.Context, bytes int64) (*Reservation, error) {
	if r := b.Try(bytes); r != nil {
		return r, nil
	}
	b.stats.waits.Add(1)
	if b.room.Acquire(ctx, bytes) != nil {
		b.stats.failures.Add(1)
		return nil, ErrExhausted
	}
	return b.reserved(bytes), nil
}

// WaitFor is like Wait, and waits for the given time at most.
func (b *Budget) WaitFor(bytes int64, atMost time.Duration) (*Reservation, error) {
	ctx, cancel := context.WithTimeout(context.Background(), atMost)
	defer cancel()
	return b.Wait(ctx, bytes)
}

func (b *Budget) reserved(bytes int64) *Reservation {
	used := b.stats.used.Add(bytes)
	for peak := b.stats.peak.Load(); used > peak && !b.stats.peak.CompareAndSwap(peak, used); {
		peak = b.stats.peak.Load()
	}
	return &Reservation{budget: b, bytes: bytes}
}

// Release returns the bytes to the budget. Further calls have no effect.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	r.once.Do(func() {
		r.budget.stats.used.Add(-r.bytes)
		r.budget.room.Release(r.bytes)
	})
}

// Stats returns the figures since the start, and the peak since the last call.
func (b *Budget) Stats() Stats {
	used := b.stats.used.Load()
	return Stats{Size: b.size, Used: used, Peak: b.stats.peak.Swap(used), Waits: b.stats.waits.Load(), Failures: b.stats.failures.Load()}
}
