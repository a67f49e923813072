// Package discovery receives the list of servers from the discovery service: the full list, and a watch for its changes.
package discovery

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"ternbeam/internal/clock"
	"ternbeam/internal/decide/listcheck"
	"ternbeam/internal/decide/pacing"
	"ternbeam/internal/sysio/socketio"
)

// dialTimeout limits connecting to discovery.
const dialTimeout = time.Second

// dial connects to discovery. What discovery has written counts as known to the agent, even if system calls fail on the connection, so the
// connection is wrapped to retry failed calls.
func dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, unreachableError{err}
	}
	return socketio.Wrap(conn), nil
}

// unreachableError means that no connection to discovery could be established.
type unreachableError struct{ error }

func (e unreachableError) Unwrap() error { return e.error }

// Client watches the list of one discovery service. It is safe for concurrent use.
type Client struct {
	addr           string
	silenceTimeout time.Duration // how long a watch may be silent before it counts as broken
	stallTimeout   time.Duration // how long a list that has started may make no progress, unless the one before it has stalled
	client         *http.Client
	log            *slog.Logger
	freshness      *Freshness // may be nil

	mu                sync.Mutex         // held while a list is checked and delivered
	checker           *listcheck.Checker // decides which lists are accepted
	lastEnd           string             // error of the latest watch, empty if a list has been delivered since
	drainsUnconfirmed bool               // drains of a rejected list were delivered, and no full list since
	lastDelivery      delivery           // of an accepted list
	stalled           bool               // the latest list that started was not complete in time, and none has been since
}

// delivery records which call delivered a list, and when.
type delivery struct {
	by *call
	at time.Duration
}

// UnknownVersion is the version of a list when none has been received from this discovery service yet: versions of different services
// are not comparable.
const UnknownVersion = listcheck.UnknownVersion

// New returns a Client that starts from a known list, which may have the version UnknownVersion.
func New(addr string, known List, log *slog.Logger) *Client {
	checker := listcheck.New(known.Version)
	if known.Version != UnknownVersion {
		checker.Check(known.forCheck())
	}
	return &Client{addr: addr, checker: checker, silenceTimeout: pacing.WatchSilenceTimeout, stallTimeout: listStallTimeout, log: log, client: &http.Client{
		Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true,
			DialContext: dial},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// ReportFreshness makes the client record in f for which time the list is known. It must be called before the first watch.
func (d *Client) ReportFreshness(f *Freshness) { d.freshness = f }

// KeepWatching watches the list until ctx ends. It starts each watch from the latest version, at the times that scheduler determines.
// Without a watch, the agent continues with the list that it has. lost, which may be nil, is called whenever a watch ends. Lists are
// delivered one after the other, from any goroutine, and none after KeepWatching has returned.
func (d *Client) KeepWatching(ctx context.Context, scheduler *pacing.Scheduler, deliver func(List), lost func()) {
	if lost == nil {
		lost = func() {}
	}
	if schedule := scheduler.Local(); schedule != nil {
		newLocalWatch(d, schedule, deliver, lost).run(ctx)
		return
	}
	d.keepWatchingShared(ctx, scheduler, deliver, lost)
}

// keepWatchingShared is KeepWatching for a service that all agents share. It makes one call at a time.
func (d *Client) keepWatchingShared(ctx context.Context, scheduler *pacing.Scheduler, deliver func(List), lost func()) {
	contact := newContactLog(d.log)
	started := clock.Now()
	events := Events{Answered: func() { contact.callAnswered(started); scheduler.ResponseStarted(clock.Now()) }, Alive: contact.dataReceived,
		Unreachable: scheduler.CallUnreachable, Deliver: func(l List) { scheduler.ListReceived(); deliver(l) }, Timeout: pacing.CallTimeout}
	for next := scheduler.FirstCall(started); ; {
		select {
		case <-ctx.Done():
			return
		case <-time.After(next - clock.Now()):
		}
		started = clock.Now()
		scheduler.CallStarted(started)
		contact.callStarted()
		silent := d.Watch(ctx, events)
		if ctx.Err() != nil {
			return
		}
		lost()
		next = scheduler.CallEnded(clock.Now(), silent)
	}
}

// Watch delivers lists in order until the watch ends. If it ended because nothing was received for too long, Watch returns that time, otherwise 0.
// It logs the error, unless the previous watch ended with the same one.
func (d *Client) Watch(ctx context.Context, events Events) (silent time.Duration) {
	err := d.watch(ctx, events)
	if ctx.Err() == nil {
		d.logEnd(err)
	}
	if unreachable := (unreachableError{}); errors.As(err, &unreachable) && events.Unreachable != nil {
		events.Unreachable()
	}
	var silence silenceError
	if errors.As(err, &silence) && time.Duration(silence) < d.silenceTimeout { // only a list that has started has a shorter limit
		d.mu.Lock()
		d.stalled = true
		d.mu.Unlock()
	}
	return time.Duration(silence)
}

// logEnd logs the error that ended a watch, unless the previous watch ended with the same one.
func (d *Client) logEnd(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err.Error() == d.lastEnd {
		return
	}
	d.lastEnd = err.Error()
	d.log.Warn("the watch ended", "error", err, "version", d.checker.Version())
}

// version returns the version of the latest accepted list, and whether the full list must be requested.
func (d *Client) version() (version int64, full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	version = d.checker.Version()
	return version, version == UnknownVersion || d.drainsUnconfirmed
}
