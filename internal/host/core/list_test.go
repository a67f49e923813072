package core

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/discovery"
	"ternbeam/internal/host/pool"
	"ternbeam/internal/lab/testkit"
	"ternbeam/internal/protocol"
)

// newCore returns a Core with an initial list of servers and no transports.
func newCore(t *testing.T, addr string, known ...discovery.Entry) *Core {
	t.Helper()
	c, err := New(Settings{Module: choice.Settings{Tick: time.Millisecond, MaxAttempts: 2,
		Classes: []choice.Class{{Name: "pay", Effect: choice.Unsafe, Aim: time.Second, Deadline: time.Minute, Value: 1}}},
		InitialList: discovery.List{Full: true, Servers: known}, Discovery: addr, Log: slog.New(slog.DiscardHandler),
		Pool: pool.New(pool.Settings{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxConns: 10})})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// A list of the old list service that is queued behind the switch to a new one must not be applied.
func TestQueuedListOfTheOldDiscoveryIsDropped(t *testing.T) {
	asked, push := make(chan struct{}), make(chan struct{})
	old := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.(http.Flusher).Flush()
		close(asked)
		<-push
		fmt.Fprintln(w, `{"version":41,"servers":[{"id":"late","addr":"127.0.0.1:1","state":"in_service"}]}`)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	defer old.Close()
	defer old.CloseClientConnections()
	c := newCore(t, old.Listener.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.Run(ctx)
	<-asked
	gate, waits := make(chan struct{}), make(chan struct{})
	c.post(func() {
		close(waits)
		<-gate
		c.switchDiscovery(context.Background(), "127.0.0.1:1", discovery.List{Version: discovery.UnknownVersion})
	})
	<-waits
	close(push)
	testkit.Eventually(t, "the old service's list is queued", func() bool { return len(c.events) > 0 })
	close(gate)
	if got := c.Snapshot().Servers; len(got) != 0 {
		t.Errorf("servers %q, want none", got)
	}
}

// A server that has restarted, moved or changed its protocol according to the list is treated as a new one, with new connections.
func TestRestartedServerIsTreatedAsNew(t *testing.T) {
	e := discovery.Entry{ID: "b", Addr: "127.0.0.1:1", Zone: "z", State: "in_service", StartedMS: 5}
	for name, change := range map[string]func(*discovery.Entry){
		"nothing": func(*discovery.Entry) {}, "restarted": func(e *discovery.Entry) { e.StartedMS = 6 },
		"moved":  func(e *discovery.Entry) { e.Addr = "127.0.0.1:2" },
		"speaks": func(e *discovery.Entry) { e.Protocol = "thrift" },
		"drains": func(e *discovery.Entry) { e.State = "terminating" },
		"gone":   func(e *discovery.Entry) { e.State = "terminated" },
	} {
		t.Run(name, func(t *testing.T) {
			c := newCore(t, "127.0.0.1:1")
			c.applyList(discovery.List{Full: true, Servers: []discovery.Entry{e}})
			old, next := c.tracker.Server("b"), e
			change(&next)
			c.applyList(discovery.List{Servers: []discovery.Entry{next}})
			now := c.tracker.Server("b")
			if kept := now == old; kept != (name == "nothing") || old.Retired() == kept {
				t.Errorf("same server: %t, old one retired: %t", kept, old.Retired())
			}
			if known := now != nil; known != (name != "drains" && name != "gone") {
				t.Errorf("calls can be sent to it: %t", known)
			}
		})
	}
}

// An entry that cannot be read is skipped, and the others are applied.
func TestUnreadableEntries(t *testing.T) {
	c := newCore(t, "127.0.0.1:1")
	c.applyList(discovery.List{Full: true, Servers: []discovery.Entry{
		{ID: "a", Addr: "127.0.0.1:1", State: "in_service", Protocol: "gopher"},
		{ID: "b", Addr: "127.0.0.1:1", State: "in_service", Multiplexed: true},
		{ID: "c", Addr: "nowhere", State: "in_service"},
		{ID: "d", Addr: "127.0.0.1:1", State: "in_service", Protocol: "thrift-compact", Multiplexed: true}}})
	if s := c.tracker.Server("d"); len(c.tracker.Servers()) != 1 || s == nil || s.Speaks != protocol.ThriftCompact || !s.Multiplexed {
		t.Errorf("servers %v, want only d", c.tracker.Servers())
	}
}
