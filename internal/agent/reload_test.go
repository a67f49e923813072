package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
)

// registry is a discovery that pushes what it is given to those who watch, and counts versions in its own way.
type registry struct {
	*httptest.Server
	changes chan endpointList

	mu    sync.Mutex
	list  endpointList
	calls []string
}

func newRegistry(t *testing.T, version int64, servers ...endpoint) *registry {
	t.Helper()
	d := &registry{changes: make(chan endpointList), list: endpointList{Version: version, Full: true, Servers: servers}}
	d.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		d.calls = append(d.calls, r.URL.String())
		d.mu.Unlock()
		lines := json.NewEncoder(w)
		if !r.URL.Query().Has("stream") {
			lines.Encode(d.list)
			return
		}
		w.(http.Flusher).Flush()
		for {
			select {
			case l := <-d.changes:
				lines.Encode(l)
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			}
		}
	}))
	t.Cleanup(func() { d.CloseClientConnections(); d.Close() })
	return d
}

func (d *registry) addr() string { return d.Listener.Addr().String() }

func (d *registry) asked() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.calls)
}

// known lists the ids of the backends that can be sent to.
func (r *running) known() (ids []string) {
	done := make(chan struct{})
	r.post(func() {
		for id := range r.backends {
			ids = append(ids, id)
		}
		close(done)
	})
	<-done
	slices.Sort(ids)
	return ids
}

// rewrite puts a configuration in place of the file that the agent reads.
func rewrite(t *testing.T, path, discovery string) {
	t.Helper()
	text := fmt.Sprintf(`{"discovery":%q,"settings":%s}`, discovery, fmt.Sprintf(settings, 1, 1, 1))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// A new configuration names another discovery, which counts versions otherwise: the agent asks it for the whole
// list and watches from there. A file that can't be read changes nothing.
func TestReloadSwitchesDiscovery(t *testing.T) {
	entry := func(id string) endpoint { return endpoint{ID: id, Addr: "127.0.0.1:1", State: "in_service"} }
	first, second := newRegistry(t, 40, entry("old")), newRegistry(t, 3, entry("new"))
	cfg := trial{}.config(t)
	cfg.Discovery, cfg.path = first.addr(), filepath.Join(t.TempDir(), "config.json")
	r := start(t, cfg)
	eventually(t, "the first is watched", func() bool { return len(first.asked()) == 1 })
	first.changes <- endpointList{Version: 41, Full: true, Servers: []endpoint{entry("old")}}
	eventually(t, "its list is taken", func() bool { return slices.Equal(r.known(), []string{"old"}) })

	r.reload <- syscall.SIGHUP // there is no file
	if err := os.WriteFile(cfg.path, []byte(`{"discovery":`), 0o600); err != nil {
		t.Fatal(err)
	}
	r.reload <- syscall.SIGHUP
	first.changes <- endpointList{Version: 42, Servers: []endpoint{entry("older")}}
	eventually(t, "the first is still heeded", func() bool { return slices.Equal(r.known(), []string{"old", "older"}) })

	rewrite(t, cfg.path, second.addr())
	for range 2 { // the second says nothing new
		r.reload <- syscall.SIGHUP
	}
	eventually(t, "the second's list is taken", func() bool { return slices.Equal(r.known(), []string{"new"}) })
	second.changes <- endpointList{Version: 4, Servers: []endpoint{entry("newer")}}
	eventually(t, "its changes are taken", func() bool { return slices.Equal(r.known(), []string{"new", "newer"}) })
	if got, want := second.asked(), []string{"/v1/endpoints", "/v1/endpoints?stream=1&index=3"}; !slices.Equal(got, want) {
		t.Errorf("the second was asked for %q, not %q", got, want)
	}
}

// What the old discovery has delivered and waits in the queue behind the switch must not undo the new list.
func TestQueuedListOfTheOldDiscoveryIsDropped(t *testing.T) {
	entry := endpoint{ID: "late", Addr: "127.0.0.1:1", State: "in_service"}
	old := newRegistry(t, 40)
	cfg := trial{}.config(t)
	cfg.Discovery = old.addr()
	r := start(t, cfg)
	eventually(t, "it is watched", func() bool { return len(old.asked()) == 1 })
	gate := make(chan struct{})
	r.post(func() {
		<-gate
		r.follow(context.Background(), "127.0.0.1:1", unknown)
	})
	old.changes <- endpointList{Version: 41, Servers: []endpoint{entry}}
	eventually(t, "its list is queued", func() bool { return len(r.events) > 0 })
	close(gate)
	if got := r.known(); len(got) != 0 {
		t.Errorf("knows %q", got)
	}
}
