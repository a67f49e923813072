package membudget

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"
)

func TestReservationsShareTheBudget(t *testing.T) {
	b := New(100)
	first := b.Try(60)
	if first == nil || b.Try(41) != nil {
		t.Fatal("60 of 100 bytes are reserved, and 41 more")
	}
	if spare := b.TrySpare(1); spare != nil {
		t.Error("more than half is reserved for what is not necessary")
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	if _, err := b.Wait(ctx, 50); !errors.Is(err, ErrExhausted) {
		t.Errorf("waiting for room ends with %v", err)
	}
	time.AfterFunc(time.Millisecond, first.Release)
	second, err := b.Wait(t.Context(), 100)
	if err != nil {
		t.Fatal(err)
	}
	second.Release()
	second.Release()
	(*Reservation)(nil).Release()
	if got, want := b.Stats(), (Stats{Size: 100, Peak: 100, Waits: 2, Failures: 1}); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	if b.TrySpare(50) == nil {
		t.Error("half of an empty budget can't be reserved")
	}
}

// A reservation larger than the budget fails when its context ends, and keeps nobody else out.
func TestOversizedReservationFails(t *testing.T) {
	b := New(10)
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	if _, err := b.Wait(ctx, 11); !errors.Is(err, ErrExhausted) {
		t.Errorf("%v", err)
	}
	if b.Try(10) == nil {
		t.Error("the budget is not empty")
	}
}

func TestConcurrentReservationsStayWithinTheBudget(t *testing.T) {
	b := New(10)
	var wait sync.WaitGroup
	for range 50 {
		wait.Go(func() {
			for range 100 {
				r, err := b.Wait(t.Context(), 3)
				if err != nil {
					t.Error(err)
					return
				}
				r.Release()
			}
		})
	}
	wait.Wait()
	if s := b.Stats(); s.Peak > s.Size || s.Used != 0 {
		t.Errorf("%+v", s)
	}
}
