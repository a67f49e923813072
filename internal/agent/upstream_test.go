package agent

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"olivemux/choice"
)

// A dial takes time, and meanwhile the request may have ended, its time may be up, the module may have withdrawn
// it or the backend may have begun to drain: then nothing may be sent.
func TestNothingIsSentAfterASlowDial(t *testing.T) {
	for name, c := range map[string]struct {
		meanwhile func(a *attempt, withdraw context.CancelCauseFunc)
		want      choice.Result
	}{
		"nothing":      {func(*attempt, context.CancelCauseFunc) {}, choice.OK},
		"answered":     {func(a *attempt, _ context.CancelCauseFunc) { a.req.over.Store(true) }, choice.NotSent},
		"drains":       {func(a *attempt, _ context.CancelCauseFunc) { a.backend.closed.Store(true) }, choice.ConnectFailed},
		"withdrawn":    {func(_ *attempt, w context.CancelCauseFunc) { w(errWithdrawn) }, choice.Cancelled},
		"time is over": {func(_ *attempt, w context.CancelCauseFunc) { w(context.DeadlineExceeded) }, choice.NotSent},
	} {
		t.Run(name, func(t *testing.T) {
			var seen attempts
			e := newBackend(t, "b", func(_ http.ResponseWriter, r *http.Request) { seen.add(r) })
			u := newUpstream(trial{}.config(t))
			ctx, withdraw := context.WithCancelCause(context.Background())
			a := &attempt{req: forwardable("id"), backend: &backend{id: "b", addr: e.Addr}}
			dial := u.transport.DialContext
			u.transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
				conn, err := dial(ctx, network, addr)
				c.meanwhile(a, withdraw)
				return conn, err
			}
			got, sent := u.do(ctx, a).result, seen.of("id")
			if want := map[bool]int{true: 1}[c.want == choice.OK]; got != c.want || sent != want {
				t.Errorf("result %d, not %d; the backend got %d requests, not %d", got, c.want, sent, want)
			}
		})
	}
}

// What the backend may have read in whole may have run; only a write that fell short or never began proves that
// it did not.
func TestBreaks(t *testing.T) {
	var seen attempts
	e := newBackend(t, "b", func(w http.ResponseWriter, r *http.Request) {
		if seen.add(r); r.Header.Get("X-Correlation-Id") != "whole" {
			hangUp(w)
		}
	})
	u := newUpstream(trial{}.config(t))
	var breaks atomic.Bool
	dial := u.transport.DialContext
	u.transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if m, ok := c.(*meteredConn); ok {
			m.Conn = failingWrites{m.Conn, &breaks}
		}
		return c, err
	}
	b := &backend{id: "b", addr: e.Addr}
	do := func(id string) choice.Result {
		return u.do(context.Background(), &attempt{req: forwardable(id), backend: b}).result
	}
	if got := do("read and closed"); got != choice.Reset {
		t.Errorf("result %d of a request that was read", got)
	}
	if got := do("whole"); got != choice.OK || len(b.idle) != 1 {
		t.Fatalf("result %d, %d idle connections", got, len(b.idle))
	}
	breaks.Store(true)
	if got := do("half written"); got != choice.ConnectFailed || seen.of("half written") != 0 {
		t.Errorf("result %d of a request whose write fell short", got)
	}
	if u.count() != 0 {
		t.Errorf("%d broken connections are kept", u.count())
	}
}

type failingWrites struct {
	net.Conn
	breaks *atomic.Bool
}

func (f failingWrites) Write(p []byte) (int, error) {
	if !f.breaks.Load() {
		return f.Conn.Write(p)
	}
	n, _ := f.Conn.Write(p[:len(p)/2])
	return n, errors.New("broken pipe")
}

// At the limit of descriptors the connection that was idle for longest gives way; with none idle nothing is sent.
func TestConnectionLimit(t *testing.T) {
	hold := make(chan struct{})
	arrived := make(chan struct{}, 1)
	serve := func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Correlation-Id") == "held" {
			arrived <- struct{}{}
			<-hold
		}
	}
	x, y := newBackend(t, "x", serve), newBackend(t, "y", serve)
	u := newUpstream(trial{}.config(t))
	u.most = 1
	do := func(id string, e endpoint) choice.Result {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		return u.do(ctx, &attempt{req: forwardable(id), backend: &backend{id: e.ID, addr: e.Addr}}).result
	}
	if a, b := do("a", x), do("b", y); a != choice.OK || b != choice.OK || u.count() != 1 {
		t.Errorf("results %d and %d, %d connections", a, b, u.count())
	}
	first := make(chan choice.Result)
	go func() { first <- do("held", x) }()
	<-arrived
	if got := do("c", y); got != choice.NotSent {
		t.Errorf("result %d with every connection in use", got)
	}
	close(hold)
	if got := <-first; got != choice.OK {
		t.Errorf("result %d of the one that was in use", got)
	}
}

// A backend that the list says has restarted or moved is another one, with connections of its own.
func TestRestartedBackendGetsNewConnections(t *testing.T) {
	e := newBackend(t, "b", func(http.ResponseWriter, *http.Request) {})
	a, err := New(trial{}.config(t), quiet())
	if err != nil {
		t.Fatal(err)
	}
	a.list(endpointList{Full: true, Servers: []endpoint{e}})
	old := a.backends["b"]
	if got := a.upstream.do(context.Background(), &attempt{req: forwardable("id"), backend: old}); got.result != choice.OK {
		t.Fatalf("result %d", got.result)
	}
	a.list(endpointList{Servers: []endpoint{e}})
	if a.backends["b"] != old || len(old.idle) != 1 {
		t.Error("an entry without news cost the connections")
	}
	e.StartedMS = time.Now().UnixMilli()
	a.list(endpointList{Servers: []endpoint{e}})
	if a.backends["b"] == old || !old.closed.Load() || a.upstream.count() != 0 {
		t.Error("the connections of its earlier life are kept")
	}
	e.State = "terminating"
	a.list(endpointList{Servers: []endpoint{e}})
	if len(a.backends) != 0 {
		t.Error("a draining backend can still be sent to")
	}
}

func TestParseReport(t *testing.T) {
	fields := []string{"util", "qps", "eps"}
	for text, want := range map[string]choice.Report{
		"TEXT util=0.61, qps=40.5, eps=0": {Util: 0.61, Rate: 40.5, Errors: 0, InFlight: -1, Queue: -1},
		"TEXT qps=7,inflight=3":           {Util: -1, Rate: 7, Errors: -1, InFlight: -1, Queue: -1},
		"TEXT util=NaN, qps=-1, eps=x":    choice.NoReport,
		"util=0.5":                        choice.NoReport,
		"":                                choice.NoReport,
	} {
		if got := parseReport(text, fields); got != want {
			t.Errorf("%q: %+v", text, got)
		}
	}
}
