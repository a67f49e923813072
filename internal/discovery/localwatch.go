package discovery

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"ternbeam/internal/clock"
	"ternbeam/internal/decide/asking"
)

// errSuperseded ends a call in whose place another one is made or has established a watch.
var errSuperseded = errors.New("another call has taken its place")

// localWatch keeps a watch on a discovery service that serves this agent alone. While none is established it makes further calls beside
// those that are pending: one that the service took while it was down may never be answered.
type localWatch struct {
	client   *Client
	schedule *asking.LocalSchedule
	deliver  func(List)
	lost     func()
	contact  *contactLog

	signals chan localSignal
	calls   sync.WaitGroup // goroutines of calls

	// What follows belongs to run.
	pending     []*localCall // the oldest first
	established *localCall   // whose watch is established, nil while there is none
}

// localCall is a call of a localWatch.
type localCall struct {
	cancel context.CancelCauseFunc
}

// localSignal says what became of a call.
type localSignal struct {
	from   *localCall
	kind   signalKind
	took   time.Duration // until it delivered
	silent bool          // it ended as nothing came for too long
}

// signalKind names what became of a call.
type signalKind int

const (
	callDelivered   signalKind = iota // its first list
	callEstablished                   // a watch
	callEnded
)

func newLocalWatch(client *Client, schedule *asking.LocalSchedule, deliver func(List), lost func()) *localWatch {
	return &localWatch{client: client, schedule: schedule, deliver: deliver, lost: lost, contact: newContactLog(client.log),
		signals: make(chan localSignal)}
}

// run keeps the watch until ctx ends. It leaves no goroutine behind.
func (w *localWatch) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer w.calls.Wait()
	defer cancel()
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-next.C:
			w.begin(ctx)
			next.Reset(w.schedule.Interval())
		case s := <-w.signals:
			was := w.established
			w.take(s)
			switch {
			case w.established != nil:
				next.Stop()
			case was != nil:
				next.Reset(w.schedule.Interval())
			}
		}
	}
}

// begin makes a call. Where too many are pending, one makes room.
func (w *localWatch) begin(ctx context.Context) {
	if len(w.pending) >= asking.MostPending { // the oldest is kept, as the service may be slow
		w.pending[1].cancel(errSuperseded)
		w.pending = slices.Delete(w.pending, 1, 2)
	}
	how := w.schedule.Call(len(w.pending))
	ctx, cancel := context.WithCancelCause(ctx)
	c := &localCall{cancel: cancel}
	w.pending = append(w.pending, c)
	w.contact.called()
	begun := clock.Now()
	delivered := sync.OnceFunc(func() {
		w.signal(ctx, localSignal{from: c, kind: callDelivered, took: clock.Now() - begun})
	})
	on := Events{
		Answered: func() {},
		Alive:    w.contact.alive,
		Established: func() {
			w.contact.answered(begun)
			w.signal(ctx, localSignal{from: c, kind: callEstablished})
		},
		Deliver: func(l List) {
			w.contact.answered(begun)
			w.deliver(l)
			delivered()
		},
		Whole:  how.Whole,
		Within: how.Within,
	}
	w.calls.Go(func() {
		defer cancel(nil)
		silent := w.client.Watch(ctx, on)
		w.signal(ctx, localSignal{from: c, kind: callEnded, silent: silent > 0})
	})
}

// signal tells run, unless the call does not count any more.
func (w *localWatch) signal(ctx context.Context, s localSignal) {
	select {
	case w.signals <- s:
	case <-ctx.Done():
	}
}

// take takes note of what became of a call.
func (w *localWatch) take(s localSignal) {
	switch s.kind {
	case callDelivered:
		if w.established == nil { // an established watch has all the time that it likes
			w.schedule.Delivered(s.took)
		}
	case callEstablished:
		if w.established == nil && slices.Contains(w.pending, s.from) {
			w.establish(s.from)
		}
	case callEnded:
		if s.from == w.established {
			w.established = nil
		}
		w.pending = slices.DeleteFunc(w.pending, func(c *localCall) bool { return c == s.from })
		w.schedule.Ended(s.silent)
		w.lost()
	}
}

// establish takes the watch of a call; all others end.
func (w *localWatch) establish(c *localCall) {
	w.established = c
	for _, other := range w.pending {
		if other != c {
			other.cancel(errSuperseded)
		}
	}
	w.pending = nil
	w.schedule.Established()
}
