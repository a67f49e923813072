package discovery

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"ternbeam/internal/clock"
	"ternbeam/internal/decide/pacing"
)

// errSuperseded cancels a call to make room for a newer one, or because another call has established a watch.
var errSuperseded = errors.New("superseded by another call")

// localWatch keeps a watch on a discovery service that serves only this agent. While no watch is established, it makes further calls in
// parallel to the pending ones: a call that the service received while it was down may never be answered.
type localWatch struct {
	client   *Client
	schedule *pacing.LocalSchedule
	deliver  func(List)
	lost     func()
	contact  *contactLog

	events chan callEvent
	calls  sync.WaitGroup // goroutines of calls

	// The following fields are used by run's goroutine only.
	pending     []*localCall // the oldest first
	established *localCall   // whose watch is established, nil if there is none
}

// localCall is a call of a localWatch.
type localCall struct {
	cancel context.CancelCauseFunc
}

// callEvent reports the progress of a call.
type callEvent struct {
	call   *localCall
	kind   eventKind
	took   time.Duration // from the start of the call to its first list
	silent bool          // the call ended because nothing was received for too long
}

// eventKind is the kind of a callEvent.
type eventKind int

const (
	callDelivered   eventKind = iota // the first list
	callEstablished                  // the watch
	callEnded
)

func newLocalWatch(client *Client, schedule *pacing.LocalSchedule, deliver func(List), lost func()) *localWatch {
	return &localWatch{client: client, schedule: schedule, deliver: deliver, lost: lost, contact: newContactLog(client.log),
		events: make(chan callEvent)}
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
			w.startCall(ctx)
			next.Reset(w.schedule.Interval())
		case e := <-w.events:
			previous := w.established
			w.handle(e)
			switch {
			case w.established != nil:
				next.Stop()
			case previous != nil:
				next.Reset(w.schedule.Interval())
			}
		}
	}
}

// startCall starts a call. If too many calls are pending, one of them is canceled.
func (w *localWatch) startCall(ctx context.Context) {
	if len(w.pending) >= pacing.MaxPending { // the oldest is kept, as the service may be slow
		w.pending[1].cancel(errSuperseded)
		w.pending = slices.Delete(w.pending, 1, 2)
	}
	options := w.schedule.NextCall(len(w.pending))
	ctx, cancel := context.WithCancelCause(ctx)
	c := &localCall{cancel: cancel}
	w.pending = append(w.pending, c)
	w.contact.callStarted()
	started := clock.Now()
	delivered := sync.OnceFunc(func() {
		w.send(ctx, callEvent{call: c, kind: callDelivered, took: clock.Now() - started})
	})
	events := Events{
		Answered: func() {},
		Alive:    w.contact.dataReceived,
		Established: func() {
			w.contact.callAnswered(started)
			w.send(ctx, callEvent{call: c, kind: callEstablished})
		},
		Deliver: func(l List) {
			w.contact.callAnswered(started)
			w.deliver(l)
			delivered()
		},
		Full:    options.Full,
		Timeout: options.Timeout,
	}
	w.calls.Go(func() {
		defer cancel(nil)
		silent := w.client.Watch(ctx, events)
		w.send(ctx, callEvent{call: c, kind: callEnded, silent: silent > 0})
	})
}

// send passes an event to run, or drops it if the call has been canceled or run has ended.
func (w *localWatch) send(ctx context.Context, e callEvent) {
	select {
	case w.events <- e:
	case <-ctx.Done():
	}
}

// handle processes an event of a call.
func (w *localWatch) handle(e callEvent) {
	switch e.kind {
	case callDelivered:
		if w.established == nil { // the first list of an established watch may come at any time, which says nothing about the service's speed
			w.schedule.ListReceived(e.took)
		}
	case callEstablished:
		if w.established == nil && slices.Contains(w.pending, e.call) {
			w.establish(e.call)
		}
	case callEnded:
		if e.call == w.established {
			w.established = nil
		}
		w.pending = slices.DeleteFunc(w.pending, func(c *localCall) bool { return c == e.call })
		w.schedule.Ended(e.silent)
		w.lost()
	}
}

// establish makes a call's watch the established one and cancels all other calls.
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
